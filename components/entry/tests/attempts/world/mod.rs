//! Entry and home duties joined by a pool of messages that may delay, drop, duplicate and reorder,
//! and a simple oracle: what ran, how often, and what each caller was told.

mod delivery;
mod repeats;

use entry::{
    Call, Candidate, Entry, Event, Origin, Outcome, RetryBudgetConfig, SelectionRule, Treatment,
};
use home::{Config, Home, Offer, ProbeResult, QueryReply, Refusal, Verdict};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A call's number; also its whole answer.
pub type CallId = u64;

const SLOTS: u32 = 2;
const DEADLINE_US: u64 = 2 * SECOND;
/// Repeats that may be saved where a world sets how many each request earns.
const MOST_SAVED: f64 = 5.0;
/// Levels of calls; each is a class of its own.
const LEVELS: u32 = 3;

#[derive(Debug, Clone)]
enum Body {
    Offer(Offer),
    Ask(AttemptId, BootId),
    Cancel(AttemptId),
    Refused(AttemptId, Refusal),
    Revoked(AttemptId),
    Answered(AttemptId, CallId, bool),
    Broken(AttemptId),
    /// The upstream ended while it ran the attempt.
    Ended(AttemptId),
    Told(AttemptId, QueryReply<CallId>),
    Straggles(AttemptId),
}

#[derive(Debug, Clone)]
struct Message {
    entry: usize,
    home: usize,
    /// Connection on which it travels; a reply on a cut connection is lost.
    link: u64,
    body: Body,
}

struct EntryNode {
    duty: Entry,
    calls: BTreeMap<CallId, Call<CallId>>,
    attempts: HashMap<AttemptId, (CallId, usize, BootId)>,
}

struct HomeNode {
    boot: BootId,
    duty: Home<CallId>,
    running: Vec<AttemptId>,
    routes: HashMap<AttemptId, (usize, u64)>,
    leaving: bool,
    paused: bool,
    /// Whether the home duty has asked for the upstream's pace.
    looking: bool,
}

/// What a run of the world has shown.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Calls that may not be repeated.
    pub once: HashSet<CallId>,
    /// Starts at an upstream, by call.
    pub runs: HashMap<CallId, u32>,
    /// Upstreams that have seen the request, by call.
    pub arrivals: HashMap<CallId, u32>,
    /// Attempts that an upstream turned away.
    pub shed: HashSet<AttemptId>,
    /// Of these, those of which a home duty that was asked could only say that they did not run: the entry duty takes
    /// them for ones that no upstream has seen, and the next offer is free. The budget is known not to cover these, also
    /// without second attempts.
    pub shed_untold: u32,
    /// Second attempts made.
    pub hedges: u32,
    /// Second attempts that brought the answer.
    pub won_by_second: u32,
    /// Upstreams that ended under a call, as far as the call knows.
    pub ended: HashSet<(CallId, usize)>,
    /// What each caller was told.
    pub told: HashMap<CallId, Outcome<CallId>>,
    /// Calls whose caller hung up or whose entry node died.
    pub abandoned: HashSet<CallId>,
}

/// The whole world.
pub struct World {
    now: Moment,
    entries: Vec<EntryNode>,
    homes: Vec<HomeNode>,
    links: HashMap<(usize, usize), u64>,
    pool: Vec<Message>,
    calls_of: HashMap<AttemptId, CallId>,
    /// Attempts that a home duty knew, had not started, and was told to drop.
    cancelled: HashSet<(usize, BootId, AttemptId)>,
    next_call: CallId,
    next_boot: u64,
    next_link: u64,
    looks: bool,
    /// Repeats earned by each request; the usual share where none is set.
    earned: Option<f64>,
    /// What was seen.
    pub oracle: Oracle,
}

impl World {
    /// A world of `entries` entry duties and `homes` home duties of one service.
    pub fn new(entries: usize, homes: usize) -> World {
        World::with_looks(entries, homes, false, None)
    }

    /// The same, where home duties may look at the pace of their upstreams and each request earns `earned` repeats.
    pub fn with_looks(entries: usize, homes: usize, looks: bool, earned: Option<f64>) -> World {
        let mut world = World {
            now: Moment(1),
            entries: Vec::new(),
            homes: Vec::new(),
            links: HashMap::new(),
            pool: Vec::new(),
            calls_of: HashMap::new(),
            cancelled: HashSet::new(),
            next_call: 1,
            next_boot: 1,
            next_link: 1,
            looks,
            earned,
            oracle: Oracle::default(),
        };
        for _ in 0..entries {
            let boot = world.boot();
            let mut duty = Entry::new(boot, SelectionRule::Expected, boot.0);
            if let Some(deposit_per_request) = earned {
                let max_balance = MOST_SAVED;
                duty.set_retry_config(RetryBudgetConfig {
                    deposit_per_request,
                    max_balance,
                });
            }
            world.entries.push(EntryNode {
                duty,
                calls: BTreeMap::new(),
                attempts: HashMap::new(),
            });
        }
        for _ in 0..homes {
            let node = world.home_node();
            world.homes.push(node);
        }
        world
    }

    /// A caller sends a request.
    pub fn call(&mut self, entry: usize, once: bool) {
        let entry = entry % self.entries.len();
        let id = self.next_call;
        self.next_call += 1;
        if once {
            self.oracle.once.insert(id);
        }
        let candidates = (0..self.homes.len())
            .map(|home| Candidate {
                vm: vm(home),
                same_hall: true,
                local: false,
            })
            .collect();
        let treatment = Treatment {
            repeatable: !once,
            priority: 1,
            max_runs: if once { 1 } else { 2 },
            max_arrivals: 2,
            origin: Origin::Client,
        };
        let call = Call::new("s".into(), treatment, self.now + DEADLINE_US, candidates);
        self.entries[entry].calls.insert(id, call);
        self.step_call(entry, id, Event::Begin);
    }

    /// A message arrives; any of those on the way.
    pub fn deliver(&mut self, pick: usize) {
        if self.pool.is_empty() {
            return;
        }
        let message = self.pool.remove(pick % self.pool.len());
        self.arrive(message);
    }

    /// A message arrives and stays on the way as well.
    pub fn duplicate(&mut self, pick: usize) {
        if self.pool.is_empty() {
            return;
        }
        let message = self.pool[pick % self.pool.len()].clone();
        self.arrive(message);
    }

    /// A connection breaks. What the home duty has not read yet it may still read later.
    pub fn cut(&mut self, entry: usize, home: usize) {
        let (entry, home) = (entry % self.entries.len(), home % self.homes.len());
        self.links.remove(&(entry, home));
        let lost: Vec<(AttemptId, CallId)> = self.entries[entry]
            .attempts
            .iter()
            .filter(|(_, (_, at, _))| *at == home)
            .map(|(id, (call, _, _))| (*id, *call))
            .collect();
        for (id, call) in lost {
            self.step_call(entry, call, Event::ConnectionLost(id));
        }
    }

    /// A node does not answer heartbeats.
    pub fn silent(&mut self, entry: usize, home: usize) {
        let (entry, home) = (entry % self.entries.len(), home % self.homes.len());
        let waiting: Vec<(AttemptId, CallId)> = self.entries[entry]
            .attempts
            .iter()
            .filter(|(_, (_, at, _))| *at == home)
            .map(|(id, (call, _, _))| (*id, *call))
            .collect();
        for (id, call) in waiting {
            self.step_call(entry, call, Event::NodeUnresponsive(id));
        }
    }

    /// An upstream ends a request.
    pub fn finish(&mut self, home: usize, pick: usize, verdict: Verdict) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.running.is_empty() || node.paused {
            return;
        }
        let id = node.running.remove(pick % node.running.len());
        let call = self.calls_of[&id];
        let not_run = matches!(verdict, Verdict::Shed | Verdict::NotSent);
        if not_run {
            *self.oracle.runs.get_mut(&call).expect("it was started") -= 1;
        }
        if verdict == Verdict::Shed {
            self.oracle.shed.insert(id);
        }
        if verdict == Verdict::NotSent {
            let arrivals = self.oracle.arrivals.get_mut(&call);
            *arrivals.expect("it was started") -= 1;
        }
        let whole = matches!(verdict, Verdict::Good | Verdict::Error);
        let actions = node
            .duty
            .completed(self.now, id, verdict, whole.then_some(call));
        if whole {
            self.reply(home, Body::Answered(id, call, verdict == Verdict::Error));
        } else if verdict == Verdict::Ended {
            self.reply(home, Body::Ended(id));
        } else if !not_run {
            self.reply(home, Body::Broken(id));
        }
        self.perform(home, actions);
    }

    /// An upstream tells its pace, or nothing, if it was asked.
    pub fn probed(&mut self, home: usize, probed: ProbeResult) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.paused || !node.looking {
            return;
        }
        node.looking = false;
        let actions = node.duty.probe_finished(self.now, probed);
        self.perform(home, actions);
    }

    /// Time passes; deadlines and queues notice.
    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + ms * MILLISECOND;
        for home in 0..self.homes.len() {
            if !self.homes[home].paused {
                let actions = self.homes[home].duty.tick(self.now);
                self.perform(home, actions);
            }
        }
        for entry in 0..self.entries.len() {
            let expired: Vec<CallId> = self.entries[entry]
                .calls
                .iter()
                .filter(|(_, call)| !call.is_done() && call.deadline() <= self.now)
                .map(|(id, _)| *id)
                .collect();
            for call in expired {
                self.step_call(entry, call, Event::Expired);
            }
        }
    }

    /// A home node and its upstream die and come back with another boot.
    pub fn kill(&mut self, home: usize) {
        let home = home % self.homes.len();
        self.homes[home] = self.home_node();
        self.pool.retain(|message| message.home != home);
        for entry in 0..self.entries.len() {
            self.cut(entry, home);
        }
    }

    /// A home node is frozen, or thaws.
    pub fn pause(&mut self, home: usize, paused: bool) {
        let home = home % self.homes.len();
        self.homes[home].paused = paused;
    }

    /// An upstream begins to leave.
    pub fn leave(&mut self, home: usize) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.paused {
            return;
        }
        node.leaving = true;
        let actions = node.duty.start_drain(self.now);
        self.perform(home, actions);
    }

    /// An upstream that was about to leave stays.
    pub fn stay(&mut self, home: usize) {
        let node = {
            let count = self.homes.len();
            &mut self.homes[home % count]
        };
        if !node.paused {
            node.leaving = false;
            node.duty.end_drain();
        }
    }

    /// A caller hangs up.
    pub fn hang_up(&mut self, entry: usize, pick: usize) {
        let entry = entry % self.entries.len();
        let open: Vec<CallId> = self.entries[entry]
            .calls
            .iter()
            .filter(|(_, call)| !call.is_done())
            .map(|(id, _)| *id)
            .collect();
        if let Some(call) = open.get(pick % open.len().max(1)) {
            self.oracle.abandoned.insert(*call);
            self.step_call(entry, *call, Event::CallerDisconnected);
        }
    }

    /// Everything on the way arrives, everything that runs ends, and every deadline passes.
    pub fn settle(&mut self) {
        for home in 0..self.homes.len() {
            self.pause(home, false);
        }
        for _ in 0..1_000 {
            while !self.pool.is_empty() {
                self.deliver(0);
            }
            let is_busy = |home: &HomeNode| !home.running.is_empty() || home.looking;
            let busy = self.homes.iter().any(is_busy);
            for home in 0..self.homes.len() {
                self.probed(home, ProbeResult::percent(100));
                self.finish(home, 0, Verdict::Good);
            }
            if !busy && self.pool.is_empty() {
                break;
            }
        }
        self.advance(DEADLINE_US / MILLISECOND + 1);
        while !self.pool.is_empty() {
            self.deliver(0);
        }
    }

    /// The promises that hold at every moment.
    pub fn check(&self) {
        for (call, runs) in &self.oracle.runs {
            assert!(
                *runs <= 1 || !self.oracle.once.contains(call),
                "call {call} may run once and ran {runs} times"
            );
            if let Some(Outcome::NotRun(refusal)) = self.oracle.told.get(call) {
                assert!(
                    *runs == 0,
                    "call {call} was told not-run ({:?}) and ran",
                    refusal.reason
                );
            }
        }
        self.check_budgets();
        for (call, outcome) in &self.oracle.told {
            if let Outcome::Answered(answer) = outcome {
                assert_eq!(answer, call, "call {call} got the answer of another");
            }
        }
    }

    /// Every caller that stayed was told something.
    pub fn check_settled(&self) {
        for call in 1..self.next_call {
            let ended =
                self.oracle.told.contains_key(&call) || self.oracle.abandoned.contains(&call);
            assert!(ended, "call {call} was never told anything");
        }
    }

    fn boot(&mut self) -> BootId {
        self.next_boot += 1;
        BootId(self.next_boot)
    }

    fn home_node(&mut self) -> HomeNode {
        let boot = self.boot();
        let cfg = Config {
            slots: SLOTS,
            max_records: 2,
            max_answers: 1,
            can_probe: self.looks,
            ..Config::default()
        };
        let mut duty = Home::new(boot, cfg);
        if self.earned.is_some() {
            self.learn_usual_runs(&mut duty);
        }
        HomeNode {
            boot,
            duty,
            running: Vec::new(),
            routes: HashMap::new(),
            leaving: false,
            paused: false,
            looking: false,
        }
    }

    fn link(&mut self, entry: usize, home: usize) -> u64 {
        let next = self.next_link;
        let link = *self.links.entry((entry, home)).or_insert(next);
        if link == next {
            self.next_link += 1;
        }
        link
    }

    fn send(&mut self, entry: usize, home: usize, body: Body) {
        let link = self.link(entry, home);
        self.pool.push(Message {
            entry,
            home,
            link,
            body,
        });
    }

    /// Sends to the entry duty that waits for the attempt, over the connection it came on.
    fn reply(&mut self, home: usize, body: Body) {
        let id = match &body {
            Body::Refused(id, _)
            | Body::Revoked(id)
            | Body::Answered(id, _, _)
            | Body::Broken(id)
            | Body::Ended(id)
            | Body::Straggles(id)
            | Body::Told(id, _) => *id,
            other => panic!("{other:?} is no reply"),
        };
        if let Some((entry, link)) = self.homes[home].routes.get(&id).copied() {
            self.pool.push(Message {
                entry,
                home,
                link,
                body,
            });
        }
    }
}

fn vm(home: usize) -> Name {
    Name::from(format!("vm-{home}"))
}

fn index(vm: &Name) -> usize {
    vm.as_str()
        .trim_start_matches("vm-")
        .parse()
        .expect("a VM of this world")
}
