//! Simulates a hall of upstreams with their home duties and entry duties under a load.

use entry::{
    Action, Call, Candidate, Entry, Event, HedgeDecision, Origin, Outcome, Price,
    RetryBudgetConfig, SelectionRule, Treatment,
};
use home::{Config, Home, Offer, RunTimes, Verdict};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

const VMS: usize = 8;
const SLOTS: u32 = 6;
/// Concurrent runs that an upstream sustains before they slow down, and their share of the slots.
const SUSTAINED_RUNS: usize = 4;
const USABLE_FRACTION: f64 = 0.67;
const REQUESTS: usize = 4_000;
/// Index of the first request that counts. Home duties learn run times from the earlier ones.
const FIRST_COUNTED: usize = 1_000;
const NETWORK_DELAY_US: u64 = 300;
const TICK_US: u64 = 5 * MILLISECOND;
const TAIL_FRACTION: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// The fleet's bound on repeats.
const RATIO: f64 = 0.2;
const SLACK: f64 = 62.0;
const SEED: u64 = 11;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
}

impl Class {
    fn draw_run_us(&self, rng: &mut SmallRng) -> u64 {
        // Logarithms are uniform around the median, with a tenth of them above the 90th percentile.
        let spread = (self.p90_ms / self.p50_ms).ln() / 0.8;
        let factor = f64::exp(spread * rng.random_range(-1.0..1.0));
        (self.p50_ms * factor * MILLISECOND as f64) as u64
    }
}

/// The requests that callers send.
#[derive(Debug, Clone)]
pub struct Load {
    pub name: &'static str,
    /// Classes; each has the same number of requests.
    pub classes: Vec<Class>,
    /// Load as a fraction of the capacity of all upstreams.
    pub capacity_fraction: f64,
}

/// Run time after which a hedged attempt is considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delay {
    None,
    /// Milliseconds.
    Fixed(u64),
    Percentile,
    LatestUseful,
}

impl Delay {
    pub fn as_str(self) -> &'static str {
        match self {
            Delay::None => "none",
            Delay::Fixed(_) => "fixed",
            Delay::Percentile => "percentile",
            Delay::LatestUseful => "latest",
        }
    }
}

/// Result of one load with one delay.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Hedged attempts that were refused, by reason.
    pub reasons: BTreeMap<&'static str, usize>,
    pub sent: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub hedges: usize,
    pub won: usize,
    pub p97_ms: u64,
    /// Mean time for which a request occupies slots.
    pub slot_ms: u64,
}

#[derive(Debug, Clone)]
enum SimEvent {
    Arrived(usize),
    Expired(usize),
    Offered(usize, Offer),
    Cancelled(usize, AttemptId),
    Delivered(usize, usize, Event<usize>),
    RunFinished(usize, AttemptId),
    HedgeDue(usize, AttemptId),
    Tick,
}

struct Request {
    class: Class,
    call: Call<usize>,
    node: usize,
    started_at: Moment,
    duration_us: Option<u64>,
    is_done: bool,
}

struct Running {
    request: usize,
    started_at: Moment,
}

struct Vm {
    home: Home<usize>,
    running: HashMap<AttemptId, Running>,
    run_times: RunTimes,
}

struct Hall {
    now: Moment,
    delay: Delay,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    attempts: HashMap<AttemptId, (usize, bool)>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    sim_events: HashMap<u64, SimEvent>,
    next: u64,
    slot_us: u64,
    row: Row,
    rng: SmallRng,
}

/// Replays a load with one delay.
pub fn replay_load(load: &Load, delay: Delay) -> Row {
    let mut hall = Hall::new(load, delay);
    while let Some(Reverse((at, seq))) = hall.queue.pop() {
        hall.now = at;
        let sim_event = hall
            .sim_events
            .remove(&seq)
            .expect("every queue entry has an event");
        hall.on_sim_event(sim_event);
    }
    hall.result()
}

fn vm(index: usize) -> Name {
    Name::from(format!("vm-{index}"))
}

fn index(vm: &Name) -> usize {
    let number = vm.as_str().trim_start_matches("vm-");
    number.parse().expect("VM names end in their index")
}

impl Hall {
    fn new(load: &Load, delay: Delay) -> Hall {
        let mut hall = Hall {
            now: Moment(SECOND),
            delay,
            entries: Vec::new(),
            vms: Vec::new(),
            requests: Vec::new(),
            attempts: HashMap::new(),
            queue: BinaryHeap::new(),
            sim_events: HashMap::new(),
            next: 0,
            slot_us: 0,
            row: Row::default(),
            rng: SmallRng::seed_from_u64(SEED),
        };
        for i in 0..VMS as u64 {
            let mut entry = Entry::new(BootId(100 + i), SelectionRule::Priced, SEED + i);
            entry.set_retry_config(RetryBudgetConfig::node_share(RATIO, SLACK, VMS));
            hall.entries.push(entry);
            let cfg = Config {
                slots: SLOTS,
                usable_fraction: USABLE_FRACTION,
                adaptive: false,
                ..Config::default()
            };
            hall.vms.push(Vm {
                home: Home::new(BootId(i), cfg),
                running: HashMap::new(),
                run_times: RunTimes::default(),
            });
        }
        hall.schedule_requests(load);
        hall
    }

    /// Schedules all requests and ticks.
    fn schedule_requests(&mut self, load: &Load) {
        let mean_factor = 1.0 + TAIL_FRACTION * (TAIL_FACTOR - 1.0);
        let p50_ms_total: f64 = load.classes.iter().map(|class| class.p50_ms).sum();
        let run_us = p50_ms_total / load.classes.len() as f64 * mean_factor * MILLISECOND as f64;
        let gap_us = run_us / (VMS * SUSTAINED_RUNS) as f64 / load.capacity_fraction;
        let mut at = self.now;
        for i in 0..REQUESTS {
            let gap = -gap_us * f64::ln(self.rng.random_range(1e-9..1.0));
            at = at + gap as u64;
            let class = load.classes[i % load.classes.len()];
            let candidates = (0..VMS).map(|i| Candidate {
                vm: vm(i),
                same_hall: true,
                local: false,
            });
            let treatment = Treatment {
                repeatable: true,
                priority: 5,
                max_runs: 2,
                max_arrivals: 2,
                origin: Origin::Client,
            };
            let deadline = at + class.deadline_ms * MILLISECOND;
            let call = Call::new("s".into(), treatment, deadline, candidates.collect())
                .with_price(Price::of(5, class.objective_ms * MILLISECOND, false));
            let node = self.rng.random_range(0..VMS);
            self.requests.push(Request {
                class,
                call,
                node,
                started_at: at,
                duration_us: None,
                is_done: false,
            });
            self.schedule(at, SimEvent::Arrived(i));
            self.schedule(deadline, SimEvent::Expired(i));
        }
        let ticks = at.since(self.now) / TICK_US + 2 * SECOND / TICK_US;
        for tick in 0..ticks {
            self.schedule(self.now + tick * TICK_US, SimEvent::Tick);
        }
    }

    fn schedule(&mut self, at: Moment, sim_event: SimEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.sim_events.insert(self.next, sim_event);
    }

    fn on_sim_event(&mut self, sim_event: SimEvent) {
        let now = self.now;
        match sim_event {
            SimEvent::Arrived(request) => self.step(request, Event::Begin),
            SimEvent::Expired(request) => self.step(request, Event::Expired),
            SimEvent::Delivered(request, at, event) => {
                let load = self.vms[at].home.load(now);
                let node = self.requests[request].node;
                if !matches!(event, Event::Straggles(_)) {
                    self.entries[node].on_report(now, &vm(at), load);
                }
                self.step(request, event);
            }
            SimEvent::Offered(at, offer) => {
                let actions = self.vms[at].home.offer(now, &offer);
                self.apply(at, actions);
            }
            SimEvent::Cancelled(at, id) => {
                if self.vms[at].home.cancel(now, id) {
                    self.end(at, id, Verdict::Cancelled);
                }
            }
            SimEvent::RunFinished(at, id) => self.end(at, id, Verdict::Good),
            SimEvent::HedgeDue(at, id) => self.hedge_due(at, id),
            SimEvent::Tick => {
                for at in 0..VMS {
                    let actions = self.vms[at].home.tick(now);
                    self.apply(at, actions);
                }
            }
        }
    }

    fn step(&mut self, request: usize, event: Event<usize>) {
        let now = self.now;
        let Request {
            class, call, node, ..
        } = &mut self.requests[request];
        let is_counted = request >= FIRST_COUNTED;
        let objective_us = class.objective_ms * MILLISECOND;
        let actions = call.step(now, event, &mut self.entries[*node]);
        let reports = call.may_hedge();
        let left_us = call.deadline().since(now);
        match call.take_hedge().map(|hedge| hedge.decision) {
            Some(HedgeDecision::Made) => self.row.hedges += usize::from(is_counted),
            Some(HedgeDecision::Refused(refusal)) if is_counted => {
                *self
                    .row
                    .reasons
                    .entry(HedgeDecision::Refused(refusal).reason())
                    .or_default() += 1;
            }
            Some(HedgeDecision::WonByHedge) => self.row.won += usize::from(is_counted),
            _ => {}
        }
        let elapsed_us = now.since(self.requests[request].started_at);
        for action in actions {
            match action {
                Action::Offer {
                    id,
                    to,
                    may_queue,
                    repeat,
                    suspicion,
                } => {
                    self.attempts.insert(id, (request, repeat));
                    let offer = Offer {
                        id,
                        service: "s".into(),
                        remaining_us: left_us,
                        objective_us: Some(objective_us.saturating_sub(elapsed_us)),
                        priority: 5,
                        level: 0,
                        repeatable: true,
                        may_queue,
                        repeat,
                        suspicion,
                        returned: false,
                        report_straggler: reports && self.delay == Delay::LatestUseful,
                        known_limit: None,
                        account: None,
                    };
                    self.schedule(now + NETWORK_DELAY_US, SimEvent::Offered(index(&to), offer));
                }
                Action::Cancel { id, to } => {
                    self.schedule(now + NETWORK_DELAY_US, SimEvent::Cancelled(index(&to), id));
                }
                Action::Query { .. } => panic!("all requests are repeatable"),
                Action::Finish(outcome) => self.finished(request, &outcome),
            }
        }
    }

    fn finished(&mut self, request: usize, outcome: &Outcome<usize>) {
        let now = self.now;
        let request = &mut self.requests[request];
        request.is_done = true;
        if matches!(outcome, Outcome::Answered(_)) {
            request.duration_us = Some(now.since(request.started_at));
        }
    }

    fn apply(&mut self, at: usize, actions: Vec<home::Action>) {
        for action in actions {
            match action {
                home::Action::Start(id) => self.start(at, id),
                home::Action::Refuse(id, refusal) => {
                    self.send_event(at, id, Event::Refused(id, refusal))
                }
                home::Action::Revoke(id) => self.send_event(at, id, Event::Revoked(id)),
                home::Action::Straggles(id) => self.send_event(at, id, Event::Straggles(id)),
                home::Action::Probe => panic!("upstreams report no slowdown"),
            }
        }
    }

    fn send_event(&mut self, at: usize, id: AttemptId, event: Event<usize>) {
        let (request, _) = self.attempts[&id];
        self.schedule(
            self.now + NETWORK_DELAY_US,
            SimEvent::Delivered(request, at, event),
        );
    }

    fn start(&mut self, at: usize, id: AttemptId) {
        let (request, repeat) = self.attempts[&id];
        let class = self.requests[request].class;
        // Run times are the same for each delay, which makes the delays comparable.
        let mut rng = SmallRng::seed_from_u64(2 * request as u64 + u64::from(repeat));
        let base_us = class.draw_run_us(&mut rng);
        let is_long = !repeat && rng.random_bool(TAIL_FRACTION);
        let tail = if is_long { TAIL_FACTOR } else { 1.0 };
        let vm = &mut self.vms[at];
        let started_at = self.now;
        vm.running.insert(
            id,
            Running {
                request,
                started_at,
            },
        );
        let contention = (vm.running.len() as f64 / SUSTAINED_RUNS as f64).max(1.0);
        let run_us = (base_us as f64 * tail * contention) as u64;
        let hedge_due = match self.delay {
            Delay::None => None,
            Delay::Fixed(ms) => Some(started_at + ms * MILLISECOND),
            Delay::Percentile => vm.run_times.p90_us().map(|us| started_at + us),
            Delay::LatestUseful => vm.home.straggler_due(id),
        };
        self.schedule(started_at + run_us, SimEvent::RunFinished(at, id));
        if let Some(hedge_due) = hedge_due.filter(|_| !repeat) {
            self.schedule(hedge_due + 1, SimEvent::HedgeDue(at, id));
        }
    }

    fn hedge_due(&mut self, at: usize, id: AttemptId) {
        if self.delay == Delay::LatestUseful {
            let actions = self.vms[at].home.report_stragglers(self.now);
            self.apply(at, actions);
        } else if self.vms[at].running.contains_key(&id) {
            self.send_event(at, id, Event::Straggles(id));
        }
    }

    fn end(&mut self, at: usize, id: AttemptId, verdict: Verdict) {
        let now = self.now;
        let vm = &mut self.vms[at];
        let Some(running) = vm.running.remove(&id) else {
            return;
        };
        let us = now.since(running.started_at);
        if running.request >= FIRST_COUNTED {
            self.slot_us += us;
        }
        let is_beyond = vm.run_times.p90_us().is_some_and(|p90_us| us > p90_us);
        if verdict == Verdict::Good || is_beyond {
            vm.run_times.record(us);
        }
        let answer = (verdict == Verdict::Good).then_some(running.request);
        let actions = vm.home.completed(now, id, verdict, answer);
        if let Some(answer) = answer {
            let error = false;
            self.send_event(at, id, Event::Answered { id, answer, error });
        } else {
            self.send_event(at, id, Event::Broken(id));
        }
        self.apply(at, actions);
    }

    fn result(mut self) -> Row {
        let counted = &self.requests[FIRST_COUNTED..];
        assert!(counted.iter().all(|request| request.is_done));
        let mut duration_us: Vec<u64> = counted.iter().filter_map(|it| it.duration_us).collect();
        duration_us.sort_unstable();
        let is_in_time = |request: &&Request| {
            let duration_us = request.duration_us;
            duration_us.is_some_and(|us| us <= request.class.objective_ms * MILLISECOND)
        };
        self.row.sent = counted.len();
        self.row.in_time = counted.iter().filter(is_in_time).count();
        self.row.late = duration_us.len() - self.row.in_time;
        self.row.refused = counted.len() - duration_us.len();
        self.row.p97_ms = duration_us[duration_us.len() * 97 / 100] / MILLISECOND;
        self.row.slot_ms = self.slot_us / counted.len() as u64 / MILLISECOND;
        self.row
    }
}
