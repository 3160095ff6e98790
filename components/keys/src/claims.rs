//! Records of keys at the local node of an upstream: which coordinator may run a key here, and
//! whether it ran.

use crate::table::{KeyHash, KEY_RETENTION_US};
use names::{AttemptId, BootId, Moment, Name};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Reply to a coordinator that claims a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply<A> {
    /// The key is granted: no other coordinator will run it here.
    Granted,
    /// Another coordinator holds the key; it has not run here.
    Held,
    /// The key ran here or is running; no answer is available.
    Ran,
    /// The key ran here; its complete answer.
    Answered(A),
    /// This node doesn't know whether the key was used, or it could not be reached.
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
    by_age: VecDeque<(Moment, KeyHash)>,
    max_keys: usize,
    uncertain_until: Moment,
    latest: HashMap<Name, BootId>,
    replaced_boots: HashSet<BootId>,
}

impl Claims {
    /// Creates an empty record of at most `max_keys` keys.
    pub fn new(max_keys: usize) -> Claims {
        Claims {
            states: HashMap::new(),
            by_age: VecDeque::new(),
            max_keys,
            uncertain_until: Moment(0),
            latest: HashMap::new(),
            replaced_boots: HashSet::new(),
        }
    }

    /// Registers a new boot of `vm` that queries the keys of its predecessor. From now on keys are
    /// granted to no other boot of the VM, so offers of the predecessor still in flight can't run.
    /// Returns false if this boot was itself replaced.
    pub fn register_boot(&mut self, vm: &Name, boot: BootId) -> bool {
        if self.replaced_boots.contains(&boot) {
            return false;
        }
        if let Some(previous) = self.latest.insert(vm.clone(), boot) {
            if previous != boot {
                self.replaced_boots.insert(previous);
            }
        }
        true
    }

    /// Until `moment`, a key without a record may have run here or been granted to any coordinator.
    pub fn set_uncertain_until(&mut self, moment: Moment) {
        self.uncertain_until = self.uncertain_until.max(moment);
    }

    /// Ends the uncertainty: the records of this boot are complete.
    pub fn clear_uncertainty(&mut self) {
        self.uncertain_until = Moment(0);
    }

    /// Whether a key without a record may have been used before.
    pub fn is_uncertain(&self, now: Moment) -> bool {
        now < self.uncertain_until
    }

    /// Remaining time of uncertainty, in microseconds.
    pub fn uncertain_for_us(&self, now: Moment) -> u64 {
        self.uncertain_until.since(now)
    }

    /// Claims the key for the coordinator at `vm`, which has sent a claim or offered an attempt with
    /// the key. Also returns the attempt that ran, if known; its answer may be recorded.
    pub fn claim(
        &mut self,
        now: Moment,
        key: KeyHash,
        vm: &Name,
        boot: BootId,
    ) -> (ClaimReply<()>, Option<AttemptId>) {
        self.evict_expired(now);
        if self.latest.get(vm).is_some_and(|latest| *latest != boot) {
            return (ClaimReply::Held, None);
        }
        match self.states.get(&key).copied() {
            Some(State::Granted(holder)) if holder == boot => (ClaimReply::Granted, None),
            Some(State::Granted(_)) => (ClaimReply::Held, None),
            Some(State::Ran(id)) => (ClaimReply::Ran, id),
            None if self.is_uncertain(now) || !self.grant(now, key, boot) => {
                (ClaimReply::Uncertain, None)
            }
            None => (ClaimReply::Granted, None),
        }
    }

    /// Records that the attempt has started.
    pub fn attempt_started(&mut self, key: KeyHash, id: AttemptId) {
        let previous = self.states.insert(key, State::Ran(Some(id)));
        assert_eq!(
            previous,
            Some(State::Granted(id.boot)),
            "a key starts only for its holder"
        );
    }

    /// Reverts the start of an attempt that did not run.
    pub fn attempt_not_run(&mut self, key: KeyHash, id: AttemptId) {
        if self.states.get(&key) == Some(&State::Ran(Some(id))) {
            self.states.insert(key, State::Granted(id.boot));
        }
    }

    /// Releases a key that its coordinator returns without a run.
    pub fn release(&mut self, key: KeyHash, boot: BootId) {
        if self.states.get(&key) == Some(&State::Granted(boot)) {
            self.states.remove(&key);
        }
    }

    /// All recorded keys, for the successor of this node.
    pub fn known_keys(&self) -> impl Iterator<Item = KeyHash> + '_ {
        self.states.keys().copied()
    }

    /// Adds keys of a predecessor, which ran or may have run.
    pub fn adopt_keys(&mut self, now: Moment, keys: &[KeyHash]) {
        for key in keys {
            if self.states.insert(*key, State::Ran(None)).is_none() {
                self.by_age.push_back((now, *key));
            }
        }
    }

    pub fn len(&self) -> usize {
        self.states.len()
    }

    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn grant(&mut self, now: Moment, key: KeyHash, boot: BootId) -> bool {
        if self.states.len() >= self.max_keys {
            return false;
        }
        self.states.insert(key, State::Granted(boot));
        self.by_age.push_back((now, key));
        true
    }

    fn evict_expired(&mut self, now: Moment) {
        while let Some((at, key)) = self.by_age.front().copied() {
            if now.since(at) <= KEY_RETENTION_US {
                return;
            }
            self.by_age.pop_front();
            self.states.remove(&key);
        }
    }
}
