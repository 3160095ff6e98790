//! Reports stragglers without waiting for the home duty's next tick.
//!
//! Ticks are up to 20 ms apart, which is more than half of the shortest typical run in deployments.
//! Each run that is to be reported therefore has a timer, which ends with the run; a node without
//! runs isn't woken. Ticks cover what a timer can't know: run times that are learned during the
//! run.

use crate::home_driver;
use crate::node::Node;
use async_std::task;
use audit::stats;
use names::AttemptId;
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Waits until the run of an attempt becomes a straggler and reports it. Returns at once if it
/// isn't to be reported.
pub async fn watch(node: &Rc<Node>, id: AttemptId) {
    let due = || {
        let home = node.home.borrow();
        home.as_ref().and_then(|home| home.straggler_due(id))
    };
    while let Some(due) = due() {
        let now = node.now();
        if due < now {
            home_driver::with_home(node, |home| home.report_stragglers(now));
        } else {
            // A run is a straggler when its age exceeds the typical run time, so wait 1 µs past it.
            task::sleep(Duration::from_micros(due.since(now) + 1)).await;
        }
    }
}

/// Notifies the entry duty of an attempt that its run is a straggler.
pub fn report(node: &Rc<Node>, id: AttemptId) {
    let requester = {
        let jobs = node.jobs.borrow();
        jobs.get(&id)
            .map(|job| (job.reply.clone(), job.req.id.clone()))
    };
    let Some((reply, caller_id)) = requester else {
        return;
    };
    let now = node.now();
    let home = node.home.borrow();
    let run_times = home.as_ref().and_then(|home| home.run_times(now, id));
    drop(home);
    let (ran_us, typical_us) = run_times.unwrap_or_default();
    audit::straggler_detected(&caller_id, id, ran_us, typical_us, &node.load());
    stats::straggler_reported();
    reply.send_best_effort(node, Frame::Straggles { id });
}
