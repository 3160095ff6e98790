//! A token bucket in two units.

use names::{Moment, MILLISECOND, SECOND};

/// Time over which unspent budget may be saved, in microseconds; a pause saves no more than this.
const SAVED_US: u64 = 100 * MILLISECOND;
/// A node takes its share as if the hall had this many times the nodes it knows of, so that the
/// sum stays within the setting while newcomers are not yet in every node's list.
const NEWCOMER_MARGIN: f64 = 2.0;
/// Slot time that one act may need, in microseconds: budgets below it a second can still save it up.
const LARGEST_ACT_SLOT_US: f64 = 1_000.0;

/// What an operator allows one hall to spend on measuring.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HallBudget {
    /// Messages per second.
    pub messages_per_s: f64,
    /// Slot time per second, in microseconds.
    pub slot_us_per_s: f64,
}

/// One measuring act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Act {
    /// Messages sent and received because of it.
    pub messages: u32,
    /// Slot time it may occupy at an upstream, in microseconds.
    pub slot_us: u32,
    /// Questions to an upstream about itself.
    pub probes: u32,
}

impl Act {
    /// A heartbeat to a node and its answer.
    pub const HEARTBEAT: Act = Act {
        messages: 2,
        slot_us: 0,
        probes: 0,
    };
    /// A look at what the upstream beside the node says of itself, over a connection that stays open.
    /// It leaves the VM's own network alone, so it has a budget apart from messages.
    pub const PROBE: Act = Act {
        messages: 0,
        slot_us: 0,
        probes: 1,
    };
    /// A connection to an upstream that is opened and closed.
    pub const CONNECT: Act = Act {
        messages: 2,
        slot_us: 0,
        probes: 0,
    };
}

/// What was spent and refused since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Spent {
    /// Messages spent.
    pub messages: u64,
    /// Slot time spent, in microseconds.
    pub slot_us: u64,
    /// Looks at the upstream beside this node.
    pub probes: u64,
    /// Acts refused.
    pub refused: u64,
}

/// The gate of one node.
#[derive(Debug, Clone)]
pub struct Gate {
    hall: HallBudget,
    nodes: u32,
    messages: f64,
    slot_us: f64,
    /// Looks at the upstream allowed per second.
    probes_per_s: f64,
    probes: f64,
    filled: Moment,
    allowed_probes: f64,
    allowed_messages: f64,
    allowed_slot_us: f64,
    spent: Spent,
}

impl Gate {
    /// A gate that lets nothing through until a budget is set.
    pub fn new(now: Moment) -> Gate {
        Gate {
            hall: HallBudget::default(),
            nodes: 1,
            messages: 0.0,
            slot_us: 0.0,
            probes_per_s: 0.0,
            probes: 0.0,
            filled: now,
            allowed_probes: 0.0,
            allowed_messages: 0.0,
            allowed_slot_us: 0.0,
            spent: Spent::default(),
        }
    }

    /// Takes in the hall's budget and the number of nodes that share it.
    pub fn set_hall_budget(&mut self, now: Moment, hall: HallBudget, nodes: u32) {
        self.fill(now);
        self.hall = hall;
        self.nodes = nodes.max(1);
    }

    /// Takes in how many probes per second at the upstream beside this node are allowed.
    pub fn set_probe_rate(&mut self, now: Moment, per_s: f64) {
        self.fill(now);
        self.probes_per_s = per_s;
    }

    /// Spends the cost of `act`, or refuses it. This is the only way to measure anything.
    pub fn spend(&mut self, now: Moment, act: Act) -> bool {
        self.fill(now);
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
        self.check();
        true
    }

    /// What was spent and refused since the start.
    pub fn spent(&self) -> Spent {
        self.spent
    }

    /// Earns budget for the time since the last call, no more than may be saved.
    fn fill(&mut self, now: Moment) {
        let elapsed = now.since(self.filled) as f64 / SECOND as f64;
        self.filled = now;
        let nodes = self.nodes as f64 * NEWCOMER_MARGIN;
        let messages_rate = self.hall.messages_per_s / nodes;
        let slot_rate = self.hall.slot_us_per_s / nodes;
        let saved = SAVED_US as f64 / SECOND as f64;
        self.allowed_messages += messages_rate * elapsed;
        self.allowed_slot_us += slot_rate * elapsed;
        self.allowed_probes += self.probes_per_s * elapsed;
        let max_probes = (self.probes_per_s * saved).max(Act::PROBE.probes as f64);
        self.probes = (self.probes + self.probes_per_s * elapsed).min(max_probes);
        let max_messages = (messages_rate * saved).max(Act::HEARTBEAT.messages as f64);
        self.messages = (self.messages + messages_rate * elapsed).min(max_messages);
        let max_slot_us = (slot_rate * saved).max(LARGEST_ACT_SLOT_US);
        self.slot_us = (self.slot_us + slot_rate * elapsed).min(max_slot_us);
    }

    /// The invariant: never more spent than the share allowed since the start.
    fn check(&self) {
        assert!(
            self.spent.messages as f64 <= self.allowed_messages + 1e-6
                && self.spent.slot_us as f64 <= self.allowed_slot_us + 1e-6
                && self.spent.probes as f64 <= self.allowed_probes + 1e-6,
            "more was spent on measuring than the budget allows"
        );
    }
}
