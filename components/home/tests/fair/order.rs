//! The order in which attempts of several accounts start, and which of them are refused.

use home::{Action, Bears, Config, Home, Offer, Reason, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: u32 = 2;
const RUN_US: u64 = 100 * MILLISECOND;
const BEGIN: Moment = Moment(10 * SECOND);

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

fn offer(seq: u64, account: &str) -> Offer {
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
        suspicion: Suspicion::None,
        returned: false,
        report_straggler: false,
        account: Some(account.into()),
    }
}

/// A duty that knows how long runs of each class take: (repeatable, microseconds).
fn warm(slots: u32, classes: &[(bool, u64)]) -> (Home<u64>, Moment) {
    let cfg = Config {
        slots,
        adaptive: false,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    let mut now = BEGIN;
    for (repeatable, run_us) in classes {
        for _ in 0..20 {
            let seq = now.0;
            let first = Offer {
                repeatable: *repeatable,
                ..offer(seq, "warm")
            };
            home.offer(now, &first);
            now = now + *run_us;
            home.completed(now, id(seq), Verdict::Good, None);
        }
    }
    (home, now)
}

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

fn started(actions: &[Action]) -> Vec<u64> {
    let started = |action: &Action| match action {
        Action::Start(id) => Some(id.seq),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
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
fn slots_held_by_calls_count_for_outer_requests_too() {
    // Guards against an account that holds all slots by calls of another level or rank, where its turns are others.
    let (mut home, now) = usual();
    for seq in 0..2 {
        let mut call = offer(seq, "busy");
        call.level = 1;
        home.offer(now, &call);
    }
    home.offer(now, &offer(2, "busy"));
    home.offer(now, &offer(10, "quiet"));
    let actions = home.completed(now, id(0), Verdict::Good, None);
    assert_eq!(started(&actions), [10]);
}

#[test]
fn an_account_that_was_passed_over_does_not_get_the_turns_that_it_missed() {
    // One run of "a" lasts while the others take turns at the other slot.
    let (mut home, mut now) = usual();
    let mut next = 0;
    let mut add = |home: &mut Home<u64>, now, account| {
        next += 1;
        home.offer(now, &offer(next, account));
        next
    };
    let mut accounts = BTreeMap::new();
    for account in ["a", "b", "c", "d", "a", "a", "a", "a", "b", "c", "d"] {
        accounts.insert(add(&mut home, now, account), account);
    }
    let mut running = std::collections::VecDeque::from([1, 2]);
    let mut order = Vec::new();
    for turn in 0..30 {
        now = now + RUN_US;
        let is_passed_over = turn < 20;
        let ends = running.remove(usize::from(is_passed_over));
        let ended = ends.expect("two run");
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
    home.set_bears(Bears::Most {
        starts: 2,
        cold_us: 3 * SECOND,
    });
    home.told_cold(now, 3 * SECOND);
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

#[derive(Debug, Clone)]
enum Step {
    Offer {
        account: usize,
        priority: u8,
        level: u32,
        repeatable: bool,
        may_queue: bool,
        remaining_ms: u64,
    },
    Complete(usize),
    Withdraw(usize),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    let offers = (
        0..5usize,
        0..2u8,
        0..2u32,
        any::<bool>(),
        prop::bool::weighted(0.8),
        50..5_000u64,
    );
    prop_oneof![
        6 => offers.prop_map(|(account, priority, level, repeatable, may_queue, remaining_ms)| Step::Offer {
            account,
            priority,
            level,
            repeatable,
            may_queue,
            remaining_ms,
        }),
        4 => any::<usize>().prop_map(Step::Complete),
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => Just(Step::Tick),
    ]
}

/// An attempt that is the only one of its account, while it waits: starts of others of its rank and level since it came.
#[derive(Debug)]
struct Lone {
    account: usize,
    lane: (u8, u32),
    before: BTreeMap<usize, u32>,
}

/// Follows each attempt of one duty from its offer to its end.
struct Follow {
    home: Home<u64>,
    now: Moment,
    /// Account, priority and level of each attempt that was offered.
    offered: BTreeMap<u64, (usize, (u8, u32))>,
    waiting: BTreeSet<u64>,
    running: Vec<u64>,
    ended: BTreeSet<u64>,
    lone: BTreeMap<u64, Lone>,
}

impl Follow {
    fn take_in(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    assert!(self.waiting.remove(&id.seq), "{id} did not wait");
                    self.running.push(id.seq);
                    self.lone.remove(&id.seq);
                    let (account, lane) = self.offered[&id.seq];
                    for (seq, lone) in &mut self.lone {
                        if lone.lane != lane {
                            continue;
                        }
                        let before = lone.before.entry(account).or_insert(0);
                        *before += 1;
                        assert!(
                            *before <= 1,
                            "two turns of {account} before {seq}: {lone:?}"
                        );
                    }
                }
                Action::Refuse(id, _) | Action::Revoke(id) => self.leave(id.seq),
                Action::Look | Action::Straggles(_) => {}
            }
        }
        let load = self.home.load(self.now);
        assert_eq!(load.queued as usize, self.waiting.len());
        assert_eq!(load.in_flight as usize, self.running.len());
        assert!(self.home.turns_kept() <= self.waiting.len() + self.running.len());
    }

    fn leave(&mut self, seq: u64) {
        assert!(self.waiting.remove(&seq), "{seq} did not wait");
        assert!(self.ended.insert(seq), "{seq} ended a second time");
        self.lone.remove(&seq);
    }

    fn offer(&mut self, account: usize, offer: &Offer) {
        let seq = offer.id.seq;
        let name = offer.account.clone();
        let load = self.home.account_load(&name);
        let lane = (offer.priority, offer.level);
        self.offered.insert(seq, (account, lane));
        self.waiting.insert(seq);
        self.lone.retain(|_, lone| lone.account != account);
        if load.running + load.queued == 0 {
            let lone = Lone {
                account,
                lane,
                before: BTreeMap::new(),
            };
            self.lone.insert(seq, lone);
        }
        let actions = self.home.offer(self.now, offer);
        self.take_in(&actions);
    }

    fn complete(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let seq = self.running.remove(pick % self.running.len());
        assert!(self.ended.insert(seq), "{seq} ended a second time");
        let actions = self.home.completed(self.now, id(seq), Verdict::Good, None);
        self.take_in(&actions);
    }

    fn step(&mut self, seq: u64, step: &Step) {
        self.now = self.now + 3 * MILLISECOND;
        match *step {
            Step::Offer {
                account,
                priority,
                level,
                repeatable,
                may_queue,
                remaining_ms,
            } => {
                let drawn = Offer {
                    priority,
                    level,
                    repeatable,
                    may_queue,
                    remaining_us: remaining_ms * MILLISECOND,
                    ..offer(seq, &format!("account-{account}"))
                };
                self.offer(account, &drawn);
            }
            Step::Complete(pick) => self.complete(pick),
            Step::Withdraw(pick) => {
                let picked = pick % self.waiting.len().max(1);
                let picked = self.waiting.iter().nth(picked).copied();
                if let Some(seq) = picked {
                    assert!(!self.home.cancel(self.now, id(seq)));
                    self.leave(seq);
                }
            }
            Step::Tick => {
                let actions = self.home.tick(self.now);
                self.take_in(&actions);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn each_attempt_starts_or_is_refused_once_and_a_lone_one_waits_for_one_turn_of_each_other(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let (home, now) = warm(SLOTS, &[(true, 5 * MILLISECOND), (false, 20 * MILLISECOND)]);
        let mut follow = Follow {
            home,
            now,
            offered: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            ended: BTreeSet::new(),
            lone: BTreeMap::new(),
        };
        for (seq, step) in steps.iter().enumerate() {
            follow.step(seq as u64, step);
        }
        while !follow.running.is_empty() || !follow.waiting.is_empty() {
            follow.step(u64::MAX, &Step::Complete(0));
            follow.step(u64::MAX, &Step::Tick);
        }
        prop_assert_eq!(follow.ended.len(), follow.offered.len(), "an attempt was lost");
        prop_assert_eq!(follow.home.turns_kept(), 0, "state stays when nothing runs or waits");
        prop_assert!(follow.home.is_idle());
    }
}
