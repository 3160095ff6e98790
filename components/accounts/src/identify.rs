//! Authentication of requests to client accounts.

use crate::digest::KeyDigest;
use crate::table::{Account, Accounts};
use std::sync::Arc;

/// How a request identifies its client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credential {
    /// The request carries no key.
    Missing,
    /// The digest of the key that the request carries.
    Key(KeyDigest),
    /// A call that the local upstream makes while it runs a request: it belongs to the account of
    /// that request, if any.
    Inherited(Option<Arc<Account>>),
}

/// Age of the known declarations, and the bound on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Time since the declarations in force were last confirmed as the newest, in microseconds;
    /// `None` if never.
    pub age_us: Option<u64>,
    /// Time after which a withdrawn key must no longer be accepted (setting `withdrawn_within`), in
    /// microseconds; `None`: keys are checked against declarations of any age.
    pub max_age_us: Option<u64>,
}

impl Freshness {
    /// Whether any key withdrawn longer ago than the bound is known to be withdrawn.
    fn is_within_bound(&self) -> bool {
        match (self.max_age_us, self.age_us) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(bound_us), Some(age_us)) => age_us < bound_us,
        }
    }
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenyReason {
    /// It carries no key, and its route requires one.
    NoKey,
    /// Its key belongs to no account.
    UnknownKey,
    /// The declarations are too old to rule out that the key was withdrawn.
    StaleKeys,
}

/// The account of a request; `None` where no account is needed. A key that a request carries must
/// belong to an account, also on a route that is open to anonymous requests.
pub fn identify(
    accounts: &Accounts,
    credential: Credential,
    is_open: bool,
    freshness: Freshness,
) -> Result<Option<Arc<Account>>, DenyReason> {
    if accounts.is_empty() {
        return Ok(None);
    }
    match credential {
        Credential::Inherited(account) => Ok(account),
        Credential::Missing if is_open => Ok(None),
        Credential::Missing => Err(DenyReason::NoKey),
        Credential::Key(_) if !freshness.is_within_bound() => Err(DenyReason::StaleKeys),
        Credential::Key(digest) => match accounts.holder(&digest) {
            Some(account) => Ok(Some(account.clone())),
            None => Err(DenyReason::UnknownKey),
        },
    }
}
