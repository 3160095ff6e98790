//! Loads of several accounts, served in the order without accounts and with fair queueing.

use crate::world::{mean, simulate, worst_tenth, Kind, Load, Order, Outcome, Source, SLOTS};
use names::{MILLISECOND, SECOND};
use std::fmt::Write;

const ACCOUNTS: usize = 84;
/// Accounts that send eight times as much as each of the others.
const LARGE: usize = 4;
const LARGE_FACTOR: f64 = 8.0;
/// The account that sends ten times its normal rate.
const BUSY: usize = 0;
const BUSY_FACTOR: f64 = 10.0;
/// Load at normal rates, as a fraction of the capacity.
const NORMAL_LOAD: f64 = 0.8;
/// The same for short and for long requests, where a load has both.
const NORMAL_SHORT: f64 = 0.5;
const NORMAL_LONG: f64 = 0.25;
/// Factor on the normal rate of long requests.
const LONG_FACTOR: f64 = 2.4;
const SHORT: Kind = Kind {
    run_us: 40 * MILLISECOND,
    objective_us: 200 * MILLISECOND,
    deadline_us: 600 * MILLISECOND,
    priority: 5,
    repeatable: true,
};
/// Long requests of a lower priority and with a longer objective.
const LONG: Kind = Kind {
    run_us: 440 * MILLISECOND,
    objective_us: 2_500 * MILLISECOND,
    deadline_us: 5 * SECOND,
    priority: 3,
    repeatable: false,
};

fn weight(account: usize) -> f64 {
    if account < LARGE {
        LARGE_FACTOR
    } else {
        1.0
    }
}

/// Sources of all accounts for one kind of requests, whose total load is `load` times the capacity.
fn sources(homes: usize, kind: Kind, load: f64) -> Vec<Source> {
    let capacity = homes as f64 * f64::from(SLOTS) * SECOND as f64 / kind.run_us as f64;
    let weights: f64 = (0..ACCOUNTS).map(weight).sum();
    (0..ACCOUNTS)
        .map(|account| Source {
            account,
            kind,
            per_s: capacity * load * weight(account) / weights,
        })
        .collect()
}

fn load(homes: usize, duration_s: u64, sources: Vec<Source>) -> Load {
    Load {
        homes,
        sources,
        duration_us: duration_s * SECOND,
        seed: 11,
        spread: (BUSY, 40),
    }
}

/// Load pattern: one of the large accounts sends ten times its normal rate, 83 others their normal rate.
fn one_busy(homes: usize, duration_s: u64) -> Load {
    let mut sources = sources(homes, SHORT, NORMAL_LOAD);
    sources[BUSY].per_s *= BUSY_FACTOR;
    load(homes, duration_s, sources)
}

/// Load pattern: long requests of low priority arrive at 2.4 times their normal rate, along with short ones of
/// higher priority.
fn many_long_requests(homes: usize, duration_s: u64) -> Load {
    let mut all = sources(homes, SHORT, NORMAL_SHORT);
    all.extend(sources(homes, LONG, NORMAL_LONG * LONG_FACTOR));
    load(homes, duration_s, all)
}

/// Load pattern: one account sends long requests at ten times its normal rate, along with short ones of higher
/// priority.
fn one_busy_with_long_requests(homes: usize, duration_s: u64) -> Load {
    let mut all = sources(homes, SHORT, NORMAL_SHORT);
    let mut long = sources(homes, LONG, NORMAL_LONG);
    long[BUSY].per_s *= 2.0 * BUSY_FACTOR;
    all.extend(long);
    load(homes, duration_s, all)
}

fn is_other(account: usize, _: u8) -> bool {
    account != BUSY
}

fn is_small(account: usize, _: u8) -> bool {
    account >= LARGE
}

fn is_large(account: usize, _: u8) -> bool {
    account < LARGE
}

fn short_in_time(outcome: &Outcome) -> f64 {
    let short = outcome.of(|_, priority| priority == SHORT.priority);
    short.in_time_fraction()
}

/// Simulates a load in both orders and returns the table of both and the outcome of fair queueing. Guards
/// against fair queueing that lets short requests of higher priority wait behind long ones.
fn simulate_both_orders(load: &Load) -> (String, Outcome) {
    let mut table = String::from(
        "order: sent, in time, late, refused | others: mean, worst tenth, worst | small accounts: worst tenth | busy account | short requests\n",
    );
    let [one_queue, fair] = [Order::OneQueue, Order::Fair].map(|order| {
        let outcome = simulate(load, order);
        let all = outcome.of(|_, _| true);
        let others = outcome.in_time_fractions(is_other);
        writeln!(
            table,
            "{order:?}: {}, {:.3}, {:.3}, {:.3} | {:.3}, {:.3}, {:.3} | {:.3} | {:.3} | {:.3}",
            all.sent,
            all.in_time_fraction(),
            all.late as f64 / all.sent as f64,
            all.refused as f64 / all.sent as f64,
            mean(&others),
            worst_tenth(&others),
            others[0],
            worst_tenth(&outcome.in_time_fractions(is_small)),
            outcome.of(|account, _| account == BUSY).in_time_fraction(),
            short_in_time(&outcome),
        )
        .expect("writing to a string cannot fail");
        outcome
    });
    let (unfair_short, fair_short) = (short_in_time(&one_queue), short_in_time(&fair));
    assert!(
        fair_short >= unfair_short - 0.01,
        "short requests in time: {unfair_short:.3}, with fair queueing {fair_short:.3}"
    );
    (table, fair)
}

/// Guards against an account whose fraction in time is less than half of the overall one.
fn check_half(outcome: &Outcome, among: impl Fn(usize, u8) -> bool) {
    let all = outcome.of(|_, _| true).in_time_fraction();
    let worst = outcome.in_time_fractions(among)[0];
    assert!(worst >= all / 2.0, "worst {worst:.3}, all {all:.3}");
}

/// Guards against a worst tenth of the accounts that is served much worse than the mean.
fn check_worst_tenth(outcome: &Outcome, among: impl Fn(usize, u8) -> bool) {
    let fractions = outcome.in_time_fractions(among);
    let (worst, mean) = (worst_tenth(&fractions), mean(&fractions));
    assert!(worst >= mean - 0.05, "worst {worst:.3}, mean {mean:.3}");
}

/// The same where all accounts send more than normal. Shares are equal, so the large accounts, which send more
/// than a share, are refused most, and only accounts of the same size are served alike.
fn check_worst_tenth_by_size(outcome: &Outcome) {
    check_worst_tenth(outcome, is_small);
    check_worst_tenth(outcome, is_large);
}

#[test]
fn busy_account_gets_only_unused_capacity_at_one_upstream() {
    let (table, outcome) = simulate_both_orders(&one_busy(1, 40));
    insta::assert_snapshot!(table);
    check_half(&outcome, is_other);
    check_worst_tenth(&outcome, is_other);
}

#[test]
fn busy_account_gets_only_unused_capacity_at_several_upstreams() {
    // Guards against free slots that go to the busy account at one upstream while others are queued at another.
    let (table, outcome) = simulate_both_orders(&one_busy(4, 15));
    insta::assert_snapshot!(table);
    check_half(&outcome, is_other);
    check_worst_tenth(&outcome, is_other);
}

#[test]
fn accounts_share_the_capacity_left_for_long_requests_at_one_upstream() {
    let (table, outcome) = simulate_both_orders(&many_long_requests(1, 120));
    insta::assert_snapshot!(table);
    check_half(&outcome, |_, _| true);
    check_worst_tenth_by_size(&outcome);
}

#[test]
fn accounts_share_the_capacity_left_for_long_requests_at_several_upstreams() {
    let (table, outcome) = simulate_both_orders(&many_long_requests(4, 30));
    insta::assert_snapshot!(table);
    check_half(&outcome, |_, _| true);
    check_worst_tenth_by_size(&outcome);
}

#[test]
fn account_with_many_long_requests_does_not_starve_others() {
    let (table, outcome) = simulate_both_orders(&one_busy_with_long_requests(4, 30));
    insta::assert_snapshot!(table);
    check_half(&outcome, is_other);
    check_worst_tenth(&outcome, is_other);
}

#[test]
fn account_gains_nothing_by_sending_through_many_nodes() {
    // Guards against an order that prefers attempts by the node in their id, which breaks ties of equal start
    // tags and deadlines. Shares depend on the account alone: an offer carries no key and no connection.
    let mut load = one_busy(1, 12);
    let served = [1, 400].map(|entries| {
        load.spread = (BUSY, entries);
        let outcome = simulate(&load, Order::Fair);
        outcome.of(|account, _| account == BUSY).in_time as f64
    });
    let gain = served[1] / served[0];
    assert!((0.99..=1.01).contains(&gain), "{served:?}");
}
