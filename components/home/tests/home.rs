//! Single decisions of a home duty: admission, queueing, limits, draining and queries.

use home::{
    Action, Config, DelayEstimator, DepthTracker, Home, Offer, PriorStarts, QueryReply, Reason,
    Verdict,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};

const SLOTS: u32 = 4;
const BOOT: BootId = BootId(1);

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
        remaining_us: 10 * SECOND,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: home::Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

fn new_home() -> Home<u64> {
    let cfg = Config {
        slots: SLOTS,
        ..Config::default()
    };
    Home::new(BOOT, cfg)
}

/// A home duty that has served enough attempts of `service_us` to have a baseline, and the time after them.
fn warm_home(service_us: u64) -> (Home<u64>, Moment) {
    let mut home = new_home();
    let mut now = Moment(1);
    for seq in 1_000..1_100 {
        home.offer(now, &offer(seq));
        now = now + service_us;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    (home, now)
}

fn refusal_reason(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.reason),
        _ => None,
    })
}

#[test]
fn attempts_beyond_the_slots_are_queued_and_start_as_slots_become_free() {
    let (mut home, now) = warm_home(5 * MILLISECOND);
    let started = (0..6)
        .filter(|seq| home.offer(now, &offer(*seq)) == [Action::Start(id(*seq))])
        .count();
    assert_eq!(started, SLOTS as usize);
    assert_eq!(home.load(now).queued, 2);
    let actions = home.completed(now + 1, id(0), Verdict::Good, Some(0));
    assert_eq!(actions, [Action::Start(id(4))]);
}

#[test]
fn offer_that_may_not_queue_is_refused_when_all_slots_are_taken() {
    let (mut home, now) = warm_home(5 * MILLISECOND);
    for seq in 0..4 {
        home.offer(now, &offer(seq));
    }
    let mut immediate = offer(4);
    immediate.may_queue = false;
    assert_eq!(
        refusal_reason(&home.offer(now, &immediate)),
        Some(Reason::Busy)
    );
    assert_eq!(home.query(now, id(4), BOOT), QueryReply::Revoked);
}

#[test]
fn offer_whose_expected_wait_exceeds_its_deadline_is_refused_immediately() {
    let (mut home, now) = warm_home(100 * MILLISECOND);
    for seq in 0..12 {
        home.offer(now, &offer(seq));
    }
    let mut short = offer(12);
    short.remaining_us = 200 * MILLISECOND;
    assert_eq!(refusal_reason(&home.offer(now, &short)), Some(Reason::Busy));
}

#[test]
fn queued_attempt_past_its_deadline_is_refused() {
    let (mut home, now) = warm_home(5 * MILLISECOND);
    for seq in 0..4 {
        home.offer(now, &offer(seq));
    }
    let mut short = offer(4);
    short.remaining_us = 50 * MILLISECOND;
    home.offer(now, &short);
    let actions = home.tick(now + 51 * MILLISECOND);
    assert_eq!(refusal_reason(&actions), Some(Reason::Deadline));
}

#[test]
fn higher_priority_displaces_a_lower_one_in_a_full_queue() {
    let (mut home, now) = warm_home(MILLISECOND);
    for seq in 0..36 {
        home.offer(now, &offer(seq));
    }
    assert_eq!(
        refusal_reason(&home.offer(now, &offer(36))),
        Some(Reason::Busy)
    );
    let mut urgent = offer(37);
    urgent.priority = 9;
    let actions = home.offer(now, &urgent);
    assert_eq!(refusal_reason(&actions), Some(Reason::Busy), "{actions:?}");
    assert_ne!(home.query(now, id(37), BOOT), QueryReply::Started);
    let actions = home.completed(now + 1, id(0), Verdict::Good, Some(0));
    assert!(
        !actions.contains(&Action::Start(id(37))),
        "the query revoked it"
    );
}

#[test]
fn queue_is_revoked_when_the_upstream_slows_down_before_any_completion() {
    let (mut home, mut now) = warm_home(5 * MILLISECOND);
    for seq in 0..6 {
        home.offer(now, &offer(seq));
    }
    let mut revoked = Vec::new();
    for _ in 0..10 {
        now = now + 5 * MILLISECOND;
        revoked.extend(home.tick(now));
    }
    assert_eq!(revoked, [Action::Revoke(id(4)), Action::Revoke(id(5))]);
    let load = home.load(now);
    assert!(load.limit < SLOTS, "{load:?}");
    assert!(load.service_us > 20 * MILLISECOND, "{load:?}");
}

#[test]
fn concurrency_limit_recovers_when_the_upstream_is_fast_again() {
    let (mut home, mut now) = warm_home(5 * MILLISECOND);
    for seq in 0..20 {
        home.offer(now, &offer(seq));
        now = now + 50 * MILLISECOND;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    assert!(home.load(now).limit < SLOTS);
    for seq in 20..40 {
        home.offer(now, &offer(seq));
        now = now + 5 * MILLISECOND;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    assert_eq!(home.load(now).limit, SLOTS);
}

#[test]
fn limit_of_a_cold_upstream_rises_without_completions() {
    let mut home = new_home();
    home.offer(Moment(1), &offer(0));
    assert_eq!(home.load(Moment(1)).limit, SLOTS / 2);
    assert_eq!(home.load(Moment(3 * SECOND)).limit, SLOTS);
}

#[test]
fn unreachable_upstream_is_tested_with_an_offer_after_an_interval() {
    let (mut home, now) = warm_home(5 * MILLISECOND);
    home.offer(now, &offer(0));
    let actions = home.completed(now, id(0), Verdict::NotSent, None);
    assert_eq!(refusal_reason(&actions), Some(Reason::Down));
    assert_eq!(
        refusal_reason(&home.offer(now + 1, &offer(1))),
        Some(Reason::Down)
    );
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2)), [Action::Start(id(2))]);
}

#[test]
fn draining_upstream_revokes_its_queue_and_finishes_running_attempts() {
    let (mut home, now) = warm_home(5 * MILLISECOND);
    for seq in 0..5 {
        home.offer(now, &offer(seq));
    }
    assert_eq!(home.start_drain(now), [Action::Revoke(id(4))]);
    assert_eq!(
        refusal_reason(&home.offer(now, &offer(5))),
        Some(Reason::Leaving)
    );
    home.completed(now, id(0), Verdict::Good, Some(0));
    assert_eq!(home.query(now, id(0), BOOT), QueryReply::Answered(0));
    assert_eq!(home.query(now, id(1), BOOT), QueryReply::Started);
}

#[test]
fn query_about_a_forgotten_attempt_is_not_answered_with_not_run() {
    let cfg = Config {
        slots: SLOTS,
        max_records: 2,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BOOT, cfg);
    let mut now = Moment(1);
    for seq in 0..5 {
        home.offer(now, &offer(seq));
        now = now + MILLISECOND;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    assert_eq!(home.query(now, id(0), BOOT), QueryReply::Forgotten);
    assert_eq!(
        refusal_reason(&home.offer(now, &offer(0))),
        Some(Reason::Stale)
    );
}

#[test]
fn slots_are_kept_for_deeper_calls_while_they_arrive() {
    let mut depth_tracker = DepthTracker::default();
    let now = Moment(10 * SECOND);
    assert_eq!(depth_tracker.limit(now, 0, 6), 6);
    depth_tracker.observe(now, 4);
    assert_eq!(depth_tracker.limit(now, 0, 6), 4);
    assert_eq!(depth_tracker.limit(now, 3, 6), 5);
    assert_eq!(depth_tracker.limit(now, 4, 6), 6);
    assert_eq!(depth_tracker.limit(now + 3 * SECOND, 0, 6), 6);
}

#[test]
fn delay_of_a_frame_is_estimated_without_synchronised_clocks() {
    let mut estimator = DelayEstimator::default();
    assert_eq!(estimator.observe(1_000_000, Moment(5_300)), 0);
    assert_eq!(estimator.observe(1_001_000, Moment(6_250)), 0);
    assert_eq!(estimator.observe(1_002_000, Moment(3_007_250)), 3_000_000);
}

#[test]
fn attempt_waits_for_a_slot_for_a_fraction_of_its_objective() {
    let mut home: Home<u64> = Home::new(BootId(1), Config::default());
    let mut now = Moment(1_000);
    for seq in 0..6 {
        home.offer(now, &offer(seq));
    }
    let mut with_objective = offer(6);
    with_objective.objective_us = Some(182 * MILLISECOND);
    assert_eq!(home.offer(now, &with_objective), []);
    now = now + 39 * MILLISECOND;
    assert_eq!(home.tick(now), []);
    now = now + 2 * MILLISECOND;
    let actions = home.tick(now);
    let [Action::Refuse(refused, refusal)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((*refused, refusal.reason), (id(6), Reason::Busy));
    assert_eq!(home.query(now, id(6), BootId(1)), QueryReply::Revoked);
}

#[test]
fn only_the_usable_fraction_of_the_slots_is_used() {
    let cfg = Config {
        slots: 6,
        usable_fraction: 0.8,
        adaptive: false,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    let now = Moment(1_000);
    let started = (0..6)
        .flat_map(|seq| home.offer(now, &offer(seq)))
        .filter(|action| matches!(action, Action::Start(_)))
        .count();
    assert_eq!(started, 4);
    let newly_started = home.upstream_replaced(now, 12, PriorStarts::None);
    assert_eq!(newly_started.len(), 2);
}

#[test]
fn slow_upstream_refuses_offers_that_may_not_queue_until_its_report_expires() {
    let (mut home, now) = warm_home(60 * MILLISECOND);
    home.slowdown_reported(now, 400);
    let immediate = Offer {
        may_queue: false,
        repeat: false,
        suspicion: home::Suspicion::None,
        ..offer(1)
    };
    assert_eq!(
        refusal_reason(&home.offer(now, &immediate)),
        Some(Reason::Busy)
    );
    assert_eq!(home.offer(now, &offer(2)), [Action::Start(id(2))]);
    let later = now + 300 * MILLISECOND;
    let immediate = Offer {
        may_queue: false,
        repeat: false,
        suspicion: home::Suspicion::None,
        ..offer(3)
    };
    assert_eq!(home.offer(later, &immediate), [Action::Start(id(3))]);
    assert_eq!(home.load(later).slow_percent, 0);
}
