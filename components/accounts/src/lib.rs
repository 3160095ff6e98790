//! Client accounts: who asks, by the key that a request carries.
//!
//! A key is turned into a [`KeyDigest`] where it is read, and nothing behind that point knows the key itself.
//! [`Accounts`] finds the account that holds a digest; [`identify`] decides whether a request may go on, and in whose
//! name.

mod digest;
mod identify;
mod table;

pub use digest::KeyDigest;
pub use identify::{identify, Credential, DenyReason, Freshness};
pub use table::{Account, Accounts, DuplicateKey, Limit, MAX_PRIORITY};
