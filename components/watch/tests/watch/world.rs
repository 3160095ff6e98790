//! Simulated hall of nodes on one clock, with a platform that answers some of them and whose open
//! watches may stall.

use names::{Moment, Name, MILLISECOND, SECOND};
use watch::{Advice, Timing, Watch, WatchNotice};

/// Time between two evaluations of a node's advice.
const ADVICE_INTERVAL_US: u64 = 100 * MILLISECOND;
/// Default delivery time of a notice, and duration of a call to the platform.
const NOTICE_DELAY_US: u64 = MILLISECOND;
const CALL_US: u64 = 10 * MILLISECOND;
/// Duration of a call whose answer arrives at a few bytes per second: it does not time out before
/// that.
const HANGING_CALL_US: u64 = 30 * SECOND;
/// Duration of one watch.
const WATCH_US: u64 = 10 * SECOND;
/// Step of the clock.
const STEP_US: u64 = MILLISECOND;
/// Time within which a change must be in force.
pub const BOUND_US: u64 = 3 * SECOND;

struct Node {
    name: Name,
    watch: Watch,
    advice_at: Moment,
    /// Start and end of the call in progress.
    active_call: Option<(Moment, Moment)>,
    version: u64,
    /// Whether its open watch no longer reports changes.
    is_stalled: bool,
    watch_ends: Moment,
    next_notice: Moment,
    is_running: bool,
    /// Whether the platform answers it.
    is_served: bool,
    /// Whether its calls to the platform hang without an answer.
    is_hanging: bool,
    /// Whether notices pass between it and the others.
    is_connected: bool,
    /// Time from which on notices pass between it and the others.
    connected_from: Moment,
}

pub struct World {
    pub now: Moment,
    nodes: Vec<Node>,
    notices: Vec<NoticeInFlight>,
    newest_version: u64,
    /// Calls to the platform that started or continued a watch, with their time and node.
    pub calls: Vec<(Moment, usize)>,
    /// Times of the calls by which watchers checked for missed changes.
    pub polls: Vec<Moment>,
    pub notice_delay_us: u64,
    /// Time from which on nodes know of one another.
    pub known_from: Moment,
}

/// A notice that has not arrived yet.
struct NoticeInFlight {
    arrives: Moment,
    from: usize,
    notice: WatchNotice,
    version: u64,
    /// When the sender's version was last confirmed to be the newest.
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
                advice_at: Moment(seed * 7_919 % ADVICE_INTERVAL_US),
                active_call: None,
                version: 0,
                is_stalled: false,
                watch_ends: Moment(0),
                next_notice: Moment(0),
                is_running: true,
                is_served: true,
                is_hanging: false,
                is_connected: true,
                connected_from: Moment(0),
            }
        });
        World {
            now: Moment(0),
            nodes: nodes.collect(),
            notices: Vec::new(),
            newest_version: 0,
            calls: Vec::new(),
            polls: Vec::new(),
            notice_delay_us: NOTICE_DELAY_US,
            known_from: Moment(0),
        }
    }

    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now = self.now + STEP_US;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_running {
                    self.step(index);
                }
            }
        }
    }

    /// Running nodes that watch and are answered.
    pub fn watchers(&self) -> Vec<usize> {
        let is_answered_watcher =
            |node: &Node| node.is_running && node.is_served && node.watch.is_watching();
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|index| is_answered_watcher(&self.nodes[*index]))
            .collect()
    }

    pub fn calls_since(&self, from: Moment) -> usize {
        self.calls.iter().filter(|(at, _)| *at >= from).count()
    }

    pub fn set_running(&mut self, index: usize, is_running: bool) {
        self.nodes[index].is_running = is_running;
    }

    pub fn set_served(&mut self, index: usize, is_served: bool) {
        self.nodes[index].is_served = is_served;
    }

    pub fn set_connected(&mut self, index: usize, is_connected: bool) {
        self.nodes[index].is_connected = is_connected;
    }

    /// Connects the nodes to the others one by one, the last one `last_us` from now.
    pub fn connect_until(&mut self, last_us: u64) {
        let count = self.nodes.len() as u64;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.connected_from = self.now + last_us * (index as u64 + 1) / count;
        }
    }

    fn can_reach_hall(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.is_connected && node.connected_from <= self.now
    }

    /// Stalls all open watches; new calls work.
    pub fn stall_watches(&mut self) {
        for node in &mut self.nodes {
            node.is_stalled = true;
        }
    }

    /// Sets whether calls of a node to the platform hang without an answer.
    pub fn set_hanging(&mut self, index: usize, is_hanging: bool) {
        self.nodes[index].is_hanging = is_hanging;
    }

    /// Confirms a change at the platform.
    pub fn change(&mut self) {
        self.newest_version += 1;
    }

    /// Nodes that hold the newest version.
    pub fn up_to_date_nodes(&self) -> Vec<usize> {
        let indexes = 0..self.nodes.len();
        indexes
            .filter(|index| self.nodes[*index].version == self.newest_version)
            .collect()
    }

    /// Longest time since the last confirmation at any running node, in microseconds.
    pub fn max_age_us(&self) -> u64 {
        let running = self.nodes.iter().filter(|node| node.is_running);
        let ages = running.map(|node| node.watch.age_us(self.now).unwrap_or(u64::MAX));
        ages.max().unwrap_or(0)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.notices.drain(..).partition(|sent| sent.arrives <= now);
        self.notices = later;
        for sent in due {
            if !self.can_reach_hall(sent.from) {
                continue;
            }
            let name = self.nodes[sent.from].name.clone();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let can_receive = node.is_connected && node.connected_from <= now;
                if index == sent.from || !node.is_running || !can_receive {
                    continue;
                }
                node.watch.on_notice(now, &name, sent.notice);
                // Copying the new version takes no time in this simulation.
                node.version = node.version.max(sent.version);
                if let Some(as_of) = sent.as_of.filter(|_| node.version == sent.version) {
                    node.watch.on_confirmed(as_of);
                }
            }
        }
    }

    fn send_notice(&mut self, index: usize, notice: WatchNotice) {
        let node = &self.nodes[index];
        let age_us = node.watch.age_us(self.now);
        self.notices.push(NoticeInFlight {
            arrives: self.now + self.notice_delay_us,
            from: index,
            notice,
            version: node.version,
            as_of: age_us.map(|age_us| Moment(self.now.0 - age_us)),
        });
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let newest_version = self.newest_version;
        let can_reach_hall = self.can_reach_hall(index);
        // Nodes know one another shortly before they are connected.
        let known = if can_reach_hall || now >= self.known_from {
            self.nodes.len() - 1
        } else {
            0
        };
        let open = if can_reach_hall { known } else { 0 };
        let node = &mut self.nodes[index];
        node.watch.on_connections(now, known, open);
        if let Some((started, ends)) = node.active_call {
            if ends > now {
                self.send_due_notice(index);
                return;
            }
            node.active_call = None;
            let notice = if node.is_served && !node.is_hanging {
                let was_up_to_date = node.version == newest_version;
                node.version = newest_version;
                node.watch.on_confirmed(started);
                let was_watching = node.watch.is_watching();
                if !was_watching || !was_up_to_date {
                    // Another call returned what the watch should have reported: the watch is
                    // restarted.
                    node.watch.on_answer();
                    node.watch_ends = now + WATCH_US;
                    node.is_stalled = false;
                }
                if was_watching && !was_up_to_date {
                    self.calls.push((now, index));
                }
                node.next_notice = now + node.watch.notice_interval_us();
                WatchNotice::Watching
            } else {
                node.watch.on_failure(now);
                WatchNotice::Failed
            };
            self.send_notice(index, notice);
            return;
        }
        if node.watch.is_watching() {
            self.keep_watching(index);
        } else if node.advice_at <= now {
            node.advice_at = now + ADVICE_INTERVAL_US;
            if node.watch.advice(now) == Advice::Query {
                node.watch.on_query();
                self.send_notice(index, WatchNotice::Querying);
                self.start_watch_call(index);
            }
        }
    }

    fn keep_watching(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.is_served {
            // The platform ends the watch and refuses a new one.
            self.start_watch_call(index);
            return;
        }
        if !node.is_stalled && !node.is_hanging && node.version < self.newest_version {
            node.version = self.newest_version;
            self.send_notice(index, WatchNotice::Watching);
            self.calls.push((now, index));
            return;
        }
        if node.watch.next_confirmation(now) <= now {
            self.polls.push(now);
            self.start_call(index);
            return;
        }
        if node.watch_ends <= now {
            if node.watch.keep_watching(now) {
                node.watch_ends = now + WATCH_US;
                node.is_stalled = false;
                self.calls.push((now, index));
            }
            return;
        }
        self.send_due_notice(index);
    }

    /// Sends a watcher's notice when it is due, also while a call of the watcher is in progress.
    fn send_due_notice(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.watch.is_watching() && node.next_notice <= now {
            node.next_notice = now + node.watch.notice_interval_us();
            self.send_notice(index, WatchNotice::Watching);
        }
    }

    fn start_watch_call(&mut self, index: usize) {
        self.calls.push((self.now, index));
        self.start_call(index);
    }

    fn start_call(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let duration_us = if node.is_hanging {
            HANGING_CALL_US
        } else {
            CALL_US
        };
        node.active_call = Some((now, now + duration_us));
    }
}
