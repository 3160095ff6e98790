//! The state machine of one node.

use crate::freshness::Freshness;
use crate::timing::Timing;
use crate::word::WatchNotice;
use membership::rendezvous;
use names::{Moment, Name, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;

/// Watchers of a hall: the loss of one changes nothing for the others.
pub const WATCHERS_PER_HALL: usize = 2;
/// Time over which nodes that hear of one watcher only are spread, in microseconds: a change still arrives
/// through the one.
const SECOND_SPREAD_US: u64 = 4 * SECOND;
/// How long nodes wait for one another when the whole fleet starts for the first time, in microseconds, and
/// the time over which they are spread then: until they have found one another each would watch for itself,
/// and nothing is served yet.
const FIRST_START_US: u64 = 4 * SECOND;
const FIRST_SPREAD_US: u64 = 2 * SECOND;
/// Longest wait of a node that starts with the whole fleet until it is connected to half of its hall, in microseconds:
/// the more nodes, the longer that takes.
const FIRST_CONNECTED_US: u64 = 20 * SECOND;
/// Longest wait of such a node while it knows no other one, in microseconds: nodes learn of one another once their
/// upstreams have registered.
const FIRST_ALONE_US: u64 = 10 * SECOND;
/// How much earlier than a node of a hall that draws evenly the first one asks, as a factor on the number of nodes: see
/// [`Watch::draw`].
const SPARE: f64 = 4.0;
/// A node that has heard no word of any other for so long is alone, in microseconds.
const ALONE_US: u64 = 2 * SECOND;
/// Pauses of a node that is alone between calls that fail, in microseconds: the first one, which doubles,
/// and the longest.
const LEAST_PAUSE_US: u64 = 100 * MILLISECOND;
const MOST_PAUSE_US: u64 = 3 * SECOND;
/// What the places of watchers are drawn for.
const TOPIC: &str = "watch";

/// What a node should do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Ask the platform, and watch it from then on.
    Query,
    /// Ask nothing before this moment, unless something is heard meanwhile.
    WaitUntil(Moment),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Asking,
    Watching,
}

/// What the hall lacks, as far as this node hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    Nothing,
    Second,
    First,
}

/// Whether this node asks the platform, or relies on others of its hall that do. It relies on them for as long as
/// what it holds is known to have been the newest a moment ago, not for as long as they say that they watch.
///
/// Calls to the platform are the scarcest thing that nodes share: where each of 295 nodes watched for itself,
/// a day of 48 s took 10 to 22 calls a node.
#[derive(Debug, Clone)]
pub struct Watch {
    me: Name,
    timing: Timing,
    state: State,
    /// Other nodes that watch, and when they last said so.
    watchers: HashMap<Name, Moment>,
    freshness: Freshness,
    /// When this node asks anew while it watches: this long after the time at which watchers may.
    confirm_draw_us: u64,
    /// Draws that time, so that looks of watchers don't change how other nodes are spread.
    confirm_rng: SmallRng,
    /// When any other node last said anything.
    heard: Option<Moment>,
    need: Need,
    /// When this node asks if the need lasts.
    due: Moment,
    /// Longest next pause while it is alone, in microseconds.
    pause_us: u64,
    /// Nodes of its hall, as far as it knows.
    hall: usize,
    /// Until when it waits for connections before it asks; none once it has them.
    connects_until: Option<Moment>,
    /// Until when it waits for the first other node that it knows.
    alone_until: Moment,
    rng: SmallRng,
}

impl Watch {
    /// A node that has just started. `first_start`: the whole fleet starts for the first time.
    pub fn new(me: Name, timing: Timing, now: Moment, first_start: bool, seed: u64) -> Watch {
        let mut watch = Watch {
            me,
            timing,
            state: State::Idle,
            watchers: HashMap::new(),
            freshness: Freshness::default(),
            confirm_draw_us: 0,
            confirm_rng: SmallRng::seed_from_u64(!seed),
            heard: None,
            need: Need::First,
            due: now,
            pause_us: LEAST_PAUSE_US,
            hall: 1,
            connects_until: None,
            alone_until: now,
            rng: SmallRng::seed_from_u64(seed),
        };
        let (wait_us, jitter_us) = if first_start {
            (FIRST_START_US, FIRST_SPREAD_US)
        } else {
            (timing.notice_timeout_us, timing.jitter_us)
        };
        let (alone_us, connect_timeout_us) = if first_start {
            (FIRST_ALONE_US, FIRST_CONNECTED_US)
        } else {
            (timing.notice_timeout_us, timing.connect_timeout_us)
        };
        watch.alone_until = now + alone_us;
        watch.connects_until = Some(now + connect_timeout_us);
        watch.due = now + wait_us + watch.draw(jitter_us);
        watch
    }

    /// Takes in how many nodes of the hall are known, and to how many of them a connection is open. A node that has
    /// just started leaves the platform alone until it can hear those that ask: while connections were still being
    /// opened, each of them asked for itself.
    pub fn on_connections(&mut self, now: Moment, known: usize, open: usize) {
        self.hall = known + 1;
        let Some(until) = self.connects_until else {
            return;
        };
        let is_connected = known > 0 && 2 * open >= known;
        let is_alone = known == 0 && now >= self.alone_until;
        if is_connected || is_alone || now >= until {
            self.connects_until = None;
            self.due = self.due.max(now + self.draw(self.timing.jitter_us));
        }
    }

    /// What to do now, while this node neither asks nor watches.
    pub fn advice(&mut self, now: Moment) -> Advice {
        if self.state != State::Idle {
            return Advice::WaitUntil(now + self.timing.notice_timeout_us);
        }
        let need = self.need(now);
        if need != self.need {
            self.need = need;
            self.due = match need {
                Need::First => now + self.draw(self.timing.jitter_us),
                Need::Second => now + self.timing.notice_timeout_us + self.draw(SECOND_SPREAD_US),
                Need::Nothing => self.due,
            };
        }
        if need == Need::Nothing {
            return Advice::WaitUntil(now + self.timing.notice_timeout_us);
        }
        match self.connects_until {
            Some(until) if now < until => Advice::WaitUntil(until.max(self.due)),
            _ if now >= self.due => Advice::Query,
            _ => Advice::WaitUntil(self.due),
        }
    }

    /// Takes in what another node of the hall said.
    pub fn on_notice(&mut self, now: Moment, from: &Name, word: WatchNotice) {
        self.heard = Some(now);
        match word {
            WatchNotice::Watching => {
                self.watchers.insert(from.clone(), now);
            }
            WatchNotice::Querying => self.leave_it_to_another(now),
            WatchNotice::Failed => {
                self.watchers.remove(from);
                self.leave_it_to_another(now);
            }
        }
    }

    /// This node asks from now on.
    pub fn on_query(&mut self) {
        self.state = State::Asking;
    }

    /// The platform answered: this node watches it from now on.
    pub fn on_answer(&mut self) {
        self.state = State::Watching;
        self.pause_us = LEAST_PAUSE_US;
    }

    /// The platform gave no answer. The next try is another node's, where there is one.
    pub fn on_failure(&mut self, now: Moment) {
        self.state = State::Idle;
        self.need = Need::First;
        if self.is_alone(now) {
            let pause_us = self.pause_us;
            self.pause_us = (pause_us * 2).min(MOST_PAUSE_US);
            self.due = now + pause_us / 2 + self.rng.random_range(0..=pause_us / 2);
        } else {
            self.pause_us = LEAST_PAUSE_US;
            self.due = now + 2 * self.timing.jitter_us + self.draw(self.timing.jitter_us);
        }
    }

    /// Whether this node, whose watch has just ended, goes on: not when the hall has enough others that come
    /// before it. If not, it rests.
    pub fn keep_watching(&mut self, now: Moment) -> bool {
        let mine = rendezvous(TOPIC, &self.me);
        let better = self
            .lately(now)
            .filter(|vm| rendezvous(TOPIC, vm) < mine)
            .count();
        if better < WATCHERS_PER_HALL {
            return true;
        }
        self.state = State::Idle;
        false
    }

    /// The platform held nothing newer than this node does at `as_of`.
    pub fn on_confirmed(&mut self, as_of: Moment) {
        if self.freshness.confirm(as_of) {
            let most_us = self.timing.confirm_jitter_us;
            self.confirm_draw_us = self.confirm_rng.random_range(0..=most_us);
        }
    }

    /// What was known of that says nothing any more: the platform's store came back from an older copy.
    pub fn clear_confirmation(&mut self) {
        self.freshness = Freshness::default();
    }

    /// When this node, which watches, asks the platform anew unless what it holds is confirmed meanwhile.
    pub fn next_confirmation(&self, now: Moment) -> Moment {
        let wait_us = self.timing.confirm_after_us + self.confirm_draw_us;
        let age_us = self.age_us(now).unwrap_or(wait_us);
        now + wait_us.saturating_sub(age_us)
    }

    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it never was.
    pub fn age_us(&self, now: Moment) -> Option<u64> {
        self.freshness.age_us(now)
    }

    /// Whether that was too long ago.
    pub fn is_stale(&self, now: Moment) -> bool {
        self.age_us(now)
            .is_none_or(|age_us| age_us >= self.timing.stale_after_us)
    }

    /// The other nodes that have lately said that they watch: the platform answers them.
    pub fn active_watchers(&self, now: Moment) -> Vec<Name> {
        self.lately(now).cloned().collect()
    }

    /// How many other nodes have lately said that they watch.
    pub fn active_watcher_count(&self, now: Moment) -> usize {
        self.lately(now).count()
    }

    /// Whether this node watches and should say so.
    pub fn is_watching(&self) -> bool {
        self.state == State::Watching
    }

    /// Between two words of a watcher, in microseconds.
    pub fn notice_interval_us(&self) -> u64 {
        self.timing.notice_interval_us
    }

    fn need(&self, now: Moment) -> Need {
        if self.is_stale(now) {
            // There may be watchers, but what they say is of no use.
            return Need::First;
        }
        match self.lately(now).count() {
            0 => Need::First,
            known if known < WATCHERS_PER_HALL => Need::Second,
            _ => Need::Nothing,
        }
    }

    /// The other nodes that have lately said that they watch.
    fn lately(&self, now: Moment) -> impl Iterator<Item = &Name> {
        let notice_timeout_us = self.timing.notice_timeout_us;
        self.watchers
            .iter()
            .filter(move |(_, at)| now.since(**at) < notice_timeout_us)
            .map(|(vm, _)| vm)
    }

    /// Another node has just tried or tries now: one try at a time is enough for a hall, however many nodes
    /// find out together that there is no watcher.
    fn leave_it_to_another(&mut self, now: Moment) {
        let earliest = now + self.timing.jitter_us + self.draw(self.timing.jitter_us);
        self.due = self.due.max(earliest);
    }

    fn is_alone(&self, now: Moment) -> bool {
        self.heard.is_none_or(|at| now.since(at) > ALONE_US)
    }

    /// A time up to `most_us`, mostly late in it, so that in a hall of any size few nodes ask before they hear of the
    /// first: of n that draw, `(SPARE n)^(t / most) / SPARE` do so by the time t. Drawn evenly it would be
    /// `n t / most`.
    fn draw(&mut self, most_us: u64) -> u64 {
        let spread = (self.hall as f64 * SPARE).ln();
        let drawn: f64 = self.rng.random_range(f64::MIN_POSITIVE..=1.0);
        let part = (1.0 + drawn.ln() / spread).max(0.0);
        (most_us as f64 * part) as u64
    }
}
