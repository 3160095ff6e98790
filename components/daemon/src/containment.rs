//! Keeps requests under which upstreams ended from further ones, and tells the other nodes.
//!
//! The decisions are in `quarantine`. Here they meet what is at work beside this node, the other nodes and the
//! store: a node's record names the requests it holds, so that who starts or comes back knows them with the
//! records that it reads anyway.

mod ends;

pub use ends::{on_abandoned, on_upstream_termination};

use crate::home_driver;
use crate::links;
use crate::node::{Node, SharedAnswer};
use crate::registration::{self, Registration};
use async_std::task;
use audit::stats;
use ends::LastEnd;
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

/// Told to callers of a request that is held, in milliseconds: it will be held then as well, and each return is of
/// no use to them.
const HELD_RETRY_AFTER_MS: u64 = 60_000;
/// Told to callers of a copy while another one runs, in milliseconds: how that one ends decides, and most requests
/// of the users' sites have ended by then.
const COPY_RETRY_AFTER_MS: u64 = 500;
/// Requests that a node's record holds at most; the oldest go first. They are sent with each change of the record:
/// 34 bytes each.
const MOST_IN_RECORD: usize = 64;
/// Time between two looks for what is old.
const FORGET_EVERY: Duration = Duration::from_secs(60);

/// What a node keeps of requests under which upstreams ended.
#[derive(Debug)]
pub struct Containment {
    /// What is known of them.
    known: RefCell<Quarantine>,
    /// Exchanges that were given up, with the caller's identity: the upstream may go on with them.
    cut_off: RefCell<VecDeque<(Moment, String, Fingerprint)>>,
    /// Whether a record of an earlier start of this node was found.
    has_predecessor: Cell<bool>,
    /// The last end of the upstream beside this node.
    last_end: Cell<Option<LastEnd>>,
    /// When the store was last asked what other nodes hold.
    probed: Cell<Option<Moment>>,
}

impl Containment {
    /// What a node keeps that starts now.
    pub fn new(now: Moment) -> Containment {
        Containment {
            known: RefCell::new(Quarantine::new(now)),
            cut_off: RefCell::default(),
            has_predecessor: Cell::default(),
            last_end: Cell::default(),
            probed: Cell::default(),
        }
    }
}

/// How a request is treated that a caller sends.
pub fn verdict(node: &Node, req: &Request) -> Verdict {
    let known = node.containment.known.borrow();
    if known.is_empty() {
        return Verdict::Free;
    }
    known.verdict(node.now(), req.fingerprint())
}

/// Number of requests that are held.
fn held_count(node: &Node) -> usize {
    node.containment
        .known
        .borrow()
        .quarantined(node.now())
        .count()
}

/// What a caller is told whose request is held.
pub fn quarantine_refusal() -> Refusal {
    Refusal {
        reason: Reason::Quarantined,
        retry_after_ms: HELD_RETRY_AFTER_MS,
    }
}

/// The VMs at which a suspect may run, the best first.
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

/// Why an offer is refused before the home duty sees it, for what is known of its request. The entry node may not
/// have heard of it yet, nor this one.
pub fn early_refusal(node: &Node, offer: &Offer, req: &Request) -> Option<Refusal> {
    let standing = verdict(node, req);
    if standing == Verdict::Held {
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
    let is_crowded = offer.suspicion != Suspicion::Shared && jobs.values().any(|job| job.suspect);
    is_crowded.then_some(Refusal {
        reason: Reason::Busy,
        retry_after_ms: COPY_RETRY_AFTER_MS,
    })
}

/// Whether an offered request is under suspicion. The entry node may not have seen that it runs well.
pub fn is_suspect(node: &Node, offer: &Offer, req: &Request) -> bool {
    let runs_well = || {
        let known = node.containment.known.borrow();
        known.completed_recently(node.now(), req.fingerprint())
    };
    verdict(node, req) == Verdict::Suspect || !offer.suspicion.is_none() && !runs_well()
}

/// Takes in what another node saw at the end of its upstream, and passes it on where its hall can't.
pub fn on_suspects(node: &Rc<Node>, from: &Name, suspects: Vec<Suspect>) {
    let news = learn(node, &suspects);
    if news && is_passed_on(node, from) {
        links::broadcast_to_hall(node, &Frame::Ended(suspects));
    }
}

/// Takes in that an upstream ended under requests. Returns whether any of it is news.
fn learn(node: &Rc<Node>, suspects: &[Suspect]) -> bool {
    let now = node.now();
    let mut is_news = false;
    for suspect in suspects {
        let fingerprint = suspect.fingerprint;
        let (news, standing, ends) = {
            let mut known = node.containment.known.borrow_mut();
            let news = known.on_termination(now, *suspect);
            (
                news,
                known.verdict(now, fingerprint),
                known.termination_count(fingerprint),
            )
        };
        if !news {
            continue;
        }
        is_news = true;
        audit::suspect_recorded(suspect, standing, ends);
        apply(node, fingerprint, standing);
    }
    publish(node);
    is_news
}

/// What follows for the call whose attempt ran when its upstream ended.
pub fn termination_event(node: &Rc<Node>, id: AttemptId, suspect: Suspect) -> Event<SharedAnswer> {
    learn(node, &[suspect]);
    let service = {
        let waiters = node.waiters.borrow();
        waiters.get(&id).map(|waiter| waiter.service.clone())
    };
    let standing = node
        .containment
        .known
        .borrow()
        .verdict(node.now(), suspect.fingerprint);
    let order = match (standing, service) {
        (Verdict::Held, _) | (_, None) => Vec::new(),
        (_, Some(service)) => suspect_order(node, &service, suspect.fingerprint),
    };
    Event::UpstreamTerminated { id, order }
}

/// Takes in what another node holds, from its record, and what the same start of it held before.
pub fn on_record(node: &Rc<Node>, record: &Record, before: Option<&Record>) {
    let same_start = before.filter(|before| before.boot == record.boot);
    for fingerprint in same_start
        .into_iter()
        .flat_map(|before| &before.quarantined)
    {
        if !is_in_a_record(node, *fingerprint) {
            let mut known = node.containment.known.borrow_mut();
            known.on_peer_release(*fingerprint);
        }
    }
    let now = node.now();
    for fingerprint in &record.quarantined {
        let (is_news, standing) = {
            let mut known = node.containment.known.borrow_mut();
            let is_news = known.on_peer_quarantine(now, *fingerprint);
            (is_news, known.verdict(now, *fingerprint))
        };
        if is_news {
            audit::request_quarantined(*fingerprint, &record.vm, standing);
            apply(node, *fingerprint, standing);
        }
        if is_news && standing == Verdict::Free {
            // It runs well, as this node has seen and the other one has not.
            clear(node, *fingerprint);
            tell(node, &told_clear(*fingerprint, true));
        }
    }
}

/// Whether any node's record holds a request.
fn is_in_a_record(node: &Node, fingerprint: Fingerprint) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    let fleet = registration.fleet.borrow();
    let mut records = fleet.records();
    records.any(|record| record.quarantined.contains(&fingerprint))
}

/// An operator frees a request: all nodes are told. Returns whether anything was known against it here.
pub fn release(node: &Rc<Node>, fingerprint: Fingerprint) -> bool {
    let was_known = clear(node, fingerprint);
    tell(node, &told_clear(fingerprint, false));
    was_known
}

/// Requests that are held, with the ends that this node knows of under each.
pub fn quarantined_requests(node: &Node) -> Vec<(Fingerprint, usize)> {
    let known = node.containment.known.borrow();
    let held = known.quarantined(node.now());
    let mut held: Vec<(Fingerprint, usize)> = held
        .map(|fingerprint| (fingerprint, known.termination_count(fingerprint)))
        .collect();
    held.sort_unstable();
    held
}

/// Takes in that the upstream beside this node has run a request to a good end. An error says nothing: a request
/// that ends upstreams may fail before it does.
pub fn on_local_completion(node: &Rc<Node>, req: &Request) {
    let fingerprint = req.fingerprint();
    let now = node.now();
    let was_known = node
        .containment
        .known
        .borrow_mut()
        .on_local_completion(now, fingerprint);
    if was_known {
        after_clearing(node, fingerprint);
        tell(node, &told_clear(fingerprint, true));
    }
}

/// Takes in that a caller was given the upstream's good answer.
pub fn on_remote_completion(node: &Node, req: &Request) {
    let now = node.now();
    let mut known = node.containment.known.borrow_mut();
    known.on_remote_completion(now, req.fingerprint());
}

/// Takes in that a request has run to a good end elsewhere (`ran`), or that an operator frees it.
pub fn on_cleared(node: &Rc<Node>, from: &Name, fingerprint: Fingerprint, ran: bool) {
    if ran {
        let now = node.now();
        let mut known = node.containment.known.borrow_mut();
        known.on_remote_completion(now, fingerprint);
    }
    if clear(node, fingerprint) && is_passed_on(node, from) {
        links::broadcast_to_hall(node, &told_clear(fingerprint, ran));
    }
}

fn told_clear(fingerprint: Fingerprint, ran: bool) -> Frame {
    Frame::Cleared { fingerprint, ran }
}

fn clear(node: &Rc<Node>, fingerprint: Fingerprint) -> bool {
    let was_known = node.containment.known.borrow_mut().clear(fingerprint);
    if was_known {
        after_clearing(node, fingerprint);
    }
    was_known
}

fn after_clearing(node: &Rc<Node>, fingerprint: Fingerprint) {
    audit::request_cleared(fingerprint);
    stats::set_quarantined(held_count(node));
    for job in node.jobs.borrow_mut().values_mut() {
        if job.suspect && job.req.fingerprint() == fingerprint {
            job.suspect = false;
        }
    }
    publish(node);
}

/// Forgets what is old, for as long as the node runs.
pub async fn run_expiry(node: Rc<Node>) {
    loop {
        task::sleep(FORGET_EVERY).await;
        let now = node.now();
        node.containment.known.borrow_mut().expire(now);
        stats::set_quarantined(held_count(&node));
        publish(&node);
    }
}

/// Brings what waits or runs beside this node in line with what is known of a request: what is held does not
/// start, and what may be repeated is cut off before it ends this upstream too.
fn apply(node: &Rc<Node>, fingerprint: Fingerprint, standing: Verdict) {
    let mut copies = Vec::new();
    for (id, job) in node.jobs.borrow_mut().iter_mut() {
        if job.termination.is_none() && job.req.fingerprint() == fingerprint {
            job.suspect = true;
            copies.push(*id);
        }
    }
    if standing != Verdict::Held {
        return;
    }
    stats::set_quarantined(held_count(node));
    for id in copies {
        home_driver::withdraw(node, id, quarantine_refusal());
    }
}

/// Brings this node's record in line with what it holds: requests under which it saw an end, and those that its
/// record named before.
fn publish(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    let before = registration.fleet.borrow().own().quarantined.clone();
    let after = {
        let known = node.containment.known.borrow();
        let now = node.now();
        let mut after: Vec<Fingerprint> = before.clone();
        after.retain(|fingerprint| known.verdict(now, *fingerprint) == Verdict::Held);
        let seen = known
            .quarantined(now)
            .filter(|fingerprint| known.was_observed_by(node.boot, *fingerprint))
            .filter(|fingerprint| known.verdict(now, *fingerprint) == Verdict::Held);
        let mut new: Vec<Fingerprint> = seen
            .filter(|fingerprint| !after.contains(fingerprint))
            .collect();
        new.sort_unstable();
        after.extend(new);
        let surplus = after.len().saturating_sub(MOST_IN_RECORD);
        after.split_off(surplus)
    };
    if after != before {
        registration::set_quarantined(node, &registration, after);
    }
}

/// An earlier start of this node held these requests: its record goes on naming them.
pub fn adopt_predecessor_record(node: &Rc<Node>, registration: &Registration, earlier: &Record) {
    if earlier.boot == node.boot {
        return;
    }
    node.containment.has_predecessor.set(true);
    on_record(node, earlier, None);
    let mut held = registration.fleet.borrow().own().quarantined.clone();
    let before = held.len();
    for fingerprint in &earlier.quarantined {
        if !held.contains(fingerprint) {
            held.push(*fingerprint);
        }
    }
    if held.len() > before {
        registration::set_quarantined(node, registration, held);
    }
}

/// Tells the other nodes: all of this hall and a few of each other one, which pass it on.
fn tell(node: &Rc<Node>, frame: &Frame) {
    let told = match &node.registration {
        Some(registration) => {
            let fleet = registration.fleet.borrow();
            registry::announcement_targets(&fleet, |vm| links::has_failed(node, vm))
        }
        None => node.other_nodes().into_iter().map(|(vm, _)| vm).collect(),
    };
    for vm in told {
        links::send(node, &vm, frame);
    }
}

fn is_passed_on(node: &Node, from: &Name) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    registry::should_forward(&registration.fleet.borrow(), from)
}
