//! Bounded records of how attempts ended.
//!
//! Records are evicted when they expire or exceed the maximum number. Evicting one raises the floor
//! of its boot: an attempt below the floor without a record is never started, and the reply to a
//! query about it is "forgotten", never "not run".

use names::{AttemptId, BootId, Moment};
use std::collections::{HashMap, VecDeque};

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record<A> {
    /// Completed; with the complete answer while it is kept.
    Answered(Option<A>),
    /// Ran, but broke off before a complete answer.
    Broken,
    /// Not started, and it never will be.
    NotRun,
    /// As [`Record::NotRun`], refused in a full queue in favour of an attempt of another account.
    Displaced,
}

/// Result of a lookup of an attempt that is not active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordLookup<A> {
    /// Ended, and on record.
    Ended(Record<A>),
    /// Unknown: it may still be offered.
    New,
    /// Below the floor: its record, if there was one, was evicted.
    Forgotten,
}

/// Records of ended attempts.
#[derive(Debug, Clone)]
pub struct Records<A> {
    records: HashMap<AttemptId, Record<A>>,
    order: VecDeque<(Moment, AttemptId)>,
    floors: HashMap<BootId, u64>,
    answers: VecDeque<(AttemptId, usize)>,
    /// Size of the kept answers, in bytes.
    answer_bytes: usize,
    max_records: usize,
    max_answers: usize,
    keep_us: u64,
    answer_limit: AnswerLimit<A>,
}

/// Limit on the size of all answers that are kept for replay.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLimit<A> {
    /// Maximum size of all of them, in bytes.
    pub max_bytes: usize,
    /// Size of one, in bytes.
    pub size_of: fn(&A) -> usize,
}

impl<A> Default for AnswerLimit<A> {
    fn default() -> AnswerLimit<A> {
        AnswerLimit {
            max_bytes: usize::MAX,
            size_of: |_| 0,
        }
    }
}

impl<A: Clone> Records<A> {
    /// Keeps at most `max_records` records for `keep_us` microseconds, and `max_answers` complete
    /// answers.
    pub fn new(max_records: usize, max_answers: usize, keep_us: u64) -> Records<A> {
        Records {
            records: HashMap::new(),
            order: VecDeque::new(),
            floors: HashMap::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            max_records,
            max_answers,
            keep_us,
            answer_limit: AnswerLimit::default(),
        }
    }

    /// Limits the size of the answers that are kept.
    pub fn limit_answers(&mut self, limit: AnswerLimit<A>) {
        self.answer_limit = limit;
    }

    /// Looks an attempt up.
    pub fn look_up(&self, id: AttemptId) -> RecordLookup<A> {
        if let Some(record) = self.records.get(&id) {
            return RecordLookup::Ended(record.clone());
        }
        let floor = self.floors.get(&id.boot).copied().unwrap_or(0);
        if id.seq < floor {
            RecordLookup::Forgotten
        } else {
            RecordLookup::New
        }
    }

    /// Records how an attempt ended. A record is written once; only its answer may be dropped later.
    pub fn end(&mut self, now: Moment, id: AttemptId, record: Record<A>) {
        assert!(
            !self.records.contains_key(&id),
            "attempt {id} ended a second time"
        );
        if let Record::Answered(Some(answer)) = &record {
            let bytes = (self.answer_limit.size_of)(answer);
            self.answers.push_back((id, bytes));
            self.answer_bytes += bytes;
        }
        self.records.insert(id, record);
        self.order.push_back((now, id));
        self.evict_answers();
        self.evict_records(now);
    }

    /// Evicts expired records.
    pub fn tick(&mut self, now: Moment) {
        self.evict_records(now);
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no records are kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn evict_answers(&mut self) {
        let max_bytes = self.answer_limit.max_bytes;
        while self.answers.len() > self.max_answers || self.answer_bytes > max_bytes {
            let Some((id, bytes)) = self.answers.pop_front() else {
                return;
            };
            self.answer_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&id) {
                *record = Record::Answered(None);
            }
        }
    }

    fn evict_records(&mut self, now: Moment) {
        while let Some((at, id)) = self.order.front().copied() {
            let is_expired = now.since(at) > self.keep_us;
            if !is_expired && self.order.len() <= self.max_records {
                return;
            }
            self.order.pop_front();
            self.records.remove(&id);
            let floor = self.floors.entry(id.boot).or_insert(0);
            *floor = (*floor).max(id.seq + 1);
        }
    }
}
