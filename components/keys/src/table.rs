//! The coordinator's records of keys.

use names::{Moment, Name, SECOND};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// How long a key is remembered after its use, in microseconds. A caller that repeats a request
/// later than this uses the key against the callers' contract.
pub const KEY_WINDOW_US: u64 = 120 * SECOND;
/// Longest deadline of a request that carries a key, in microseconds: a repeat at the end of the
/// window may be at work for so long.
pub const MAX_KEY_DEADLINE_US: u64 = 30 * SECOND;
/// How long records of a key are kept, in microseconds.
pub const KEY_RETENTION_US: u64 = KEY_WINDOW_US + MAX_KEY_DEADLINE_US;

/// A key within its service, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Hashes `key` within `service`.
    pub fn new(service: &Name, key: &str) -> KeyHash {
        let mut hasher = Sha256::new();
        hasher.update((service.as_str().len() as u64).to_le_bytes());
        hasher.update(service.as_str().as_bytes());
        hasher.update(key.as_bytes());
        let digest = hasher.finalize();
        let mut hash = [0; 16];
        hash.copy_from_slice(&digest[..16]);
        KeyHash(hash)
    }
}

/// What the coordinator has to do with a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAction<A> {
    /// First use: run it, then call [`KeyTable::end`].
    Run,
    /// First use here: have every other node grant the key, run it, then call [`KeyTable::end`].
    Claim,
    /// The same key is running: wait for its end.
    Join,
    /// It ran: give the whole answer again.
    Replay(A),
    /// It ran, or may have run, and there is no answer to give.
    Unknown,
    /// No room for another record: refuse, not run.
    Full,
}

/// How a request with a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome<A> {
    /// It ran and has a whole answer.
    Answered(A),
    /// It was not run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Debug, Clone)]
enum State<A> {
    Running,
    Answered(Option<A>),
    Unknown,
}

/// Records of the keys that one node coordinates.
#[derive(Debug)]
pub struct KeyTable<A> {
    states: HashMap<KeyHash, State<A>>,
    ended: VecDeque<(Moment, KeyHash)>,
    answers: VecDeque<KeyHash>,
    /// Keys that were told not-run, with the time, for as long as an earlier try may still arrive.
    refused: HashMap<KeyHash, Moment>,
    refusals: VecDeque<(Moment, KeyHash)>,
    max_keys: usize,
    max_answers: usize,
}

impl<A: Clone> KeyTable<A> {
    /// A table of at most `max_keys` records, with whole answers for the last `max_answers`.
    pub fn new(max_keys: usize, max_answers: usize) -> KeyTable<A> {
        KeyTable {
            states: HashMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            refused: HashMap::new(),
            refusals: VecDeque::new(),
            max_keys,
            max_answers,
        }
    }

    /// Takes in a request that carries a key and was sent at `sent`, on this process's clock: one
    /// sent before a later try was told not-run must not run any more. `claim` says that this node is not the first in the
    /// key's ranking, or doesn't know all that it was when it was first.
    pub fn begin(&mut self, now: Moment, key: KeyHash, sent: Moment, claim: bool) -> KeyAction<A> {
        self.forget(now);
        if self.refused.get(&key).is_some_and(|told| sent <= *told) {
            return KeyAction::Unknown;
        }
        match self.states.get(&key) {
            Some(State::Running) => return KeyAction::Join,
            Some(State::Answered(Some(answer))) => return KeyAction::Replay(answer.clone()),
            Some(State::Answered(None)) | Some(State::Unknown) => return KeyAction::Unknown,
            None => {}
        }
        if self.states.len() >= self.max_keys {
            return KeyAction::Full;
        }
        self.states.insert(key, State::Running);
        if claim {
            KeyAction::Claim
        } else {
            KeyAction::Run
        }
    }

    /// Takes in the end of a request for which [`KeyTable::begin`] said run.
    pub fn end(&mut self, now: Moment, key: KeyHash, end: KeyOutcome<A>) {
        let running = matches!(self.states.get(&key), Some(State::Running));
        assert!(running, "a key ended that was not running");
        match end {
            KeyOutcome::NotRun => {
                self.states.remove(&key);
                self.refused.insert(key, now);
                self.refusals.push_back((now, key));
            }
            KeyOutcome::Answered(answer) => {
                self.states.insert(key, State::Answered(Some(answer)));
                self.answers.push_back(key);
                self.ended.push_back((now, key));
                self.drop_answers();
            }
            KeyOutcome::Unknown => {
                self.states.insert(key, State::Unknown);
                self.ended.push_back((now, key));
            }
        }
    }

    /// The keys in use or used, for the successor of this node.
    pub fn known_keys(&self) -> impl Iterator<Item = KeyHash> + '_ {
        self.states.keys().copied()
    }

    /// Takes in the keys that a predecessor handed over: they ran, or may have run.
    pub fn adopt_keys(&mut self, now: Moment, keys: &[KeyHash]) {
        for key in keys {
            if let Entry::Vacant(slot) = self.states.entry(*key) {
                slot.insert(State::Unknown);
                self.ended.push_back((now, *key));
            }
        }
    }

    /// Whether the key is on record.
    pub fn contains(&self, key: KeyHash) -> bool {
        self.states.contains_key(&key)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn drop_answers(&mut self) {
        while self.answers.len() > self.max_answers {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            if let Some(state) = self.states.get_mut(&key) {
                *state = State::Answered(None);
            }
        }
    }

    fn forget(&mut self, now: Moment) {
        self.forget_refusals(now);
        while let Some((at, key)) = self.ended.front().copied() {
            if now.since(at) <= KEY_RETENTION_US {
                return;
            }
            self.ended.pop_front();
            self.states.remove(&key);
        }
    }

    fn forget_refusals(&mut self, now: Moment) {
        while let Some((at, key)) = self.refusals.front().copied() {
            if now.since(at) <= MAX_KEY_DEADLINE_US {
                return;
            }
            self.refusals.pop_front();
            if self.refused.get(&key) == Some(&at) {
                self.refused.remove(&key);
            }
        }
    }
}
