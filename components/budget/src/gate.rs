//! Token bucket for measurements, counted in messages, slot time and probes.

use names::{Moment, MILLISECOND, SECOND};

/// Unspent budget accumulates over at most this time, in microseconds, so that a pause allows no
/// larger burst.
const MAX_SAVED_US: u64 = 100 * MILLISECOND;
/// A node computes its share as if the hall had this many times the nodes that it knows, so that
/// the sum stays within the setting while new nodes are not yet known to all others.
const NEWCOMER_MARGIN: f64 = 2.0;
/// Largest slot time of one act, in microseconds. This much can always accumulate, so that an act
/// is possible also with a budget of less per second.
const MAX_ACT_SLOT_US: f64 = 1_000.0;

/// Budget that an operator sets for the measurements of one data hall.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HallBudget {
    /// Messages per second.
    pub messages_per_s: f64,
    /// Slot time per second, in microseconds.
    pub slot_us_per_s: f64,
}

/// Cost of one measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Act {
    /// Messages that it sends and receives.
    pub messages: u32,
    /// Slot time that it may take at an upstream, in microseconds.
    pub slot_us: u32,
    /// Health probes of the local upstream.
    pub probes: u32,
}

impl Act {
    /// A heartbeat to a node and its reply.
    pub const HEARTBEAT: Act = Act {
        messages: 2,
        slot_us: 0,
        probes: 0,
    };
    /// A health probe of the local upstream over a persistent connection. It doesn't use the
    /// network beyond the VM, and has a budget of its own, separate from messages.
    pub const PROBE: Act = Act {
        messages: 0,
        slot_us: 0,
        probes: 1,
    };
    /// A connection to an upstream that is opened and closed again.
    pub const CONNECT: Act = Act {
        messages: 2,
        slot_us: 0,
        probes: 0,
    };
}

/// Totals since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Spent {
    /// Messages of the acts allowed.
    pub messages: u64,
    /// Slot time of the acts allowed, in microseconds.
    pub slot_us: u64,
    /// Health probes of the local upstream.
    pub probes: u64,
    /// Number of acts refused.
    pub refused: u64,
}

/// Limits the measurements of one node.
#[derive(Debug, Clone)]
pub struct Gate {
    hall_budget: HallBudget,
    nodes: u32,
    /// Available messages; `slot_us` and `probes` likewise.
    messages: f64,
    slot_us: f64,
    /// Probe rate of this node.
    probes_per_s: f64,
    probes: f64,
    refilled: Moment,
    /// Total that was earned since the start; spent totals must not exceed it.
    allowed_probes: f64,
    allowed_messages: f64,
    allowed_slot_us: f64,
    spent: Spent,
}

impl Gate {
    /// A gate that allows nothing until a budget is set.
    pub fn new(now: Moment) -> Gate {
        Gate {
            hall_budget: HallBudget::default(),
            nodes: 1,
            messages: 0.0,
            slot_us: 0.0,
            probes_per_s: 0.0,
            probes: 0.0,
            refilled: now,
            allowed_probes: 0.0,
            allowed_messages: 0.0,
            allowed_slot_us: 0.0,
            spent: Spent::default(),
        }
    }

    /// Sets the budget of the hall and the number of nodes that share it.
    pub fn set_hall_budget(&mut self, now: Moment, hall_budget: HallBudget, nodes: u32) {
        self.refill(now);
        self.hall_budget = hall_budget;
        self.nodes = nodes.max(1);
    }

    /// Sets the number of probes of the local upstream that are allowed per second.
    pub fn set_probe_rate(&mut self, now: Moment, per_s: f64) {
        self.refill(now);
        self.probes_per_s = per_s;
    }

    /// Spends the cost of `act` and returns true, or refuses it. Every measurement must go through
    /// this method.
    pub fn spend(&mut self, now: Moment, act: Act) -> bool {
        self.refill(now);
        let messages = act.messages as f64;
        let slot_us = act.slot_us as f64;
        let probes = act.probes as f64;
        if self.messages < messages || self.slot_us < slot_us || self.probes < probes {
            self.spent.refused += 1;
            return false;
        }
        self.messages -= messages;
        self.slot_us -= slot_us;
        self.probes -= probes;
        self.spent.probes += act.probes as u64;
        self.spent.messages += act.messages as u64;
        self.spent.slot_us += act.slot_us as u64;
        self.assert_within_budget();
        true
    }

    pub fn spent(&self) -> Spent {
        self.spent
    }

    /// Adds the budget earned since the last call, up to the maximum that may accumulate.
    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled) as f64 / SECOND as f64;
        self.refilled = now;
        let nodes = self.nodes as f64 * NEWCOMER_MARGIN;
        let messages_rate = self.hall_budget.messages_per_s / nodes;
        let slot_rate = self.hall_budget.slot_us_per_s / nodes;
        let max_saved_s = MAX_SAVED_US as f64 / SECOND as f64;
        self.allowed_messages += messages_rate * elapsed;
        self.allowed_slot_us += slot_rate * elapsed;
        self.allowed_probes += self.probes_per_s * elapsed;
        let max_probes = (self.probes_per_s * max_saved_s).max(Act::PROBE.probes as f64);
        self.probes = (self.probes + self.probes_per_s * elapsed).min(max_probes);
        let max_messages = (messages_rate * max_saved_s).max(Act::HEARTBEAT.messages as f64);
        self.messages = (self.messages + messages_rate * elapsed).min(max_messages);
        let max_slot_us = (slot_rate * max_saved_s).max(MAX_ACT_SLOT_US);
        self.slot_us = (self.slot_us + slot_rate * elapsed).min(max_slot_us);
    }

    /// Panics if more was spent since the start than this node's share of the budget.
    fn assert_within_budget(&self) {
        assert!(
            self.spent.messages as f64 <= self.allowed_messages + 1e-6
                && self.spent.slot_us as f64 <= self.allowed_slot_us + 1e-6
                && self.spent.probes as f64 <= self.allowed_probes + 1e-6,
            "measurements exceeded their budget"
        );
    }
}
