//! What the node beside an upstream learns from its registrations.
//!
//! Registrations may come late and out of order, also from a run that has ended. A run that was
//! told as gone, or that another one followed, never comes back.

use crate::record::{Instance, State};
use names::Name;
use std::collections::VecDeque;

/// Ended runs that are remembered.
const MAX_ENDED: usize = 64;

/// One registration of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The run, with what it says of itself.
    pub instance: Instance,
    /// Rises with each registration of the run.
    pub sequence: u64,
    /// How much longer the upstream is slow from its start, in milliseconds.
    pub cold_ms: u64,
}

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The state or the slots of the run that was known.
    Updated,
    /// Another run stands beside the node now.
    Replaced,
}

/// What a registration was taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// News.
    Taken(Change),
    /// Older than a registration of the same run that came before.
    Late,
    /// From a run that has ended.
    Ended,
}

/// The upstream beside this node.
#[derive(Debug, Clone, Default)]
pub struct Local {
    current: Option<Instance>,
    sequence: u64,
    ended: VecDeque<Name>,
}

impl Local {
    /// The run beside this node, in whatever state.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref()
    }

    /// Takes in a registration.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> Verdict {
        let instance = heartbeat.instance;
        if self.ended.contains(&instance.id) {
            return Verdict::Ended;
        }
        let known = self
            .current
            .as_ref()
            .filter(|known| known.id == instance.id);
        let Some(known) = known else {
            self.replace(instance);
            self.sequence = heartbeat.sequence;
            return Verdict::Taken(Change::Replaced);
        };
        if heartbeat.sequence < self.sequence {
            return Verdict::Late;
        }
        self.sequence = heartbeat.sequence;
        // A run that drains never takes work again.
        let state = known.state.max(instance.state);
        let next = Instance { state, ..instance };
        let change = if *known == next {
            Change::None
        } else {
            Change::Updated
        };
        self.current = Some(next);
        Verdict::Taken(change)
    }

    /// Takes in that a run will end soon: it gets no new work from now on. Returns whether that
    /// changed anything.
    pub fn leaves(&mut self, id: &str) -> bool {
        match self.current.as_mut() {
            Some(current) if current.id.as_str() == id => {
                let before = current.state;
                current.state = State::Gone;
                before == State::Ready
            }
            _ => {
                self.end(Name::from(id));
                false
            }
        }
    }

    /// Takes in a run that was found by a look at its address or told by another node, unless
    /// something is known already. Returns whether it was taken.
    pub fn found(&mut self, instance: Instance) -> bool {
        if self.current.is_some() || self.ended.contains(&instance.id) {
            return false;
        }
        self.replace(instance);
        self.sequence = 0;
        true
    }

    /// Takes in what another node remembers of a run: a state that was reached is never left.
    /// Returns whether that changed anything.
    pub fn remembered(&mut self, instance: &Instance) -> bool {
        if instance.state == State::Ready {
            return false;
        }
        match self.current.as_mut() {
            Some(current) if current.id == instance.id && current.state < instance.state => {
                current.state = instance.state;
                true
            }
            Some(_) => false,
            None => {
                if instance.state == State::Gone {
                    self.end(instance.id.clone());
                    return false;
                }
                self.replace(instance.clone());
                self.sequence = 0;
                true
            }
        }
    }

    /// Takes in that another run answers at the address of `id`. Returns whether that changed
    /// anything.
    pub fn is_not(&mut self, id: &Name) -> bool {
        let matches = self
            .current
            .as_ref()
            .is_some_and(|current| current.id == *id);
        if matches {
            self.current = None;
        }
        self.end(id.clone());
        matches
    }

    fn replace(&mut self, instance: Instance) {
        if let Some(before) = self.current.replace(instance) {
            self.end(before.id);
        }
    }

    fn end(&mut self, id: Name) {
        if self.ended.contains(&id) {
            return;
        }
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
    }
}
