//! Starts depend on the slowdown that the upstream reports.

use home::{
    Action, Class, Config, Home, Offer, ProbeResult, QueryReply, Reason, Slowdown, Verdict,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};

const OWN_BOOT: BootId = BootId(1);
const TYPICAL_PERCENT: u32 = 100;
const SLOW_PERCENT: u32 = 500;
const START: Moment = Moment(10 * SECOND);
/// Time between two probes in these tests.
const PROBE_INTERVAL_US: u64 = 25 * MILLISECOND;

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
        remaining_us: 10 * SECOND,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue,
        repeat: false,
        suspicion: home::Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

/// The home duty of an upstream with four slots that can be probed.
fn home_duty() -> Home<u64> {
    Home::new(
        OWN_BOOT,
        Config {
            slots: 4,
            adaptive: false,
            can_probe: true,
            ..Config::default()
        },
    )
}

/// The same after a run of 200 ms without slowdown.
fn home_duty_after_a_run() -> (Home<u64>, Moment) {
    let mut home = home_duty();
    home.offer(START, &offer(1_000, true));
    home.probe_finished(START, ProbeResult::percent(TYPICAL_PERCENT));
    let end = START + 200 * MILLISECOND;
    home.completed(end, id(1_000), Verdict::Good, Some(1));
    (home, end)
}

fn is_refused(actions: &[Action], seq: u64) -> bool {
    let refused = |action: &Action| match action {
        Action::Refuse(refused, refusal) => *refused == id(seq) && refusal.reason == Reason::Busy,
        _ => false,
    };
    actions.iter().any(refused)
}

#[test]
fn one_probe_serves_all_waiting_starts() {
    let mut home = home_duty();
    assert_eq!(home.offer(START, &offer(1, true)), [Action::Probe]);
    assert_eq!(home.offer(START, &offer(2, false)), []);
    let actions = home.probe_finished(START + MILLISECOND, ProbeResult::percent(TYPICAL_PERCENT));
    assert_eq!(actions, [Action::Start(id(1)), Action::Start(id(2))]);
}

#[test]
fn report_in_an_answer_saves_a_probe() {
    let mut home = home_duty();
    home.slowdown_reported(START, TYPICAL_PERCENT);
    let soon = START + 15 * MILLISECOND;
    assert_eq!(home.offer(soon, &offer(1, true)), [Action::Start(id(1))]);
    let late = START + 30 * MILLISECOND;
    assert_eq!(home.offer(late, &offer(2, true)), [Action::Probe]);
    assert_eq!(home.counters().probes, 1);
    assert_eq!(home.counters().probes_saved, 1);
}

#[test]
fn slow_phase_defers_attempts_and_refuses_those_that_may_not_queue() {
    let (mut home, now) = home_duty_after_a_run();
    home.offer(now, &offer(1, true));
    home.offer(now, &offer(2, false));
    let actions = home.probe_finished(now, ProbeResult::percent(SLOW_PERCENT));
    assert!(is_refused(&actions, 2), "{actions:?}");
    assert!(home.is_queued(id(1)));
    assert!(home.load(now).deferred_us > 50 * MILLISECOND);
    let actions = home.offer(now + MILLISECOND, &offer(3, false));
    assert!(is_refused(&actions, 3), "{actions:?}");
    let later = now + PROBE_INTERVAL_US;
    assert_eq!(home.tick(later), [Action::Probe]);
    assert_eq!(
        home.probe_finished(later, ProbeResult::percent(TYPICAL_PERCENT)),
        [Action::Start(id(1))]
    );
    assert_eq!(home.load(later).deferred_us, 0);
}

#[test]
fn attempt_whose_slow_run_is_shorter_than_the_wait_starts_without_a_probe() {
    let mut home = home_duty();
    home.offer(START, &offer(1, true));
    home.probe_finished(START, ProbeResult::percent(TYPICAL_PERCENT));
    let now = START + 10 * MILLISECOND;
    home.completed(now, id(1), Verdict::Good, Some(1));
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2, true)), [Action::Start(id(2))]);
    home.slowdown_reported(later, SLOW_PERCENT);
    assert_eq!(home.offer(later, &offer(3, true)), [Action::Start(id(3))]);
}

#[test]
fn failed_probe_starts_the_attempt_and_suspends_probing() {
    let mut home = home_duty();
    home.offer(START, &offer(1, true));
    assert_eq!(
        home.probe_finished(START, ProbeResult::NoAnswer),
        [Action::Start(id(1))]
    );
    let soon = START + 100 * MILLISECOND;
    assert_eq!(home.offer(soon, &offer(2, true)), [Action::Start(id(2))]);
    let later = START + SECOND;
    assert_eq!(home.offer(later, &offer(3, true)), [Action::Probe]);
}

#[test]
fn attempt_that_waits_for_a_probe_can_be_fenced_and_cancelled() {
    let mut home = home_duty();
    home.offer(START, &offer(1, true));
    home.offer(START, &offer(2, true));
    assert_eq!(home.query(START, id(1), OWN_BOOT), QueryReply::Revoked);
    assert!(!home.cancel(START, id(2)));
    assert_eq!(
        home.probe_finished(START, ProbeResult::percent(TYPICAL_PERCENT)),
        []
    );
    assert!(home.is_idle());
}

#[test]
fn lasting_slowdown_defers_attempts_for_at_most_five_slow_phases() {
    let (mut home, mut now) = home_duty_after_a_run();
    home.offer(now, &offer(1, true));
    let begin = now;
    while home.is_queued(id(1)) {
        assert!(now.since(begin) < 1_100 * MILLISECOND, "deferred too long");
        if home.tick(now) == [Action::Probe] || now == begin {
            home.probe_finished(now, ProbeResult::percent(SLOW_PERCENT));
        }
        now = now + PROBE_INTERVAL_US;
    }
    // A slow phase relative to the lasting slowdown defers attempts again.
    home.offer(now, &offer(2, true));
    home.probe_finished(now, ProbeResult::percent(5 * SLOW_PERCENT));
    assert!(home.is_queued(id(2)));
}

#[test]
fn slowdown_of_a_cold_start_does_not_defer_attempts() {
    let (mut home, now) = home_duty_after_a_run();
    home.offer(now, &offer(1, true));
    assert_eq!(
        home.probe_finished(now, ProbeResult::percent(200)),
        [Action::Start(id(1))]
    );
}

/// The slowdown after slow phases of `length_ms`, probed every 20 ms.
fn after_phases(length_ms: u64) -> Slowdown {
    let mut slowdown = Slowdown::default();
    let mut now = START;
    for _ in 0..100 {
        let probes = length_ms / 20;
        for _ in 0..probes {
            slowdown.reported(now, SLOW_PERCENT);
            now = now + 20 * MILLISECOND;
        }
        for _ in 0..2 * probes + 1 {
            slowdown.reported(now, TYPICAL_PERCENT);
            now = now + 20 * MILLISECOND;
        }
    }
    slowdown
}

#[test]
fn length_of_slow_phases_is_learned() {
    for length_ms in [60, 200, 600] {
        let learned_ms = after_phases(length_ms).phase_us() / MILLISECOND as f64;
        let error = (learned_ms / length_ms as f64 - 1.0).abs();
        assert!(error < 0.3, "{learned_ms} ms learned of {length_ms} ms");
    }
}

#[test]
fn run_time_is_learned_without_the_slowdown_at_which_it_began() {
    let class = Class {
        level: 0,
        repeatable: true,
    };
    let mut slowdown = after_phases(200);
    for _ in 0..50 {
        slowdown.record_run(class, 500 * MILLISECOND, SLOW_PERCENT);
    }
    let now = START + 60 * SECOND;
    slowdown.reported(now, TYPICAL_PERCENT);
    slowdown.reported(now, 400);
    assert!(
        slowdown.is_deferred(now, class),
        "the slowdown adds three times 100 ms, more than the wait"
    );
    for _ in 0..100 {
        slowdown.record_run(class, 20 * MILLISECOND, TYPICAL_PERCENT);
    }
    assert!(!slowdown.is_deferred(now, class));
}

/// An offer with an objective of 600 ms in a class that takes 200 ms.
fn urgent(seq: u64) -> Offer {
    Offer {
        objective_us: Some(600 * MILLISECOND),
        ..offer(seq, true)
    }
}

/// The offers that are refused while a slow phase lasts, and when, in milliseconds since `begin`.
fn refused_in_a_long_phase(home: &mut Home<u64>, begin: Moment) -> Vec<(AttemptId, u64)> {
    let mut refused = Vec::new();
    for probe in 1..18u64 {
        let now = begin + probe * PROBE_INTERVAL_US;
        let mut actions = home.tick(now);
        actions.extend(home.probe_finished(now, ProbeResult::percent(SLOW_PERCENT)));
        for action in actions {
            if let Action::Refuse(id, _) = action {
                refused.push((id, now.since(begin) / MILLISECOND));
            }
        }
    }
    refused
}

#[test]
fn deferred_attempt_is_refused_after_its_share_of_the_objective() {
    let (mut home, now) = home_duty_after_a_run();
    // All four slots are taken.
    for seq in 10..14 {
        home.offer(now, &offer(seq, true));
    }
    home.probe_finished(now, ProbeResult::percent(TYPICAL_PERCENT));
    home.offer(now, &urgent(1));
    let refused = refused_in_a_long_phase(&mut home, now);
    // 0.22 of 600 ms.
    assert!(
        matches!(refused.as_slice(), [(_, 132..=160)]),
        "{refused:?}"
    );
}

#[test]
fn last_report_counts_briefly_when_a_probe_is_denied() {
    let (mut home, now) = home_duty_after_a_run();
    home.offer(now, &offer(1, true));
    home.probe_finished(now, ProbeResult::percent(SLOW_PERCENT));
    let later = now + PROBE_INTERVAL_US;
    assert_eq!(home.tick(later), [Action::Probe]);
    assert_eq!(home.probe_finished(later, ProbeResult::NoBudget), []);
    assert!(home.is_queued(id(1)), "it started in a slow phase");
    let next = later + PROBE_INTERVAL_US;
    assert_eq!(home.tick(next), [Action::Probe]);
    let actions = home.probe_finished(next, ProbeResult::percent(TYPICAL_PERCENT));
    assert_eq!(actions, [Action::Start(id(1))]);
}

#[test]
fn upstream_that_was_down_gets_attempts_after_a_successful_probe() {
    let (mut home, now) = home_duty_after_a_run();
    home.slowdown_reported(now, TYPICAL_PERCENT);
    home.offer(now, &offer(1, true));
    home.completed(now, id(1), Verdict::NotSent, None);
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2, true)), [Action::Probe]);
    let actions = home.probe_finished(later, ProbeResult::percent(TYPICAL_PERCENT));
    assert_eq!(actions, [Action::Start(id(2))]);
}
