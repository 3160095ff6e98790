//! The record of keys at the node beside an upstream: who may run a key here, and whether it ran.

use crate::table::{KeyHash, KEY_RETENTION_US};
use names::{AttemptId, BootId, Moment, Name};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Answer to a coordinator that asks for a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply<A> {
    /// The key is the asker's: nobody else will run it here.
    Granted,
    /// Another coordinator has it; nothing has run here.
    Held,
    /// It ran here, or runs; there is no answer to give.
    Ran,
    /// It ran here; the whole answer.
    Answered(A),
    /// This node can't know, or couldn't be asked.
    Uncertain,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Granted(BootId),
    Ran(Option<AttemptId>),
}

/// Keys that one node has granted or run.
#[derive(Debug)]
pub struct Claims {
    states: HashMap<KeyHash, State>,
    order: VecDeque<(Moment, KeyHash)>,
    max_keys: usize,
    uncertain_until: Moment,
    latest: HashMap<Name, BootId>,
    barred: HashSet<BootId>,
}

impl Claims {
    /// No key granted; at most `max_keys` at a time.
    pub fn new(max_keys: usize) -> Claims {
        Claims {
            states: HashMap::new(),
            order: VecDeque::new(),
            max_keys,
            uncertain_until: Moment(0),
            latest: HashMap::new(),
            barred: HashSet::new(),
        }
    }

    /// A new boot of `vm` asks what its predecessor did. From now on no other boot of the VM gets
    /// a key here, so what is on its way from the predecessor can't run any more. Returns false
    /// when this boot was itself replaced.
    pub fn register_boot(&mut self, vm: &Name, boot: BootId) -> bool {
        if self.barred.contains(&boot) {
            return false;
        }
        if let Some(before) = self.latest.insert(vm.clone(), boot) {
            if before != boot {
                self.barred.insert(before);
            }
        }
        true
    }

    /// Until `moment`, a key without a record may have run here or been granted to anyone.
    pub fn set_uncertain_until(&mut self, moment: Moment) {
        self.uncertain_until = self.uncertain_until.max(moment);
    }

    /// Ends the uncertainty: this boot's knowledge is whole.
    pub fn clear_uncertainty(&mut self) {
        self.uncertain_until = Moment(0);
    }

    /// Whether a key without a record may have been used.
    pub fn is_uncertain(&self, now: Moment) -> bool {
        now < self.uncertain_until
    }

    /// For how long from now a key without a record may have been used, in microseconds.
    pub fn uncertain_for_us(&self, now: Moment) -> u64 {
        self.uncertain_until.since(now)
    }

    /// The coordinator at `vm` asks for the key, or offers an attempt that carries it. The second
    /// result is the attempt that ran, whose answer may be on record.
    pub fn claim(
        &mut self,
        now: Moment,
        key: KeyHash,
        vm: &Name,
        by: BootId,
    ) -> (ClaimReply<()>, Option<AttemptId>) {
        self.forget(now);
        if self.latest.get(vm).is_some_and(|latest| *latest != by) {
            return (ClaimReply::Held, None);
        }
        match self.states.get(&key).copied() {
            Some(State::Granted(holder)) if holder == by => (ClaimReply::Granted, None),
            Some(State::Granted(_)) => (ClaimReply::Held, None),
            Some(State::Ran(id)) => (ClaimReply::Ran, id),
            None if self.is_uncertain(now) || !self.grant(now, key, by) => {
                (ClaimReply::Uncertain, None)
            }
            None => (ClaimReply::Granted, None),
        }
    }

    /// The attempt starts.
    pub fn attempt_started(&mut self, key: KeyHash, id: AttemptId) {
        let before = self.states.insert(key, State::Ran(Some(id)));
        assert_eq!(
            before,
            Some(State::Granted(id.boot)),
            "a key starts only for its holder"
        );
    }

    /// The attempt that started turned out not to have run.
    pub fn attempt_not_run(&mut self, key: KeyHash, id: AttemptId) {
        if self.states.get(&key) == Some(&State::Ran(Some(id))) {
            self.states.insert(key, State::Granted(id.boot));
        }
    }

    /// The coordinator gives the key back, not run.
    pub fn release(&mut self, key: KeyHash, by: BootId) {
        if self.states.get(&key) == Some(&State::Granted(by)) {
            self.states.remove(&key);
        }
    }

    /// The keys on record, for the successor of this node.
    pub fn known_keys(&self) -> impl Iterator<Item = KeyHash> + '_ {
        self.states.keys().copied()
    }

    /// Takes in keys of a predecessor: they ran, or may have run.
    pub fn adopt_keys(&mut self, now: Moment, keys: &[KeyHash]) {
        for key in keys {
            if self.states.insert(*key, State::Ran(None)).is_none() {
                self.order.push_back((now, *key));
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn grant(&mut self, now: Moment, key: KeyHash, by: BootId) -> bool {
        if self.states.len() >= self.max_keys {
            return false;
        }
        self.states.insert(key, State::Granted(by));
        self.order.push_back((now, key));
        true
    }

    fn forget(&mut self, now: Moment) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) <= KEY_RETENTION_US {
                return;
            }
            self.order.pop_front();
            self.states.remove(&key);
        }
    }
}
