//! What became of each attempt, with a bound on memory.
//!
//! Records of ended attempts are dropped when they are old or too many. Dropping one raises the
//! floor of its boot: an attempt below the floor without a record is never started, and a question
//! about it is answered "forgotten", never "not run".

use names::{AttemptId, BootId, Moment};
use std::collections::{HashMap, VecDeque};

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record<A> {
    /// Ran; with the whole answer while it is kept.
    Answered(Option<A>),
    /// Ran, and broke off before a whole answer.
    Broken,
    /// Never started, and never will be.
    NotRun,
    /// The same, because it was refused in a full queue for an attempt of another account.
    Displaced,
}

/// What is known of an attempt that is not active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordLookup<A> {
    /// Its end is on record.
    Ended(Record<A>),
    /// Never heard of: it may still be offered.
    New,
    /// Below the floor: its record, if there was one, is gone.
    Forgotten,
}

/// Records of ended attempts.
#[derive(Debug, Clone)]
pub struct Records<A> {
    ends: HashMap<AttemptId, Record<A>>,
    order: VecDeque<(Moment, AttemptId)>,
    floors: HashMap<BootId, u64>,
    answers: VecDeque<AttemptId>,
    max_records: usize,
    max_answers: usize,
    keep_us: u64,
}

impl<A: Clone> Records<A> {
    /// Keeps at most `max_records` ends for `keep_us` microseconds, and `max_answers` whole answers.
    pub fn new(max_records: usize, max_answers: usize, keep_us: u64) -> Records<A> {
        Records {
            ends: HashMap::new(),
            order: VecDeque::new(),
            floors: HashMap::new(),
            answers: VecDeque::new(),
            max_records,
            max_answers,
            keep_us,
        }
    }

    /// Looks an attempt up.
    pub fn look_up(&self, id: AttemptId) -> RecordLookup<A> {
        if let Some(record) = self.ends.get(&id) {
            return RecordLookup::Ended(record.clone());
        }
        let floor = self.floors.get(&id.boot).copied().unwrap_or(0);
        if id.seq < floor {
            RecordLookup::Forgotten
        } else {
            RecordLookup::New
        }
    }

    /// Records the end of an attempt. An end is recorded once and never changed.
    pub fn end(&mut self, now: Moment, id: AttemptId, record: Record<A>) {
        assert!(
            !self.ends.contains_key(&id),
            "attempt {id} ended a second time"
        );
        if matches!(record, Record::Answered(Some(_))) {
            self.answers.push_back(id);
        }
        self.ends.insert(id, record);
        self.order.push_back((now, id));
        self.forget_answers();
        self.forget_ends(now);
    }

    /// Drops what is old.
    pub fn tick(&mut self, now: Moment) {
        self.forget_ends(now);
    }

    /// Number of ends kept.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    fn forget_answers(&mut self) {
        while self.answers.len() > self.max_answers {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            if let Some(record) = self.ends.get_mut(&id) {
                *record = Record::Answered(None);
            }
        }
    }

    fn forget_ends(&mut self, now: Moment) {
        while let Some((at, id)) = self.order.front().copied() {
            let old = now.since(at) > self.keep_us;
            if !old && self.order.len() <= self.max_records {
                return;
            }
            self.order.pop_front();
            self.ends.remove(&id);
            let floor = self.floors.entry(id.boot).or_insert(0);
            *floor = (*floor).max(id.seq + 1);
        }
    }
}
