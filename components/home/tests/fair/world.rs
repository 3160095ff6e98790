//! A service of several upstreams under a drawn load of accounts: home duties as they are, entry nodes that ask for a free
//! slot up to five times before they queue, and no network.

use home::{Action, Config, Home, Offer, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Slots of an upstream.
pub const SLOTS: u32 = 12;
const IMMEDIATE_OFFERS: usize = 5;
const QUEUE_OFFERS: usize = 3;
const TICK_US: u64 = 5 * MILLISECOND;
const WARM_UP_US: u64 = 2 * SECOND;
const BEGIN: Moment = Moment(10 * SECOND);

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Usual run time.
    pub run_us: u64,
    pub objective_us: u64,
    pub deadline_us: u64,
    pub priority: u8,
    pub repeatable: bool,
}

/// Requests of one kind that an account sends.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub account: usize,
    pub kind: Kind,
    pub per_s: f64,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Load {
    pub homes: usize,
    pub sources: Vec<Source>,
    pub lasts_us: u64,
    pub seed: u64,
    /// The account whose requests come from several entry nodes, and how many those are.
    pub spread: (usize, u64),
}

/// Whether the home duties are told the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The order without accounts.
    OneQueue,
    /// Start-time fair queueing.
    Turns,
}

/// What became of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
}

impl Tally {
    /// Part answered in time.
    pub fn part(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    fn add(&mut self, other: Tally) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// What became of a load, by account and priority.
#[derive(Debug, Default)]
pub struct Outcome(pub BTreeMap<(usize, u8), Tally>);

impl Outcome {
    /// All requests that `are` so, by account and priority.
    pub fn of(&self, are: impl Fn(usize, u8) -> bool) -> Tally {
        let mut sum = Tally::default();
        for ((account, priority), tally) in &self.0 {
            if are(*account, *priority) {
                sum.add(*tally);
            }
        }
        sum
    }

    /// The part of each account that was answered in time, the least first.
    pub fn parts(&self, are: impl Fn(usize, u8) -> bool) -> Vec<f64> {
        let accounts: std::collections::BTreeSet<usize> =
            self.0.keys().map(|(account, _)| *account).collect();
        let mut parts: Vec<f64> = accounts
            .into_iter()
            .map(|account| self.of(|other, priority| other == account && are(other, priority)))
            .filter(|tally| tally.asked > 0)
            .map(|tally| tally.part())
            .collect();
        parts.sort_by(f64::total_cmp);
        parts
    }
}

/// The mean.
pub fn mean(parts: &[f64]) -> f64 {
    parts.iter().sum::<f64>() / parts.len().max(1) as f64
}

/// The mean of the worst tenth, of parts in order.
pub fn worst_tenth(parts: &[f64]) -> f64 {
    mean(&parts[..parts.len().div_ceil(10)])
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Ends(usize, AttemptId),
    Tick,
}

#[derive(Debug)]
struct Request {
    source: Source,
    sent: Moment,
    run_us: u64,
    refused_by: Vec<usize>,
    closed: Vec<usize>,
}

struct World<'a> {
    load: &'a Load,
    way: Way,
    homes: Vec<Home<u64>>,
    /// Draws what is asked and how long it runs, so that both ways see the same load.
    asked: SmallRng,
    /// Draws whom entry nodes ask.
    chosen: SmallRng,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    requests: Vec<Request>,
    attempts: HashMap<AttemptId, (usize, bool)>,
    next: u64,
    outcome: Outcome,
}

/// Plays a load.
pub fn play(load: &Load, way: Way) -> Outcome {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        ..Config::default()
    };
    let mut world = World {
        load,
        way,
        homes: (0..load.homes)
            .map(|_| Home::new(BootId(1), cfg.clone()))
            .collect(),
        asked: SmallRng::seed_from_u64(load.seed),
        chosen: SmallRng::seed_from_u64(load.seed + 1),
        now: BEGIN,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        attempts: HashMap::new(),
        next: 0,
        outcome: Outcome::default(),
    };
    for source in 0..load.sources.len() {
        world.schedule_arrival(source);
    }
    world.at(BEGIN, Event::Tick);
    world.run();
    world.outcome
}

impl World<'_> {
    fn at(&mut self, moment: Moment, event: Event) {
        self.next += 1;
        self.events.push(Reverse((moment, self.next, event)));
    }

    fn schedule_arrival(&mut self, source: usize) {
        let per_us = self.load.sources[source].per_s / SECOND as f64;
        let gap_us = -self.asked.random::<f64>().max(1e-12).ln() / per_us;
        let moment = self.now + gap_us as u64;
        if moment < BEGIN + self.load.lasts_us {
            self.at(moment, Event::Arrives(source));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrives(source) => {
                    self.schedule_arrival(source);
                    let usual_us = self.load.sources[source].kind.run_us as f64;
                    let request = Request {
                        source: self.load.sources[source],
                        sent: now,
                        run_us: (usual_us * self.asked.random_range(0.6..1.4)) as u64,
                        refused_by: Vec::new(),
                        closed: Vec::new(),
                    };
                    self.requests.push(request);
                    self.count(self.requests.len() - 1, |tally| tally.asked += 1);
                    self.offer(self.requests.len() - 1);
                }
                Event::Ends(home, id) => self.ended(home, id),
                Event::Tick => {
                    for home in 0..self.homes.len() {
                        let actions = self.homes[home].tick(now);
                        self.perform(home, actions);
                    }
                    let is_over = self.homes.iter().all(Home::is_idle);
                    if !is_over || now < BEGIN + self.load.lasts_us {
                        self.at(now + TICK_US, Event::Tick);
                    }
                }
            }
        }
    }

    /// Makes the next offer of a request, or gives up.
    fn offer(&mut self, index: usize) {
        let request = &self.requests[index];
        let left_us = (request.sent + request.source.kind.deadline_us).since(self.now);
        let open = |taken: &[usize]| -> Vec<usize> {
            let homes = 0..self.homes.len();
            homes.filter(|home| !taken.contains(home)).collect()
        };
        let unasked = open(&request.refused_by);
        let is_immediate = request.closed.is_empty()
            && request.refused_by.len() < IMMEDIATE_OFFERS
            && !unasked.is_empty();
        let to = if is_immediate {
            Some(unasked[self.chosen.random_range(0..unasked.len())])
        } else {
            let open = open(&request.closed);
            let queued = |home: &usize| self.homes[*home].load(self.now).queued;
            open.into_iter().min_by_key(queued)
        };
        let to = to.filter(|_| left_us > 0 && request.closed.len() < QUEUE_OFFERS);
        let Some(to) = to else {
            self.count(index, |tally| tally.refused += 1);
            return;
        };
        let offer = self.offer_of(index, left_us, !is_immediate);
        self.attempts.insert(offer.id, (index, is_immediate));
        let actions = self.homes[to].offer(self.now, &offer);
        self.perform(to, actions);
    }

    fn offer_of(&mut self, index: usize, left_us: u64, may_queue: bool) -> Offer {
        self.next += 1;
        let Source { account, kind, .. } = self.requests[index].source;
        let (spread, entries) = self.load.spread;
        let entry = match account == spread {
            true => self.next % entries,
            false => 0,
        };
        let waited_us = self.now.since(self.requests[index].sent);
        Offer {
            id: AttemptId {
                boot: BootId(9 + entry),
                seq: self.next,
            },
            service: "s".into(),
            remaining_us: left_us,
            objective_us: Some(kind.objective_us.saturating_sub(waited_us)),
            priority: kind.priority,
            level: 0,
            repeatable: kind.repeatable,
            may_queue,
            repeat: false,
            suspicion: Suspicion::None,
            returned: false,
            report_straggler: false,
            known_limit: None,
            account: (self.way == Way::Turns).then(|| format!("account-{account}").into()),
        }
    }

    fn perform(&mut self, home: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let (index, _) = self.attempts[&id];
                    let end = self.now + self.requests[index].run_us;
                    self.at(end, Event::Ends(home, id));
                }
                Action::Refuse(id, _) | Action::Revoke(id) => {
                    let (index, is_immediate) = self.attempts[&id];
                    let request = &mut self.requests[index];
                    if is_immediate {
                        request.refused_by.push(home);
                    } else {
                        request.closed.push(home);
                    }
                    self.offer(index);
                }
                Action::Probe | Action::Straggles(_) => {}
            }
        }
    }

    fn ended(&mut self, home: usize, id: AttemptId) {
        let (index, _) = self.attempts[&id];
        let request = &self.requests[index];
        let took_us = self.now.since(request.sent);
        let is_in_time = took_us <= request.source.kind.objective_us;
        self.count(index, |tally| match is_in_time {
            true => tally.in_time += 1,
            false => tally.late += 1,
        });
        let actions = self.homes[home].completed(self.now, id, Verdict::Good, None);
        self.perform(home, actions);
    }

    /// Counts what became of a request, unless it was sent before the homes knew the usual times.
    fn count(&mut self, index: usize, count: impl Fn(&mut Tally)) {
        let Request { source, sent, .. } = &self.requests[index];
        if *sent >= BEGIN + WARM_UP_US {
            let key = (source.account, source.kind.priority);
            count(self.outcome.0.entry(key).or_default());
        }
    }
}
