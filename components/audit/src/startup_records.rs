//! Records that a node learns after its start, told in one line.
//!
//! When all nodes of a fleet had started together, each wrote 137 lines about records within a second, while its declarations
//! were being read.

use crate::registrations;
use names::Name;
use registry::{Record, State};
use std::collections::HashSet;

/// Records that were taken in since the start.
#[derive(Debug, Default)]
pub struct StartupRecords {
    nodes: HashSet<Name>,
    changes: usize,
    has_ended: bool,
}

/// What arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupCount {
    /// Nodes whose records came.
    pub nodes: usize,
    /// Records of them that were taken in.
    pub changes: usize,
}

impl StartupRecords {
    /// Another node's record was taken in, in place of the one before.
    pub fn record_applied(&mut self, after: &Record, before: Option<&Record>) {
        if self.has_own_line(after, before) {
            registrations::record_applied(after, before);
        }
    }

    /// Whether a record has a line of its own. At the start only one has by which an upstream that took work does so no more:
    /// such a change is looked for when requests were lost. A node that starts again doesn't know its upstream at first.
    pub fn has_own_line(&mut self, after: &Record, before: Option<&Record>) -> bool {
        if self.has_ended {
            return true;
        }
        let is_same_start = |before: &&Record| before.boot == after.boot;
        let before = before.filter(is_same_start);
        if before.is_some_and(takes_work) && !takes_work(after) {
            return true;
        }
        self.nodes.insert(after.vm.clone());
        self.changes += 1;
        false
    }

    /// The start is over: writes the line. Each further record has its own.
    pub fn finish(&mut self) {
        if let Some(arrived) = self.finish_count() {
            tracing::info!(
                nodes = arrived.nodes,
                changes = arrived.changes,
                "records taken in at the start"
            );
        }
    }

    /// Ends the count; what was counted, if anything.
    pub fn finish_count(&mut self) -> Option<StartupCount> {
        self.has_ended = true;
        let arrived = StartupCount {
            nodes: std::mem::take(&mut self.nodes).len(),
            changes: std::mem::take(&mut self.changes),
        };
        (arrived.changes > 0).then_some(arrived)
    }
}

fn takes_work(record: &Record) -> bool {
    let upstream = record.upstream.as_ref();
    record.serving && upstream.is_some_and(|run| run.state == State::Ready)
}
