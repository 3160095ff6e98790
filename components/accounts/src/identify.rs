//! Whether a request may go on, and in whose name.

use crate::digest::KeyDigest;
use crate::table::{Account, Accounts};
use std::sync::Arc;

/// What a request brings to say who asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Missing,
    /// A key.
    Key(KeyDigest),
    /// The upstream beside this node makes the request while it runs one of this account, if that had any.
    Inherited(Option<Arc<Account>>),
}

/// How new what is known of the accounts must be, and is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it never was.
    pub age_us: Option<u64>,
    /// A key that was withdrawn lets nobody in after this time, in microseconds; none: declarations are believed
    /// however old they are.
    pub max_age_us: Option<u64>,
}

impl Freshness {
    /// Whether a key that was withdrawn earlier than the bound allows would be known as withdrawn.
    fn holds(&self) -> bool {
        match (self.max_age_us, self.age_us) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(bound_us), Some(age_us)) => age_us < bound_us,
        }
    }
}

/// Why a request may not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenyReason {
    /// It carries no key and its route is not open to all.
    NoKey,
    /// Nobody holds the key that it carries.
    UnknownKey,
    /// The key may have been withdrawn without this node knowing.
    StaleKeys,
}

/// In whose name a request goes on; none where no account is needed. A key that is sent must be held by somebody, also
/// on a route that is open to all.
pub fn identify(
    accounts: &Accounts,
    presented: Credential,
    is_open: bool,
    proof: Freshness,
) -> Result<Option<Arc<Account>>, DenyReason> {
    if accounts.is_empty() {
        return Ok(None);
    }
    match presented {
        Credential::Inherited(account) => Ok(account),
        Credential::Missing if is_open => Ok(None),
        Credential::Missing => Err(DenyReason::NoKey),
        Credential::Key(_) if !proof.holds() => Err(DenyReason::StaleKeys),
        Credential::Key(digest) => match accounts.holder(&digest) {
            Some(account) => Ok(Some(account.clone())),
            None => Err(DenyReason::UnknownKey),
        },
    }
}
