//! The event loop, which executes the decisions of the entry and home duties.

mod caller_side;
mod entry_side;
mod home_side;
mod refusals;
mod trouble;

use crate::caller::{Caller, CallerReply};
use crate::connection::Connection;
use crate::load::Load;
use crate::message::{Message, RequestId, ScheduledEvent};
use crate::policy::Policy;
use crate::report::Report;
use crate::site::{Fault, Site};
use crate::tally::Tally;
use crate::upstream::Upstream;
use entry::{Call, Entry, RetryBudgetConfig, SelectionRule};
use home::{ColdCapacity, Config, Home};
use names::{AttemptId, BootId, Moment, MILLISECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use returning::CallerRetries;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Interval of the ticks of a home duty, in microseconds.
const TICK_US: u64 = 5 * MILLISECOND;
/// Retry budget as configured in deployments: fraction of the requests, and slack in repeats per VM.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK_PER_VM: f64 = 2.1;

/// The party that waits for a request's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Requester {
    Caller(usize),
    /// An upstream that called for an attempt.
    Attempt {
        vm: usize,
        id: AttemptId,
    },
}

/// A request at its entry node.
#[derive(Debug)]
struct Request {
    class: usize,
    vm: usize,
    requester: Requester,
    /// Start of the time that its objective limits.
    objective_from: Moment,
    deadline: Moment,
    /// The caller's try, for requests of callers under policies that count from the first try.
    caller_try: Option<Try>,
    /// The caller for which it is made, directly or through calls.
    root_caller: usize,
    running_attempts: u32,
    /// Whether one of its runs was drawn as long.
    had_tail_run: bool,
    /// Call depth: 0 for a caller's request.
    level: u32,
    priority: u8,
    call: Call<bool>,
}

/// Identity by which a node recognises a caller's request: class and content.
type RequestKey = (usize, u64);

/// One try of a caller, as seen by its node.
#[derive(Debug, Clone, Copy)]
struct Try {
    request: RequestKey,
    /// Time of the first try.
    first_at: Moment,
    /// Whether this is not the first try.
    is_retry: bool,
    /// When the caller gives up.
    deadline: Moment,
}

/// An attempt accepted by a home duty.
#[derive(Debug, Clone, Copy)]
struct Job {
    req: RequestId,
    from: usize,
    arrived_at: Moment,
    deadline: Moment,
    priority: u8,
    level: u32,
    repeatable: bool,
}

struct Node {
    entry: Entry,
    home: Home<bool>,
    jobs: HashMap<AttemptId, Job>,
    upstream: Upstream,
    /// Recently refused requests of callers.
    caller_retries: CallerRetries<RequestKey>,
}

/// Nodes, upstreams and callers on one virtual clock.
pub struct World {
    site: Site,
    policy: Policy,
    faults: Vec<Fault>,
    now: Moment,
    seq: u64,
    queue: BTreeMap<(Moment, u64), ScheduledEvent>,
    nodes: Vec<Node>,
    callers: Vec<Caller>,
    requests: Vec<Request>,
    connections: HashMap<usize, Connection<RequestId, CallerReply>>,
    runs: usize,
    wasted_runs: usize,
    offers: usize,
    overload_crashes: Vec<Moment>,
    avoidable_refusals: AvoidableRefusals,
    rng: SmallRng,
}

/// Busy refusals while the upstream had a free slot in which a run of typical duration would have
/// ended before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AvoidableRefusals {
    /// Refused when the offer arrived.
    pub on_arrival: usize,
    /// Refused after waiting in the queue.
    pub from_queue: usize,
}

impl World {
    /// A site at time 0.
    pub fn new(site: Site, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..site.vms.len())
            .map(|vm| new_node(&site, vm, &mut rng))
            .collect();
        World {
            site,
            policy: Policy::default(),
            faults: Vec::new(),
            now: Moment(0),
            seq: 0,
            queue: BTreeMap::new(),
            nodes,
            callers: Vec::new(),
            requests: Vec::new(),
            connections: HashMap::new(),
            runs: 0,
            wasted_runs: 0,
            offers: 0,
            overload_crashes: Vec::new(),
            avoidable_refusals: AvoidableRefusals::default(),
            rng,
        }
    }

    /// Replaces the default policy.
    pub fn with_policy(mut self, policy: Policy) -> World {
        self.policy = policy;
        self
    }

    /// Adds faults of upstreams.
    pub fn with_faults(mut self, faults: &[Fault]) -> World {
        self.faults = faults.to_vec();
        self
    }

    /// Simulates a load to its end; tallies the callers that arrived within `window`.
    pub fn simulate_tallied(mut self, load: &Load, window: Range<Moment>) -> Tally {
        self.run_events(load);
        Tally::from_callers(&self.site, &self.callers, window, self.avoidable_refusals)
    }

    /// Simulates a load to its end; reports on the requests that arrived within `window`.
    pub fn simulate(mut self, load: &Load, window: Range<Moment>) -> Report {
        self.run_events(load);
        self.report(window)
    }

    /// As [`World::simulate`], with one report per window of the same simulation.
    pub fn simulate_windows(mut self, load: &Load, windows: &[Range<Moment>]) -> Vec<Report> {
        self.run_events(load);
        windows
            .iter()
            .map(|window| self.report(window.clone()))
            .collect()
    }

    fn run_events(&mut self, load: &Load) {
        for arrival in &load.arrivals {
            let caller = self.callers.len();
            self.callers.push(Caller::new(*arrival));
            let latency_us = self.site.callers.latency_us;
            self.schedule(
                arrival.at + latency_us,
                ScheduledEvent::TryArrives { caller },
            );
        }
        self.schedule_faults();
        for vm in 0..self.nodes.len() {
            let up_at = self.site.vms[vm].up_at;
            self.schedule(up_at + vm as u64 % TICK_US, ScheduledEvent::Tick { vm });
        }
        let last_at = load.arrivals.last().map_or(Moment(0), |last| last.at);
        let class_deadlines = self.site.classes.iter().map(|class| class.deadline_us);
        let own_deadlines = load
            .arrivals
            .iter()
            .filter_map(|arrival| arrival.deadline_us);
        let end = last_at + class_deadlines.chain(own_deadlines).max().unwrap_or(0);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn report(&self, window: Range<Moment>) -> Report {
        let runs = (self.runs, self.wasted_runs);
        let overload_crashes = self
            .overload_crashes
            .iter()
            .filter(|at| window.contains(at))
            .count();
        Report {
            overload_crashes,
            ..Report::from_callers(&self.site, &self.callers, window, runs, self.offers)
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TryArrives { caller } => self.on_try(caller),
            ScheduledEvent::Delivered { to, message } => self.on_message(to, message),
            ScheduledEvent::Expired { req } => self.step(req, entry::Event::Expired),
            ScheduledEvent::WorkDone { vm, id } => self.on_work_done(vm, id),
            ScheduledEvent::TimedOut { vm, id } => self.on_timeout(vm, id),
            ScheduledEvent::ProbeResult { vm } => self.on_probe_result(vm),
            ScheduledEvent::UpstreamUp { vm } => self.on_upstream_up(vm),
            ScheduledEvent::UpstreamDown { vm, until } => self.on_upstream_down(vm, until),
            ScheduledEvent::Tick { vm } => self.tick(vm),
        }
    }

    fn on_message(&mut self, to: usize, message: Message) {
        match message {
            Message::Offer { from, req, offer } => self.on_offer(to, from, req, &offer),
            Message::Cancel(id) => self.on_cancel(to, id),
            Message::Straggles { req, id } => self.step(req, entry::Event::Straggles(id)),
            Message::Ended {
                from,
                req,
                load,
                event,
            } => {
                let vm = crate::site::vm_name(from);
                self.nodes[to].entry.on_report(self.now, &vm, load);
                self.step(req, event);
            }
        }
    }

    fn schedule(&mut self, at: Moment, event: ScheduledEvent) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let (same_hall_us, other_hall_us) = self.site.latency_us;
        let latency_us = if from == to {
            0
        } else if self.site.vms[from].hall == self.site.vms[to].hall {
            same_hall_us
        } else {
            other_hall_us
        };
        self.schedule(
            self.now + latency_us,
            ScheduledEvent::Delivered { to, message },
        );
    }
}

fn new_node(site: &Site, vm: usize, rng: &mut SmallRng) -> Node {
    let boot = BootId(vm as u64 + 1);
    let spec = &site.vms[vm];
    let cfg = Config {
        slots: site.services[spec.service].slots,
        usable_fraction: site.usable_fraction,
        adaptive: false,
        can_probe: true,
        seed: rng.random(),
        ..Config::default()
    };
    let mut entry = Entry::new(boot, SelectionRule::Priced, rng.random());
    let vms = site.vms.len();
    let slack = RETRY_SLACK_PER_VM * vms as f64;
    entry.set_retry_config(RetryBudgetConfig::node_share(RETRY_RATIO, slack, vms));
    let mut home = Home::new(boot, cfg);
    if let Some(cold) = site.services[spec.service].cold {
        let limited = |starts_per_s| ColdCapacity::Limited {
            starts_per_s,
            cold_us: site.speed.cold_us,
        };
        home.set_cold_capacity(cold.declared.map_or(ColdCapacity::Unlimited, limited));
    }
    Node {
        entry,
        home,
        jobs: HashMap::new(),
        caller_retries: CallerRetries::default(),
        upstream: Upstream::new(spec.up_at, SmallRng::seed_from_u64(rng.random())),
    }
}
