//! Reports straggling runs in time.
//!
//! The home duty's ticks are up to 20 ms apart, which is more than half of the shortest usual run at the users' sites.
//! Each run that is to be reported therefore has a timer, which ends with the run. A node at which nothing runs isn't
//! woken, and the ticks cover what a timer can't know: run times that are learned while the run goes on.

use crate::home_driver;
use crate::node::Node;
use async_std::task;
use audit::stats;
use names::AttemptId;
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Waits until the run of an attempt straggles and reports it; returns at once if it isn't to be reported.
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
            // A run straggles when its age exceeds the usual.
            task::sleep(Duration::from_micros(due.since(now) + 1)).await;
        }
    }
}

/// Tells the entry duty of an attempt that its run straggles.
pub fn report(node: &Rc<Node>, id: AttemptId) {
    let waiting = {
        let jobs = node.jobs.borrow();
        jobs.get(&id)
            .map(|job| (job.reply.clone(), job.req.id.clone()))
    };
    let Some((reply, caller_id)) = waiting else {
        return;
    };
    let now = node.now();
    let home = node.home.borrow();
    let run_times = home.as_ref().and_then(|home| home.run_times(now, id));
    drop(home);
    let (ran_us, usual_us) = run_times.unwrap_or_default();
    audit::straggler_detected(&caller_id, id, ran_us, usual_us, &node.load());
    stats::straggler_reported();
    reply.send_best_effort(node, Frame::Straggles { id });
}
