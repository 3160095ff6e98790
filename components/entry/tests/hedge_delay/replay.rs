//! A hall of upstreams, their home duties and entry duties, played through a load.

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
/// Runs that an upstream bears at once before they take longer, and the part of the slots that this is.
const BORNE: usize = 4;
const USABLE: f64 = 0.67;
const REQUESTS: usize = 4_000;
/// Home duties learn run times from the requests before this one, which are not counted.
const FIRST_COUNTED: usize = 1_000;
const WAY_US: u64 = 300;
const TICK_US: u64 = 5 * MILLISECOND;
const TAIL_PART: f64 = 0.03;
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
    fn usual_us(&self, rng: &mut SmallRng) -> u64 {
        // Logarithms are spread evenly around the median such that a tenth is beyond the 90th percentile.
        let spread = (self.p90_ms / self.p50_ms).ln() / 0.8;
        let factor = f64::exp(spread * rng.random_range(-1.0..1.0));
        (self.p50_ms * factor * MILLISECOND as f64) as u64
    }
}

/// What callers send.
#[derive(Debug, Clone)]
pub struct Load {
    pub name: &'static str,
    /// Classes in equal numbers.
    pub classes: Vec<Class>,
    /// In terms of what all upstreams bear.
    pub part: f64,
}

/// After which time of a run a second attempt is considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delay {
    None,
    /// After so many milliseconds.
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

/// What came of a load.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Second attempts that were not made, by reason.
    pub reasons: BTreeMap<&'static str, usize>,
    pub asked: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub second: usize,
    pub won: usize,
    pub p97_ms: u64,
    /// Time for which a request occupies slots, on average.
    pub slot_ms: u64,
}

#[derive(Debug, Clone)]
enum Happening {
    Asked(usize),
    Expired(usize),
    Offered(usize, Offer),
    Cancelled(usize, AttemptId),
    Told(usize, usize, Event<usize>),
    Ended(usize, AttemptId),
    Due(usize, AttemptId),
    Tick,
}

struct Request {
    class: Class,
    call: Call<usize>,
    node: usize,
    began: Moment,
    took_us: Option<u64>,
    is_done: bool,
}

struct Running {
    request: usize,
    began: Moment,
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
    happenings: HashMap<u64, Happening>,
    next: u64,
    slot_us: u64,
    row: Row,
    rng: SmallRng,
}

/// Plays a load through one delay.
pub fn play(load: &Load, delay: Delay) -> Row {
    let mut hall = Hall::new(load, delay);
    while let Some(Reverse((at, seq))) = hall.queue.pop() {
        hall.now = at;
        let happening = hall.happenings.remove(&seq).expect("it was put there");
        hall.take(happening);
    }
    hall.result()
}

fn vm(index: usize) -> Name {
    Name::from(format!("vm-{index}"))
}

fn index(vm: &Name) -> usize {
    let number = vm.as_str().trim_start_matches("vm-");
    number.parse().expect("a VM of the hall")
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
            happenings: HashMap::new(),
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
                usable_fraction: USABLE,
                adaptive: false,
                ..Config::default()
            };
            hall.vms.push(Vm {
                home: Home::new(BootId(i), cfg),
                running: HashMap::new(),
                run_times: RunTimes::default(),
            });
        }
        hall.ask(load);
        hall
    }

    /// Puts all requests and ticks into the queue.
    fn ask(&mut self, load: &Load) {
        let longer = 1.0 + TAIL_PART * (TAIL_FACTOR - 1.0);
        let usual: f64 = load.classes.iter().map(|class| class.p50_ms).sum();
        let run_us = usual / load.classes.len() as f64 * longer * MILLISECOND as f64;
        let gap_us = run_us / (VMS * BORNE) as f64 / load.part;
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
                began: at,
                took_us: None,
                is_done: false,
            });
            self.put(at, Happening::Asked(i));
            self.put(deadline, Happening::Expired(i));
        }
        let ticks = at.since(self.now) / TICK_US + 2 * SECOND / TICK_US;
        for tick in 0..ticks {
            self.put(self.now + tick * TICK_US, Happening::Tick);
        }
    }

    fn put(&mut self, at: Moment, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn take(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::Asked(request) => self.step(request, Event::Begin),
            Happening::Expired(request) => self.step(request, Event::Expired),
            Happening::Told(request, at, event) => {
                let load = self.vms[at].home.load(now);
                let node = self.requests[request].node;
                if !matches!(event, Event::Straggles(_)) {
                    self.entries[node].on_report(now, &vm(at), load);
                }
                self.step(request, event);
            }
            Happening::Offered(at, offer) => {
                let actions = self.vms[at].home.offer(now, &offer);
                self.perform(at, actions);
            }
            Happening::Cancelled(at, id) => {
                if self.vms[at].home.cancel(now, id) {
                    self.end(at, id, Verdict::Cancelled);
                }
            }
            Happening::Ended(at, id) => self.end(at, id, Verdict::Good),
            Happening::Due(at, id) => self.due(at, id),
            Happening::Tick => {
                for at in 0..VMS {
                    let actions = self.vms[at].home.tick(now);
                    self.perform(at, actions);
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
            Some(HedgeDecision::Made) => self.row.second += usize::from(is_counted),
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
        let spent_us = now.since(self.requests[request].began);
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
                        objective_us: Some(objective_us.saturating_sub(spent_us)),
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
                    self.put(now + WAY_US, Happening::Offered(index(&to), offer));
                }
                Action::Cancel { id, to } => {
                    self.put(now + WAY_US, Happening::Cancelled(index(&to), id));
                }
                Action::Query { .. } => panic!("all requests may be repeated"),
                Action::Finish(outcome) => self.finished(request, &outcome),
            }
        }
    }

    fn finished(&mut self, request: usize, outcome: &Outcome<usize>) {
        let now = self.now;
        let request = &mut self.requests[request];
        request.is_done = true;
        if matches!(outcome, Outcome::Answered(_)) {
            request.took_us = Some(now.since(request.began));
        }
    }

    fn perform(&mut self, at: usize, actions: Vec<home::Action>) {
        for action in actions {
            match action {
                home::Action::Start(id) => self.start(at, id),
                home::Action::Refuse(id, refusal) => self.tell(at, id, Event::Refused(id, refusal)),
                home::Action::Revoke(id) => self.tell(at, id, Event::Revoked(id)),
                home::Action::Straggles(id) => self.tell(at, id, Event::Straggles(id)),
                home::Action::Probe => panic!("upstreams say nothing of their pace"),
            }
        }
    }

    fn tell(&mut self, at: usize, id: AttemptId, event: Event<usize>) {
        let (request, _) = self.attempts[&id];
        self.put(self.now + WAY_US, Happening::Told(request, at, event));
    }

    fn start(&mut self, at: usize, id: AttemptId) {
        let (request, repeat) = self.attempts[&id];
        let class = self.requests[request].class;
        // The same for each delay, so that they can be compared.
        let mut rng = SmallRng::seed_from_u64(2 * request as u64 + u64::from(repeat));
        let usual_us = class.usual_us(&mut rng);
        let is_long = !repeat && rng.random_bool(TAIL_PART);
        let tail = if is_long { TAIL_FACTOR } else { 1.0 };
        let vm = &mut self.vms[at];
        let began = self.now;
        vm.running.insert(id, Running { request, began });
        let crowd = (vm.running.len() as f64 / BORNE as f64).max(1.0);
        let run_us = (usual_us as f64 * tail * crowd) as u64;
        let due = match self.delay {
            Delay::None => None,
            Delay::Fixed(ms) => Some(began + ms * MILLISECOND),
            Delay::Percentile => vm.run_times.p90_us().map(|us| began + us),
            Delay::LatestUseful => vm.home.straggler_due(id),
        };
        self.put(began + run_us, Happening::Ended(at, id));
        if let Some(due) = due.filter(|_| !repeat) {
            self.put(due + 1, Happening::Due(at, id));
        }
    }

    fn due(&mut self, at: usize, id: AttemptId) {
        if self.delay == Delay::LatestUseful {
            let actions = self.vms[at].home.report_stragglers(self.now);
            self.perform(at, actions);
        } else if self.vms[at].running.contains_key(&id) {
            self.tell(at, id, Event::Straggles(id));
        }
    }

    fn end(&mut self, at: usize, id: AttemptId, verdict: Verdict) {
        let now = self.now;
        let vm = &mut self.vms[at];
        let Some(running) = vm.running.remove(&id) else {
            return;
        };
        let us = now.since(running.began);
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
            self.tell(at, id, Event::Answered { id, answer, error });
        } else {
            self.tell(at, id, Event::Broken(id));
        }
        self.perform(at, actions);
    }

    fn result(mut self) -> Row {
        let counted = &self.requests[FIRST_COUNTED..];
        assert!(counted.iter().all(|request| request.is_done));
        let mut took_us: Vec<u64> = counted.iter().filter_map(|it| it.took_us).collect();
        took_us.sort_unstable();
        let is_in_time = |request: &&Request| {
            let took_us = request.took_us;
            took_us.is_some_and(|us| us <= request.class.objective_ms * MILLISECOND)
        };
        self.row.asked = counted.len();
        self.row.in_time = counted.iter().filter(is_in_time).count();
        self.row.late = took_us.len() - self.row.in_time;
        self.row.refused = counted.len() - took_us.len();
        self.row.p97_ms = took_us[took_us.len() * 97 / 100] / MILLISECOND;
        self.row.slot_ms = self.slot_us / counted.len() as u64 / MILLISECOND;
        self.row
    }
}
