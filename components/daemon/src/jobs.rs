//! Requests in progress: those offered to the home duty, and attempts for which the entry duty waits.

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

/// A request that was offered to the home duty.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub req: Arc<Request>,
    /// Incarnation of the upstream that its entry duty chose. The request runs at no other one. None
    /// where the platform lists the VMs.
    pub upstream: Option<Incarnation>,
    /// Where its result is sent.
    pub reply: Reply,
    /// The caller's deadline on this node's clock.
    pub deadline: Moment,
    /// Idempotency key, hashed.
    pub key: Option<KeyHash>,
    /// Priority at the home duty.
    pub priority: u8,
    /// When the offer arrived.
    pub arrived_at: Moment,
    /// When it got a slot.
    pub started_at: Option<Moment>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another upstream has received it before.
    pub repeat: bool,
    /// Whether an upstream has terminated while it ran a copy.
    pub suspect: bool,
    /// Set if the upstream terminated while it ran this request: what this means for the request.
    pub termination: Option<Suspect>,
    /// The incarnation of the upstream that ran it, if its answer reports that it is draining.
    pub leaving: Option<Incarnation>,
    /// Notifies the running exchange that its call no longer waits for it.
    pub cancel: Option<Sender<()>>,
}

/// The account whose share of the slots the request uses; none unless slots are shared among
/// accounts.
pub fn fair_share_account(node: &Node, req: &Request) -> Option<Name> {
    let is_fair = node.cfg.admission.fair_accounts;
    req.account.clone().filter(|_| is_fair)
}

/// A request that the local upstream is processing, with the properties that its calls inherit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Number of services that it has passed through.
    pub level: u32,
    /// Its priority.
    pub priority: u8,
    /// Whether another upstream has received it before.
    pub repeat: bool,
    /// The client account on whose behalf it runs.
    pub account: Option<Name>,
}

/// An attempt of the entry duty that has not ended.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Receives the call's events.
    pub tx: Sender<Event<SharedAnswer>>,
    /// The VM to which it was offered.
    pub vm: Name,
    /// When it was offered.
    pub offered_at: Moment,
    /// The requested service.
    pub service: Name,
    /// The caller's deadline.
    pub deadline: Moment,
    /// The longest that such requests have taken recently, in microseconds.
    pub longest_us: Option<u64>,
    /// Whether the home duty was asked to revoke it unless it has started.
    pub is_fenced: bool,
    /// Boot of the home node; set once any byte of the offer may have left this node.
    pub sent_to_boot: Option<BootId>,
}
