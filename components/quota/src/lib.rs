//! Rate limits of client accounts, enforced by all nodes together.
//!
//! Each node owns an equal share of every limit. It leases this share ([`LeaseGranter`]) to two
//! token holders of its hall, which keep the tokens of the shares leased to them ([`TokenHolder`]).
//! A request takes one token. A share is leased to another holder only after the previous lease has
//! expired, so it counts at one holder at a time. All tokens together therefore stay within the
//! limit however the network is partitioned, and each side of a partition has the tokens of its own
//! nodes. `docs/design/quotas.md` has the proof and the alternatives considered.

mod bounds;
mod bucket;
mod collector;
mod lender;
mod message;
mod quotas;

pub use bounds::Bounds;
pub use collector::{NoToken, TokenHolder};
pub use lender::{Lease, LeaseGranter, JOIN_DELAY_US, LEASE_RENEWAL_US};
pub use message::{Answer, Message};
pub use quotas::{Admission, Peers, Quotas, Token};
