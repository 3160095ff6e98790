//! Entry and home duties that exchange messages which may be delayed, dropped, duplicated and
//! reordered, and a simple oracle: what ran, how often, and the outcome of each call.

mod delivery;
mod repeats;

use entry::{
    Call, Candidate, Entry, Event, Origin, Outcome, RetryBudgetConfig, SelectionRule, Treatment,
};
use home::{Config, Home, Offer, ProbeResult, QueryReply, Refusal, Verdict};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Number of a call; also its complete answer.
pub type CallId = u64;

const SLOTS: u32 = 2;
const DEADLINE_US: u64 = 2 * SECOND;
/// Maximum balance of a retry budget, in worlds that set the deposit of each request.
const MAX_BALANCE: f64 = 5.0;
/// Number of call levels; each is a class of its own.
const LEVELS: u32 = 3;

#[derive(Debug, Clone)]
enum Body {
    Offer(Offer),
    Query(AttemptId, BootId),
    Cancel(AttemptId),
    Refused(AttemptId, Refusal),
    Revoked(AttemptId),
    Answered(AttemptId, CallId, bool),
    Broken(AttemptId),
    /// The upstream terminated while running the attempt.
    Terminated(AttemptId),
    QueryReply(AttemptId, QueryReply<CallId>),
    Straggles(AttemptId),
}

#[derive(Debug, Clone)]
struct Message {
    entry: usize,
    home: usize,
    /// Connection that carries it; a reply on a broken connection is lost.
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
    reply_links: HashMap<AttemptId, (usize, u64)>,
    draining: bool,
    paused: bool,
    /// Whether the home duty has requested a probe of the upstream.
    is_probing: bool,
}

/// What has happened in a run of the world.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Calls that may not be repeated.
    pub non_repeatable: HashSet<CallId>,
    /// Number of runs at upstreams, by call.
    pub runs: HashMap<CallId, u32>,
    /// Number of upstreams that have received the request, by call.
    pub arrivals: HashMap<CallId, u32>,
    /// Attempts that an upstream rejected.
    pub shed: HashSet<AttemptId>,
    /// Number of these for which the home duty replied to a query only that they did not run. The
    /// entry duty then assumes that no upstream has received the request, and the next offer costs
    /// no repeat. The retry budget is known not to cover these, with or without hedged attempts.
    pub shed_reported_as_revoked: u32,
    /// Hedged attempts made.
    pub hedges: u32,
    /// Hedged attempts that produced the answer.
    pub won_by_hedge: u32,
    /// Upstreams that terminated while running a call, as far as the call knows.
    pub terminated: HashSet<(CallId, usize)>,
    /// Outcomes, by call.
    pub outcomes: HashMap<CallId, Outcome<CallId>>,
    /// Calls whose caller disconnected.
    pub disconnected: HashSet<CallId>,
}

/// Entry and home nodes, the messages between them, and the oracle.
pub struct World {
    now: Moment,
    entries: Vec<EntryNode>,
    homes: Vec<HomeNode>,
    links: HashMap<(usize, usize), u64>,
    in_transit: Vec<Message>,
    call_by_attempt: HashMap<AttemptId, CallId>,
    /// Attempts that were cancelled at a home duty that had received their offer but not started
    /// them.
    cancelled: HashSet<(usize, BootId, AttemptId)>,
    next_call: CallId,
    next_boot: u64,
    next_link: u64,
    can_probe: bool,
    /// Share of a repeat that each request deposits; none: the default.
    deposit: Option<f64>,
    /// What has happened so far.
    pub oracle: Oracle,
}

impl World {
    /// Creates a world with `entries` entry duties and `homes` home duties of one service.
    pub fn new(entries: usize, homes: usize) -> World {
        World::with_options(entries, homes, false, None)
    }

    /// Creates a world and sets whether home duties may probe their upstreams, and the share of a
    /// repeat that each request deposits.
    pub fn with_options(
        entries: usize,
        homes: usize,
        can_probe: bool,
        deposit: Option<f64>,
    ) -> World {
        let mut world = World {
            now: Moment(1),
            entries: Vec::new(),
            homes: Vec::new(),
            links: HashMap::new(),
            in_transit: Vec::new(),
            call_by_attempt: HashMap::new(),
            cancelled: HashSet::new(),
            next_call: 1,
            next_boot: 1,
            next_link: 1,
            can_probe,
            deposit,
            oracle: Oracle::default(),
        };
        for _ in 0..entries {
            let boot = world.boot();
            let mut duty = Entry::new(boot, SelectionRule::Expected, boot.0);
            if let Some(deposit_per_request) = deposit {
                let max_balance = MAX_BALANCE;
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

    /// Sends a request of a caller.
    pub fn call(&mut self, entry: usize, non_repeatable: bool) {
        let entry = entry % self.entries.len();
        let id = self.next_call;
        self.next_call += 1;
        if non_repeatable {
            self.oracle.non_repeatable.insert(id);
        }
        let candidates = (0..self.homes.len())
            .map(|home| Candidate {
                vm: vm(home),
                same_hall: true,
                local: false,
            })
            .collect();
        let treatment = Treatment {
            repeatable: !non_repeatable,
            priority: 1,
            max_runs: if non_repeatable { 1 } else { 2 },
            max_arrivals: 2,
            origin: Origin::Client,
        };
        let call = Call::new("s".into(), treatment, self.now + DEADLINE_US, candidates);
        self.entries[entry].calls.insert(id, call);
        self.step_call(entry, id, Event::Begin);
    }

    /// Delivers one of the messages in transit.
    pub fn deliver(&mut self, pick: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let message = self.in_transit.remove(pick % self.in_transit.len());
        self.receive(message);
    }

    /// Delivers a message and leaves a copy in transit.
    pub fn duplicate(&mut self, pick: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let message = self.in_transit[pick % self.in_transit.len()].clone();
        self.receive(message);
    }

    /// Breaks a connection. Messages to the home duty that are still in transit may arrive later.
    pub fn cut_link(&mut self, entry: usize, home: usize) {
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

    /// Reports to the entry duty that a home node does not reply to heartbeats.
    pub fn node_unresponsive(&mut self, entry: usize, home: usize) {
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

    /// Ends a run at an upstream.
    pub fn finish_run(&mut self, home: usize, pick: usize, verdict: Verdict) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.running.is_empty() || node.paused {
            return;
        }
        let id = node.running.remove(pick % node.running.len());
        let call = self.call_by_attempt[&id];
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
        let has_answer = matches!(verdict, Verdict::Good | Verdict::Error);
        let actions = node
            .duty
            .completed(self.now, id, verdict, has_answer.then_some(call));
        if has_answer {
            self.reply(home, Body::Answered(id, call, verdict == Verdict::Error));
        } else if verdict == Verdict::Ended {
            self.reply(home, Body::Terminated(id));
        } else if !not_run {
            self.reply(home, Body::Broken(id));
        }
        self.perform_home_actions(home, actions);
    }

    /// Finishes a probe of an upstream, if one is in progress.
    pub fn probe_finished(&mut self, home: usize, result: ProbeResult) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.paused || !node.is_probing {
            return;
        }
        node.is_probing = false;
        let actions = node.duty.probe_finished(self.now, result);
        self.perform_home_actions(home, actions);
    }

    /// Advances the clock and handles deadlines and queues.
    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + ms * MILLISECOND;
        for home in 0..self.homes.len() {
            if !self.homes[home].paused {
                let actions = self.homes[home].duty.tick(self.now);
                self.perform_home_actions(home, actions);
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

    /// Restarts a home node and its upstream, with a new boot.
    pub fn restart_home(&mut self, home: usize) {
        let home = home % self.homes.len();
        self.homes[home] = self.home_node();
        self.in_transit.retain(|message| message.home != home);
        for entry in 0..self.entries.len() {
            self.cut_link(entry, home);
        }
    }

    /// Pauses or resumes a home node.
    pub fn set_paused(&mut self, home: usize, paused: bool) {
        let home = home % self.homes.len();
        self.homes[home].paused = paused;
    }

    /// Starts the drain of an upstream.
    pub fn start_drain(&mut self, home: usize) {
        let home = home % self.homes.len();
        let node = &mut self.homes[home];
        if node.paused {
            return;
        }
        node.draining = true;
        let actions = node.duty.start_drain(self.now);
        self.perform_home_actions(home, actions);
    }

    /// Ends the drain of an upstream that stays.
    pub fn end_drain(&mut self, home: usize) {
        let node = {
            let count = self.homes.len();
            &mut self.homes[home % count]
        };
        if !node.paused {
            node.draining = false;
            node.duty.end_drain();
        }
    }

    /// Disconnects a caller.
    pub fn disconnect_caller(&mut self, entry: usize, pick: usize) {
        let entry = entry % self.entries.len();
        let open: Vec<CallId> = self.entries[entry]
            .calls
            .iter()
            .filter(|(_, call)| !call.is_done())
            .map(|(id, _)| *id)
            .collect();
        if let Some(call) = open.get(pick % open.len().max(1)) {
            self.oracle.disconnected.insert(*call);
            self.step_call(entry, *call, Event::CallerDisconnected);
        }
    }

    /// Delivers all messages, ends all runs and lets every deadline pass.
    pub fn settle(&mut self) {
        for home in 0..self.homes.len() {
            self.set_paused(home, false);
        }
        for _ in 0..1_000 {
            while !self.in_transit.is_empty() {
                self.deliver(0);
            }
            let is_busy = |home: &HomeNode| !home.running.is_empty() || home.is_probing;
            let busy = self.homes.iter().any(is_busy);
            for home in 0..self.homes.len() {
                self.probe_finished(home, ProbeResult::percent(100));
                self.finish_run(home, 0, Verdict::Good);
            }
            if !busy && self.in_transit.is_empty() {
                break;
            }
        }
        self.advance(DEADLINE_US / MILLISECOND + 1);
        while !self.in_transit.is_empty() {
            self.deliver(0);
        }
    }

    /// Checks the invariants that hold at all times.
    pub fn check_invariants(&self) {
        for (call, runs) in &self.oracle.runs {
            assert!(
                *runs <= 1 || !self.oracle.non_repeatable.contains(call),
                "call {call} may not be repeated and ran {runs} times"
            );
            if let Some(Outcome::NotRun(refusal)) = self.oracle.outcomes.get(call) {
                assert!(
                    *runs == 0,
                    "call {call} got the outcome not-run ({:?}) and ran",
                    refusal.reason
                );
            }
        }
        self.check_budgets();
        for (call, outcome) in &self.oracle.outcomes {
            if let Outcome::Answered(answer) = outcome {
                assert_eq!(answer, call, "call {call} got the answer of another");
            }
        }
    }

    /// Checks that every call has an outcome, unless its caller disconnected.
    pub fn check_all_have_outcome(&self) {
        for call in 1..self.next_call {
            let has_ended = self.oracle.outcomes.contains_key(&call)
                || self.oracle.disconnected.contains(&call);
            assert!(has_ended, "call {call} never got an outcome");
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
            can_probe: self.can_probe,
            ..Config::default()
        };
        let mut duty = Home::new(boot, cfg);
        if self.deposit.is_some() {
            self.learn_typical_runs(&mut duty);
        }
        HomeNode {
            boot,
            duty,
            running: Vec::new(),
            reply_links: HashMap::new(),
            draining: false,
            paused: false,
            is_probing: false,
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
        self.in_transit.push(Message {
            entry,
            home,
            link,
            body,
        });
    }

    /// Sends a reply to the entry duty that waits for the attempt, over the connection of its last
    /// message.
    fn reply(&mut self, home: usize, body: Body) {
        let id = match &body {
            Body::Refused(id, _)
            | Body::Revoked(id)
            | Body::Answered(id, _, _)
            | Body::Broken(id)
            | Body::Terminated(id)
            | Body::Straggles(id)
            | Body::QueryReply(id, _) => *id,
            other => panic!("{other:?} is not a reply"),
        };
        if let Some((entry, link)) = self.homes[home].reply_links.get(&id).copied() {
            self.in_transit.push(Message {
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
