//! The coordinator's records of keys.

use names::{Moment, Name, SECOND};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// Time for which a key is remembered after its use, in microseconds. A caller that repeats a request
/// later than this violates the contract with callers.
pub const KEY_WINDOW_US: u64 = 120 * SECOND;
/// Longest deadline of a request with a key, in microseconds: a repeat at the end of the window may
/// run for this long.
pub const MAX_KEY_DEADLINE_US: u64 = 30 * SECOND;
/// Retention time of the records of a key, in microseconds.
pub const KEY_RETENTION_US: u64 = KEY_WINDOW_US + MAX_KEY_DEADLINE_US;

/// Hash of a key within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
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

/// What the coordinator has to do with a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAction<A> {
    /// First use: run it, then call [`KeyTable::end`].
    Run,
    /// First use here: claim the key from every other node, run it, then call [`KeyTable::end`].
    Claim,
    /// The same key is running: wait until it ends.
    Join,
    /// It ran: return the complete answer again.
    Replay(A),
    /// It ran or may have run, and no answer is available.
    Unknown,
    /// The table is full: refuse the request, which has not run.
    Full,
}

/// How a request with a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome<A> {
    /// It ran and has a complete answer.
    Answered(A),
    /// It did not run: the key is free again.
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
    ended_by_age: VecDeque<(Moment, KeyHash)>,
    answers_by_age: VecDeque<(KeyHash, usize)>,
    /// Size of the kept answers, in bytes.
    answer_bytes: usize,
    /// Keys whose callers received "not run", with the time, for as long as an earlier try may
    /// still arrive.
    not_run: HashMap<KeyHash, Moment>,
    not_run_by_age: VecDeque<(Moment, KeyHash)>,
    max_keys: usize,
    max_answers: usize,
    max_answer_bytes: usize,
    size_of: fn(&A) -> usize,
}

impl<A: Clone> KeyTable<A> {
    /// Creates a table of at most `max_keys` records, with complete answers for the last
    /// `max_answers`.
    pub fn new(max_keys: usize, max_answers: usize) -> KeyTable<A> {
        KeyTable {
            states: HashMap::new(),
            ended_by_age: VecDeque::new(),
            answers_by_age: VecDeque::new(),
            answer_bytes: 0,
            not_run: HashMap::new(),
            not_run_by_age: VecDeque::new(),
            max_keys,
            max_answers,
            max_answer_bytes: usize::MAX,
            size_of: |_| 0,
        }
    }

    /// Keeps answers of at most `max_bytes` bytes together; `size_of` returns the size of one.
    pub fn with_answer_limit(self, max_bytes: usize, size_of: fn(&A) -> usize) -> KeyTable<A> {
        KeyTable {
            max_answer_bytes: max_bytes,
            size_of,
            ..self
        }
    }

    /// Begins a request with a key that was sent at `sent`, on this process's clock: one sent
    /// before a later try was answered with "not run" must no longer run. `must_claim`: this node
    /// is not the first in the key's ranking, or may lack records of its own runs.
    pub fn begin(
        &mut self,
        now: Moment,
        key: KeyHash,
        sent: Moment,
        must_claim: bool,
    ) -> KeyAction<A> {
        self.evict_expired(now);
        if self.not_run.get(&key).is_some_and(|at| sent <= *at) {
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
        if must_claim {
            KeyAction::Claim
        } else {
            KeyAction::Run
        }
    }

    /// Records the outcome of a request for which [`KeyTable::begin`] returned `Run` or `Claim`.
    pub fn end(&mut self, now: Moment, key: KeyHash, outcome: KeyOutcome<A>) {
        let is_running = matches!(self.states.get(&key), Some(State::Running));
        assert!(is_running, "a key ended that was not running");
        match outcome {
            KeyOutcome::NotRun => {
                self.states.remove(&key);
                self.not_run.insert(key, now);
                self.not_run_by_age.push_back((now, key));
            }
            KeyOutcome::Answered(answer) => {
                let bytes = (self.size_of)(&answer);
                self.states.insert(key, State::Answered(Some(answer)));
                self.answers_by_age.push_back((key, bytes));
                self.answer_bytes += bytes;
                self.ended_by_age.push_back((now, key));
                self.evict_answers();
            }
            KeyOutcome::Unknown => {
                self.states.insert(key, State::Unknown);
                self.ended_by_age.push_back((now, key));
            }
        }
    }

    /// Keys in use or used, for the successor of this node.
    pub fn known_keys(&self) -> impl Iterator<Item = KeyHash> + '_ {
        self.states.keys().copied()
    }

    /// Adds keys of a predecessor, which ran or may have run.
    pub fn adopt_keys(&mut self, now: Moment, keys: &[KeyHash]) {
        for key in keys {
            if let Entry::Vacant(slot) = self.states.entry(*key) {
                slot.insert(State::Unknown);
                self.ended_by_age.push_back((now, *key));
            }
        }
    }

    /// Whether the key has a record.
    pub fn contains(&self, key: KeyHash) -> bool {
        self.states.contains_key(&key)
    }

    pub fn len(&self) -> usize {
        self.states.len()
    }

    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn evict_answers(&mut self) {
        while self.answers_by_age.len() > self.max_answers
            || self.answer_bytes > self.max_answer_bytes
        {
            let Some((key, bytes)) = self.answers_by_age.pop_front() else {
                return;
            };
            self.answer_bytes -= bytes;
            if let Some(state) = self.states.get_mut(&key) {
                *state = State::Answered(None);
            }
        }
    }

    fn evict_expired(&mut self, now: Moment) {
        self.evict_not_run(now);
        while let Some((at, key)) = self.ended_by_age.front().copied() {
            if now.since(at) <= KEY_RETENTION_US {
                return;
            }
            self.ended_by_age.pop_front();
            self.states.remove(&key);
        }
    }

    fn evict_not_run(&mut self, now: Moment) {
        while let Some((at, key)) = self.not_run_by_age.front().copied() {
            if now.since(at) <= MAX_KEY_DEADLINE_US {
                return;
            }
            self.not_run_by_age.pop_front();
            if self.not_run.get(&key) == Some(&at) {
                self.not_run.remove(&key);
            }
        }
    }
}
