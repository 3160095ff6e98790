//! Whether functions whose mode is `auto` are on at this node.

use crate::node::Node;
use names::{Moment, SECOND};
use settings::Mode;
use std::cell::Cell;

/// For how long a pipelined request keeps the functions on, in microseconds: longer than callers
/// that pipeline pause.
const PIPELINING_ACTIVE_US: u64 = 60 * SECOND;

/// What this node has observed of its callers.
#[derive(Debug, Default)]
pub struct Activation {
    last_pipelined: Cell<Option<Moment>>,
}

impl Activation {
    /// Records a request that was sent on a connection while an earlier one was unanswered.
    pub fn record_pipelined(&self, now: Moment) {
        self.last_pipelined.set(Some(now));
    }

    /// Whether a function of this mode is on. Late answers cost most where others wait behind them
    /// on a connection and where accounts compete.
    pub fn is_on(&self, now: Moment, mode: Mode, has_accounts: bool) -> bool {
        match mode {
            Mode::Off => false,
            Mode::On => true,
            Mode::Auto => has_accounts || self.has_pipelining(now),
        }
    }

    fn has_pipelining(&self, now: Moment) -> bool {
        let last = self.last_pipelined.get();
        last.is_some_and(|at| now.since(at) < PIPELINING_ACTIVE_US)
    }
}

/// Whether a function of this mode is on at `node`.
pub fn is_on(node: &Node, now: Moment, mode: Mode) -> bool {
    let in_force = node.in_force();
    let has_accounts = in_force.is_some_and(|in_force| !in_force.declarations.accounts.is_empty());
    node.activation.is_on(now, mode, has_accounts)
}
