//! Simulation of one service with several upstreams under a random load of accounts. The home duties are the
//! real ones; entry nodes offer a request for a free slot up to five times before they let it queue; there is
//! no network.

use home::{Action, Config, Home, Offer, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Slots per upstream.
pub const SLOTS: u32 = 12;
const IMMEDIATE_OFFERS: usize = 5;
const QUEUE_OFFERS: usize = 3;
const TICK_INTERVAL_US: u64 = 5 * MILLISECOND;
const WARM_UP_US: u64 = 2 * SECOND;
const START: Moment = Moment(10 * SECOND);

/// Properties of a kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Mean run time.
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

/// The load of one simulation.
#[derive(Debug, Clone)]
pub struct Load {
    pub homes: usize,
    pub sources: Vec<Source>,
    pub duration_us: u64,
    pub seed: u64,
    /// The account whose requests are sent by several entry nodes, and their number.
    pub spread: (usize, u64),
}

/// Whether offers carry the account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The order without accounts.
    OneQueue,
    /// Start-time fair queueing.
    Fair,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    pub sent: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
}

impl Tally {
    /// Fraction answered in time.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    fn add(&mut self, other: Tally) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// Outcomes of a load by account and priority.
#[derive(Debug, Default)]
pub struct Outcome(pub BTreeMap<(usize, u8), Tally>);

impl Outcome {
    /// Sum over the accounts and priorities that `include` accepts.
    pub fn of(&self, include: impl Fn(usize, u8) -> bool) -> Tally {
        let mut sum = Tally::default();
        for ((account, priority), tally) in &self.0 {
            if include(*account, *priority) {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Fraction of each account's requests that were answered in time, in ascending order.
    pub fn in_time_fractions(&self, include: impl Fn(usize, u8) -> bool) -> Vec<f64> {
        let accounts: std::collections::BTreeSet<usize> =
            self.0.keys().map(|(account, _)| *account).collect();
        let mut fractions: Vec<f64> = accounts
            .into_iter()
            .map(|account| self.of(|other, priority| other == account && include(other, priority)))
            .filter(|tally| tally.sent > 0)
            .map(|tally| tally.in_time_fraction())
            .collect();
        fractions.sort_by(f64::total_cmp);
        fractions
    }
}

pub fn mean(fractions: &[f64]) -> f64 {
    fractions.iter().sum::<f64>() / fractions.len().max(1) as f64
}

/// The mean of the lowest tenth of values in ascending order.
pub fn worst_tenth(fractions: &[f64]) -> f64 {
    mean(&fractions[..fractions.len().div_ceil(10)])
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Completion(usize, AttemptId),
    Tick,
}

#[derive(Debug)]
struct Request {
    source: Source,
    sent: Moment,
    run_us: u64,
    /// Homes that refused the request when it was offered for a free slot only.
    refused_by: Vec<usize>,
    /// Homes that refused the request or revoked it from their queue.
    queue_refused_by: Vec<usize>,
}

struct Simulation<'a> {
    load: &'a Load,
    order: Order,
    homes: Vec<Home<u64>>,
    /// For arrivals and run times, so that both orders get the same load.
    load_rng: SmallRng,
    /// For the homes that entry nodes choose.
    choice_rng: SmallRng,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    requests: Vec<Request>,
    attempts: HashMap<AttemptId, (usize, bool)>,
    next_seq: u64,
    outcome: Outcome,
}

pub fn simulate(load: &Load, order: Order) -> Outcome {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        ..Config::default()
    };
    let mut simulation = Simulation {
        load,
        order,
        homes: (0..load.homes)
            .map(|_| Home::new(BootId(1), cfg.clone()))
            .collect(),
        load_rng: SmallRng::seed_from_u64(load.seed),
        choice_rng: SmallRng::seed_from_u64(load.seed + 1),
        now: START,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        attempts: HashMap::new(),
        next_seq: 0,
        outcome: Outcome::default(),
    };
    for source in 0..load.sources.len() {
        simulation.schedule_arrival(source);
    }
    simulation.schedule(START, Event::Tick);
    simulation.run();
    simulation.outcome
}

impl Simulation<'_> {
    fn schedule(&mut self, moment: Moment, event: Event) {
        self.next_seq += 1;
        self.events.push(Reverse((moment, self.next_seq, event)));
    }

    fn schedule_arrival(&mut self, source: usize) {
        let per_us = self.load.sources[source].per_s / SECOND as f64;
        let gap_us = -self.load_rng.random::<f64>().max(1e-12).ln() / per_us;
        let moment = self.now + gap_us as u64;
        if moment < START + self.load.duration_us {
            self.schedule(moment, Event::Arrival(source));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrival(source) => {
                    self.schedule_arrival(source);
                    let mean_run_us = self.load.sources[source].kind.run_us as f64;
                    let request = Request {
                        source: self.load.sources[source],
                        sent: now,
                        run_us: (mean_run_us * self.load_rng.random_range(0.6..1.4)) as u64,
                        refused_by: Vec::new(),
                        queue_refused_by: Vec::new(),
                    };
                    self.requests.push(request);
                    self.count(self.requests.len() - 1, |tally| tally.sent += 1);
                    self.offer(self.requests.len() - 1);
                }
                Event::Completion(home, id) => self.ended(home, id),
                Event::Tick => {
                    for home in 0..self.homes.len() {
                        let actions = self.homes[home].tick(now);
                        self.perform(home, actions);
                    }
                    let is_over = self.homes.iter().all(Home::is_idle);
                    if !is_over || now < START + self.load.duration_us {
                        self.schedule(now + TICK_INTERVAL_US, Event::Tick);
                    }
                }
            }
        }
    }

    /// Makes the next offer of a request, or counts it as refused.
    fn offer(&mut self, index: usize) {
        let request = &self.requests[index];
        let left_us = (request.sent + request.source.kind.deadline_us).since(self.now);
        let homes_without = |excluded: &[usize]| -> Vec<usize> {
            let homes = 0..self.homes.len();
            homes.filter(|home| !excluded.contains(home)).collect()
        };
        let untried = homes_without(&request.refused_by);
        let is_immediate = request.queue_refused_by.is_empty()
            && request.refused_by.len() < IMMEDIATE_OFFERS
            && !untried.is_empty();
        let target = if is_immediate {
            Some(untried[self.choice_rng.random_range(0..untried.len())])
        } else {
            let candidates = homes_without(&request.queue_refused_by);
            let queued = |home: &usize| self.homes[*home].load(self.now).queued;
            candidates.into_iter().min_by_key(queued)
        };
        let target =
            target.filter(|_| left_us > 0 && request.queue_refused_by.len() < QUEUE_OFFERS);
        let Some(target) = target else {
            self.count(index, |tally| tally.refused += 1);
            return;
        };
        let offer = self.offer_of(index, left_us, !is_immediate);
        self.attempts.insert(offer.id, (index, is_immediate));
        let actions = self.homes[target].offer(self.now, &offer);
        self.perform(target, actions);
    }

    fn offer_of(&mut self, index: usize, left_us: u64, may_queue: bool) -> Offer {
        self.next_seq += 1;
        let Source { account, kind, .. } = self.requests[index].source;
        let (spread_account, entries) = self.load.spread;
        let entry = match account == spread_account {
            true => self.next_seq % entries,
            false => 0,
        };
        let waited_us = self.now.since(self.requests[index].sent);
        Offer {
            id: AttemptId {
                boot: BootId(9 + entry),
                seq: self.next_seq,
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
            account: (self.order == Order::Fair).then(|| format!("account-{account}").into()),
        }
    }

    fn perform(&mut self, home: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let (index, _) = self.attempts[&id];
                    let ends_at = self.now + self.requests[index].run_us;
                    self.schedule(ends_at, Event::Completion(home, id));
                }
                Action::Refuse(id, _) | Action::Revoke(id) => {
                    let (index, is_immediate) = self.attempts[&id];
                    let request = &mut self.requests[index];
                    if is_immediate {
                        request.refused_by.push(home);
                    } else {
                        request.queue_refused_by.push(home);
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

    /// Counts a request, unless it was sent before the homes had typical run times.
    fn count(&mut self, index: usize, count: impl Fn(&mut Tally)) {
        let Request { source, sent, .. } = &self.requests[index];
        if *sent >= START + WARM_UP_US {
            let key = (source.account, source.kind.priority);
            count(self.outcome.0.entry(key).or_default());
        }
    }
}
