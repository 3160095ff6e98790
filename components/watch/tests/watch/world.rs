//! A hall of nodes on one clock, with a platform that answers some of them.

use names::{Moment, Name, MILLISECOND, SECOND};
use watch::{Advice, Timing, Watch, Word};

/// How often a node looks at its duty.
const LOOK_US: u64 = 100 * MILLISECOND;
/// Time that a word takes, and a call to the platform.
const WAY_US: u64 = MILLISECOND;
const CALL_US: u64 = 10 * MILLISECOND;
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
    /// End of the call under way.
    call_ends: Option<Moment>,
    watch_ends: Moment,
    word_at: Moment,
    is_up: bool,
    /// Whether the platform answers it.
    is_served: bool,
    /// Whether it hears the others and they hear it.
    is_connected: bool,
}

/// The hall.
pub struct World {
    pub now: Moment,
    nodes: Vec<Node>,
    words: Vec<(Moment, usize, Word)>,
    /// Calls to the platform: when, and by whom.
    pub calls: Vec<(Moment, usize)>,
}

impl World {
    pub fn new(count: usize, first_start: bool, seed: u64) -> World {
        let timing = Timing::of(BOUND_US);
        let nodes = (0..count).map(|index| {
            let name = Name::from(format!("vm-{index}"));
            let seed = seed * 1_000 + index as u64;
            let watch = Watch::new(name.clone(), timing, Moment(0), first_start, seed);
            Node {
                name,
                watch,
                look_at: Moment(seed * 7_919 % LOOK_US),
                call_ends: None,
                watch_ends: Moment(0),
                word_at: Moment(0),
                is_up: true,
                is_served: true,
                is_connected: true,
            }
        });
        World {
            now: Moment(0),
            nodes: nodes.collect(),
            words: Vec::new(),
            calls: Vec::new(),
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

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.words.extract_due(now);
        for (from, word) in due {
            if !self.nodes[from].is_connected {
                continue;
            }
            let name = self.nodes[from].name.clone();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                if index != from && node.is_up && node.is_connected {
                    node.watch.heard(now, &name, word);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.call_ends.is_some_and(|at| at <= now) {
            node.call_ends = None;
            let word = if node.is_served {
                node.watch.answered();
                node.watch_ends = now + WATCH_US;
                node.word_at = now + node.watch.period_us();
                Word::Watches
            } else {
                node.watch.failed(now);
                Word::Failed
            };
            self.words.push((now + WAY_US, index, word));
            return;
        }
        if node.watch.is_watching() {
            self.keep_watching(index);
        } else if node.call_ends.is_none() && node.look_at <= now {
            node.look_at = now + LOOK_US;
            if node.watch.advice(now) == Advice::Ask {
                node.watch.asks();
                self.words.push((now + WAY_US, index, Word::Asks));
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
        if node.watch_ends <= now {
            if node.watch.renews(now) {
                node.watch_ends = now + WATCH_US;
                self.calls.push((now, index));
            }
            return;
        }
        if node.word_at <= now {
            node.word_at = now + node.watch.period_us();
            self.words.push((now + WAY_US, index, Word::Watches));
        }
    }

    fn call(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.call_ends.is_none() {
            node.call_ends = Some(now + CALL_US);
            self.calls.push((now, index));
        }
    }
}

trait ExtractDue {
    fn extract_due(&mut self, now: Moment) -> Vec<(usize, Word)>;
}

impl ExtractDue for Vec<(Moment, usize, Word)> {
    fn extract_due(&mut self, now: Moment) -> Vec<(usize, Word)> {
        let (due, rest): (Vec<_>, Vec<_>) = self.drain(..).partition(|(at, _, _)| *at <= now);
        *self = rest;
        due.into_iter()
            .map(|(_, from, word)| (from, word))
            .collect()
    }
}
