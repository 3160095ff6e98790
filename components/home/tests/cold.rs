//! A service whose upstreams had all come back cold stayed down for the rest of the day: each upstream was sent what
//! its slots held, 39 requests in one second where it bore 32, fell over, came back cold, and its load brought the
//! next one down. These tests replay that load on one home duty, and then draw upstreams that turn cold at any moment.

use home::{
    Action, ColdAdmission, ColdCapacity, Config, Home, Offer, PriorStarts, ProbeResult, Suspicion,
    Verdict, COLD_WINDOW_US,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::collections::VecDeque;

const START: Moment = Moment(100 * SECOND);
/// Starts that the upstream bears in a second while it is cold.
const MOST: u32 = 30;
const COLD_US: u64 = 3 * SECOND;
const USUAL: u32 = 100;
/// Time that a run takes while the upstream is cold.
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

/// A duty of an upstream with eleven slots that has just started.
fn duty(looks: bool, earlier: PriorStarts) -> Home<u64> {
    let cfg = Config {
        slots: 11,
        adaptive: false,
        can_probe: looks,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    home.set_cold_capacity(ColdCapacity::Limited {
        starts_per_s: MOST,
        cold_us: COLD_US,
    });
    home.upstream_replaced(START, 11, earlier);
    home
}

fn told(cold_us: u64) -> ProbeResult {
    ProbeResult::Reported {
        percent: Some(USUAL),
        cold_us: Some(cold_us),
    }
}

/// Drives one duty, and notes when attempts start.
struct Drive {
    home: Home<u64>,
    now: Moment,
    cold_until: Moment,
    running: VecDeque<(Moment, AttemptId)>,
    starts: Vec<Moment>,
    looks: u64,
    /// When a look was asked for that has not been answered.
    asked: bool,
    next: u64,
}

impl Drive {
    fn new(home: Home<u64>, cold_until: Moment) -> Drive {
        Drive {
            home,
            now: START,
            cold_until,
            running: VecDeque::new(),
            starts: Vec::new(),
            looks: 0,
            asked: false,
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
                    self.looks += 1;
                    self.asked = true;
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

    /// The upstream answers the look that is under way.
    fn answer_look(&mut self) {
        if std::mem::take(&mut self.asked) {
            let left_us = self.cold_until.since(self.now);
            let actions = self.home.probe_finished(self.now, told(left_us));
            self.perform(actions);
        }
    }

    fn pass(&mut self, us: u64) {
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

    /// Most starts in one second that began at `since` or later.
    fn most_in_a_second(&self, since: Moment) -> usize {
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

/// Offers two and a half times what the cold upstream bears, until it has been warm for a second.
fn replay(mut drive: Drive) -> Drive {
    let end = START + COLD_US + SECOND;
    while drive.now < end {
        drive.offer(true);
        drive.pass(6 * MILLISECOND);
        drive.answer_look();
        drive.pass(7 * MILLISECOND);
    }
    drive
}

#[test]
fn an_upstream_that_is_cold_gets_no_more_in_any_second_than_it_bears_and_is_open_once_it_is_warm() {
    let drive = replay(Drive::new(duty(true, PriorStarts::None), START + COLD_US));
    let cold: Vec<&Moment> = drive
        .starts
        .iter()
        .filter(|at| **at < START + COLD_US)
        .collect();
    assert!(
        drive.most_in_a_second(START) > MOST as usize,
        "it stays bounded when it is warm"
    );
    let while_cold = Drive {
        starts: cold.into_iter().copied().collect(),
        ..drive
    };
    assert_eq!(while_cold.most_in_a_second(START), MOST as usize);
    // Every start that it bears is used: three windows of the cold time and a part of the fourth.
    let windows = COLD_US / COLD_WINDOW_US;
    assert!(while_cold.starts.len() as u64 >= windows * u64::from(MOST));
}

#[test]
fn a_warm_upstream_is_asked_before_more_are_started_than_a_cold_one_bears() {
    let mut drive = replay(Drive::new(duty(true, PriorStarts::None), START));
    let began = drive.starts.len();
    assert!(began > 250, "a warm upstream is not held back: {began}");
    // It turns cold without a word just after the last look.
    drive.answer_look();
    let turned = drive.now;
    drive.cold_until = turned + COLD_US;
    for _ in 0..200 {
        drive.offer(true);
        drive.pass(10 * MILLISECOND);
        drive.answer_look();
    }
    assert!(drive.most_in_a_second(turned) <= MOST as usize);
}

#[test]
fn without_looks_a_registration_tells_when_it_is_warm() {
    let mut home = duty(false, PriorStarts::None);
    home.cold_reported(START, COLD_US);
    let mut drive = replay(Drive::new(home, START + COLD_US));
    assert_eq!(drive.most_in_a_second(START), MOST as usize);
    drive.home.cold_reported(drive.now, 0);
    let warm = drive.now;
    for _ in 0..100 {
        drive.offer(true);
        drive.pass(10 * MILLISECOND);
        drive.home.cold_reported(drive.now, 0);
    }
    assert!(drive.most_in_a_second(warm) > MOST as usize);
}

#[test]
fn a_node_that_starts_beside_a_cold_upstream_counts_what_the_run_before_it_may_have_started() {
    let restarted = PriorStarts::Until(START);
    let mut drive = Drive::new(duty(true, restarted), START + COLD_US);
    for _ in 0..50 {
        drive.offer(true);
        drive.pass(20 * MILLISECOND);
        drive.answer_look();
    }
    assert_eq!(drive.starts, [], "a second of the earlier run is not over");
    drive.pass(50 * MILLISECOND);
    drive.offer(true);
    drive.answer_look();
    assert_eq!(drive.starts.len(), 1);
}

#[test]
fn a_node_that_starts_beside_a_warm_upstream_loses_one_look() {
    let mut drive = Drive::new(duty(true, PriorStarts::Until(START)), START);
    drive.pass(MILLISECOND);
    drive.offer(true);
    drive.answer_look();
    assert_eq!((drive.starts.len(), drive.looks), (1, 1));
}

#[test]
fn an_upstream_that_is_too_young_to_be_known_to_anyone_is_used_at_once() {
    let left_us = COLD_US - 400 * MILLISECOND;
    let until = START;
    for (left_us, starts) in [(left_us, 1), (left_us - SECOND, 0)] {
        let earlier = PriorStarts::UnlessYoung {
            until,
            left_us,
            registration_gap_us: SECOND,
        };
        let mut drive = Drive::new(duty(true, earlier), START + COLD_US);
        drive.offer(true);
        drive.answer_look();
        assert_eq!(drive.starts.len(), starts);
    }
}

/// Requests name the identity that they are meant for, so that those for the earlier start are taken by the later one.
#[test]
fn a_start_under_the_same_identity_has_borne_what_was_meant_for_the_one_before() {
    let mut drive = Drive::new(duty(true, PriorStarts::None), START + COLD_US);
    for _ in 0..MOST - 2 {
        drive.offer(true);
        drive.answer_look();
        drive.pass(10 * MILLISECOND);
    }
    let actions = drive
        .home
        .upstream_replaced(drive.now, 11, PriorStarts::SameIdentity);
    drive.perform(actions);
    for _ in 0..10 {
        drive.offer(true);
        drive.answer_look();
        drive.pass(10 * MILLISECOND);
    }
    assert_eq!(drive.most_in_a_second(START), MOST as usize);
}

#[test]
fn a_paused_process_counts_what_may_arrive_late() {
    let mut drive = Drive::new(duty(true, PriorStarts::None), START + COLD_US);
    drive.offer(true);
    drive.answer_look();
    assert_eq!(drive.starts.len(), 1);
    drive.pass(2 * SECOND);
    drive.home.paused(drive.now);
    drive.offer(true);
    drive.answer_look();
    assert_eq!(drive.starts.len(), 1);
    assert!(matches!(
        drive.home.cold_limiter().admission(drive.now, 0),
        ColdAdmission::Full(_)
    ));
}

/// What happens next in a drawn run.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        may_queue: bool,
    },
    Pass(u64),
    AnswerLook,
    /// It turns cold, and says nothing of it by itself.
    TurnCold(u64),
    /// A registration that was sent so many milliseconds ago, while the upstream was as it is now.
    Register {
        ago_ms: u64,
    },
    /// It ends and another run of it stands there, cold.
    Replace,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(|may_queue| Step::Offer { may_queue }),
        4 => (0..60u64).prop_map(|ms| Step::Pass(ms * MILLISECOND)),
        4 => Just(Step::AnswerLook),
        1 => (1..3_000u64).prop_map(|ms| Step::TurnCold(ms * MILLISECOND)),
        1 => (0..400u64).prop_map(|ago_ms| Step::Register { ago_ms }),
        1 => Just(Step::Replace),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn whatever_turns_cold_when_gets_no_more_than_it_bears(
        steps in proptest::collection::vec(step(), 1..400),
        looks in any::<bool>(),
    ) {
        let mut drive = Drive::new(duty(looks, PriorStarts::None), START + COLD_US);
        // Without looks only what the upstream says by itself is known: it is drawn cold from its start on.
        let mut cold_since = Some(START);
        for step in steps {
            match step {
                Step::Offer { may_queue } => drive.offer(may_queue),
                Step::Pass(us) => drive.pass(us),
                Step::AnswerLook => drive.answer_look(),
                Step::TurnCold(us) if looks => {
                    if drive.cold_until <= drive.now {
                        cold_since = Some(drive.now);
                    }
                    drive.cold_until = drive.cold_until.max(drive.now + us);
                }
                Step::TurnCold(_) => {}
                Step::Register { ago_ms } => {
                    let left_us = drive.cold_until.since(drive.now) + ago_ms * MILLISECOND;
                    let left_us = if drive.cold_until > drive.now { left_us } else { 0 };
                    drive.home.cold_reported(drive.now, left_us);
                }
                Step::Replace => {
                    let now = drive.now;
                    let actions = drive.home.upstream_replaced(now, 11, PriorStarts::None);
                    drive.cold_until = now + COLD_US;
                    cold_since = Some(now);
                    drive.starts.clear();
                    drive.perform(actions);
                }
            }
            if let Some(since) = cold_since.filter(|_| drive.cold_until > drive.now) {
                prop_assert!(drive.most_in_a_second(since) <= MOST as usize);
            }
        }
    }
}

/// An upstream that numbers its registrations from 0 had its first one acknowledged by a node that was then killed. The node
/// that started in its place took the second one for the first, and sent as much again to the cold upstream, which fell.
#[test]
fn a_second_registration_numbered_1_is_not_taken_for_the_first() {
    let registration_gap_us = 200 * MILLISECOND;
    let second =
        PriorStarts::of_registration(1, START, COLD_US - 508 * MILLISECOND, registration_gap_us);
    let mut home = duty(false, second);
    home.cold_reported(START, COLD_US - 508 * MILLISECOND);
    assert!(matches!(
        home.cold_limiter().admission(START, 0),
        ColdAdmission::Full(_)
    ));
    // The first one of a start that numbers them from 1 comes when it is young.
    let first = PriorStarts::of_registration(1, START, COLD_US, registration_gap_us);
    assert_eq!(
        duty(false, first).cold_limiter().admission(START, 0),
        ColdAdmission::Free
    );
    assert_eq!(
        PriorStarts::of_registration(0, START, 0, 0),
        PriorStarts::None
    );
}
