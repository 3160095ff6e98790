//! State machine of one node's duty to watch the platform.

use crate::freshness::Freshness;
use crate::timing::Timing;
use crate::word::WatchNotice;
use membership::rendezvous;
use names::{Moment, Name, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;

/// Watchers of a hall: with two, the loss of one has no effect on the others.
pub const WATCHERS_PER_HALL: usize = 2;
/// Longest random delay of nodes that know only one watcher, in microseconds. It can be long, since
/// changes still arrive through that watcher.
const SECOND_WATCHER_JITTER_US: u64 = 4 * SECOND;
/// Wait of a node before its first query when the whole fleet starts for the first time, and the
/// longest random delay after it, in microseconds: until the nodes know one another, each would
/// watch for itself, and nothing is served yet.
const FIRST_START_WAIT_US: u64 = 4 * SECOND;
const FIRST_START_JITTER_US: u64 = 2 * SECOND;
/// Longest wait of a node that starts with the whole fleet for connections to half of its hall, in
/// microseconds: the more nodes, the longer that takes.
const FIRST_START_CONNECT_TIMEOUT_US: u64 = 20 * SECOND;
/// Longest wait of such a node while it knows no other node, in microseconds: nodes learn of one
/// another once their upstreams have registered.
const FIRST_START_ALONE_US: u64 = 10 * SECOND;
/// Factor on the number of nodes in [`Watch::draw_delay`], which makes the first query of a hall
/// later: on average one node in this many halls draws no delay.
const DELAY_SKEW: f64 = 4.0;
/// A node that has received no notice of any other for longer than this is alone, in microseconds.
const ALONE_AFTER_US: u64 = 2 * SECOND;
/// Shortest and longest pause of a node that is alone after a failed call, in microseconds; it
/// doubles with each further one.
const MIN_PAUSE_US: u64 = 100 * MILLISECOND;
const MAX_PAUSE_US: u64 = 3 * SECOND;
/// Topic of the rendezvous ranking of watchers.
const RANKING_TOPIC: &str = "watch";

/// What a node should do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Query the platform, and watch it from then on.
    Query,
    /// Don't query before this moment, unless a notice arrives meanwhile.
    WaitUntil(Moment),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Querying,
    Watching,
}

/// Watcher that the hall lacks, as far as this node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    Nothing,
    SecondWatcher,
    FirstWatcher,
}

/// Decides whether this node queries the platform or relies on others of its hall that do. It
/// relies on them as long as its state was recently confirmed to be the newest, not as long as they
/// report that they watch.
///
/// Calls to the platform are the scarcest shared resource: when each of 295 nodes watched for
/// itself, a test day of 48 s took 10 to 22 calls per node.
#[derive(Debug, Clone)]
pub struct Watch {
    own_vm: Name,
    timing: Timing,
    state: State,
    /// Other nodes that watch, with the time of their last notice.
    watchers: HashMap<Name, Moment>,
    freshness: Freshness,
    /// Random delay of the next confirmation query of this node while it watches, in microseconds.
    confirm_delay_us: u64,
    /// Draws that delay; separate from `rng`, so that polls of watchers don't change the other
    /// delays.
    confirm_rng: SmallRng,
    /// When the last notice of any other node arrived.
    last_notice: Option<Moment>,
    need: Need,
    /// When this node queries if the need persists.
    query_at: Moment,
    /// Longest next pause after a failed call while this node is alone, in microseconds.
    pause_us: u64,
    /// Number of known nodes of its hall, including itself.
    hall_nodes: usize,
    /// Until when it waits for connections before it queries; none once it has them.
    connect_deadline: Option<Moment>,
    /// Until when it waits for the first other node to become known.
    alone_deadline: Moment,
    rng: SmallRng,
}

impl Watch {
    /// Creates the state of a node that has just started. `first_start`: the whole fleet starts for
    /// the first time.
    pub fn new(own_vm: Name, timing: Timing, now: Moment, first_start: bool, seed: u64) -> Watch {
        let mut watch = Watch {
            own_vm,
            timing,
            state: State::Idle,
            watchers: HashMap::new(),
            freshness: Freshness::default(),
            confirm_delay_us: 0,
            confirm_rng: SmallRng::seed_from_u64(!seed),
            last_notice: None,
            need: Need::FirstWatcher,
            query_at: now,
            pause_us: MIN_PAUSE_US,
            hall_nodes: 1,
            connect_deadline: None,
            alone_deadline: now,
            rng: SmallRng::seed_from_u64(seed),
        };
        let (wait_us, jitter_us) = if first_start {
            (FIRST_START_WAIT_US, FIRST_START_JITTER_US)
        } else {
            (timing.notice_timeout_us, timing.jitter_us)
        };
        let (alone_us, connect_timeout_us) = if first_start {
            (FIRST_START_ALONE_US, FIRST_START_CONNECT_TIMEOUT_US)
        } else {
            (timing.notice_timeout_us, timing.connect_timeout_us)
        };
        watch.alone_deadline = now + alone_us;
        watch.connect_deadline = Some(now + connect_timeout_us);
        watch.query_at = now + wait_us + watch.draw_delay(jitter_us);
        watch
    }

    /// Updates how many nodes of the hall are known, and to how many of them a connection is open.
    /// A node that has just started doesn't query the platform until it can receive the notices of
    /// others that do: without this wait, each node queried for itself while connections were still
    /// being opened.
    pub fn on_connections(&mut self, now: Moment, known: usize, open: usize) {
        self.hall_nodes = known + 1;
        let Some(until) = self.connect_deadline else {
            return;
        };
        let is_connected = known > 0 && 2 * open >= known;
        let is_alone = known == 0 && now >= self.alone_deadline;
        if is_connected || is_alone || now >= until {
            self.connect_deadline = None;
            self.query_at = self
                .query_at
                .max(now + self.draw_delay(self.timing.jitter_us));
        }
    }

    /// What to do now, while this node neither queries nor watches.
    pub fn advice(&mut self, now: Moment) -> Advice {
        if self.state != State::Idle {
            return Advice::WaitUntil(now + self.timing.notice_timeout_us);
        }
        let need = self.need(now);
        if need != self.need {
            self.need = need;
            self.query_at = match need {
                Need::FirstWatcher => now + self.draw_delay(self.timing.jitter_us),
                Need::SecondWatcher => {
                    now + self.timing.notice_timeout_us + self.draw_delay(SECOND_WATCHER_JITTER_US)
                }
                Need::Nothing => self.query_at,
            };
        }
        if need == Need::Nothing {
            return Advice::WaitUntil(now + self.timing.notice_timeout_us);
        }
        match self.connect_deadline {
            Some(until) if now < until => Advice::WaitUntil(until.max(self.query_at)),
            _ if now >= self.query_at => Advice::Query,
            _ => Advice::WaitUntil(self.query_at),
        }
    }

    /// Processes a notice of another node of the hall.
    pub fn on_notice(&mut self, now: Moment, from: &Name, notice: WatchNotice) {
        self.last_notice = Some(now);
        match notice {
            WatchNotice::Watching => {
                self.watchers.insert(from.clone(), now);
            }
            WatchNotice::Querying => self.defer_to_other(now),
            WatchNotice::Failed => {
                self.watchers.remove(from);
                self.defer_to_other(now);
            }
        }
    }

    /// Records that this node starts a query.
    pub fn on_query(&mut self) {
        self.state = State::Querying;
    }

    /// Records that the platform answered; this node watches it from now on.
    pub fn on_answer(&mut self) {
        self.state = State::Watching;
        self.pause_us = MIN_PAUSE_US;
    }

    /// Records that the platform did not answer. Another node makes the next try, if there is one.
    pub fn on_failure(&mut self, now: Moment) {
        self.state = State::Idle;
        self.need = Need::FirstWatcher;
        if self.is_alone(now) {
            let pause_us = self.pause_us;
            self.pause_us = (pause_us * 2).min(MAX_PAUSE_US);
            self.query_at = now + pause_us / 2 + self.rng.random_range(0..=pause_us / 2);
        } else {
            self.pause_us = MIN_PAUSE_US;
            self.query_at =
                now + 2 * self.timing.jitter_us + self.draw_delay(self.timing.jitter_us);
        }
    }

    /// Whether this node, whose watch has just ended, renews it. It stops watching when enough
    /// other watchers precede it in the ranking.
    pub fn keep_watching(&mut self, now: Moment) -> bool {
        let own_rank = rendezvous(RANKING_TOPIC, &self.own_vm);
        let preceding = self
            .recent_watchers(now)
            .filter(|vm| rendezvous(RANKING_TOPIC, vm) < own_rank)
            .count();
        if preceding < WATCHERS_PER_HALL {
            return true;
        }
        self.state = State::Idle;
        false
    }

    /// Records that the platform held nothing newer at `as_of` than this node does.
    pub fn on_confirmed(&mut self, as_of: Moment) {
        if self.freshness.confirm(as_of) {
            let max_us = self.timing.confirm_jitter_us;
            self.confirm_delay_us = self.confirm_rng.random_range(0..=max_us);
        }
    }

    /// Discards the last confirmation: the platform's store was restored from an older copy.
    pub fn clear_confirmation(&mut self) {
        self.freshness = Freshness::default();
    }

    /// When this node, which watches, queries the platform again unless its state is confirmed
    /// meanwhile.
    pub fn next_confirmation(&self, now: Moment) -> Moment {
        let wait_us = self.timing.confirm_after_us + self.confirm_delay_us;
        let age_us = self.age_us(now).unwrap_or(wait_us);
        now + wait_us.saturating_sub(age_us)
    }

    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it
    /// never was.
    pub fn age_us(&self, now: Moment) -> Option<u64> {
        self.freshness.age_us(now)
    }

    /// Whether the last confirmation is too old.
    pub fn is_stale(&self, now: Moment) -> bool {
        self.age_us(now)
            .is_none_or(|age_us| age_us >= self.timing.stale_after_us)
    }

    /// The other nodes with a recent notice that they watch: the platform answers them.
    pub fn active_watchers(&self, now: Moment) -> Vec<Name> {
        self.recent_watchers(now).cloned().collect()
    }

    pub fn active_watcher_count(&self, now: Moment) -> usize {
        self.recent_watchers(now).count()
    }

    /// Whether this node watches and should send notices.
    pub fn is_watching(&self) -> bool {
        self.state == State::Watching
    }

    /// Time between two notices of a watcher, in microseconds.
    pub fn notice_interval_us(&self) -> u64 {
        self.timing.notice_interval_us
    }

    fn need(&self, now: Moment) -> Need {
        if self.is_stale(now) {
            // There may be watchers, but they don't confirm the state of this node.
            return Need::FirstWatcher;
        }
        match self.recent_watchers(now).count() {
            0 => Need::FirstWatcher,
            known if known < WATCHERS_PER_HALL => Need::SecondWatcher,
            _ => Need::Nothing,
        }
    }

    /// The other nodes with a recent notice that they watch.
    fn recent_watchers(&self, now: Moment) -> impl Iterator<Item = &Name> {
        let notice_timeout_us = self.timing.notice_timeout_us;
        self.watchers
            .iter()
            .filter(move |(_, at)| now.since(**at) < notice_timeout_us)
            .map(|(vm, _)| vm)
    }

    /// Postpones the query because another node has just tried or tries now: one try at a time is
    /// enough for a hall, however many nodes find at the same time that there is no watcher.
    fn defer_to_other(&mut self, now: Moment) {
        let earliest = now + self.timing.jitter_us + self.draw_delay(self.timing.jitter_us);
        self.query_at = self.query_at.max(earliest);
    }

    fn is_alone(&self, now: Moment) -> bool {
        self.last_notice
            .is_none_or(|at| now.since(at) > ALONE_AFTER_US)
    }

    /// A random delay up to `max_us`, usually close to it, so that in a hall of any size few nodes
    /// query before they receive the notice of the first one. Of n nodes, on average
    /// `(DELAY_SKEW n)^(t / max) / DELAY_SKEW` draw a delay up to t; with a uniform distribution it
    /// would be `n t / max`.
    fn draw_delay(&mut self, max_us: u64) -> u64 {
        let log_nodes = (self.hall_nodes as f64 * DELAY_SKEW).ln();
        let sample: f64 = self.rng.random_range(f64::MIN_POSITIVE..=1.0);
        let fraction = (1.0 + sample.ln() / log_nodes).max(0.0);
        (max_us as f64 * fraction) as u64
    }
}
