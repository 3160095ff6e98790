//! Requests in progress: those that the home duty has taken in, and attempts that the entry duty waits for.

use crate::links::Reply;
use crate::node::{Node, SharedAnswer};
use async_channel::Sender;
use entry::Event;
use keys::KeyHash;
use names::{BootId, Moment, Name};
use quarantine::Suspect;
use registry::Incarnation;
use std::sync::Arc;
use wire::Request;

/// A request that a home duty has taken in.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub req: Arc<Request>,
    /// Where its end is told.
    pub reply: Reply,
    /// The caller's deadline on this node's clock.
    pub deadline: Moment,
    /// Idempotency key, hashed.
    pub key: Option<KeyHash>,
    /// Priority at the home duty.
    pub priority: u8,
    /// When it was taken in.
    pub arrived_at: Moment,
    /// When it got a slot.
    pub started_at: Option<Moment>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another upstream has seen it before.
    pub repeat: bool,
    /// Whether an upstream has ended while it ran a copy.
    pub suspect: bool,
    /// What follows from the upstream's end, once it has ended while it ran this.
    pub termination: Option<Suspect>,
    /// The start of the upstream that ran it, if its answer says that it leaves.
    pub leaving: Option<Incarnation>,
    /// Tells the running exchange that nobody waits for it.
    pub cancel: Option<Sender<()>>,
}

/// In whose share the request runs; none where slots are not shared among accounts.
pub fn fair_share_account(node: &Node, req: &Request) -> Option<Name> {
    let is_fair = node.cfg.admission.fair_accounts;
    req.account.clone().filter(|_| is_fair)
}

/// A request that the upstream beside this node is serving, as a call made for it sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// How many services it has passed.
    pub level: u32,
    /// Its priority.
    pub priority: u8,
    /// Whether another upstream has seen it before.
    pub repeat: bool,
    /// The client account in whose name it runs.
    pub account: Option<Name>,
}

/// An entry-side attempt that has not ended.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// The call's events.
    pub tx: Sender<Event<SharedAnswer>>,
    /// The VM it was offered to.
    pub vm: Name,
    /// When it was offered.
    pub offered_at: Moment,
    /// Service that it is for.
    pub service: Name,
    /// Boot of the home node once any byte of the offer may have left this node.
    pub sent_to_boot: Option<BootId>,
}
