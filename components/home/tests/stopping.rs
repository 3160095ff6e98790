//! Attempts at the home duty of a node that is stopping.

use home::{Action, Config, Home, Offer, Reason, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use shutdown::{Limits, Plan};

const SLOTS: u32 = 4;
const RUN_US: u64 = 900 * MILLISECOND;
const BEGAN: Moment = Moment(SECOND);

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

fn offer(seq: u64) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: 8 * SECOND,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: false,
        may_queue: true,
        repeat: false,
        suspicion: home::Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

/// A home duty that has served requests of [`RUN_US`] and then stops, and the time of the signal.
fn stopping_home(grace_ms: u64) -> (Home<u64>, Moment) {
    let cfg = Config {
        slots: SLOTS,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    let mut now = BEGAN;
    for seq in 1_000..1_020 {
        home.offer(now, &offer(seq));
        now = now + RUN_US;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    let limits = Limits {
        grace_us: grace_ms * MILLISECOND,
        linger_us: 2_200 * MILLISECOND,
    };
    home.begin_shutdown(now, Plan::new(now, limits));
    (home, now)
}

fn refused(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.reason),
        _ => None,
    })
}

/// Guards against a run that is cut when its node exits: it would have been served elsewhere.
#[test]
fn attempt_starts_that_cannot_end_before_the_stop() {
    let (mut home, signal) = stopping_home(2_000);
    let early = signal + 900 * MILLISECOND;
    assert_eq!(home.offer(early, &offer(1)), [Action::Start(id(1))]);
    let late = signal + 1_000 * MILLISECOND;
    assert_eq!(refused(&home.offer(late, &offer(2))), Some(Reason::Leaving));
    // Its caller waits no longer than the node runs.
    let short = Offer {
        remaining_us: 700 * MILLISECOND,
        ..offer(3)
    };
    assert_eq!(home.offer(late, &short), [Action::Start(id(3))]);
}

/// Guards against an attempt that waits for a slot and then starts too late.
#[test]
fn queued_attempt_starts_after_its_last_moment() {
    let (mut home, signal) = stopping_home(2_000);
    for seq in 0..u64::from(SLOTS) {
        home.offer(signal, &offer(seq));
    }
    assert_eq!(home.offer(signal, &offer(10)), []);
    assert_eq!(home.tick(signal + 900 * MILLISECOND), []);
    let actions = home.tick(signal + 1_000 * MILLISECOND);
    assert_eq!(actions, [Action::Revoke(id(10))]);
}

/// Guards against refusals of what ends in time, and against a plan that a longer grace period does
/// not change.
#[test]
fn attempt_is_refused_that_ends_before_the_stop() {
    let (mut home, signal) = stopping_home(6_000);
    let now = signal + 4_700 * MILLISECOND;
    assert_eq!(home.offer(now, &offer(1)), [Action::Start(id(1))]);
    let late = signal + 4_800 * MILLISECOND;
    assert_eq!(refused(&home.offer(late, &offer(2))), Some(Reason::Leaving));
}
