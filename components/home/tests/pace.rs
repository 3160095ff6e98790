//! Starts hang on what the upstream says of its pace.

use home::{
    Action, Class, Config, Home, Offer, ProbeResult, QueryReply, Reason, Slowdown, Verdict,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};

const ME: BootId = BootId(1);
const USUAL: u32 = 100;
const SLOW: u32 = 500;
const START: Moment = Moment(10 * SECOND);
/// Time between two looks in these tests.
const LOOK_US: u64 = 25 * MILLISECOND;

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

/// A duty that can look, of an upstream with four slots.
fn duty() -> Home<u64> {
    Home::new(
        ME,
        Config {
            slots: 4,
            adaptive: false,
            can_probe: true,
            ..Config::default()
        },
    )
}

/// The same after a run of 200 ms at the usual pace.
fn experienced() -> (Home<u64>, Moment) {
    let mut home = duty();
    home.offer(START, &offer(1_000, true));
    home.probe_finished(START, ProbeResult::percent(USUAL));
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
fn one_look_serves_all_starts_that_wait_for_it() {
    let mut home = duty();
    assert_eq!(home.offer(START, &offer(1, true)), [Action::Probe]);
    assert_eq!(home.offer(START, &offer(2, false)), []);
    let actions = home.probe_finished(START + MILLISECOND, ProbeResult::percent(USUAL));
    assert_eq!(actions, [Action::Start(id(1)), Action::Start(id(2))]);
}

#[test]
fn a_word_that_came_with_an_answer_saves_the_look() {
    let mut home = duty();
    home.slowdown_reported(START, USUAL);
    let soon = START + 15 * MILLISECOND;
    assert_eq!(home.offer(soon, &offer(1, true)), [Action::Start(id(1))]);
    let late = START + 30 * MILLISECOND;
    assert_eq!(home.offer(late, &offer(2, true)), [Action::Probe]);
    assert_eq!(home.counters().probes, 1);
    assert_eq!(home.counters().probes_saved, 1);
}

#[test]
fn work_waits_while_a_slow_phase_lasts_and_what_may_not_wait_is_refused() {
    let (mut home, now) = experienced();
    home.offer(now, &offer(1, true));
    home.offer(now, &offer(2, false));
    let actions = home.probe_finished(now, ProbeResult::percent(SLOW));
    assert!(is_refused(&actions, 2), "{actions:?}");
    assert!(home.is_queued(id(1)));
    assert!(home.load(now).deferred_us > 50 * MILLISECOND);
    let actions = home.offer(now + MILLISECOND, &offer(3, false));
    assert!(is_refused(&actions, 3), "{actions:?}");
    let later = now + LOOK_US;
    assert_eq!(home.tick(later), [Action::Probe]);
    assert_eq!(
        home.probe_finished(later, ProbeResult::percent(USUAL)),
        [Action::Start(id(1))]
    );
    assert_eq!(home.load(later).deferred_us, 0);
}

#[test]
fn work_whose_slow_run_is_shorter_than_the_wait_begins_at_once_and_needs_no_word() {
    let mut home = duty();
    home.offer(START, &offer(1, true));
    home.probe_finished(START, ProbeResult::percent(USUAL));
    let now = START + 10 * MILLISECOND;
    home.completed(now, id(1), Verdict::Good, Some(1));
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2, true)), [Action::Start(id(2))]);
    home.slowdown_reported(later, SLOW);
    assert_eq!(home.offer(later, &offer(3, true)), [Action::Start(id(3))]);
}

#[test]
fn without_a_word_work_starts_and_no_look_is_made_for_a_while() {
    let mut home = duty();
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
fn an_attempt_that_waits_for_a_word_can_be_fenced_and_cancelled() {
    let mut home = duty();
    home.offer(START, &offer(1, true));
    home.offer(START, &offer(2, true));
    assert_eq!(home.query(START, id(1), ME), QueryReply::Revoked);
    assert!(!home.cancel(START, id(2)));
    assert_eq!(home.probe_finished(START, ProbeResult::percent(USUAL)), []);
    assert!(home.is_idle());
}

#[test]
fn slowness_that_lasts_holds_work_back_for_five_slow_phases_at_most() {
    let (mut home, mut now) = experienced();
    home.offer(now, &offer(1, true));
    let begin = now;
    while home.is_queued(id(1)) {
        assert!(now.since(begin) < 1_100 * MILLISECOND, "held back too long");
        if home.tick(now) == [Action::Probe] || now == begin {
            home.probe_finished(now, ProbeResult::percent(SLOW));
        }
        now = now + LOOK_US;
    }
    // A slow phase within the lasting slowness is one all the same.
    home.offer(now, &offer(2, true));
    home.probe_finished(now, ProbeResult::percent(5 * SLOW));
    assert!(home.is_queued(id(2)));
}

#[test]
fn an_upstream_that_starts_cold_is_not_held_back() {
    let (mut home, now) = experienced();
    home.offer(now, &offer(1, true));
    assert_eq!(
        home.probe_finished(now, ProbeResult::percent(200)),
        [Action::Start(id(1))]
    );
}

/// A pace after slow phases of `length_ms`, probed at every 20 ms.
fn after_phases(length_ms: u64) -> Slowdown {
    let mut pace = Slowdown::default();
    let mut now = START;
    for _ in 0..100 {
        let looks = length_ms / 20;
        for _ in 0..looks {
            pace.reported(now, SLOW);
            now = now + 20 * MILLISECOND;
        }
        for _ in 0..2 * looks + 1 {
            pace.reported(now, USUAL);
            now = now + 20 * MILLISECOND;
        }
    }
    pace
}

#[test]
fn the_length_of_slow_phases_is_learned() {
    for length_ms in [60, 200, 600] {
        let learned_ms = after_phases(length_ms).phase_us() / MILLISECOND as f64;
        let error = (learned_ms / length_ms as f64 - 1.0).abs();
        assert!(error < 0.3, "{learned_ms} ms learned of {length_ms} ms");
    }
}

#[test]
fn the_time_of_a_run_is_learned_apart_from_the_pace_at_which_it_began() {
    let class = Class {
        level: 0,
        repeatable: true,
    };
    let mut pace = after_phases(200);
    for _ in 0..50 {
        pace.record_run(class, 500 * MILLISECOND, SLOW);
    }
    let now = START + 60 * SECOND;
    pace.reported(now, USUAL);
    pace.reported(now, 400);
    assert!(
        pace.is_deferred(now, class),
        "three times 100 ms more against the wait"
    );
    for _ in 0..100 {
        pace.record_run(class, 20 * MILLISECOND, USUAL);
    }
    assert!(!pace.is_deferred(now, class));
}

/// An offer with an objective of 600 ms, of a class that takes 200 ms.
fn urgent(seq: u64) -> Offer {
    Offer {
        objective_us: Some(600 * MILLISECOND),
        ..offer(seq, true)
    }
}

/// The offers refused when a slow phase goes on, with the time at which they were, in milliseconds.
fn refused_in_a_long_phase(home: &mut Home<u64>, begin: Moment) -> Vec<(AttemptId, u64)> {
    let mut refused = Vec::new();
    for look in 1..18u64 {
        let now = begin + look * LOOK_US;
        let mut actions = home.tick(now);
        actions.extend(home.probe_finished(now, ProbeResult::percent(SLOW)));
        for action in actions {
            if let Action::Refuse(id, _) = action {
                refused.push((id, now.since(begin) / MILLISECOND));
            }
        }
    }
    refused
}

#[test]
fn who_waits_for_longer_than_a_part_of_the_objective_is_refused_in_a_slow_phase_too() {
    let (mut home, now) = experienced();
    // All four slots are taken.
    for seq in 10..14 {
        home.offer(now, &offer(seq, true));
    }
    home.probe_finished(now, ProbeResult::percent(USUAL));
    home.offer(now, &urgent(1));
    let refused = refused_in_a_long_phase(&mut home, now);
    // 0.22 of 600 ms.
    assert!(
        matches!(refused.as_slice(), [(_, 132..=160)]),
        "{refused:?}"
    );
}

#[test]
fn without_budget_for_a_look_the_last_word_holds_for_a_moment() {
    let (mut home, now) = experienced();
    home.offer(now, &offer(1, true));
    home.probe_finished(now, ProbeResult::percent(SLOW));
    let later = now + LOOK_US;
    assert_eq!(home.tick(later), [Action::Probe]);
    assert_eq!(home.probe_finished(later, ProbeResult::NoBudget), []);
    assert!(home.is_queued(id(1)), "it began in a slow phase");
    let next = later + LOOK_US;
    assert_eq!(home.tick(next), [Action::Probe]);
    let actions = home.probe_finished(next, ProbeResult::percent(USUAL));
    assert_eq!(actions, [Action::Start(id(1))]);
}

#[test]
fn an_upstream_that_was_down_takes_work_again_once_a_look_finds_it() {
    let (mut home, now) = experienced();
    home.slowdown_reported(now, USUAL);
    home.offer(now, &offer(1, true));
    home.completed(now, id(1), Verdict::NotSent, None);
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2, true)), [Action::Probe]);
    let actions = home.probe_finished(later, ProbeResult::percent(USUAL));
    assert_eq!(actions, [Action::Start(id(2))]);
}
