//! The home duty's decisions, one at a time.

use home::{
    Action, Config, DelayEstimator, DepthTracker, Home, Offer, PriorStarts, QueryReply, Reason,
    Verdict,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};

const SLOTS: u32 = 4;
const ME: BootId = BootId(1);

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

fn duty() -> Home<u64> {
    let cfg = Config {
        slots: SLOTS,
        ..Config::default()
    };
    Home::new(ME, cfg)
}

/// A duty that has served long enough to have its baseline, with the moment after.
fn warm(service_us: u64) -> (Home<u64>, Moment) {
    let mut home = duty();
    let mut now = Moment(1);
    for seq in 1_000..1_100 {
        home.offer(now, &offer(seq));
        now = now + service_us;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    (home, now)
}

fn reason(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.reason),
        _ => None,
    })
}

#[test]
fn no_more_run_than_there_are_slots_and_the_queue_goes_on_when_one_ends() {
    let (mut home, now) = warm(5 * MILLISECOND);
    let started = (0..6)
        .filter(|seq| home.offer(now, &offer(*seq)) == [Action::Start(id(*seq))])
        .count();
    assert_eq!(started, SLOTS as usize);
    assert_eq!(home.load(now).queued, 2);
    let actions = home.completed(now + 1, id(0), Verdict::Good, Some(0));
    assert_eq!(actions, [Action::Start(id(4))]);
}

#[test]
fn an_offer_that_may_not_queue_is_refused_when_all_slots_are_taken() {
    let (mut home, now) = warm(5 * MILLISECOND);
    for seq in 0..4 {
        home.offer(now, &offer(seq));
    }
    let mut immediate = offer(4);
    immediate.may_queue = false;
    assert_eq!(reason(&home.offer(now, &immediate)), Some(Reason::Busy));
    assert_eq!(home.query(now, id(4), ME), QueryReply::Revoked);
}

#[test]
fn an_offer_whose_wait_would_exceed_its_time_is_refused_at_once() {
    let (mut home, now) = warm(100 * MILLISECOND);
    for seq in 0..12 {
        home.offer(now, &offer(seq));
    }
    let mut short = offer(12);
    short.remaining_us = 200 * MILLISECOND;
    assert_eq!(reason(&home.offer(now, &short)), Some(Reason::Busy));
}

#[test]
fn a_queued_attempt_past_its_deadline_is_not_started() {
    let (mut home, now) = warm(5 * MILLISECOND);
    for seq in 0..4 {
        home.offer(now, &offer(seq));
    }
    let mut short = offer(4);
    short.remaining_us = 50 * MILLISECOND;
    home.offer(now, &short);
    let actions = home.tick(now + 51 * MILLISECOND);
    assert_eq!(reason(&actions), Some(Reason::Deadline));
}

#[test]
fn a_higher_priority_takes_the_place_of_a_lower_in_a_full_queue() {
    let (mut home, now) = warm(MILLISECOND);
    for seq in 0..36 {
        home.offer(now, &offer(seq));
    }
    assert_eq!(reason(&home.offer(now, &offer(36))), Some(Reason::Busy));
    let mut urgent = offer(37);
    urgent.priority = 9;
    let actions = home.offer(now, &urgent);
    assert_eq!(reason(&actions), Some(Reason::Busy), "{actions:?}");
    assert_ne!(home.query(now, id(37), ME), QueryReply::Started);
    let actions = home.completed(now + 1, id(0), Verdict::Good, Some(0));
    assert!(
        !actions.contains(&Action::Start(id(37))),
        "it was revoked by the question"
    );
}

#[test]
fn a_slow_down_is_seen_before_anything_completes_and_the_queue_is_handed_back() {
    let (mut home, mut now) = warm(5 * MILLISECOND);
    for seq in 0..6 {
        home.offer(now, &offer(seq));
    }
    let mut handed_back = Vec::new();
    for _ in 0..10 {
        now = now + 5 * MILLISECOND;
        handed_back.extend(home.tick(now));
    }
    assert_eq!(handed_back, [Action::Revoke(id(4)), Action::Revoke(id(5))]);
    let load = home.load(now);
    assert!(load.limit < SLOTS, "{load:?}");
    assert!(load.service_us > 20 * MILLISECOND, "{load:?}");
}

#[test]
fn the_limit_recovers_without_an_operator() {
    let (mut home, mut now) = warm(5 * MILLISECOND);
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
fn a_cold_upstream_opens_in_time_even_if_nothing_completes() {
    let mut home = duty();
    home.offer(Moment(1), &offer(0));
    assert_eq!(home.load(Moment(1)).limit, SLOTS / 2);
    assert_eq!(home.load(Moment(3 * SECOND)).limit, SLOTS);
}

#[test]
fn an_upstream_that_can_not_be_reached_is_tried_again_by_a_request_after_a_while() {
    let (mut home, now) = warm(5 * MILLISECOND);
    home.offer(now, &offer(0));
    let actions = home.completed(now, id(0), Verdict::NotSent, None);
    assert_eq!(reason(&actions), Some(Reason::Down));
    assert_eq!(reason(&home.offer(now + 1, &offer(1))), Some(Reason::Down));
    let later = now + SECOND;
    assert_eq!(home.offer(later, &offer(2)), [Action::Start(id(2))]);
}

#[test]
fn a_leaving_upstream_hands_its_queue_back_and_ends_what_runs() {
    let (mut home, now) = warm(5 * MILLISECOND);
    for seq in 0..5 {
        home.offer(now, &offer(seq));
    }
    assert_eq!(home.start_drain(now), [Action::Revoke(id(4))]);
    assert_eq!(reason(&home.offer(now, &offer(5))), Some(Reason::Leaving));
    home.completed(now, id(0), Verdict::Good, Some(0));
    assert_eq!(home.query(now, id(0), ME), QueryReply::Answered(0));
    assert_eq!(home.query(now, id(1), ME), QueryReply::Started);
}

#[test]
fn a_question_about_a_forgotten_attempt_is_never_answered_with_not_run() {
    let cfg = Config {
        slots: SLOTS,
        max_records: 2,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(ME, cfg);
    let mut now = Moment(1);
    for seq in 0..5 {
        home.offer(now, &offer(seq));
        now = now + MILLISECOND;
        home.completed(now, id(seq), Verdict::Good, Some(seq));
    }
    assert_eq!(home.query(now, id(0), ME), QueryReply::Forgotten);
    assert_eq!(reason(&home.offer(now, &offer(0))), Some(Reason::Stale));
}

#[test]
fn outer_calls_leave_slots_to_deeper_ones_while_those_come() {
    let mut depth = DepthTracker::default();
    let now = Moment(10 * SECOND);
    assert_eq!(depth.limit(now, 0, 6), 6);
    depth.observe(now, 4);
    assert_eq!(depth.limit(now, 0, 6), 4);
    assert_eq!(depth.limit(now, 3, 6), 5);
    assert_eq!(depth.limit(now, 4, 6), 6);
    assert_eq!(depth.limit(now + 3 * SECOND, 0, 6), 6);
}

#[test]
fn the_time_a_frame_waited_is_found_without_comparing_clocks() {
    let mut delay = DelayEstimator::default();
    assert_eq!(delay.observe(1_000_000, Moment(5_300)), 0);
    assert_eq!(delay.observe(1_001_000, Moment(6_250)), 0);
    assert_eq!(delay.observe(1_002_000, Moment(3_007_250)), 3_000_000);
}

#[test]
fn an_attempt_waits_for_a_slot_for_a_part_of_its_objective() {
    let mut home: Home<u64> = Home::new(BootId(1), Config::default());
    let mut now = Moment(1_000);
    for seq in 0..6 {
        home.offer(now, &offer(seq));
    }
    let mut patient = offer(6);
    patient.objective_us = Some(182 * MILLISECOND);
    assert_eq!(home.offer(now, &patient), []);
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
fn only_the_usable_part_of_the_slots_is_used() {
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
    let more = home.upstream_replaced(now, 12, PriorStarts::None);
    assert_eq!(more.len(), 2);
}

#[test]
fn an_upstream_that_says_it_is_slow_gives_no_free_slot_but_lets_requests_wait() {
    let (mut home, now) = warm(60 * MILLISECOND);
    home.slowdown_reported(now, 400);
    let at_once = Offer {
        may_queue: false,
        repeat: false,
        suspicion: home::Suspicion::None,
        ..offer(1)
    };
    assert_eq!(reason(&home.offer(now, &at_once)), Some(Reason::Busy));
    assert_eq!(home.offer(now, &offer(2)), [Action::Start(id(2))]);
    let later = now + 300 * MILLISECOND;
    let again = Offer {
        may_queue: false,
        repeat: false,
        suspicion: home::Suspicion::None,
        ..offer(3)
    };
    assert_eq!(home.offer(later, &again), [Action::Start(id(3))]);
    assert_eq!(home.load(later).slow_percent, 0);
}
