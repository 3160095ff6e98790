//! Client accounts, identified by the API key of a request.
//!
//! A key is hashed into a [`KeyDigest`] where it is parsed; the key itself is passed no further.
//! [`Accounts`] finds the account that holds a digest. [`identify`] accepts or denies a request and
//! returns its account.

mod digest;
mod identify;
mod table;

pub use digest::KeyDigest;
pub use identify::{identify, Credential, DenyReason, Freshness};
pub use table::{Account, Accounts, DuplicateKey, Limit, MAX_PRIORITY};
