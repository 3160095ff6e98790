//! Waiting for a word on the upstream's pace, and for the end of its slow phases.

use super::Home;
use crate::config::{Action, Looked};
use crate::limit::Class;
use names::Moment;

impl<A: Clone> Home<A> {
    /// Takes in what a look brought.
    pub fn looked(&mut self, now: Moment, looked: Looked) -> Vec<Action> {
        self.looking = false;
        match looked {
            Looked::Percent(percent) => {
                self.pace.told(now, percent);
                // An upstream that answers is there: without this, what waits for its word would be handed
                // back for as long as offers are rare.
                self.down_since = None;
            }
            Looked::Nothing => self.pace.untold(now),
            Looked::NoBudget => self.pace.not_asked(now),
        }
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        actions
    }

    /// Whether nothing may start before the upstream has said how long work takes there; asks it, once
    /// for all that wait.
    pub(super) fn waits_for_word(&mut self, now: Moment, actions: &mut Vec<Action>) -> bool {
        if !self.cfg.looks || !self.pace.is_stale(now) {
            return false;
        }
        if !self.looking {
            self.looking = true;
            self.counters.looks += 1;
            actions.push(Action::Look);
        }
        true
    }

    /// Whether work of this class should not begin now because the upstream is in a slow phase.
    pub(super) fn is_held(&self, now: Moment, class: Class) -> bool {
        if self.cfg.looks {
            self.pace.is_held(now, class)
        } else {
            self.pace.is_slow(now)
        }
    }

    /// The same for work that may wait. Without a way to see the phase's end it does not.
    pub(super) fn lets_wait(&self, now: Moment, class: Class) -> bool {
        self.cfg.looks && !self.pace.is_blind(now) && self.pace.is_held(now, class)
    }

    /// How long new work is expected to wait for the end of a slow phase, in microseconds.
    pub(super) fn held_us(&self, now: Moment) -> u64 {
        if self.cfg.looks {
            self.pace.left_us(now)
        } else {
            0
        }
    }
}
