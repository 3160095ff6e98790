//! The order in which attempts of several accounts start, and which of them are refused.

use crate::duty::{id, offer, started, warm_home, RUN_US, SLOTS, START};
use home::{Action, ColdCapacity, Config, Home, Offer, ProbeResult, Reason, Verdict};
use names::{BootId, Moment, MILLISECOND, SECOND};
use std::collections::BTreeMap;

fn two_slot_home() -> (Home<u64>, Moment) {
    warm_home(SLOTS, &[(true, RUN_US)])
}

fn refused_as_busy(actions: &[Action]) -> Vec<u64> {
    let refused = |action: &Action| match action {
        Action::Refuse(id, refusal) if refusal.reason == Reason::Busy => Some(id.seq),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

/// Completes the one running attempt at a time until the queue is empty, and returns the order of starts.
/// Attempts in `long` run four times as long as the others.
fn drain(home: &mut Home<u64>, mut now: Moment, first: u64, long: &[u64]) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running = Some(first);
    while let Some(seq) = running.take() {
        now = now
            + if long.contains(&seq) {
                4 * RUN_US
            } else {
                RUN_US
            };
        let actions = home.completed(now, id(seq), Verdict::Good, None);
        running = started(&actions).first().copied();
        order.extend(running);
    }
    order
}

#[test]
fn accounts_of_one_rank_are_served_fairly() {
    let (mut home, now) = warm_home(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account) in [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b"), (6, "c")] {
        home.offer(now, &offer(seq, account));
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [1, 4, 6, 2, 5, 3]);
}

#[test]
fn earlier_deadlines_start_first_within_an_account() {
    let (mut home, now) = warm_home(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, remaining_s) in [(1, 9), (2, 7), (3, 8)] {
        let mut sent = offer(seq, "a");
        sent.remaining_us = remaining_s * SECOND;
        home.offer(now, &sent);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [2, 3, 1]);
}

#[test]
fn account_with_longer_runs_starts_fewer_attempts() {
    // Guards against shares counted in attempts: an account would gain by sending longer requests.
    let (mut home, now) = warm_home(1, &[(true, RUN_US), (false, 4 * RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for seq in 1..4 {
        let mut long = offer(seq, "long");
        long.repeatable = false;
        home.offer(now, &long);
    }
    for seq in 11..16 {
        let actions = home.offer(now, &offer(seq, "short"));
        assert_eq!(refused_as_busy(&actions), [0u64; 0]);
    }
    let order = drain(&mut home, now, 0, &[1, 2, 3]);
    assert_eq!(order, [1, 11, 12, 13, 14, 2, 15, 3]);
}

#[test]
fn deeper_levels_start_first_regardless_of_account() {
    let (mut home, now) = warm_home(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account, level) in [(1, "a", 0), (2, "b", 1), (3, "b", 1), (4, "c", 1)] {
        let mut deep_call = offer(seq, account);
        deep_call.level = level;
        home.offer(now, &deep_call);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [2, 4, 3, 1]);
}

#[test]
fn account_that_occupies_the_slots_is_behind_one_that_occupies_none() {
    // Guards against shares that are fair only while queues are long.
    let (mut home, now) = two_slot_home();
    for seq in 0..3 {
        home.offer(now, &offer(seq, "busy"));
    }
    home.offer(now, &offer(10, "quiet"));
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [10]);
}

#[test]
fn idle_account_is_not_compensated_for_its_idle_time() {
    // Guards against start tags below the virtual time: an account that was idle would then take all slots
    // for a while.
    let (mut home, mut now) = two_slot_home();
    let mut next_seq = 0;
    let mut send = |home: &mut Home<u64>, now, account| {
        next_seq += 1;
        home.offer(now, &offer(next_seq, account));
        next_seq
    };
    let mut accounts = BTreeMap::new();
    for account in ["a", "b", "c", "d", "b", "c", "d"] {
        accounts.insert(send(&mut home, now, account), account);
    }
    let mut running = std::collections::VecDeque::from([1, 2]);
    let mut order = Vec::new();
    for run in 0..30 {
        if run == 20 {
            for _ in 0..5 {
                accounts.insert(send(&mut home, now, "a"), "a");
            }
        }
        now = now + RUN_US;
        let ended = running.pop_front().expect("two run");
        let actions = home.completed(now, id(ended), Verdict::Good, None);
        let [seq] = started(&actions)[..] else {
            panic!("{actions:?}");
        };
        running.push_back(seq);
        let account = accounts[&seq];
        order.push(account);
        accounts.insert(send(&mut home, now, account), account);
    }
    let count = |account| order[20..].iter().filter(|it| **it == account).count();
    assert!(!order[..20].contains(&"a"), "{order:?}");
    assert!((2..=4).contains(&count("a")), "{order:?}");
}

#[test]
fn quiet_account_is_not_refused_because_of_the_queue_of_a_busy_one() {
    // Ten runs of 0.1 s wait for two slots; behind them, the wait would exceed 0.4 s.
    let (mut home, now) = two_slot_home();
    for seq in 0..12 {
        home.offer(now, &offer(seq, "busy"));
    }
    let urgent = |seq, account| Offer {
        remaining_us: 400 * MILLISECOND,
        ..offer(seq, account)
    };
    assert_eq!(refused_as_busy(&home.offer(now, &urgent(20, "busy"))), [20]);
    assert_eq!(home.offer(now, &urgent(21, "quiet")), []);
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [21]);
}

#[test]
fn account_with_the_most_queued_attempts_is_displaced_in_a_full_queue() {
    let (mut home, now) = two_slot_home();
    for seq in 0..18 {
        assert_eq!(
            refused_as_busy(&home.offer(now, &offer(seq, "busy"))),
            [0u64; 0]
        );
    }
    assert_eq!(refused_as_busy(&home.offer(now, &offer(18, "busy"))), [18]);
    assert_eq!(home.counters().refused_for_account, 0);
    assert_eq!(refused_as_busy(&home.offer(now, &offer(20, "quiet"))), [17]);
    assert_eq!(home.counters().refused_for_account, 1);
    // Guards against refusals in favour of another account that operators can't tell from a lack of slots.
    assert!(home.is_displaced(id(17)));
    assert!(!home.is_displaced(id(18)));
    assert!(home.is_queued(id(20)));
    assert_eq!(home.accounts_waiting(), 2);
    assert_eq!(home.account_load(&Some("busy".into())).queued, 15);
}

#[test]
fn full_queue_of_equal_accounts_refuses_a_new_attempt() {
    // Guards against attempts that displace each other endlessly.
    let (mut home, now) = two_slot_home();
    for seq in 0..18 {
        home.offer(now, &offer(seq, &format!("account-{seq}")));
    }
    assert_eq!(
        refused_as_busy(&home.offer(now, &offer(18, "one-more"))),
        [18]
    );
}

#[test]
fn full_queue_of_higher_rank_refuses_a_lower_rank() {
    let (mut home, now) = two_slot_home();
    for seq in 0..18 {
        home.offer(now, &offer(seq, "busy"));
    }
    let lower = Offer {
        priority: 0,
        ..offer(18, "quiet")
    };
    assert_eq!(refused_as_busy(&home.offer(now, &lower)), [18]);
    let higher = Offer {
        priority: 2,
        ..offer(19, "busy")
    };
    assert_eq!(refused_as_busy(&home.offer(now, &higher)), [17]);
    assert_eq!(home.counters().refused_for_account, 0);
}

/// A home duty with one run of the busy account, a queued attempt of `account`, and a free slot. The slot
/// could not be used before the returned time, because the upstream was cold.
fn home_with_queued_attempt(account: &str) -> (Home<u64>, Moment) {
    let (mut home, warmed_up) = warm_home(2, &[(true, 5 * MILLISECOND)]);
    let now = warmed_up + 2 * SECOND;
    home.offer(now, &offer(0, "busy"));
    home.offer(now, &offer(1, "busy"));
    home.offer(now, &offer(2, account));
    home.set_cold_capacity(ColdCapacity::Limited {
        starts_per_s: 2,
        cold_us: 3 * SECOND,
    });
    home.cold_reported(now, 3 * SECOND);
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!((actions, home.is_queued(id(2))), (Vec::new(), true));
    (home, now + 2 * SECOND)
}

#[test]
fn busy_account_gets_no_free_slot_while_another_account_is_queued() {
    // Guards against a busy account whose repeated offers take each free slot before the queue is served.
    let immediate = |account| Offer {
        may_queue: false,
        ..offer(3, account)
    };
    let (mut home, free_at) = home_with_queued_attempt("quiet");
    assert_eq!(
        refused_as_busy(&home.offer(free_at, &immediate("busy"))),
        [3]
    );
    assert_eq!(started(&home.tick(free_at)), [2]);
    let (mut home, free_at) = home_with_queued_attempt("busy");
    assert_eq!(started(&home.offer(free_at, &immediate("quiet"))), [3]);
}

#[test]
fn account_keeps_its_position_when_the_upstream_reports() {
    // Guards against accounts with one attempt that are put behind those with several when the report
    // decides which attempts stay queued.
    let cfg = Config {
        slots: 1,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    home.offer(START, &offer(0, "other"));
    home.probe_finished(START, ProbeResult::percent(100));
    let later = START + RUN_US;
    for (seq, account) in [(1, "quiet"), (2, "busy"), (3, "busy")] {
        home.offer(later, &offer(seq, account));
    }
    assert_eq!(home.probe_finished(later, ProbeResult::percent(100)), []);
    let actions = home.completed(later, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [1]);
}

#[test]
fn attempts_without_an_account_share_as_one_account() {
    let (mut home, now) = warm_home(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account) in [(1, None), (2, None), (3, Some("a")), (4, Some("a"))] {
        let mut sent = offer(seq, "");
        sent.account = account.map(Into::into);
        home.offer(now, &sent);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [1, 3, 2, 4]);
    assert_eq!(home.accounts_waiting(), 0);
}

#[test]
fn low_priority_run_does_not_delay_a_high_priority_attempt_of_its_account() {
    // Guards against an order by slots occupied over all ranks: fairness is per priority.
    let (mut home, now) = two_slot_home();
    let low = Offer {
        priority: 0,
        ..offer(0, "a")
    };
    home.offer(now, &low);
    home.offer(now, &offer(1, "other"));
    for (seq, account) in [(2, "a"), (3, "b"), (4, "c")] {
        home.offer(now, &offer(seq, account));
    }
    let actions = home.completed(now, id(1), Verdict::Good, None);
    assert_eq!(started(&actions), [2]);
}

#[test]
fn attempts_that_waited_for_a_report_keep_the_queue_within_its_maximum_length() {
    // Guards against attempts that are admitted to a full queue without displacing one of another account.
    let cfg = Config {
        slots: 1,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    home.offer(START, &offer(0, "busy"));
    home.probe_finished(START, ProbeResult::percent(100));
    for seq in 1..9 {
        home.offer(START, &offer(seq, "busy"));
    }
    let later = START + RUN_US;
    for seq in 9..12 {
        home.offer(later, &offer(seq, &format!("quiet-{seq}")));
    }
    let actions = home.probe_finished(later, ProbeResult::percent(100));
    assert_eq!(refused_as_busy(&actions), [8, 7, 6]);
    assert_eq!(home.load(later).queued, 8);
}
