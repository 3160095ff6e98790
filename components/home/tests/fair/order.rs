//! The order in which attempts of several accounts start, and which of them are refused.

use crate::duty::{id, offer, started, warm, BEGIN, RUN_US, SLOTS};
use home::{Action, ColdCapacity, Config, Home, Offer, ProbeResult, Reason, Verdict};
use names::{BootId, Moment, MILLISECOND, SECOND};
use std::collections::BTreeMap;

fn usual() -> (Home<u64>, Moment) {
    warm(SLOTS, &[(true, RUN_US)])
}

fn refused(actions: &[Action]) -> Vec<u64> {
    let refused = |action: &Action| match action {
        Action::Refuse(id, refusal) if refusal.reason == Reason::Busy => Some(id.seq),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

/// Ends the only run again and again until nothing waits; gives the order of starts. Attempts `long` take four times as
/// long as the others.
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
fn accounts_of_one_rank_start_in_turns() {
    let (mut home, now) = warm(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account) in [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b"), (6, "c")] {
        home.offer(now, &offer(seq, account));
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [1, 4, 6, 2, 5, 3]);
}

#[test]
fn within_an_account_earlier_deadlines_start_first() {
    let (mut home, now) = warm(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, remaining_s) in [(1, 9), (2, 7), (3, 8)] {
        let mut one = offer(seq, "a");
        one.remaining_us = remaining_s * SECOND;
        home.offer(now, &one);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [2, 3, 1]);
}

#[test]
fn an_account_whose_runs_take_longer_has_fewer_turns() {
    // Guards against turns that are counted in attempts: an account would gain by longer requests.
    let (mut home, now) = warm(1, &[(true, RUN_US), (false, 4 * RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for seq in 1..4 {
        let mut long = offer(seq, "long");
        long.repeatable = false;
        home.offer(now, &long);
    }
    for seq in 11..16 {
        let actions = home.offer(now, &offer(seq, "short"));
        assert_eq!(refused(&actions), [0u64; 0]);
    }
    let order = drain(&mut home, now, 0, &[1, 2, 3]);
    assert_eq!(order, [1, 11, 12, 13, 14, 2, 15, 3]);
}

#[test]
fn deeper_levels_go_first_whatever_their_account() {
    let (mut home, now) = warm(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account, level) in [(1, "a", 0), (2, "b", 1), (3, "b", 1), (4, "c", 1)] {
        let mut call = offer(seq, account);
        call.level = level;
        home.offer(now, &call);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [2, 4, 3, 1]);
}

#[test]
fn an_account_that_holds_the_slots_waits_behind_one_that_holds_none() {
    // Guards against shares that hold only where queues are long.
    let (mut home, now) = usual();
    for seq in 0..3 {
        home.offer(now, &offer(seq, "busy"));
    }
    home.offer(now, &offer(10, "quiet"));
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [10]);
}

#[test]
fn an_account_that_sent_nothing_does_not_get_the_turns_that_it_missed() {
    // Guards against start tags below the virtual time: an account that returns would take all slots for a while.
    let (mut home, mut now) = usual();
    let mut next = 0;
    let mut add = |home: &mut Home<u64>, now, account| {
        next += 1;
        home.offer(now, &offer(next, account));
        next
    };
    let mut accounts = BTreeMap::new();
    for account in ["a", "b", "c", "d", "b", "c", "d"] {
        accounts.insert(add(&mut home, now, account), account);
    }
    let mut running = std::collections::VecDeque::from([1, 2]);
    let mut order = Vec::new();
    for turn in 0..30 {
        if turn == 20 {
            for _ in 0..5 {
                accounts.insert(add(&mut home, now, "a"), "a");
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
        accounts.insert(add(&mut home, now, account), account);
    }
    let count = |account| order[20..].iter().filter(|it| **it == account).count();
    assert!(!order[..20].contains(&"a"), "{order:?}");
    assert!((2..=4).contains(&count("a")), "{order:?}");
}

#[test]
fn a_quiet_account_is_not_refused_because_a_busy_one_has_filled_the_queue() {
    // Ten runs of 0.1 s wait for two slots; a place behind them would exceed 0.4 s.
    let (mut home, now) = usual();
    for seq in 0..12 {
        home.offer(now, &offer(seq, "busy"));
    }
    let urgent = |seq, account| Offer {
        remaining_us: 400 * MILLISECOND,
        ..offer(seq, account)
    };
    assert_eq!(refused(&home.offer(now, &urgent(20, "busy"))), [20]);
    assert_eq!(home.offer(now, &urgent(21, "quiet")), []);
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [21]);
}

#[test]
fn the_account_with_the_most_attempts_gives_way_in_a_full_queue() {
    let (mut home, now) = usual();
    for seq in 0..18 {
        assert_eq!(refused(&home.offer(now, &offer(seq, "busy"))), [0u64; 0]);
    }
    assert_eq!(refused(&home.offer(now, &offer(18, "busy"))), [18]);
    assert_eq!(home.counters().refused_for_account, 0);
    assert_eq!(refused(&home.offer(now, &offer(20, "quiet"))), [17]);
    assert_eq!(home.counters().refused_for_account, 1);
    // Guards against a decision in favour of another account that operators can't tell from a lack of slots.
    assert!(home.is_displaced(id(17)));
    assert!(!home.is_displaced(id(18)));
    assert!(home.is_queued(id(20)));
    assert_eq!(home.accounts_waiting(), 2);
    assert_eq!(home.account_load(&Some("busy".into())).queued, 15);
}

#[test]
fn a_full_queue_of_equal_accounts_refuses_the_newcomer() {
    // Guards against attempts that displace each other without end.
    let (mut home, now) = usual();
    for seq in 0..18 {
        home.offer(now, &offer(seq, &format!("account-{seq}")));
    }
    assert_eq!(refused(&home.offer(now, &offer(18, "one-more"))), [18]);
}

#[test]
fn a_full_queue_of_higher_rank_gives_no_place_to_a_lower_one() {
    let (mut home, now) = usual();
    for seq in 0..18 {
        home.offer(now, &offer(seq, "busy"));
    }
    let lower = Offer {
        priority: 0,
        ..offer(18, "quiet")
    };
    assert_eq!(refused(&home.offer(now, &lower)), [18]);
    let higher = Offer {
        priority: 2,
        ..offer(19, "busy")
    };
    assert_eq!(refused(&home.offer(now, &higher)), [17]);
    assert_eq!(home.counters().refused_for_account, 0);
}

/// A duty with one run of the busy account, one free slot that a cold upstream did not bear to be used until then, and an
/// attempt that waits.
fn with_one_that_waits(account: &str) -> (Home<u64>, Moment) {
    let (mut home, warm) = warm(2, &[(true, 5 * MILLISECOND)]);
    let now = warm + 2 * SECOND;
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
fn a_busy_account_gets_no_free_slot_at_once_while_a_quiet_one_waits() {
    // Guards against a busy account that asks for a free slot again and again and takes each before the queue does.
    let at_once = |account| Offer {
        may_queue: false,
        ..offer(3, account)
    };
    let (mut home, free) = with_one_that_waits("quiet");
    assert_eq!(refused(&home.offer(free, &at_once("busy"))), [3]);
    assert_eq!(started(&home.tick(free)), [2]);
    let (mut home, free) = with_one_that_waits("busy");
    assert_eq!(started(&home.offer(free, &at_once("quiet"))), [3]);
}

#[test]
fn an_account_keeps_its_turn_when_a_word_of_the_upstream_comes() {
    // Guards against accounts with one attempt that go behind those with several once it is decided whether they wait.
    let cfg = Config {
        slots: 1,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    home.offer(BEGIN, &offer(0, "other"));
    home.probe_finished(BEGIN, ProbeResult::percent(100));
    let later = BEGIN + RUN_US;
    for (seq, account) in [(1, "quiet"), (2, "busy"), (3, "busy")] {
        home.offer(later, &offer(seq, account));
    }
    assert_eq!(home.probe_finished(later, ProbeResult::percent(100)), []);
    let actions = home.completed(later, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [1]);
}

#[test]
fn attempts_without_an_account_share_as_one() {
    let (mut home, now) = warm(1, &[(true, RUN_US)]);
    home.offer(now, &offer(0, "other"));
    for (seq, account) in [(1, None), (2, None), (3, Some("a")), (4, Some("a"))] {
        let mut one = offer(seq, "");
        one.account = account.map(Into::into);
        home.offer(now, &one);
    }
    assert_eq!(drain(&mut home, now, 0, &[]), [1, 3, 2, 4]);
    assert_eq!(home.accounts_waiting(), 0);
}

#[test]
fn a_long_run_of_low_priority_does_not_put_an_urgent_attempt_behind_everyones() {
    // Guards against an order by slots held over all ranks: shares are those of one priority.
    let (mut home, now) = usual();
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
fn attempts_that_waited_for_a_word_leave_the_queue_within_its_bound() {
    // Guards against attempts that are accepted in a full queue without the one that another account gives up for them.
    let cfg = Config {
        slots: 1,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut home: Home<u64> = Home::new(BootId(1), cfg);
    home.offer(BEGIN, &offer(0, "busy"));
    home.probe_finished(BEGIN, ProbeResult::percent(100));
    for seq in 1..9 {
        home.offer(BEGIN, &offer(seq, "busy"));
    }
    let later = BEGIN + RUN_US;
    for seq in 9..12 {
        home.offer(later, &offer(seq, &format!("quiet-{seq}")));
    }
    let actions = home.probe_finished(later, ProbeResult::percent(100));
    assert_eq!(refused(&actions), [8, 7, 6]);
    assert_eq!(home.load(later).queued, 8);
}
