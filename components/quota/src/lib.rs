//! Quota: how many requests of a client account all nodes together let through.
//!
//! Each node owns an equal part of every limit and lends it to two collectors of its hall ([`LeaseGranter`]), which keep the
//! tokens of what was lent to them ([`TokenHolder`]). A request takes one token. A part counts at one place at a time: it
//! is lent elsewhere only after the lease before it has lapsed. So all tokens together stay within the limit, however
//! the fleet is split, and each part of a split fleet has the tokens of its own nodes. `docs/design/quotas.md` has the
//! proof and what was weighed.

mod bounds;
mod bucket;
mod collector;
mod lender;
mod message;
mod quotas;

pub use bounds::Bounds;
pub use collector::{NoToken, TokenHolder};
pub use lender::{Lease, LeaseGranter, JOIN_DELAY_US};
pub use message::{Answer, Message};
pub use quotas::{Admission, Peers, Quotas, Token};
