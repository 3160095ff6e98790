//! Retries that arrive too late for their objective, at an upstream that is short of slots.

use home::{Action, Config, Home, Offer, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const SLOTS: u32 = 4;
const RUN_US: u64 = 100 * MILLISECOND;
const OBJECTIVE_US: u64 = 300 * MILLISECOND;
const TICK_US: u64 = MILLISECOND;
const SEED: u64 = 7;

fn offer(seq: u64, objective_us: u64, returned: bool) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: 800 * MILLISECOND,
        objective_us: Some(objective_us),
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: Suspicion::None,
        returned,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

fn first_offer(seq: u64) -> Offer {
    offer(seq, OBJECTIVE_US, false)
}

fn overdue_offer(seq: u64) -> Offer {
    offer(seq, 0, true)
}

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

/// A home duty that has run times on record.
fn warm_home() -> (Home<u64>, Moment) {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    let mut now = Moment(SECOND);
    for seq in 1_000_000..1_000_050 {
        home.offer(now, &first_offer(seq));
        now = now + RUN_US;
        home.completed(now, id(seq), Verdict::Good, None);
    }
    (home, now)
}

fn starts(actions: &[Action], seq: u64) -> bool {
    actions.contains(&Action::Start(id(seq)))
}

fn refuses(actions: &[Action], seq: u64) -> bool {
    let is_refusal =
        |action: &Action| matches!(action, Action::Refuse(other, _) if *other == id(seq));
    actions.iter().any(is_refusal)
}

#[test]
fn overdue_attempt_starts_immediately_when_a_slot_is_free() {
    let (mut home, now) = warm_home();
    assert!(starts(&home.offer(now, &overdue_offer(1)), 1));
}

#[test]
fn overdue_attempt_is_refused_immediately_when_no_slot_is_free() {
    let (mut home, now) = warm_home();
    for seq in 0..SLOTS as u64 {
        home.offer(now, &first_offer(seq));
    }
    assert!(refuses(&home.offer(now, &overdue_offer(10)), 10));
}

#[test]
fn overdue_attempt_waits_only_as_long_as_a_probe_takes() {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    let now = Moment(SECOND);
    assert_eq!(home.offer(now, &overdue_offer(10)), [Action::Probe]);
    assert!(!refuses(&home.tick(now + 15 * MILLISECOND), 10));
    assert!(refuses(&home.tick(now + 21 * MILLISECOND), 10));
}

#[test]
fn overdue_attempt_of_the_highest_priority_is_behind_one_that_can_be_in_time() {
    let (mut home, now) = warm_home();
    for seq in 0..SLOTS as u64 {
        home.offer(now, &first_offer(seq));
    }
    home.offer(now + 90 * MILLISECOND, &first_offer(11));
    let mut urgent = overdue_offer(10);
    urgent.priority = 9;
    assert!(refuses(&home.offer(now + 90 * MILLISECOND, &urgent), 10));
    let actions = home.completed(now + RUN_US, id(0), Verdict::Good, None);
    assert!(starts(&actions, 11));
}

#[test]
fn retry_is_overdue_when_less_than_a_run_is_left_of_its_objective() {
    // 60 ms are left for a run of 100 ms: it would be late, so it is queued behind the others.
    let (mut home, now) = warm_home();
    for seq in 0..SLOTS as u64 {
        home.offer(now, &first_offer(seq));
    }
    let short = offer(10, 60 * MILLISECOND, true);
    assert!(refuses(&home.offer(now + 90 * MILLISECOND, &short), 10));
    let long = offer(11, 200 * MILLISECOND, true);
    assert!(!refuses(&home.offer(now + 90 * MILLISECOND, &long), 11));
}

#[test]
fn first_try_is_never_overdue() {
    // Deployments that count the objective from each try get no overdue attempts.
    let (mut home, now) = warm_home();
    for seq in 0..SLOTS as u64 {
        home.offer(now, &first_offer(seq));
    }
    let actions = home.offer(now + 90 * MILLISECOND, &offer(10, 0, false));
    assert!(refuses(&actions, 10), "it can't wait");
}

/// Answers of one upstream, by whether they met the objective.
#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
}

/// Load pattern: first tries at `load` times the upstream's capacity, for four seconds. Each that is
/// refused is retried 270 ms after the first try. The objective runs from the first try if
/// `from_first_try`, otherwise from each try.
fn shortage(load: f64, from_first_try: bool) -> Outcome {
    let (mut home, begin) = warm_home();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let gap_us = RUN_US as f64 / f64::from(SLOTS) / load;
    let mut first_tries: BTreeMap<u64, Moment> = BTreeMap::new();
    let mut retries: BTreeMap<(Moment, u64), Moment> = BTreeMap::new();
    let mut ends: BTreeMap<(Moment, u64), ()> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let (mut now, mut next_arrival, mut seq) = (begin, begin, 0);
    while now < begin + 5 * SECOND {
        let mut actions = Vec::new();
        while let Some(((at, run), ())) = ends.first_key_value().map(|(key, ())| (*key, ())) {
            if at > now {
                break;
            }
            ends.remove(&(at, run));
            let took_us = now.since(first_tries[&run]);
            if took_us <= OBJECTIVE_US {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
            actions.extend(home.completed(now, id(run), Verdict::Good, None));
        }
        while next_arrival <= now && next_arrival < begin + 4 * SECOND {
            first_tries.insert(seq, next_arrival);
            actions.extend(home.offer(now, &first_offer(seq)));
            seq += 1;
            next_arrival = next_arrival + (-rng.random::<f64>().ln() * gap_us) as u64;
        }
        while let Some((key, first_try)) = retries.first_key_value().map(|(key, at)| (*key, *at)) {
            if key.0 > now {
                break;
            }
            retries.remove(&key);
            let left_us = match from_first_try {
                true => OBJECTIVE_US.saturating_sub(now.since(first_try)),
                false => OBJECTIVE_US,
            };
            let retry = 100_000 + key.1;
            first_tries.insert(retry, first_try);
            actions.extend(home.offer(now, &offer(retry, left_us, from_first_try)));
        }
        actions.extend(home.tick(now));
        for action in actions {
            match action {
                Action::Start(attempt) => {
                    let run_us = RUN_US as f64 * rng.random_range(0.6..1.4);
                    ends.insert((now + run_us as u64, attempt.seq), ());
                }
                Action::Refuse(attempt, _) if attempt.seq < 100_000 => {
                    let first_try = first_tries[&attempt.seq];
                    retries.insert((first_try + 270 * MILLISECOND, attempt.seq), first_try);
                }
                _ => {}
            }
        }
        now = now + TICK_US;
    }
    outcome
}

#[test]
fn first_tries_get_the_slots_in_a_shortage() {
    // Guards against retries that take slots for late answers. With objectives counted from each try, they
    // take a third of the slots at 1.6 times the capacity.
    for load in [1.3, 1.6, 2.5] {
        let from_each = shortage(load, false);
        let from_first = shortage(load, true);
        assert!(
            from_first.in_time * 10 > from_each.in_time * 11,
            "load {load}: {} in time, against {from_each:?}",
            from_first.in_time
        );
        assert!(
            from_first.late * 2 < from_each.late,
            "load {load}: {from_first:?}, against {from_each:?}"
        );
    }
}
