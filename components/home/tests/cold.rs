//! Guards against a cascade of overload crashes at cold upstreams: one that was sent as many
//! requests as its slots hold, 39 in one second where it sustained 32, crashed and came back cold,
//! and its load crashed the next one, so that the service stayed down. The tests replay that load
//! on one home duty, then generate upstreams that turn cold at any time.

use home::{
    Action, ColdAdmission, ColdCapacity, Config, Home, Offer, PriorStarts, ProbeResult, Suspicion,
    Verdict, COLD_WINDOW_US,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::collections::VecDeque;

const START: Moment = Moment(100 * SECOND);
/// Starts per second that the upstream sustains while it is cold.
const MAX_STARTS: u32 = 30;
const COLD_US: u64 = 3 * SECOND;
const TYPICAL_PERCENT: u32 = 100;
/// Duration of a run while the upstream is cold.
const RUN_US: u64 = 80 * MILLISECOND;

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

fn offer(seq: u64, may_queue: bool) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: 600 * MILLISECOND,
        objective_us: Some(200 * MILLISECOND),
        priority: 8,
        level: 0,
        repeatable: true,
        may_queue,
        repeat: false,
        suspicion: Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

/// The home duty of an upstream with eleven slots that has just started.
fn home_duty(can_probe: bool, prior: PriorStarts) -> Home<u64> {
    let cfg = Config {
        slots: 11,
        adaptive: false,
        can_probe,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    home.set_cold_capacity(ColdCapacity::Limited {
        starts_per_s: MAX_STARTS,
        cold_us: COLD_US,
    });
    home.upstream_replaced(START, 11, prior);
    home
}

fn report(cold_us: u64) -> ProbeResult {
    ProbeResult::Reported {
        percent: Some(TYPICAL_PERCENT),
        cold_us: Some(cold_us),
    }
}

/// Drives one home duty and records when attempts start.
struct Driver {
    home: Home<u64>,
    now: Moment,
    cold_until: Moment,
    running: VecDeque<(Moment, AttemptId)>,
    starts: Vec<Moment>,
    probes: u64,
    /// Whether a requested probe has not been answered.
    probe_pending: bool,
    next: u64,
}

impl Driver {
    fn new(home: Home<u64>, cold_until: Moment) -> Driver {
        Driver {
            home,
            now: START,
            cold_until,
            running: VecDeque::new(),
            starts: Vec::new(),
            probes: 0,
            probe_pending: false,
            next: 0,
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    self.starts.push(self.now);
                    self.running.push_back((self.now + RUN_US, id));
                }
                Action::Probe => {
                    self.probes += 1;
                    self.probe_pending = true;
                }
                Action::Refuse(..) | Action::Revoke(_) | Action::Straggles(_) => {}
            }
        }
    }

    fn offer(&mut self, may_queue: bool) {
        let offer = offer(self.next, may_queue);
        self.next += 1;
        let actions = self.home.offer(self.now, &offer);
        self.perform(actions);
    }

    /// The upstream answers the pending probe.
    fn answer_probe(&mut self) {
        if std::mem::take(&mut self.probe_pending) {
            let left_us = self.cold_until.since(self.now);
            let actions = self.home.probe_finished(self.now, report(left_us));
            self.perform(actions);
        }
    }

    fn advance(&mut self, us: u64) {
        self.now = self.now + us;
        while self
            .running
            .front()
            .is_some_and(|(end, _)| *end <= self.now)
        {
            if let Some((_, id)) = self.running.pop_front() {
                let actions = self.home.completed(self.now, id, Verdict::Good, Some(1));
                self.perform(actions);
            }
        }
        let actions = self.home.tick(self.now);
        self.perform(actions);
    }

    /// Maximum number of starts in one second, counted from `since`.
    fn max_starts_per_second(&self, since: Moment) -> usize {
        let counted: Vec<Moment> = self
            .starts
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect();
        let ending = counted.iter().enumerate().map(|(i, last)| {
            let within = counted[..=i].iter().filter(|at| last.since(**at) < SECOND);
            within.count()
        });
        ending.max().unwrap_or(0)
    }
}

/// Offers two and a half times what the cold upstream sustains, until it has been warm for a second.
fn replay(mut driver: Driver) -> Driver {
    let end = START + COLD_US + SECOND;
    while driver.now < end {
        driver.offer(true);
        driver.advance(6 * MILLISECOND);
        driver.answer_probe();
        driver.advance(7 * MILLISECOND);
    }
    driver
}

#[test]
fn cold_upstream_gets_its_declared_starts_per_second_and_a_warm_one_gets_more() {
    let driver = replay(Driver::new(
        home_duty(true, PriorStarts::None),
        START + COLD_US,
    ));
    let cold: Vec<&Moment> = driver
        .starts
        .iter()
        .filter(|at| **at < START + COLD_US)
        .collect();
    assert!(
        driver.max_starts_per_second(START) > MAX_STARTS as usize,
        "the cold limit still applies to the warm upstream"
    );
    let while_cold = Driver {
        starts: cold.into_iter().copied().collect(),
        ..driver
    };
    assert_eq!(while_cold.max_starts_per_second(START), MAX_STARTS as usize);
    // All starts that it sustains are used: the cold time has two full windows and a part of the
    // third.
    let windows = COLD_US / COLD_WINDOW_US;
    assert!(while_cold.starts.len() as u64 >= windows * u64::from(MAX_STARTS));
}

#[test]
fn warm_upstream_is_probed_before_starts_exceed_the_cold_capacity() {
    let mut driver = replay(Driver::new(home_duty(true, PriorStarts::None), START));
    let began = driver.starts.len();
    assert!(began > 250, "a warm upstream is limited to {began} starts");
    // It turns cold just after the last probe and doesn't report it.
    driver.answer_probe();
    let turned = driver.now;
    driver.cold_until = turned + COLD_US;
    for _ in 0..200 {
        driver.offer(true);
        driver.advance(10 * MILLISECOND);
        driver.answer_probe();
    }
    assert!(driver.max_starts_per_second(turned) <= MAX_STARTS as usize);
}

#[test]
fn without_probes_a_registration_reports_a_warm_upstream() {
    let mut home = home_duty(false, PriorStarts::None);
    home.cold_reported(START, COLD_US);
    let mut driver = replay(Driver::new(home, START + COLD_US));
    assert_eq!(driver.max_starts_per_second(START), MAX_STARTS as usize);
    driver.home.cold_reported(driver.now, 0);
    let warm = driver.now;
    for _ in 0..100 {
        driver.offer(true);
        driver.advance(10 * MILLISECOND);
        driver.home.cold_reported(driver.now, 0);
    }
    assert!(driver.max_starts_per_second(warm) > MAX_STARTS as usize);
}

#[test]
fn restarted_node_counts_the_starts_of_its_previous_run_at_a_cold_upstream() {
    let restarted = PriorStarts::Until(START);
    let mut driver = Driver::new(home_duty(true, restarted), START + COLD_US);
    for _ in 0..50 {
        driver.offer(true);
        driver.advance(20 * MILLISECOND);
        driver.answer_probe();
    }
    assert_eq!(
        driver.starts,
        [],
        "the window of the previous run is not over"
    );
    driver.advance(50 * MILLISECOND);
    driver.offer(true);
    driver.answer_probe();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn restarted_node_uses_a_warm_upstream_after_one_probe() {
    let mut driver = Driver::new(home_duty(true, PriorStarts::Until(START)), START);
    driver.advance(MILLISECOND);
    driver.offer(true);
    driver.answer_probe();
    assert_eq!((driver.starts.len(), driver.probes), (1, 1));
}

#[test]
fn upstream_too_young_to_be_known_to_a_previous_run_is_used_at_once() {
    let left_us = COLD_US - 400 * MILLISECOND;
    let until = START;
    for (left_us, starts) in [(left_us, 1), (left_us - SECOND, 0)] {
        let prior = PriorStarts::UnlessYoung {
            until,
            left_us,
            registration_gap_us: SECOND,
        };
        let mut driver = Driver::new(home_duty(true, prior), START + COLD_US);
        driver.offer(true);
        driver.answer_probe();
        assert_eq!(driver.starts.len(), starts);
    }
}

/// Requests carry the identity that they are meant for, so that the new incarnation accepts those
/// for the last one.
#[test]
fn incarnation_with_the_same_identity_keeps_the_counted_starts() {
    let mut driver = Driver::new(home_duty(true, PriorStarts::None), START + COLD_US);
    for _ in 0..MAX_STARTS - 2 {
        driver.offer(true);
        driver.answer_probe();
        driver.advance(10 * MILLISECOND);
    }
    let actions = driver
        .home
        .upstream_replaced(driver.now, 11, PriorStarts::SameIdentity);
    driver.perform(actions);
    for _ in 0..10 {
        driver.offer(true);
        driver.answer_probe();
        driver.advance(10 * MILLISECOND);
    }
    assert_eq!(driver.max_starts_per_second(START), MAX_STARTS as usize);
}

#[test]
fn paused_process_counts_requests_that_may_arrive_late() {
    let mut driver = Driver::new(home_duty(true, PriorStarts::None), START + COLD_US);
    driver.offer(true);
    driver.answer_probe();
    assert_eq!(driver.starts.len(), 1);
    driver.advance(2 * SECOND);
    driver.home.paused(driver.now);
    driver.offer(true);
    driver.answer_probe();
    assert_eq!(driver.starts.len(), 1);
    assert!(matches!(
        driver.home.cold_limiter().admission(driver.now, 0),
        ColdAdmission::Full(_)
    ));
}

/// A step of a generated run.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        may_queue: bool,
    },
    Advance(u64),
    AnswerProbe,
    /// The upstream turns cold without reporting it.
    TurnCold(u64),
    /// A registration arrives that was sent `ago_ms` milliseconds ago, when the upstream was in its
    /// current state.
    Register {
        ago_ms: u64,
    },
    /// The upstream terminates and a new incarnation starts cold.
    Replace,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(|may_queue| Step::Offer { may_queue }),
        4 => (0..60u64).prop_map(|ms| Step::Advance(ms * MILLISECOND)),
        4 => Just(Step::AnswerProbe),
        1 => (1..3_000u64).prop_map(|ms| Step::TurnCold(ms * MILLISECOND)),
        1 => (0..400u64).prop_map(|ago_ms| Step::Register { ago_ms }),
        1 => Just(Step::Replace),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn upstream_that_turns_cold_at_any_time_gets_at_most_its_declared_starts(
        steps in proptest::collection::vec(step(), 1..400),
        can_probe in any::<bool>(),
    ) {
        let mut driver = Driver::new(home_duty(can_probe, PriorStarts::None), START + COLD_US);
        // Without probes the node knows only what the upstream reports itself, so it turns cold
        // only at its start.
        let mut cold_since = Some(START);
        for step in steps {
            match step {
                Step::Offer { may_queue } => driver.offer(may_queue),
                Step::Advance(us) => driver.advance(us),
                Step::AnswerProbe => driver.answer_probe(),
                Step::TurnCold(us) if can_probe => {
                    if driver.cold_until <= driver.now {
                        cold_since = Some(driver.now);
                    }
                    driver.cold_until = driver.cold_until.max(driver.now + us);
                }
                Step::TurnCold(_) => {}
                Step::Register { ago_ms } => {
                    let left_us = driver.cold_until.since(driver.now) + ago_ms * MILLISECOND;
                    let left_us = if driver.cold_until > driver.now { left_us } else { 0 };
                    driver.home.cold_reported(driver.now, left_us);
                }
                Step::Replace => {
                    let now = driver.now;
                    let actions = driver.home.upstream_replaced(now, 11, PriorStarts::None);
                    driver.cold_until = now + COLD_US;
                    cold_since = Some(now);
                    driver.starts.clear();
                    driver.perform(actions);
                }
            }
            if let Some(since) = cold_since.filter(|_| driver.cold_until > driver.now) {
                prop_assert!(driver.max_starts_per_second(since) <= MAX_STARTS as usize);
            }
        }
    }
}

/// Guards against an overload crash after a restart of the node: it takes the second registration
/// of a cold upstream, numbered 1 after 0, for the first, and starts as many requests again as its
/// previous run, which had acknowledged the first one.
#[test]
fn second_registration_numbered_1_is_not_taken_for_the_first() {
    let registration_gap_us = 200 * MILLISECOND;
    let second =
        PriorStarts::of_registration(1, START, COLD_US - 508 * MILLISECOND, registration_gap_us);
    let mut home = home_duty(false, second);
    home.cold_reported(START, COLD_US - 508 * MILLISECOND);
    assert!(matches!(
        home.cold_limiter().admission(START, 0),
        ColdAdmission::Full(_)
    ));
    // The first registration of an incarnation that numbers them from 1 arrives while it is young.
    let first = PriorStarts::of_registration(1, START, COLD_US, registration_gap_us);
    assert_eq!(
        home_duty(false, first).cold_limiter().admission(START, 0),
        ColdAdmission::Free
    );
    assert_eq!(
        PriorStarts::of_registration(0, START, 0, 0),
        PriorStarts::None
    );
}
