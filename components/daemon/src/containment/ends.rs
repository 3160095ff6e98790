//! Termination of the local upstream: which requests were in progress there, and which nodes are
//! notified.

use super::{announce, record_suspects};
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

/// Exchanges with one incarnation of the upstream that break within this time of one another belong
/// to the same termination, in microseconds. An upstream takes longer than that to restart.
const SAME_TERMINATION_US: u64 = SECOND / 2;
/// Time for which an upstream may continue to process an abandoned exchange, in microseconds:
/// callers in known deployments wait for 5 s at most.
const ABANDONED_TTL_US: u64 = 5 * SECOND;
/// Maximum number of remembered abandoned exchanges.
const MAX_ABANDONED: usize = 256;
/// For this time after its start, a node with a predecessor does not know all requests in progress
/// at its upstream, in microseconds: the predecessor may have sent some of them.
const PREDECESSOR_WORK_US: u64 = ABANDONED_TTL_US;
/// Minimum time between two reads of the store after terminations, in microseconds. Many upstreams
/// may terminate together.
const STORE_READ_INTERVAL_US: u64 = 5 * SECOND;

/// The last termination of the local upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastTermination {
    id: AttemptId,
    /// Number of the upstream's incarnation.
    incarnation: u64,
    at: Moment,
}

/// Handles the termination of the local upstream, detected when an exchange broke at `at`. The
/// requests that were in progress there become suspects, which are announced to all nodes.
pub fn on_upstream_termination(
    node: &Rc<Node>,
    incarnation: u64,
    instance: Option<&Incarnation>,
    at: Moment,
    cause: &Error,
) {
    let last = node.containment.last_termination.get();
    let is_same = |last: &LastTermination| {
        last.incarnation == incarnation && at.since(last.at) < SAME_TERMINATION_US
    };
    let (id, is_known) = match last.filter(is_same) {
        Some(last) => (last.id, true),
        None => (node.next_query_id(), false),
    };
    if !is_known {
        let termination = LastTermination {
            id,
            incarnation,
            at,
        };
        node.containment.last_termination.set(Some(termination));
        stats::upstream_terminated();
    }
    let suspects = suspects(node, id, at);
    if suspects.is_empty() {
        return;
    }
    // The next incarnation processes none of them.
    node.containment.abandoned.borrow_mut().clear();
    audit::upstream_terminated(instance, cause, &suspects);
    let suspects: Vec<Suspect> = suspects.into_iter().map(|(_, suspect)| suspect).collect();
    record_suspects(node, &suspects);
    announce(node, &Frame::Ended(suspects));
    read_store(node);
}

/// The requests that were in progress at a termination and are not attributed to one yet, with
/// their request IDs.
///
/// None is the sole suspect while there may be others that this node does not know, or if the same
/// request completed recently: then copies of it are in progress everywhere, and it was there by
/// chance.
fn suspects(node: &Node, termination: AttemptId, at: Moment) -> Vec<(String, Suspect)> {
    let abandoned = in_progress_abandoned(node, at);
    let may_miss_work = at.since(node.started) < PREDECESSOR_WORK_US && may_have_predecessor(node);
    let mut jobs = node.jobs.borrow_mut();
    let was_in_progress = |job: &&mut Job| job.started_at.is_some_and(|started| started <= at);
    let mut in_progress: Vec<&mut Job> = jobs.values_mut().filter(was_in_progress).collect();
    let count = in_progress.len();
    let suspect_count = in_progress.iter().filter(|job| job.suspect).count();
    let quarantine = node.containment.quarantine.borrow();
    let mut found = Vec::new();
    for job in &mut in_progress {
        if job.termination.is_some() {
            continue;
        }
        let fingerprint = job.req.fingerprint();
        let is_only_candidate = count == 1 || job.suspect && suspect_count == 1;
        let may_have_others = may_miss_work || !abandoned.is_empty();
        let suspect = Suspect {
            fingerprint,
            termination,
            sole_suspect: is_only_candidate
                && !may_have_others
                && !quarantine.completed_recently(at, fingerprint),
        };
        job.termination = Some(suspect);
        found.push((job.req.id.clone(), suspect));
    }
    if found.is_empty() {
        return found;
    }
    found.extend(abandoned.into_iter().map(|(id, fingerprint)| {
        let suspect = Suspect {
            fingerprint,
            termination,
            sole_suspect: false,
        };
        (id, suspect)
    }));
    found
}

/// Whether an earlier boot of this node may have sent requests, as far as is known yet.
fn may_have_predecessor(node: &Node) -> bool {
    let Some(registration) = &node.registration else {
        return true;
    };
    node.containment.has_predecessor.get() || !registration.has_read_records.get()
}

/// Abandoned exchanges that the upstream may still have been processing when it terminated.
fn in_progress_abandoned(node: &Node, at: Moment) -> Vec<(String, Fingerprint)> {
    let mut abandoned = node.containment.abandoned.borrow_mut();
    abandoned.retain(|(abandoned_at, ..)| at.since(*abandoned_at) < ABANDONED_TTL_US);
    let in_progress = abandoned.iter();
    in_progress
        .map(|(_, id, fingerprint)| (id.clone(), *fingerprint))
        .collect()
}

/// Records that an exchange was abandoned while the upstream processed it. The upstream may
/// continue with it.
pub fn on_abandoned(node: &Node, req: &Request) {
    let mut abandoned = node.containment.abandoned.borrow_mut();
    if abandoned.len() >= MAX_ABANDONED {
        abandoned.pop_front();
    }
    abandoned.push_back((node.now(), req.id.clone(), req.fingerprint()));
}

/// Reads the requests that other nodes have quarantined from the store: halls that are cut off from
/// one another can exchange them in no other way.
fn read_store(node: &Rc<Node>) {
    let Some(registration) = node.registration.clone() else {
        return;
    };
    let now = node.now();
    let read_at = node.containment.store_read_at.get();
    if read_at.is_some_and(|read_at| now.since(read_at) < STORE_READ_INTERVAL_US) {
        return;
    }
    node.containment.store_read_at.set(Some(now));
    let node = node.clone();
    local::spawn_contained("read quarantined requests", async move {
        registration::read_quarantined(&node, &registration).await;
    });
}
