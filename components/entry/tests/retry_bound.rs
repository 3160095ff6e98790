//! The fleet's bound on repeats, with many entry duties, upstreams that turn requests away, errors, and
//! nodes that restart.
//!
//! *Symptom.* 519 arrivals beyond the first of their request at one service within 10 s, where 309 were
//! allowed. *Sequence.* Load doubled and the upstreams of a service began to turn requests away. Each
//! request that one of them turned away went on to the next, in three halls within 8 ms; each turned it
//! away. *Cause.* Moving on after an upstream had turned a request away was taken for free, since it had
//! not run. The upstream had seen it all the same, and several nodes moved on at the same time, each
//! without a bound. *What settled it.* A day with a burst of 2.4 times and upstreams that shed: before
//! moves spent from the budget 458 and 442 repeats where 320 and 303 were allowed, none beyond since; and
//! `a_request_that_was_turned_away_goes_on_only_if_the_budget_allows_it`, which fails when moves are free.

use entry::{
    Action, Call, Candidate, Entry, Event, Origin, Outcome, RetryBudgetConfig, SelectionRule,
    Treatment,
};
use home::{Reason, Refusal};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::collections::VecDeque;

const NODES: usize = 13;
const UPSTREAMS: usize = 6;
const RATIO: f64 = 0.2;
const SLACK: f64 = 62.0;
const WINDOW_US: u64 = 10 * SECOND;

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Does {
    Answers,
    Sheds,
    Fails,
}

/// How upstreams treat requests.
#[derive(Debug, Clone, Copy)]
struct Load {
    shed_percent: u8,
    fail_percent: u8,
    /// Runs that are reported because they take much longer than usual.
    straggle_percent: u8,
}

#[derive(Debug, Clone)]
enum Step {
    /// Requests of clients, one every few milliseconds, each to a node in turn.
    Requests {
        count: u32,
        shed_percent: u8,
        fail_percent: u8,
        once: bool,
        straggle_percent: u8,
    },
    /// A node starts anew.
    Restart(usize),
    /// Nothing happens.
    Quiet(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (100..1_500u32, 0..=100u8, 0..=40u8, any::<bool>(), 0..=60u8).prop_map(
            |(count, shed_percent, fail_percent, once, straggle_percent)| Step::Requests {
                count,
                shed_percent,
                fail_percent,
                once,
                straggle_percent,
            }
        ),
        3 => (0..NODES).prop_map(Step::Restart),
        1 => (0..15_000u64).prop_map(Step::Quiet),
    ]
}

/// What arrived at the upstreams of one service.
#[derive(Debug, Default)]
struct Arrivals {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Arrivals {
    fn within(times: &VecDeque<Moment>, from: u64) -> usize {
        let inside = |at: &&Moment| at.0 >= from && at.0 < from + WINDOW_US;
        times.iter().filter(inside).count()
    }

    /// In each window that begins with a repeat: no more than the ratio of the requests in it, or in
    /// the one before, or in the one half a window before, and the slack.
    fn check(&self) {
        for start in &self.repeats {
            let from = start.0;
            let repeats = Self::within(&self.repeats, from) as f64;
            let starts = [
                from,
                from.saturating_sub(WINDOW_US / 2),
                from.saturating_sub(WINDOW_US),
            ];
            let requests = starts.map(|from| Self::within(&self.requests, from));
            let most = *requests.iter().max().expect("three windows");
            assert!(
                repeats <= RATIO * most as f64 + SLACK,
                "{repeats} repeats for {most} requests in the window from {from}"
            );
        }
    }
}

struct World {
    now: Moment,
    nodes: Vec<Entry>,
    boots: u64,
    random: u64,
    /// Second attempts that ran beside the first.
    hedges: u64,
    outer: Arrivals,
    inner: Arrivals,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Moment(1),
            nodes: Vec::new(),
            boots: 0,
            random: 1,
            hedges: 0,
            outer: Arrivals::default(),
            inner: Arrivals::default(),
        };
        for _ in 0..NODES {
            let node = world.started();
            world.nodes.push(node);
        }
        world
    }

    fn started(&mut self) -> Entry {
        self.boots += 1;
        let mut node = Entry::new(BootId(self.boots), SelectionRule::Expected, self.boots);
        node.set_retry_config(RetryBudgetConfig::node_share(RATIO, SLACK, NODES));
        node.add_dependency(&Name::from("inner"));
        node
    }

    /// A number below a hundred.
    fn percent(&mut self) -> u8 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        ((self.random >> 33) % 100) as u8
    }

    fn does(&mut self, load: Load) -> Does {
        if self.percent() < load.shed_percent {
            return Does::Sheds;
        }
        if self.percent() < load.fail_percent {
            return Does::Fails;
        }
        Does::Answers
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Requests {
                count,
                shed_percent,
                fail_percent,
                once,
                straggle_percent,
            } => {
                let load = Load {
                    shed_percent,
                    fail_percent,
                    straggle_percent,
                };
                for i in 0..count as usize {
                    self.now = self.now + 7 * MILLISECOND;
                    let service = if i % 3 == 0 { "inner" } else { "outer" };
                    let node = i % NODES;
                    self.request(node, service, Origin::Client, once, load);
                }
            }
            Step::Restart(node) => self.nodes[node] = self.started(),
            Step::Quiet(ms) => self.now = self.now + ms * MILLISECOND,
        }
    }

    /// Takes one request to its outcome.
    fn request(&mut self, node: usize, service: &str, origin: Origin, once: bool, load: Load) {
        let treatment = Treatment {
            repeatable: !once,
            priority: 1,
            max_runs: 2,
            max_arrivals: 2,
            origin,
        };
        let candidates = (0..UPSTREAMS).map(candidate).collect();
        let deadline = self.now + SECOND;
        let mut call: Call<u64> = Call::new(Name::from(service), treatment, deadline, candidates);
        if origin == Origin::Client {
            let now = self.now;
            self.arrivals(service).requests.push_back(now);
        }
        let mut seen = false;
        let mut event = Event::Begin;
        // Attempts at work: the first, and perhaps a second beside it.
        let mut running: Vec<(AttemptId, Does)> = Vec::new();
        loop {
            let actions = call.step(self.now, event, &mut self.nodes[node]);
            let offer = actions.into_iter().find_map(|action| match action {
                Action::Offer { id, to, repeat, .. } => Some((id, to, repeat)),
                _ => None,
            });
            if call.is_done() {
                return;
            }
            if let Some((id, to, repeat)) = offer {
                if repeat && !self.nodes[home_of(&to)].may_run_repeat() {
                    event = Event::Refused(id, refusal(Reason::Busy));
                    continue;
                }
                let now = self.now;
                if seen || origin == Origin::UpstreamRepeat {
                    assert!(repeat, "an upstream is not told that a request is a repeat");
                    self.arrivals(service).repeats.push_back(now);
                }
                assert!(
                    !seen || !once || running.is_empty(),
                    "two runs of what may run once"
                );
                seen = true;
                let does = self.does(load);
                if does != Does::Sheds && service == "outer" {
                    let origin = if repeat {
                        Origin::UpstreamRepeat
                    } else {
                        Origin::Upstream
                    };
                    self.request(home_of(&to), "inner", origin, false, load);
                }
                running.push((id, does));
                if running.len() == 1 && self.percent() < load.straggle_percent {
                    event = Event::Straggles(id);
                    continue;
                }
            }
            self.hedges += u64::from(running.len() == 2);
            let pick = usize::from(self.percent()) % running.len();
            let (id, does) = running.remove(pick);
            event = match does {
                Does::Sheds => Event::Refused(id, refusal(Reason::Shed)),
                Does::Fails => Event::Answered {
                    id,
                    answer: 1,
                    error: true,
                },
                Does::Answers => Event::Answered {
                    id,
                    answer: 1,
                    error: false,
                },
            };
        }
    }

    fn arrivals(&mut self, service: &str) -> &mut Arrivals {
        if service == "outer" {
            &mut self.outer
        } else {
            &mut self.inner
        }
    }
}

fn candidate(upstream: usize) -> Candidate {
    Candidate {
        vm: Name::from(format!("{upstream}")),
        same_hall: true,
        local: false,
    }
}

fn home_of(vm: &Name) -> usize {
    vm.as_str().parse().expect("a node's number")
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: 50,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_sees_more_repeats_than_the_fleet_may_make(
        steps in prop::collection::vec(step(), 2..12)
    ) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
        }
        world.outer.check();
        world.inner.check();
    }
}

/// Guards against a bound that holds only because no second attempt is made.
#[test]
fn many_second_attempts_stay_within_the_bound() {
    let mut world = World::new();
    for _ in 0..10 {
        world.take(Step::Requests {
            count: 1_500,
            shed_percent: 0,
            fail_percent: 0,
            once: false,
            straggle_percent: 60,
        });
    }
    assert!(world.hedges > 300, "{} second attempts", world.hedges);
    world.outer.check();
    world.inner.check();
}

/// A call of a client with one token's worth of requests before it.
fn call_after(requests: u32) -> (Call<u64>, Entry) {
    let mut entry = Entry::new(BootId(1), SelectionRule::Expected, 1);
    let treatment = Treatment {
        repeatable: false,
        priority: 1,
        max_runs: 1,
        max_arrivals: 2,
        origin: Origin::Client,
    };
    let call = || {
        let candidates = (0..UPSTREAMS).map(candidate).collect();
        Call::new(
            "s".into(),
            treatment.clone(),
            Moment(9 * SECOND),
            candidates,
        )
    };
    for _ in 0..requests {
        let mut earlier: Call<u64> = call();
        earlier.step(Moment(1), Event::Begin, &mut entry);
        earlier.step(Moment(1), Event::CallerDisconnected, &mut entry);
    }
    (call(), entry)
}

/// The outcome of a call that every upstream turns away unrun.
fn turned_away(call: &mut Call<u64>, entry: &mut Entry) -> (u32, Outcome<u64>) {
    let mut event = Event::Begin;
    let mut arrivals = 0;
    loop {
        match call.step(Moment(1), event, entry).into_iter().next() {
            Some(Action::Offer { id, .. }) => {
                arrivals += 1;
                event = Event::Refused(id, refusal(Reason::Shed));
            }
            Some(Action::Finish(outcome)) => return (arrivals, outcome),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_request_that_was_turned_away_goes_on_only_if_the_budget_allows_it() {
    let (mut call, mut entry) = call_after(0);
    let (arrivals, outcome) = turned_away(&mut call, &mut entry);
    assert_eq!(arrivals, 1);
    assert_eq!(outcome, Outcome::NotRun(refusal(Reason::Shed)));
    let (mut call, mut entry) = call_after(20);
    assert_eq!(turned_away(&mut call, &mut entry).0, 2);
}

#[test]
fn a_repeat_that_reaches_no_upstream_costs_nothing() {
    let (mut call, mut entry) = call_after(10);
    let mut event = Event::Begin;
    for reason in [Reason::Shed, Reason::Busy, Reason::Deadline] {
        let actions = call.step(Moment(1), event, &mut entry);
        let Some(Action::Offer { id, .. }) = actions.into_iter().next() else {
            panic!("no offer");
        };
        event = Event::Refused(id, refusal(reason));
    }
    call.step(Moment(1), event, &mut entry);
    assert!(call.is_done());
    let treatment = Treatment {
        repeatable: false,
        priority: 1,
        max_runs: 1,
        max_arrivals: 2,
        origin: Origin::Upstream,
    };
    let candidates = (0..UPSTREAMS).map(candidate).collect();
    let mut next = Call::new("s".into(), treatment, Moment(9 * SECOND), candidates);
    assert_eq!(turned_away(&mut next, &mut entry).0, 2);
}
