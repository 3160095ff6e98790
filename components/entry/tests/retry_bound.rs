//! The fleet's bound on repeats, with many entry duties, upstreams that shed requests, errors, and
//! nodes that restart.
//!
//! Guards against repeats beyond the bound after requests were shed: 519 repeats arrived at one
//! service within 10 s, where 309 were allowed. Load had doubled, and the service's upstreams shed
//! requests. Each shed request was offered to the next upstream, in three halls within 8 ms, and
//! shed by each. These offers were free because the request had not run, although its upstream had
//! received it, and several nodes made them at the same time without a bound.
//!
//! With a burst of 2.4 times and upstreams that shed, free offers gave 458 and 442 repeats, where
//! 320 and 303 were allowed; charged to the budget, they stay within the bound.
//! `shed_request_is_offered_again_only_within_the_budget` fails if such offers are free.

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

/// Response of an upstream to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Response {
    Answer,
    Shed,
    Fail,
}

/// Probabilities of the upstreams' responses.
#[derive(Debug, Clone, Copy)]
struct Load {
    shed_percent: u8,
    fail_percent: u8,
    /// Runs that are reported as stragglers.
    straggle_percent: u8,
}

#[derive(Debug, Clone)]
enum Step {
    /// Requests of clients, one every 7 ms, to each node in turn.
    Requests {
        count: u32,
        shed_percent: u8,
        fail_percent: u8,
        non_repeatable: bool,
        straggle_percent: u8,
    },
    Restart(usize),
    /// No request for this many milliseconds.
    Idle(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (100..1_500u32, 0..=100u8, 0..=40u8, any::<bool>(), 0..=60u8).prop_map(
            |(count, shed_percent, fail_percent, non_repeatable, straggle_percent)| Step::Requests {
                count,
                shed_percent,
                fail_percent,
                non_repeatable,
                straggle_percent,
            }
        ),
        3 => (0..NODES).prop_map(Step::Restart),
        1 => (0..15_000u64).prop_map(Step::Idle),
    ]
}

/// Requests of clients to one service, and repeats that arrived at its upstreams.
#[derive(Debug, Default)]
struct Arrivals {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Arrivals {
    fn count_in_window(times: &VecDeque<Moment>, from: u64) -> usize {
        let inside = |at: &&Moment| at.0 >= from && at.0 < from + WINDOW_US;
        times.iter().filter(inside).count()
    }

    /// Checks each window that begins with a repeat. Its repeats may be at most the ratio of the
    /// requests, plus the slack. The requests are those of the window itself, of the one before, or
    /// of the one half a window earlier, whichever has the most.
    fn check(&self) {
        for start in &self.repeats {
            let from = start.0;
            let repeats = Self::count_in_window(&self.repeats, from) as f64;
            let starts = [
                from,
                from.saturating_sub(WINDOW_US / 2),
                from.saturating_sub(WINDOW_US),
            ];
            let requests = starts.map(|from| Self::count_in_window(&self.requests, from));
            let max_requests = *requests.iter().max().expect("three windows");
            assert!(
                repeats <= RATIO * max_requests as f64 + SLACK,
                "{repeats} repeats for {max_requests} requests in the window from {from}"
            );
        }
    }
}

struct World {
    now: Moment,
    nodes: Vec<Entry>,
    boots: u64,
    rng_state: u64,
    /// Hedged attempts that ran at the same time as the first.
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
            rng_state: 1,
            hedges: 0,
            outer: Arrivals::default(),
            inner: Arrivals::default(),
        };
        for _ in 0..NODES {
            let node = world.new_node();
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self) -> Entry {
        self.boots += 1;
        let mut node = Entry::new(BootId(self.boots), SelectionRule::Expected, self.boots);
        node.set_retry_config(RetryBudgetConfig::node_share(RATIO, SLACK, NODES));
        node.add_dependency(&Name::from("inner"));
        node
    }

    /// A pseudorandom number from 0 to 99.
    fn percent(&mut self) -> u8 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        ((self.rng_state >> 33) % 100) as u8
    }

    fn response(&mut self, load: Load) -> Response {
        if self.percent() < load.shed_percent {
            return Response::Shed;
        }
        if self.percent() < load.fail_percent {
            return Response::Fail;
        }
        Response::Answer
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Requests {
                count,
                shed_percent,
                fail_percent,
                non_repeatable,
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
                    self.request(node, service, Origin::Client, non_repeatable, load);
                }
            }
            Step::Restart(node) => self.nodes[node] = self.new_node(),
            Step::Idle(ms) => self.now = self.now + ms * MILLISECOND,
        }
    }

    /// Runs one call to its outcome.
    fn request(
        &mut self,
        node: usize,
        service: &str,
        origin: Origin,
        non_repeatable: bool,
        load: Load,
    ) {
        let treatment = Treatment {
            repeatable: !non_repeatable,
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
        let mut has_arrived = false;
        let mut event = Event::Begin;
        // Running attempts: the first, and possibly a hedge.
        let mut running: Vec<(AttemptId, Response)> = Vec::new();
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
                if repeat && !self.nodes[node_index(&to)].may_run_repeat() {
                    event = Event::Refused(id, refusal(Reason::Busy));
                    continue;
                }
                let now = self.now;
                if has_arrived || origin == Origin::UpstreamRepeat {
                    assert!(
                        repeat,
                        "an offer after an arrival is not marked as a repeat"
                    );
                    self.arrivals(service).repeats.push_back(now);
                }
                assert!(
                    !has_arrived || !non_repeatable || running.is_empty(),
                    "two runs of a non-repeatable request"
                );
                has_arrived = true;
                let response = self.response(load);
                if response != Response::Shed && service == "outer" {
                    let origin = if repeat {
                        Origin::UpstreamRepeat
                    } else {
                        Origin::Upstream
                    };
                    self.request(node_index(&to), "inner", origin, false, load);
                }
                running.push((id, response));
                if running.len() == 1 && self.percent() < load.straggle_percent {
                    event = Event::Straggles(id);
                    continue;
                }
            }
            self.hedges += u64::from(running.len() == 2);
            let pick = usize::from(self.percent()) % running.len();
            let (id, response) = running.remove(pick);
            event = match response {
                Response::Shed => Event::Refused(id, refusal(Reason::Shed)),
                Response::Fail => Event::Answered {
                    id,
                    answer: 1,
                    error: true,
                },
                Response::Answer => Event::Answered {
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

fn node_index(vm: &Name) -> usize {
    vm.as_str()
        .parse()
        .expect("VMs have the numbers of nodes as names")
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
    fn repeats_stay_within_the_bound_of_the_fleet_in_every_window(
        steps in prop::collection::vec(step(), 2..12)
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        world.outer.check();
        world.inner.check();
    }
}

/// Guards against a bound that holds only because no hedged attempt is made.
#[test]
fn many_hedged_attempts_stay_within_the_bound() {
    let mut world = World::new();
    for _ in 0..10 {
        world.apply(Step::Requests {
            count: 1_500,
            shed_percent: 0,
            fail_percent: 0,
            non_repeatable: false,
            straggle_percent: 60,
        });
    }
    assert!(world.hedges > 300, "{} hedged attempts", world.hedges);
    world.outer.check();
    world.inner.check();
}

/// A call of a client after `requests` other calls have made deposits to the budget.
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
        let mut earlier_call: Call<u64> = call();
        earlier_call.step(Moment(1), Event::Begin, &mut entry);
        earlier_call.step(Moment(1), Event::CallerDisconnected, &mut entry);
    }
    (call(), entry)
}

/// Number of offers and the outcome of a call that every upstream sheds.
fn shed_everywhere(call: &mut Call<u64>, entry: &mut Entry) -> (u32, Outcome<u64>) {
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
fn shed_request_is_offered_again_only_within_the_budget() {
    let (mut call, mut entry) = call_after(0);
    let (arrivals, outcome) = shed_everywhere(&mut call, &mut entry);
    assert_eq!(arrivals, 1);
    assert_eq!(outcome, Outcome::NotRun(refusal(Reason::Shed)));
    let (mut call, mut entry) = call_after(20);
    assert_eq!(shed_everywhere(&mut call, &mut entry).0, 2);
}

#[test]
fn repeat_that_reaches_no_upstream_is_refunded() {
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
    assert_eq!(shed_everywhere(&mut next, &mut entry).0, 2);
}
