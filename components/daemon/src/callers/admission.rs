//! Identifies the client account of a request and enforces the account's limit.

use super::request::CallerRequest;
use crate::links;
use crate::node::Node;
use accounts::{Account, Credential, DenyReason, Freshness};
use async_std::task;
use audit::stats;
use home::{Reason, Refusal};
use names::{Moment, MILLISECOND};
use quota::{Admission, Peers, Quotas, Token, LEASE_RENEWAL_US};
use rollout::InForce;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wire::RelayOutcome;

/// Retry delay sent to callers whose key can't be verified or whose limit isn't known now, in
/// milliseconds: about the time that a node needs to receive updates after it was cut off.
const UNCONFIRMED_RETRY_MS: u64 = 500;
/// Interval at which leases of this node's share are renewed.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_micros(LEASE_RENEWAL_US);
/// Interval between tries until leases are granted, and between checks whether any account is
/// limited.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The account on whose behalf a request is processed; none where no account is needed.
/// `freshness`: age of the declarations in force and its bound.
pub fn identify(
    in_force: &InForce,
    call: &CallerRequest,
    allows_anonymous: bool,
    freshness: Freshness,
) -> Result<Option<Arc<Account>>, Refusal> {
    let accounts = &in_force.declarations.accounts;
    let found = accounts::identify(
        accounts,
        credential(in_force, call),
        allows_anonymous,
        freshness,
    );
    found.map_err(|reason| {
        let refusal = refusal(reason);
        let revision = in_force.configuration.head.revision;
        audit::request_denied(&call.id, &refusal, revision, freshness.age_us);
        refusal
    })
}

/// A key takes precedence over the account of the parent request.
fn credential(in_force: &InForce, call: &CallerRequest) -> Credential {
    if let Some(digest) = call.account_key {
        return Credential::Key(digest);
    }
    let Some(parent) = &call.parent else {
        return Credential::Missing;
    };
    let accounts = &in_force.declarations.accounts;
    let account = parent.account.as_ref().map(|name| {
        let known = accounts.get(name.as_str()).cloned();
        // The account may have been removed while its request runs.
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

fn refusal(reason: DenyReason) -> Refusal {
    match reason {
        DenyReason::NoKey | DenyReason::UnknownKey => Refusal {
            reason: Reason::Key,
            retry_after_ms: 0,
        },
        DenyReason::StaleKeys => Refusal {
            reason: Reason::StaleKeys,
            retry_after_ms: UNCONFIRMED_RETRY_MS,
        },
    }
}

/// Takes a token for a caller's request if its account is limited. Calls made for another request
/// are covered by its token.
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
            retry_after_ms: UNCONFIRMED_RETRY_MS,
        },
    };
    let share = quotas.share(peers.now());
    audit::over_limit(&call.id, &account.name, &refusal, share);
    Err(refusal)
}

/// Returns the token of a request that has not run.
pub fn return_unused_token(
    quotas: &Quotas,
    peers: &impl Peers,
    token: Option<Token>,
    outcome: &RelayOutcome,
) {
    if let (Some(token), RelayOutcome::NotRun(_)) = (token, outcome) {
        quotas.give_back(peers, token);
    }
}

/// Grants leases of this node's share of every limit and keeps renewing them, while any account is
/// limited.
pub async fn run_lease_renewals(node: Rc<Node>) {
    let peers = links::Peers(node.clone());
    loop {
        let in_force = node.in_force();
        let has_limits =
            in_force.is_some_and(|in_force| in_force.declarations.accounts.has_limits());
        let has_renewed = has_limits && node.quotas.renew_leases(&peers);
        if has_limits {
            stats::set_gauge("drumwheel_quota_part", node.quotas.share(node.now()));
        }
        task::sleep(if has_renewed {
            LEASE_RENEWAL_INTERVAL
        } else {
            LEASE_RETRY_INTERVAL
        })
        .await;
    }
}
