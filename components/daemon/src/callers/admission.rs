//! Who asks, and whether the client account may ask more now.

use super::request::CallerRequest;
use crate::links;
use crate::node::Node;
use accounts::{Account, Credential, DenyReason, Freshness};
use async_std::task;
use audit::stats;
use home::{Reason, Refusal};
use names::{Moment, MILLISECOND};
use quota::{Admission, Peers, Quotas, Token};
use rollout::InForce;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wire::RelayOutcome;

/// Told to callers whose key can't be proved or whose limit isn't known now, in milliseconds: about the time after
/// which a node that was cut off has new word.
const UNPROVED_RETRY_MS: u64 = 500;
/// Time between two loans of this node's share: a third of the lease, so that one may be lost.
const LEND_EVERY: Duration = Duration::from_millis(500);
/// Time between two tries before the first loan, and between two looks whether any account is limited.
const LEND_FIRST: Duration = Duration::from_millis(50);

/// In whose name a request goes on; none where no account is needed. `proof`: how new what is in force is, and must be.
pub fn identify(
    in_force: &InForce,
    call: &CallerRequest,
    is_open: bool,
    proof: Freshness,
) -> Result<Option<Arc<Account>>, Refusal> {
    let accounts = &in_force.declarations.accounts;
    let found = accounts::identify(accounts, presented(in_force, call), is_open, proof);
    found.map_err(|barred| {
        let refusal = refusal(barred);
        let revision = in_force.configuration.head.revision;
        audit::request_denied(&call.id, &refusal, revision, proof.age_us);
        refusal
    })
}

/// A key goes before what the identity of the request says.
fn presented(in_force: &InForce, call: &CallerRequest) -> Credential {
    if let Some(digest) = call.account_key {
        return Credential::Key(digest);
    }
    let Some(parent) = &call.parent else {
        return Credential::Missing;
    };
    let accounts = &in_force.declarations.accounts;
    let account = parent.account.as_ref().map(|name| {
        let known = accounts.get(name.as_str()).cloned();
        // The account may have ended while its request runs.
        known.unwrap_or_else(|| {
            Arc::new(Account {
                name: name.clone(),
                priority: 0,
                limit: None,
            })
        })
    });
    Credential::Inherited(account)
}

fn refusal(barred: DenyReason) -> Refusal {
    match barred {
        DenyReason::NoKey | DenyReason::UnknownKey => Refusal {
            reason: Reason::Key,
            retry_after_ms: 0,
        },
        DenyReason::StaleKeys => Refusal {
            reason: Reason::StaleKeys,
            retry_after_ms: UNPROVED_RETRY_MS,
        },
    }
}

/// Takes a token for a caller's request where its account is limited. Calls belong to the request for which they are
/// made.
pub async fn admit(
    quotas: &Quotas,
    peers: &impl Peers,
    call: &CallerRequest,
    account: Option<&Account>,
    deadline: Moment,
) -> Result<Option<Token>, Refusal> {
    let limited = account.filter(|account| account.limit.is_some() && call.parent.is_none());
    let Some(account) = limited else {
        return Ok(None);
    };
    let refusal = match quotas.take(peers, account, deadline).await {
        Admission::Granted(token) => return Ok(Some(token)),
        Admission::OverLimit { wait_us } => Refusal {
            reason: Reason::OverLimit,
            retry_after_ms: wait_us.div_ceil(MILLISECOND),
        },
        Admission::Unanswered => Refusal {
            reason: Reason::LimitUnknown,
            retry_after_ms: UNPROVED_RETRY_MS,
        },
    };
    let part = quotas.share(peers.now());
    audit::over_limit(&call.id, &account.name, &refusal, part);
    Err(refusal)
}

/// Gives the token of a request back that has not run.
pub fn settle(quotas: &Quotas, peers: &impl Peers, token: Option<Token>, outcome: &RelayOutcome) {
    if let (Some(token), RelayOutcome::NotRun(_)) = (token, outcome) {
        quotas.give_back(peers, token);
    }
}

/// Lends this node's share of every limit again and again, where any account is limited.
pub async fn run_lease_renewals(node: Rc<Node>) {
    let peers = links::Peers(node.clone());
    loop {
        let in_force = node.in_force();
        let has_limits =
            in_force.is_some_and(|in_force| in_force.declarations.accounts.has_limits());
        let has_lent = has_limits && node.quotas.renew_leases(&peers);
        if has_limits {
            stats::set_gauge("drumwheel_quota_part", node.quotas.share(node.now()));
        }
        task::sleep(if has_lent { LEND_EVERY } else { LEND_FIRST }).await;
    }
}
