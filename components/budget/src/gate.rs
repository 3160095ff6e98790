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
    pub looks: u32,
}

impl Act {
    /// A heartbeat to a node and its answer.
    pub const HEARTBEAT: Act = Act {
        messages: 2,
        slot_us: 0,
        looks: 0,
    };
    /// A look at what the upstream beside the node says of itself, over a connection that stays open.
    /// It leaves the VM's own network alone, so it has a budget apart from messages.
    pub const LOOK: Act = Act {
        messages: 0,
        slot_us: 0,
        looks: 1,
    };
    /// A connection to an upstream that is opened and closed.
    pub const CONNECT: Act = Act {
        messages: 2,
        slot_us: 0,
        looks: 0,
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
    pub looks: u64,
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
    looks_per_s: f64,
    looks: f64,
    filled: Moment,
    allowed_looks: f64,
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
            looks_per_s: 0.0,
            looks: 0.0,
            filled: now,
            allowed_looks: 0.0,
            allowed_messages: 0.0,
            allowed_slot_us: 0.0,
            spent: Spent::default(),
        }
    }

    /// Takes in the hall's budget and the number of nodes that share it.
    pub fn set(&mut self, now: Moment, hall: HallBudget, nodes: u32) {
        self.fill(now);
        self.hall = hall;
        self.nodes = nodes.max(1);
    }

    /// Takes in how many looks per second at the upstream beside this node are allowed.
    pub fn set_looks(&mut self, now: Moment, per_s: f64) {
        self.fill(now);
        self.looks_per_s = per_s;
    }

    /// Spends the cost of `act`, or refuses it. This is the only way to measure anything.
    pub fn spend(&mut self, now: Moment, act: Act) -> bool {
        self.fill(now);
        let messages = act.messages as f64;
        let slot_us = act.slot_us as f64;
        let looks = act.looks as f64;
        if self.messages < messages || self.slot_us < slot_us || self.looks < looks {
            self.spent.refused += 1;
            return false;
        }
        self.messages -= messages;
        self.slot_us -= slot_us;
        self.looks -= looks;
        self.spent.looks += act.looks as u64;
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
        self.allowed_looks += self.looks_per_s * elapsed;
        let most_looks = (self.looks_per_s * saved).max(Act::LOOK.looks as f64);
        self.looks = (self.looks + self.looks_per_s * elapsed).min(most_looks);
        let most_messages = (messages_rate * saved).max(Act::HEARTBEAT.messages as f64);
        self.messages = (self.messages + messages_rate * elapsed).min(most_messages);
        let most_slot_us = (slot_rate * saved).max(LARGEST_ACT_SLOT_US);
        self.slot_us = (self.slot_us + slot_rate * elapsed).min(most_slot_us);
    }

    /// The invariant: never more spent than the share allowed since the start.
    fn check(&self) {
        assert!(
            self.spent.messages as f64 <= self.allowed_messages + 1e-6
                && self.spent.slot_us as f64 <= self.allowed_slot_us + 1e-6
                && self.spent.looks as f64 <= self.allowed_looks + 1e-6,
            "more was spent on measuring than the budget allows"
        );
    }
}
