//! The end of the upstream beside this node: what was at work there, and who is told.

use super::{learn, tell};
use crate::local;
use crate::node::{Job, Node};
use crate::registration;
use audit::stats;
use errors::Error;
use names::{AttemptId, Moment, SECOND};
use quarantine::{Fingerprint, Suspect};
use registry::Incarnation;
use std::rc::Rc;
use wire::{Frame, Request};

/// Exchanges that break within this time of one another, at one start of the upstream, broke by one end, in
/// microseconds. An upstream takes longer than that to start again.
const ONE_END_US: u64 = SECOND / 2;
/// An upstream may go on for so long with an exchange that was given up, in microseconds: the longest time that
/// callers of the users' sites wait is 5 s.
const GOES_ON_US: u64 = 5 * SECOND;
/// Exchanges that were given up and are remembered at most.
const MOST_CUT_OFF: usize = 256;
/// For so long after its start a node that follows another one does not know all that is at work at its upstream, in
/// microseconds: an earlier start of it may have sent more.
const YOUNG_US: u64 = GOES_ON_US;
/// Time between two reads of the store because an upstream ended, in microseconds: many end together.
const LOOK_EVERY_US: u64 = 5 * SECOND;

/// The last end of the upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastEnd {
    id: AttemptId,
    /// Which start of the upstream it was.
    start: u64,
    at: Moment,
}

/// Takes in that the upstream beside this node ended, as an exchange found that broke at `at`: what was at work
/// there is told to all.
pub fn on_upstream_termination(
    node: &Rc<Node>,
    start: u64,
    instance: Option<&Incarnation>,
    at: Moment,
    cause: &Error,
) {
    let last = node.containment.last_end.get();
    let is_same = |last: &LastEnd| last.start == start && at.since(last.at) < ONE_END_US;
    let (id, is_known) = match last.filter(is_same) {
        Some(last) => (last.id, true),
        None => (node.next_query_id(), false),
    };
    if !is_known {
        let end = LastEnd { id, start, at };
        node.containment.last_end.set(Some(end));
        stats::upstream_terminated();
    }
    let suspects = suspects(node, id, at);
    if suspects.is_empty() {
        return;
    }
    // The next start has none of them.
    node.containment.cut_off.borrow_mut().clear();
    audit::upstream_terminated(instance, cause, &suspects);
    let news: Vec<Suspect> = suspects.into_iter().map(|(_, suspect)| suspect).collect();
    learn(node, &news);
    tell(node, &Frame::Ended(news));
    look_in_store(node);
}

/// What was at work at an end and has not been told of it: the identity that its caller gave it, and what follows.
///
/// None is blamed alone while there may be others of which this node does not know, nor where the same request ran
/// well lately: then its copies are at work everywhere, and it was there by chance.
fn suspects(node: &Node, end: AttemptId, at: Moment) -> Vec<(String, Suspect)> {
    let given_up = given_up(node, at);
    let is_young = at.since(node.started) < YOUNG_US && may_succeed_another(node);
    let mut jobs = node.jobs.borrow_mut();
    let was_at_work = |job: &&mut Job| job.started_at.is_some_and(|started| started <= at);
    let mut at_work: Vec<&mut Job> = jobs.values_mut().filter(was_at_work).collect();
    let count = at_work.len();
    let under_suspicion = at_work.iter().filter(|job| job.suspect).count();
    let known = node.containment.known.borrow();
    let mut found = Vec::new();
    for job in &mut at_work {
        if job.termination.is_some() {
            continue;
        }
        let fingerprint = job.req.fingerprint();
        let is_only_one = count == 1 || job.suspect && under_suspicion == 1;
        let may_be_others = is_young || !given_up.is_empty();
        let suspect = Suspect {
            fingerprint,
            termination: end,
            sole_suspect: is_only_one
                && !may_be_others
                && !known.completed_recently(at, fingerprint),
        };
        job.termination = Some(suspect);
        found.push((job.req.id.clone(), suspect));
    }
    if found.is_empty() {
        return found;
    }
    found.extend(given_up.into_iter().map(|(id, fingerprint)| {
        let suspect = Suspect {
            fingerprint,
            termination: end,
            sole_suspect: false,
        };
        (id, suspect)
    }));
    found
}

/// Whether an earlier start of this node may have been at work, by what is known so far.
fn may_succeed_another(node: &Node) -> bool {
    let Some(registration) = &node.registration else {
        return true;
    };
    node.containment.has_predecessor.get() || !registration.has_read_records.get()
}

/// Exchanges that were given up, and with which the upstream may have gone on until it ended.
fn given_up(node: &Node, at: Moment) -> Vec<(String, Fingerprint)> {
    let mut cut_off = node.containment.cut_off.borrow_mut();
    cut_off.retain(|(when, ..)| at.since(*when) < GOES_ON_US);
    let given_up = cut_off.iter();
    given_up
        .map(|(_, id, fingerprint)| (id.clone(), *fingerprint))
        .collect()
}

/// Takes in that an exchange was given up while the upstream worked on it, which may go on with it.
pub fn on_abandoned(node: &Node, req: &Request) {
    let mut cut_off = node.containment.cut_off.borrow_mut();
    if cut_off.len() >= MOST_CUT_OFF {
        cut_off.pop_front();
    }
    cut_off.push_back((node.now(), req.id.clone(), req.fingerprint()));
}

/// Reads in the store what other nodes hold: halls that are cut off from one another tell each other nothing else.
fn look_in_store(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    let now = node.now();
    let probed = node.containment.probed.get();
    if probed.is_some_and(|probed| now.since(probed) < LOOK_EVERY_US) {
        return;
    }
    node.containment.probed.set(Some(now));
    let node = node.clone();
    local::spawn_contained("look for held requests", async move {
        registration::read_quarantined(&node, &registration).await;
    });
}
