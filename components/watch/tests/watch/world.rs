//! A hall of nodes on one clock, with a platform that answers some of them and whose connections may fall silent.

use names::{Moment, Name, MILLISECOND, SECOND};
use watch::{Advice, Timing, Watch, WatchNotice};

/// How often a node looks at its duty.
const LOOK_US: u64 = 100 * MILLISECOND;
/// Time that a word takes unless a test says otherwise, and a call to the platform.
const WAY_US: u64 = MILLISECOND;
const CALL_US: u64 = 10 * MILLISECOND;
/// How long a call lasts whose answer comes a few bytes a second: it is not given up before that.
const UNANSWERED_US: u64 = 30 * SECOND;
/// How long one watch waits.
const WATCH_US: u64 = 10 * SECOND;
/// Step of the clock.
const STEP_US: u64 = MILLISECOND;
/// Within how long changes have to be in force.
pub const BOUND_US: u64 = 3 * SECOND;

struct Node {
    name: Name,
    watch: Watch,
    look_at: Moment,
    /// Begin and end of the call under way.
    call: Option<(Moment, Moment)>,
    /// Version that it holds.
    knows: u64,
    /// Whether its open watch says nothing any more.
    is_mute: bool,
    watch_ends: Moment,
    word_at: Moment,
    is_up: bool,
    /// Whether the platform answers it.
    is_served: bool,
    /// Whether the platform leaves it without any answer.
    is_unanswered: bool,
    /// Whether it hears the others and they hear it.
    is_connected: bool,
    /// From when on it hears the others and they hear it.
    connected_from: Moment,
}

/// The hall.
pub struct World {
    pub now: Moment,
    nodes: Vec<Node>,
    words: Vec<Said>,
    /// Newest version at the platform.
    newest: u64,
    /// Calls to the platform by which nodes began to watch, or went on: when, and by whom.
    pub calls: Vec<(Moment, usize)>,
    /// Calls by which watchers asked whether they had missed anything.
    pub looks: Vec<Moment>,
    /// Time that a word takes.
    pub way_us: u64,
    /// From when on nodes know of one another.
    pub known_from: Moment,
}

/// A word on its way.
struct Said {
    arrives: Moment,
    from: usize,
    word: WatchNotice,
    knows: u64,
    /// When the speaker's version was last known to be the newest.
    as_of: Option<Moment>,
}

impl World {
    pub fn new(count: usize, first_start: bool, seed: u64) -> World {
        let timing = Timing::for_bound(BOUND_US);
        let nodes = (0..count).map(|index| {
            let name = Name::from(format!("vm-{index}"));
            let seed = seed * 1_000 + index as u64;
            let watch = Watch::new(name.clone(), timing, Moment(0), first_start, seed);
            Node {
                name,
                watch,
                look_at: Moment(seed * 7_919 % LOOK_US),
                call: None,
                knows: 0,
                is_mute: false,
                watch_ends: Moment(0),
                word_at: Moment(0),
                is_up: true,
                is_served: true,
                is_unanswered: false,
                is_connected: true,
                connected_from: Moment(0),
            }
        });
        World {
            now: Moment(0),
            nodes: nodes.collect(),
            words: Vec::new(),
            newest: 0,
            calls: Vec::new(),
            looks: Vec::new(),
            way_us: WAY_US,
            known_from: Moment(0),
        }
    }

    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now = self.now + STEP_US;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_up {
                    self.step(index);
                }
            }
        }
    }

    /// The nodes that watch and are answered.
    pub fn watchers(&self) -> Vec<usize> {
        let watches = |node: &Node| node.is_up && node.is_served && node.watch.is_watching();
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|index| watches(&self.nodes[*index]))
            .collect()
    }

    pub fn calls_since(&self, from: Moment) -> usize {
        self.calls.iter().filter(|(at, _)| *at >= from).count()
    }

    pub fn set_up(&mut self, index: usize, is_up: bool) {
        self.nodes[index].is_up = is_up;
    }

    pub fn set_served(&mut self, index: usize, is_served: bool) {
        self.nodes[index].is_served = is_served;
    }

    pub fn set_connected(&mut self, index: usize, is_connected: bool) {
        self.nodes[index].is_connected = is_connected;
    }

    /// Nodes are connected to the others one after the other, until `last_us` from now.
    pub fn connect_until(&mut self, last_us: u64) {
        let count = self.nodes.len() as u64;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.connected_from = self.now + last_us * (index as u64 + 1) / count;
        }
    }

    fn is_heard(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.is_connected && node.connected_from <= self.now
    }

    /// Open watches say nothing any more; new calls work.
    pub fn mute_watches(&mut self) {
        for node in &mut self.nodes {
            node.is_mute = true;
        }
    }

    /// The platform leaves a node without any answer, or answers it again.
    pub fn set_unanswered(&mut self, index: usize, is_unanswered: bool) {
        self.nodes[index].is_unanswered = is_unanswered;
    }

    /// A change is confirmed.
    pub fn change(&mut self) {
        self.newest += 1;
    }

    /// The nodes that hold the newest version.
    pub fn informed(&self) -> Vec<usize> {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|index| self.nodes[*index].knows == self.newest)
            .collect()
    }

    /// The oldest knowledge of any node that runs, in microseconds.
    pub fn oldest_us(&self) -> u64 {
        let running = self.nodes.iter().filter(|node| node.is_up);
        let ages = running.map(|node| node.watch.age_us(self.now).unwrap_or(u64::MAX));
        ages.max().unwrap_or(0)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.words.drain(..).partition(|said| said.arrives <= now);
        self.words = rest;
        for said in due {
            if !self.is_heard(said.from) {
                continue;
            }
            let name = self.nodes[said.from].name.clone();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let hears = node.is_connected && node.connected_from <= now;
                if index == said.from || !node.is_up || !hears {
                    continue;
                }
                node.watch.on_notice(now, &name, said.word);
                // Copies take no time here.
                node.knows = node.knows.max(said.knows);
                if let Some(as_of) = said.as_of.filter(|_| node.knows == said.knows) {
                    node.watch.on_confirmed(as_of);
                }
            }
        }
    }

    fn say(&mut self, index: usize, word: WatchNotice) {
        let node = &self.nodes[index];
        let age_us = node.watch.age_us(self.now);
        self.words.push(Said {
            arrives: self.now + self.way_us,
            from: index,
            word,
            knows: node.knows,
            as_of: age_us.map(|age_us| Moment(self.now.0 - age_us)),
        });
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let newest = self.newest;
        let is_heard = self.is_heard(index);
        // Others are known shortly before connections to them are open.
        let known = if is_heard || now >= self.known_from {
            self.nodes.len() - 1
        } else {
            0
        };
        let open = if is_heard { known } else { 0 };
        let node = &mut self.nodes[index];
        node.watch.on_connections(now, known, open);
        if let Some((began, ends)) = node.call {
            if ends > now {
                self.speak(index);
                return;
            }
            node.call = None;
            let word = if node.is_served && !node.is_unanswered {
                let was_told = node.knows == newest;
                node.knows = newest;
                node.watch.on_confirmed(began);
                let watched = node.watch.is_watching();
                if !watched || !was_told {
                    // What a watch should have told came by another call: it is begun anew.
                    node.watch.on_answer();
                    node.watch_ends = now + WATCH_US;
                    node.is_mute = false;
                }
                if watched && !was_told {
                    self.calls.push((now, index));
                }
                node.word_at = now + node.watch.notice_interval_us();
                WatchNotice::Watching
            } else {
                node.watch.on_failure(now);
                WatchNotice::Failed
            };
            self.say(index, word);
            return;
        }
        if node.watch.is_watching() {
            self.keep_watching(index);
        } else if node.look_at <= now {
            node.look_at = now + LOOK_US;
            if node.watch.advice(now) == Advice::Query {
                node.watch.on_query();
                self.say(index, WatchNotice::Querying);
                self.call(index);
            }
        }
    }

    fn keep_watching(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.is_served {
            // The platform cuts the watch, and a new one is refused.
            self.call(index);
            return;
        }
        if !node.is_mute && !node.is_unanswered && node.knows < self.newest {
            node.knows = self.newest;
            self.say(index, WatchNotice::Watching);
            self.calls.push((now, index));
            return;
        }
        if node.watch.next_confirmation(now) <= now {
            self.looks.push(now);
            self.begin(index);
            return;
        }
        if node.watch_ends <= now {
            if node.watch.keep_watching(now) {
                node.watch_ends = now + WATCH_US;
                node.is_mute = false;
                self.calls.push((now, index));
            }
            return;
        }
        self.speak(index);
    }

    /// Watchers say that they watch, also while a call of theirs is under way.
    fn speak(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.watch.is_watching() && node.word_at <= now {
            node.word_at = now + node.watch.notice_interval_us();
            self.say(index, WatchNotice::Watching);
        }
    }

    fn call(&mut self, index: usize) {
        self.calls.push((self.now, index));
        self.begin(index);
    }

    fn begin(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let lasts_us = if node.is_unanswered {
            UNANSWERED_US
        } else {
            CALL_US
        };
        node.call = Some((now, now + lasts_us));
    }
}
