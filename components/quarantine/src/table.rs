//! What one node knows of requests under which upstreams ended.

use crate::fingerprint::Fingerprint;
use crate::recent::{RecentRuns, SPEAKS_FOR_US};
use names::{AttemptId, BootId, Moment, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Ends after which a request is held if others that were as suspect ran beside it each time.
const MOST_ENDS: usize = 3;
/// The same at a node that has just started: it has not seen yet what runs well, and a word that cleared a request may
/// have missed it. Upstreams that end together have a request that many callers send at work, each of them.
const MOST_ENDS_EARLY: usize = 5;
/// Ends after which it is held if it was the only suspect at one of them. Not one: whatever ends an upstream, a
/// crash of its own too, several requests are at work there.
const ENDS_ALONE: usize = 2;
/// A suspect that nobody sends again is forgotten after so long, in microseconds. A copy costs little while it is
/// one, and harmful ones may come minutes apart.
const SUSPECT_KEPT_US: u64 = 3_600 * SECOND;
/// A request that is held is forgotten after so long, in microseconds: by then its caller or the upstreams have
/// been mended. A trial each hour would end an upstream each hour.
const HELD_KEPT_US: u64 = 24 * 3_600 * SECOND;
/// Ends that are remembered as settled at most: a word of one that comes late, by another way, says nothing new.
const MOST_SETTLED: usize = 1_024;
/// Requests that are remembered at most: 300 KB. Each costs an upstream its life, so a caller who makes up new ones
/// adds a few in a second at most.
const MOST_KNOWN: usize = 4_096;

/// A request that was at work at an upstream when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The end: boot and counter of the node that saw it.
    #[serde(rename = "e")]
    pub termination: AttemptId,
    /// Whether it was the only request there that may have ended it, by all that the node beside it knows.
    #[serde(rename = "a")]
    pub sole_suspect: bool,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It may run apart from other suspects.
    Suspect,
    /// No upstream sees it.
    Held,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Ends under it, with whether it was the only suspect there.
    ends: Vec<(AttemptId, bool)>,
    /// Whether another node holds it.
    is_told: bool,
    /// When something was last learned against it.
    at: Moment,
}

impl Entry {
    /// Whether it is held, by a node that holds after `most_ends` where it was never the only suspect.
    fn is_held(&self, most_ends: usize) -> bool {
        let was_alone = self.ends.iter().any(|(_, alone)| *alone);
        self.is_told || self.ends.len() >= most_ends || was_alone && self.ends.len() >= ENDS_ALONE
    }

    fn kept_us(&self) -> u64 {
        if self.is_held(MOST_ENDS) {
            HELD_KEPT_US
        } else {
            SUSPECT_KEPT_US
        }
    }
}

/// The requests that are suspect or held, as one node knows them.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// When the node started.
    started: Moment,
    known: HashMap<Fingerprint, Entry>,
    recent: RecentRuns,
    /// Ends under requests that have run to a good end since.
    settled: HashSet<(Fingerprint, AttemptId)>,
    settled_order: VecDeque<(Fingerprint, AttemptId)>,
}

impl Quarantine {
    /// What a node knows that started at this moment: nothing.
    pub fn new(started: Moment) -> Quarantine {
        Quarantine {
            started,
            ..Quarantine::default()
        }
    }

    fn most_ends(&self, now: Moment) -> usize {
        if now.since(self.started) < SPEAKS_FOR_US {
            MOST_ENDS_EARLY
        } else {
            MOST_ENDS
        }
    }

    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How a request is treated.
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> Verdict {
        match self.known.get(&fingerprint) {
            None => Verdict::Free,
            Some(_) if self.completed_recently(now, fingerprint) => Verdict::Free,
            Some(entry) if entry.is_held(self.most_ends(now)) => Verdict::Held,
            Some(_) => Verdict::Suspect,
        }
    }

    /// Whether a request has run to a good end lately, as far as this node has seen.
    pub fn completed_recently(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.recent.has(now, fingerprint)
    }

    /// Takes in that a request ran to a good end elsewhere.
    pub fn on_remote_completion(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.recent.ran(now, fingerprint);
    }

    /// Takes in that an upstream ended under a request. Returns whether that is news: each end counts once,
    /// whoever tells it and however often.
    pub fn on_termination(&mut self, now: Moment, suspect: Suspect) -> bool {
        if self
            .settled
            .contains(&(suspect.fingerprint, suspect.termination))
        {
            return false;
        }
        let entry = self.entry(now, suspect.fingerprint);
        if entry
            .ends
            .iter()
            .any(|(end, _)| *end == suspect.termination)
        {
            return false;
        }
        if entry.ends.len() >= MOST_ENDS_EARLY {
            return false;
        }
        entry.at = now;
        entry.ends.push((suspect.termination, suspect.sole_suspect));
        true
    }

    /// Takes in that another node holds a request. Returns whether this one did not.
    pub fn on_peer_quarantine(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let most_ends = self.most_ends(now);
        let entry = self.entry(now, fingerprint);
        let is_news = !entry.is_held(most_ends);
        entry.is_told = true;
        entry.at = now;
        is_news
    }

    /// Takes in that no other node holds a request any more. What is known of ends under it stays.
    pub fn on_peer_release(&mut self, fingerprint: Fingerprint) {
        let Some(entry) = self.known.get_mut(&fingerprint) else {
            return;
        };
        entry.is_told = false;
        if entry.ends.is_empty() {
            self.known.remove(&fingerprint);
        }
    }

    /// Takes in that a request has run to its end beside this node, and the upstream went on. Returns whether
    /// anything was known against it.
    pub fn on_local_completion(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.recent.ran(now, fingerprint);
        self.clear(fingerprint)
    }

    /// Forgets what is known against a request. Returns whether anything was.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.known.remove(&fingerprint) else {
            return false;
        };
        for (end, _) in entry.ends {
            self.settle(fingerprint, end);
        }
        true
    }

    /// Whether the node with this boot saw one of the ends under a request.
    pub fn was_observed_by(&self, boot: BootId, fingerprint: Fingerprint) -> bool {
        let entry = self.known.get(&fingerprint);
        entry.is_some_and(|entry| entry.ends.iter().any(|(end, _)| end.boot == boot))
    }

    /// Ends known under a request.
    pub fn termination_count(&self, fingerprint: Fingerprint) -> usize {
        self.known
            .get(&fingerprint)
            .map_or(0, |entry| entry.ends.len())
    }

    /// Requests that are held.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = Fingerprint> + '_ {
        let most_ends = self.most_ends(now);
        let held = self.known.iter();
        let held = held.filter(move |(_, entry)| entry.is_held(most_ends));
        held.map(|(fingerprint, _)| *fingerprint)
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Moment) {
        self.known
            .retain(|_, entry| now.since(entry.at) <= entry.kept_us());
    }

    fn settle(&mut self, fingerprint: Fingerprint, end: AttemptId) {
        if self.settled_order.len() >= MOST_SETTLED {
            if let Some(oldest) = self.settled_order.pop_front() {
                self.settled.remove(&oldest);
            }
        }
        if self.settled.insert((fingerprint, end)) {
            self.settled_order.push_back((fingerprint, end));
        }
    }

    /// The entry of a request; a new one takes the place of the oldest where there are too many, of one that is
    /// not held while there is one.
    fn entry(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut Entry {
        if self.known.len() >= MOST_KNOWN && !self.known.contains_key(&fingerprint) {
            let by_age = |(_, entry): &(&Fingerprint, &Entry)| (entry.is_held(MOST_ENDS), entry.at);
            let oldest = self.known.iter().min_by_key(by_age);
            if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
                self.known.remove(&oldest);
            }
        }
        self.known.entry(fingerprint).or_insert_with(|| Entry {
            ends: Vec::new(),
            is_told: false,
            at: now,
        })
    }
}
