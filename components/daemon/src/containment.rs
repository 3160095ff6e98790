//! Keeps requests during which upstreams terminated from reaching further upstreams, and notifies
//! the other nodes.
//!
//! The crate `quarantine` decides. This module applies its verdicts to the requests at the local
//! upstream, and shares them with the other nodes and the store: a node's record lists the requests
//! that it has quarantined, so that a node that starts or reconnects learns them from the records
//! that it reads anyway.

mod ends;

pub use ends::{on_abandoned, on_upstream_termination};

use crate::home_driver;
use crate::links;
use crate::node::{Node, SharedAnswer};
use crate::registration::{self, Registration};
use async_std::task;
use audit::stats;
use ends::LastTermination;
use entry::Event;
use home::{Offer, Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name};
use quarantine::{Fingerprint, Quarantine, Suspect, Verdict};
use registry::Record;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use wire::{Frame, Request};

/// Retry delay sent to callers of a quarantined request, in milliseconds. The request will still be
/// quarantined then, so retries are of no use to them.
const QUARANTINE_RETRY_AFTER_MS: u64 = 60_000;
/// Retry delay sent to callers of a suspect while a copy of it runs, in milliseconds. The outcome
/// of the copy decides, and most requests of known deployments have ended by then.
const COPY_RETRY_AFTER_MS: u64 = 500;
/// Maximum number of requests listed in a node's record; the oldest are dropped first. Each takes
/// 34 bytes, which are sent with each change of the record.
const MAX_IN_RECORD: usize = 64;
/// Time between two removals of expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);

/// State of a node about requests during which upstreams terminated.
#[derive(Debug)]
pub struct Containment {
    /// Suspects and quarantined requests.
    quarantine: RefCell<Quarantine>,
    /// Exchanges that were abandoned, each with the time and the request ID. The upstream may still
    /// process them.
    abandoned: RefCell<VecDeque<(Moment, String, Fingerprint)>>,
    /// Whether a record of an earlier boot of this node was found.
    has_predecessor: Cell<bool>,
    /// The last termination of the local upstream.
    last_termination: Cell<Option<LastTermination>>,
    /// When the requests that other nodes have quarantined were last read from the store.
    store_read_at: Cell<Option<Moment>>,
}

impl Containment {
    /// State of a node that starts at `now`.
    pub fn new(now: Moment) -> Containment {
        Containment {
            quarantine: RefCell::new(Quarantine::new(now)),
            abandoned: RefCell::default(),
            has_predecessor: Cell::default(),
            last_termination: Cell::default(),
            store_read_at: Cell::default(),
        }
    }
}

/// The verdict of this node's quarantine on a request.
pub fn verdict(node: &Node, req: &Request) -> Verdict {
    let quarantine = node.containment.quarantine.borrow();
    if quarantine.is_empty() {
        return Verdict::Free;
    }
    quarantine.verdict(node.now(), req.fingerprint())
}

fn quarantined_count(node: &Node) -> usize {
    node.containment
        .quarantine
        .borrow()
        .quarantined(node.now())
        .count()
}

/// The refusal of a quarantined request.
pub fn quarantine_refusal() -> Refusal {
    Refusal {
        reason: Reason::Quarantined,
        retry_after_ms: QUARANTINE_RETRY_AFTER_MS,
    }
}

/// The VMs at which a suspect may run, in the order of preference.
pub fn suspect_order(node: &Node, service: &Name, fingerprint: Fingerprint) -> Vec<Name> {
    if let Some(registration) = &node.registration {
        let fleet = registration.fleet.borrow();
        let halls = fleet.ready(service.as_str());
        let ready = halls.flat_map(|(_, vms)| vms.iter().cloned());
        return quarantine::suspect_order(fingerprint, ready);
    }
    let Some(in_force) = node.in_force() else {
        return Vec::new();
    };
    let Some(service) = in_force.declarations.services.get(service) else {
        return Vec::new();
    };
    let candidates = node.candidates(&in_force, service).into_iter();
    quarantine::suspect_order(fingerprint, candidates.map(|candidate| candidate.vm))
}

/// Refuses the offer of a quarantined request, or of a suspect that may not run now, before it
/// reaches the home duty. The entry node or this node may not have learned yet that the request is
/// harmful.
pub fn early_refusal(node: &Node, offer: &Offer, req: &Request) -> Option<Refusal> {
    let verdict = verdict(node, req);
    if verdict == Verdict::Held {
        return Some(quarantine_refusal());
    }
    if !is_suspect(node, offer, req) {
        return None;
    }
    let jobs = node.jobs.borrow();
    let fingerprint = req.fingerprint();
    if jobs
        .values()
        .any(|job| job.req.fingerprint() == fingerprint)
    {
        return Some(Refusal {
            reason: Reason::Quarantined,
            retry_after_ms: COPY_RETRY_AFTER_MS,
        });
    }
    let has_other_suspect =
        offer.suspicion != Suspicion::Shared && jobs.values().any(|job| job.suspect);
    has_other_suspect.then_some(Refusal {
        reason: Reason::Busy,
        retry_after_ms: COPY_RETRY_AFTER_MS,
    })
}

/// Whether an offered request is suspect. The entry node may not have observed that it completed
/// recently.
pub fn is_suspect(node: &Node, offer: &Offer, req: &Request) -> bool {
    let completed_recently = || {
        let quarantine = node.containment.quarantine.borrow();
        quarantine.completed_recently(node.now(), req.fingerprint())
    };
    verdict(node, req) == Verdict::Suspect || !offer.suspicion.is_none() && !completed_recently()
}

/// Handles the suspects that another node observed when its upstream terminated, and forwards them
/// within this hall if needed.
pub fn on_suspects(node: &Rc<Node>, from: &Name, suspects: Vec<Suspect>) {
    let is_new = record_suspects(node, &suspects);
    if is_new && should_forward(node, from) {
        links::broadcast_to_hall(node, &Frame::Ended(suspects));
    }
}

/// Records that an upstream terminated during requests. Returns whether any of it is new.
fn record_suspects(node: &Rc<Node>, suspects: &[Suspect]) -> bool {
    let now = node.now();
    let mut any_new = false;
    for suspect in suspects {
        let fingerprint = suspect.fingerprint;
        let (is_new, verdict, terminations) = {
            let mut quarantine = node.containment.quarantine.borrow_mut();
            let is_new = quarantine.on_termination(now, *suspect);
            (
                is_new,
                quarantine.verdict(now, fingerprint),
                quarantine.termination_count(fingerprint),
            )
        };
        if !is_new {
            continue;
        }
        any_new = true;
        audit::suspect_recorded(suspect, verdict, terminations);
        apply_verdict(node, fingerprint, verdict);
    }
    publish_quarantined(node);
    any_new
}

/// The event for the call whose attempt was running when its upstream terminated.
pub fn termination_event(node: &Rc<Node>, id: AttemptId, suspect: Suspect) -> Event<SharedAnswer> {
    record_suspects(node, &[suspect]);
    let service = {
        let waiters = node.waiters.borrow();
        waiters.get(&id).map(|waiter| waiter.service.clone())
    };
    let verdict = node
        .containment
        .quarantine
        .borrow()
        .verdict(node.now(), suspect.fingerprint);
    let order = match (verdict, service) {
        (Verdict::Held, _) | (_, None) => Vec::new(),
        (_, Some(service)) => suspect_order(node, &service, suspect.fingerprint),
    };
    Event::UpstreamTerminated { id, order }
}

/// Handles another node's record: requests that it has quarantined, and those that the same boot of
/// it has released since its record `before`.
pub fn on_record(node: &Rc<Node>, record: &Record, before: Option<&Record>) {
    let same_boot = before.filter(|before| before.boot == record.boot);
    for fingerprint in same_boot.into_iter().flat_map(|before| &before.quarantined) {
        if !is_in_any_record(node, *fingerprint) {
            let mut quarantine = node.containment.quarantine.borrow_mut();
            quarantine.on_peer_release(*fingerprint);
        }
    }
    let now = node.now();
    for fingerprint in &record.quarantined {
        let (is_new, verdict) = {
            let mut quarantine = node.containment.quarantine.borrow_mut();
            let is_new = quarantine.on_peer_quarantine(now, *fingerprint);
            (is_new, quarantine.verdict(now, *fingerprint))
        };
        if is_new {
            audit::request_quarantined(*fingerprint, &record.vm, verdict);
            apply_verdict(node, *fingerprint, verdict);
        }
        if is_new && verdict == Verdict::Free {
            // This node has observed that the request completes; the other one has not.
            clear(node, *fingerprint);
            announce(node, &cleared_frame(*fingerprint, true));
        }
    }
}

/// Whether any node's record lists a request as quarantined.
fn is_in_any_record(node: &Node, fingerprint: Fingerprint) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    let fleet = registration.fleet.borrow();
    let mut records = fleet.records();
    records.any(|record| record.quarantined.contains(&fingerprint))
}

/// Releases a request for an operator and notifies all nodes. Returns whether this node had
/// anything recorded against it.
pub fn release(node: &Rc<Node>, fingerprint: Fingerprint) -> bool {
    let was_known = clear(node, fingerprint);
    announce(node, &cleared_frame(fingerprint, false));
    was_known
}

/// Quarantined requests, each with the number of terminations known to this node.
pub fn quarantined_requests(node: &Node) -> Vec<(Fingerprint, usize)> {
    let quarantine = node.containment.quarantine.borrow();
    let quarantined = quarantine.quarantined(node.now());
    let mut quarantined: Vec<(Fingerprint, usize)> = quarantined
        .map(|fingerprint| (fingerprint, quarantine.termination_count(fingerprint)))
        .collect();
    quarantined.sort_unstable();
    quarantined
}

/// Records that the local upstream has completed a request without an error. An error is no
/// evidence: a request that crashes upstreams may fail before it does.
pub fn on_local_completion(node: &Rc<Node>, req: &Request) {
    let fingerprint = req.fingerprint();
    let now = node.now();
    let was_known = node
        .containment
        .quarantine
        .borrow_mut()
        .on_local_completion(now, fingerprint);
    if was_known {
        on_suspicion_cleared(node, fingerprint);
        announce(node, &cleared_frame(fingerprint, true));
    }
}

/// Records that an answer without an error has been sent to a caller.
pub fn on_remote_completion(node: &Node, req: &Request) {
    let now = node.now();
    let mut quarantine = node.containment.quarantine.borrow_mut();
    quarantine.on_remote_completion(now, req.fingerprint());
}

/// Handles a notice that a request has completed at another node's upstream (`ran`), or that an
/// operator has released it.
pub fn on_cleared(node: &Rc<Node>, from: &Name, fingerprint: Fingerprint, ran: bool) {
    if ran {
        let now = node.now();
        let mut quarantine = node.containment.quarantine.borrow_mut();
        quarantine.on_remote_completion(now, fingerprint);
    }
    if clear(node, fingerprint) && should_forward(node, from) {
        links::broadcast_to_hall(node, &cleared_frame(fingerprint, ran));
    }
}

fn cleared_frame(fingerprint: Fingerprint, ran: bool) -> Frame {
    Frame::Cleared { fingerprint, ran }
}

fn clear(node: &Rc<Node>, fingerprint: Fingerprint) -> bool {
    let was_known = node.containment.quarantine.borrow_mut().clear(fingerprint);
    if was_known {
        on_suspicion_cleared(node, fingerprint);
    }
    was_known
}

fn on_suspicion_cleared(node: &Rc<Node>, fingerprint: Fingerprint) {
    audit::request_cleared(fingerprint);
    stats::set_quarantined(quarantined_count(node));
    for job in node.jobs.borrow_mut().values_mut() {
        if job.suspect && job.req.fingerprint() == fingerprint {
            job.suspect = false;
        }
    }
    publish_quarantined(node);
}

/// Removes expired entries; runs until the node stops.
pub async fn run_expiry(node: Rc<Node>) {
    loop {
        task::sleep(EXPIRE_INTERVAL).await;
        let now = node.now();
        node.containment.quarantine.borrow_mut().expire(now);
        stats::set_quarantined(quarantined_count(&node));
        publish_quarantined(&node);
    }
}

/// Marks the copies of a request that wait or run at the local upstream as suspect. If the verdict
/// is quarantine, waiting copies do not start, and a running copy that may be repeated is cancelled
/// before it crashes this upstream too.
fn apply_verdict(node: &Rc<Node>, fingerprint: Fingerprint, verdict: Verdict) {
    let mut copies = Vec::new();
    for (id, job) in node.jobs.borrow_mut().iter_mut() {
        if job.termination.is_none() && job.req.fingerprint() == fingerprint {
            job.suspect = true;
            copies.push(*id);
        }
    }
    if verdict != Verdict::Held {
        return;
    }
    stats::set_quarantined(quarantined_count(node));
    for id in copies {
        home_driver::withdraw(node, id, quarantine_refusal());
    }
}

/// Updates the quarantined requests in this node's record: those during which it observed a
/// termination, and those that the record listed before, as far as they are still quarantined.
fn publish_quarantined(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    let before = registration.fleet.borrow().own().quarantined.clone();
    let after = {
        let quarantine = node.containment.quarantine.borrow();
        let now = node.now();
        let mut after: Vec<Fingerprint> = before.clone();
        after.retain(|fingerprint| quarantine.verdict(now, *fingerprint) == Verdict::Held);
        let observed = quarantine
            .quarantined(now)
            .filter(|fingerprint| quarantine.was_observed_by(node.boot, *fingerprint))
            .filter(|fingerprint| quarantine.verdict(now, *fingerprint) == Verdict::Held);
        let mut new: Vec<Fingerprint> = observed
            .filter(|fingerprint| !after.contains(fingerprint))
            .collect();
        new.sort_unstable();
        after.extend(new);
        let surplus = after.len().saturating_sub(MAX_IN_RECORD);
        after.split_off(surplus)
    };
    if after != before {
        registration::set_quarantined(node, &registration, after);
    }
}

/// Adds the requests that an earlier boot of this node had quarantined to the node's record.
pub fn adopt_predecessor_record(node: &Rc<Node>, registration: &Registration, earlier: &Record) {
    if earlier.boot == node.boot {
        return;
    }
    node.containment.has_predecessor.set(true);
    on_record(node, earlier, None);
    let mut quarantined = registration.fleet.borrow().own().quarantined.clone();
    let before = quarantined.len();
    for fingerprint in &earlier.quarantined {
        if !quarantined.contains(fingerprint) {
            quarantined.push(*fingerprint);
        }
    }
    if quarantined.len() > before {
        registration::set_quarantined(node, registration, quarantined);
    }
}

/// Sends a frame to all nodes of this hall and to a few of each other hall, which forward it.
fn announce(node: &Rc<Node>, frame: &Frame) {
    let targets = match &node.registration {
        Some(registration) => {
            let fleet = registration.fleet.borrow();
            registry::announcement_targets(&fleet, |vm| links::has_failed(node, vm))
        }
        None => node.other_nodes().into_iter().map(|(vm, _)| vm).collect(),
    };
    for vm in targets {
        links::send(node, &vm, frame);
    }
}

fn should_forward(node: &Node, from: &Name) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    registry::should_forward(&registration.fleet.borrow(), from)
}
