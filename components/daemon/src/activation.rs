//! Whether functions whose mode is `auto` are on at this node.

use crate::node::Node;
use names::{Moment, SECOND};
use settings::Mode;
use std::cell::Cell;

/// A pipelined request keeps the functions on for so long, in microseconds: longer than callers of one kind pause.
const PIPELINED_KEPT_US: u64 = 60 * SECOND;

/// What this node has seen of its callers.
#[derive(Debug, Default)]
pub struct Activation {
    pipelined: Cell<Option<Moment>>,
}

impl Activation {
    /// Takes in a request that was sent behind an unanswered one.
    pub fn record_pipelined(&self, now: Moment) {
        self.pipelined.set(Some(now));
    }

    /// Whether a function of this mode is on. Late answers cost most where others wait behind them on a connection, and
    /// where accounts compete.
    pub fn is_on(&self, now: Moment, mode: Mode, has_accounts: bool) -> bool {
        match mode {
            Mode::Off => false,
            Mode::On => true,
            Mode::Auto => has_accounts || self.has_pipelining(now),
        }
    }

    fn has_pipelining(&self, now: Moment) -> bool {
        let seen = self.pipelined.get();
        seen.is_some_and(|at| now.since(at) < PIPELINED_KEPT_US)
    }
}

/// Whether a function of this mode is on at a node now.
pub fn is_on(node: &Node, now: Moment, mode: Mode) -> bool {
    let in_force = node.in_force();
    let has_accounts = in_force.is_some_and(|in_force| !in_force.declarations.accounts.is_empty());
    node.activation.is_on(now, mode, has_accounts)
}
