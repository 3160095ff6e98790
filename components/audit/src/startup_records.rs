//! Records that a node receives after its start, summarised in one log line.
//!
//! When all nodes of a fleet started together, each wrote 137 lines about records within a second,
//! while it was reading its declarations.

use crate::registrations;
use names::Name;
use registry::{Record, State};
use std::collections::HashSet;

/// Records that were applied since the start.
#[derive(Debug, Default)]
pub struct StartupRecords {
    nodes: HashSet<Name>,
    changes: usize,
    has_ended: bool,
}

/// What was received during the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupCount {
    /// Nodes whose records were received.
    pub nodes: usize,
    /// Records of them that were applied.
    pub changes: usize,
}

impl StartupRecords {
    /// Another node's record was applied and replaced `before`.
    pub fn record_applied(&mut self, after: &Record, before: Option<&Record>) {
        if self.has_own_line(after, before) {
            registrations::record_applied(after, before);
        }
    }

    /// Whether a record gets its own line. During the start only a record by which an upstream
    /// stops accepting work does: operators look for such a change when requests were lost. A node
    /// that has restarted doesn't know its upstream at first, so a record of a new boot gets no own
    /// line.
    pub fn has_own_line(&mut self, after: &Record, before: Option<&Record>) -> bool {
        if self.has_ended {
            return true;
        }
        let is_same_boot = |before: &&Record| before.boot == after.boot;
        let before = before.filter(is_same_boot);
        if before.is_some_and(accepts_work) && !accepts_work(after) {
            return true;
        }
        self.nodes.insert(after.vm.clone());
        self.changes += 1;
        false
    }

    /// Ends the start: writes the summary line. Each later record gets its own line.
    pub fn finish(&mut self) {
        if let Some(received) = self.finish_count() {
            tracing::info!(
                nodes = received.nodes,
                changes = received.changes,
                "records taken in at the start"
            );
        }
    }

    /// Ends the count and returns it; none if no record was counted.
    pub fn finish_count(&mut self) -> Option<StartupCount> {
        self.has_ended = true;
        let received = StartupCount {
            nodes: std::mem::take(&mut self.nodes).len(),
            changes: std::mem::take(&mut self.changes),
        };
        (received.changes > 0).then_some(received)
    }
}

fn accepts_work(record: &Record) -> bool {
    let upstream = record.upstream.as_ref();
    record.serving && upstream.is_some_and(|instance| instance.state == State::Ready)
}
