//! Suspects and quarantined requests known to one node.

use crate::fingerprint::Fingerprint;
use crate::recent::{RecentCompletions, RECENT_US};
use names::{AttemptId, BootId, Moment, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Number of terminations after which a request is quarantined if other suspects were in progress at
/// each of them.
const THRESHOLD: usize = 3;
/// The same at a node that has just started. It has not yet observed which requests complete, and may
/// have missed the notice that cleared one. When several upstreams terminate together, a request that
/// many callers send is in progress at each of them.
const STARTUP_THRESHOLD: usize = 5;
/// Number of terminations after which a request is quarantined if it was the only suspect at one of
/// them. One is not enough: several requests are in progress at an upstream that terminates for any
/// reason, including a crash of its own.
const SOLE_SUSPECT_THRESHOLD: usize = 2;
/// A suspect that is not sent again is forgotten after this time, in microseconds. Treating copies as
/// suspect costs little, and harmful ones may arrive minutes apart.
const SUSPECT_TTL_US: u64 = 3_600 * SECOND;
/// A quarantined request is forgotten after this time, in microseconds: by then its caller or the
/// upstreams have been fixed. A trial every hour would crash an upstream every hour.
const QUARANTINE_TTL_US: u64 = 24 * 3_600 * SECOND;
/// Maximum number of terminations remembered as settled. A notice of one of these that arrives late,
/// by another path, has no effect.
const MAX_SETTLED: usize = 1_024;
/// Maximum number of remembered requests (300 KB). Each has cost the termination of an upstream, so a
/// caller that makes up new requests adds a few per second at most.
const MAX_ENTRIES: usize = 4_096;

/// A request that was in progress at an upstream when it terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Identifies the termination by the boot and a counter of the node that observed it.
    #[serde(rename = "e")]
    pub termination: AttemptId,
    /// Whether it was the only request there that may have caused the termination, as far as the local
    /// node knows.
    #[serde(rename = "a")]
    pub sole_suspect: bool,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It is processed apart from other suspects.
    Suspect,
    /// Quarantined: it is not sent to any upstream.
    Held,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Terminations during the request, with whether it was the only suspect.
    terminations: Vec<(AttemptId, bool)>,
    /// Whether another node has quarantined it.
    quarantined_by_peer: bool,
    /// When a termination or a quarantine of another node was last recorded.
    updated_at: Moment,
}

impl Entry {
    /// Whether the request is quarantined, given the threshold for one that was never the only suspect.
    fn is_quarantined(&self, threshold: usize) -> bool {
        let was_sole_suspect = self.terminations.iter().any(|(_, sole)| *sole);
        self.quarantined_by_peer
            || self.terminations.len() >= threshold
            || was_sole_suspect && self.terminations.len() >= SOLE_SUSPECT_THRESHOLD
    }

    fn ttl_us(&self) -> u64 {
        if self.is_quarantined(THRESHOLD) {
            QUARANTINE_TTL_US
        } else {
            SUSPECT_TTL_US
        }
    }
}

/// The suspects and quarantined requests that one node knows.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// When the node started.
    started_at: Moment,
    entries: HashMap<Fingerprint, Entry>,
    recent: RecentCompletions,
    /// Terminations whose requests have been cleared since.
    settled: HashSet<(Fingerprint, AttemptId)>,
    settled_order: VecDeque<(Fingerprint, AttemptId)>,
}

impl Quarantine {
    /// The empty state of a node that started at `started_at`.
    pub fn new(started_at: Moment) -> Quarantine {
        Quarantine {
            started_at,
            ..Quarantine::default()
        }
    }

    fn threshold(&self, now: Moment) -> usize {
        if now.since(self.started_at) < RECENT_US {
            STARTUP_THRESHOLD
        } else {
            THRESHOLD
        }
    }

    /// Whether no request is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How a request is treated.
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> Verdict {
        match self.entries.get(&fingerprint) {
            None => Verdict::Free,
            Some(_) if self.completed_recently(now, fingerprint) => Verdict::Free,
            Some(entry) if entry.is_quarantined(self.threshold(now)) => Verdict::Held,
            Some(_) => Verdict::Suspect,
        }
    }

    /// Whether a request completed recently, as far as this node has observed.
    pub fn completed_recently(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.recent.contains(now, fingerprint)
    }

    /// Records that a request completed at another upstream.
    pub fn on_remote_completion(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.recent.record(now, fingerprint);
    }

    /// Records that an upstream terminated while it processed a request. Returns whether this is new:
    /// each termination counts once, however many nodes report it and however often.
    pub fn on_termination(&mut self, now: Moment, suspect: Suspect) -> bool {
        if self
            .settled
            .contains(&(suspect.fingerprint, suspect.termination))
        {
            return false;
        }
        let entry = self.entry(now, suspect.fingerprint);
        if entry
            .terminations
            .iter()
            .any(|(id, _)| *id == suspect.termination)
        {
            return false;
        }
        if entry.terminations.len() >= STARTUP_THRESHOLD {
            return false;
        }
        entry.updated_at = now;
        entry
            .terminations
            .push((suspect.termination, suspect.sole_suspect));
        true
    }

    /// Records that another node has quarantined a request. Returns whether this node had not.
    pub fn on_peer_quarantine(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let threshold = self.threshold(now);
        let entry = self.entry(now, fingerprint);
        let is_new = !entry.is_quarantined(threshold);
        entry.quarantined_by_peer = true;
        entry.updated_at = now;
        is_new
    }

    /// Records that no other node quarantines a request any more. Its known terminations are kept.
    pub fn on_peer_release(&mut self, fingerprint: Fingerprint) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        entry.quarantined_by_peer = false;
        if entry.terminations.is_empty() {
            self.entries.remove(&fingerprint);
        }
    }

    /// Records that a request completed at the local upstream, and clears it. Returns whether it was
    /// suspect or quarantined.
    pub fn on_local_completion(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.recent.record(now, fingerprint);
        self.clear(fingerprint)
    }

    /// Forgets a request and settles its terminations. Returns whether it was suspect or quarantined.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.entries.remove(&fingerprint) else {
            return false;
        };
        for (termination, _) in entry.terminations {
            self.settle(fingerprint, termination);
        }
        true
    }

    /// Whether the node with this boot observed one of the terminations of a request.
    pub fn was_observed_by(&self, boot: BootId, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.terminations.iter().any(|(id, _)| id.boot == boot))
    }

    /// Number of known terminations of a request.
    pub fn termination_count(&self, fingerprint: Fingerprint) -> usize {
        self.entries
            .get(&fingerprint)
            .map_or(0, |entry| entry.terminations.len())
    }

    /// The quarantined requests.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = Fingerprint> + '_ {
        let threshold = self.threshold(now);
        let entries = self.entries.iter();
        let quarantined = entries.filter(move |(_, entry)| entry.is_quarantined(threshold));
        quarantined.map(|(fingerprint, _)| *fingerprint)
    }

    /// Drops entries whose time to live has passed.
    pub fn expire(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.updated_at) <= entry.ttl_us());
    }

    fn settle(&mut self, fingerprint: Fingerprint, termination: AttemptId) {
        if self.settled_order.len() >= MAX_SETTLED {
            if let Some(oldest) = self.settled_order.pop_front() {
                self.settled.remove(&oldest);
            }
        }
        if self.settled.insert((fingerprint, termination)) {
            self.settled_order.push_back((fingerprint, termination));
        }
    }

    /// The entry of a request. When the table is full, a new entry evicts the oldest suspect, or the
    /// oldest quarantined request if there are no suspects.
    fn entry(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            let eviction_order = |(_, entry): &(&Fingerprint, &Entry)| {
                (entry.is_quarantined(THRESHOLD), entry.updated_at)
            };
            let oldest = self.entries.iter().min_by_key(eviction_order);
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.entry(fingerprint).or_insert_with(|| Entry {
            terminations: Vec::new(),
            quarantined_by_peer: false,
            updated_at: now,
        })
    }
}
