//! Callers drawn from the demand of a load file.

use model::{Arrival, Scenario, Surge, SurgeKind};
use names::{Moment, SECOND};
use std::ops::Range;

/// Maximum relative deviation of drawn rates from the declared ones, far above statistical noise.
const MAX_DEVIATION: f64 = 0.05;

fn open(load: &str) -> (Scenario, Vec<Arrival>) {
    let scenario = Scenario::open(load).expect("a load");
    let arrivals = scenario.demand.draw(&scenario.site, 1).arrivals;
    (scenario, arrivals)
}

/// Callers per second within a time range.
fn rate(arrivals: &[Arrival], within: &Range<Moment>, counts: impl Fn(&Arrival) -> bool) -> f64 {
    let counted = arrivals
        .iter()
        .filter(|arrival| within.contains(&arrival.at) && counts(arrival));
    let seconds = within.end.since(within.start) as f64 / SECOND as f64;
    counted.count() as f64 / seconds
}

fn during(surge: &Surge) -> Range<Moment> {
    surge.from..surge.until
}

fn before(surge: &Surge) -> Range<Moment> {
    Moment(0)..surge.from
}

fn assert_close(found: f64, expected: f64, what: &str) {
    let deviation = (found / expected - 1.0).abs();
    assert!(
        deviation < MAX_DEVIATION,
        "{what}: {found:.1}, expected {expected:.1}"
    );
}

/// Guards against surges that are higher or lower than declared, also while the demand of the halls
/// varies.
#[test]
fn capacity_surge_has_the_declared_rate() {
    for (load, times) in [("wave-1.3", 1.3), ("wave-1.6", 1.6), ("wave-2.5", 2.5)] {
        let (scenario, arrivals) = open(load);
        let capacity = scenario.site.capacity(&scenario.demand.shares);
        let surge = scenario.demand.surges[0];
        assert_eq!(surge.kind, SurgeKind::Capacity(times));
        let found = rate(&arrivals, &during(&surge), |_| true);
        assert_close(found, times * capacity, load);
    }
}

/// Guards against halls whose demand is constant, or varies in phase.
#[test]
fn hall_demand_lags_behind_the_previous_hall() {
    let (mut scenario, _) = open("wave-1.3");
    scenario.demand.surges.clear();
    scenario.demand.wave.lag_us = 2 * SECOND;
    scenario.demand.until = Moment(15 * SECOND);
    let arrivals = scenario.demand.draw(&scenario.site, 1).arrivals;
    let in_second = |hall: usize, second: u64| {
        let within = Moment(second * SECOND)..Moment((second + 1) * SECOND);
        rate(&arrivals, &within, |arrival| {
            scenario.site.vms[arrival.vm].hall == hall
        })
    };
    // The crest is a quarter of a period after the start of the hall's own wave, the trough three
    // quarters.
    for hall in 0..4 {
        let crest = 3 + 2 * hall as u64;
        let trough = (11 + 2 * hall as u64) % 15;
        let (crest, trough) = (in_second(hall, crest), in_second(hall, trough));
        assert!(crest > trough * 2.5, "hall {hall}: {crest} and {trough}");
    }
}

/// Guards against an account's surge that raises the rate of other accounts, or that lowers it.
#[test]
fn account_surge_changes_no_other_account() {
    let (scenario, arrivals) = open("account-times-ten");
    let surge = scenario.demand.surges[0];
    let of = |within: &Range<Moment>, own: bool| {
        rate(&arrivals, within, |arrival| {
            (arrival.account == Some(0)) == own
        })
    };
    let (before, during) = (before(&surge), during(&surge));
    assert_close(of(&during, true), 10.0 * of(&before, true), "the account");
    assert_close(of(&during, false), of(&before, false), "the others");
}

/// Guards against a class's surge that raises the rate of other classes.
#[test]
fn class_surge_changes_no_other_class() {
    let (scenario, arrivals) = open("five-upstreams");
    let surge = scenario.demand.surges[0];
    let SurgeKind::Class(class, times) = surge.kind else {
        panic!("a surge of a class");
    };
    let of = |within: &Range<Moment>, own: bool| {
        rate(&arrivals, within, |arrival| (arrival.class == class) == own)
    };
    let (before, during) = (before(&surge), during(&surge));
    assert_close(of(&during, true), times * of(&before, true), "the class");
    let others: f64 = of(&during, false) / of(&before, false);
    assert!((0.75..1.25).contains(&others), "the others: {others}");
}

/// Guards against connections shared by pipelined callers of two nodes or classes.
#[test]
fn connection_belongs_to_one_node_and_class() {
    let (_, arrivals) = open("wave-2.5");
    let mut owners = std::collections::HashMap::new();
    for arrival in &arrivals {
        if let Some(connection) = arrival.connection {
            let owner = (arrival.vm, arrival.class);
            assert_eq!(*owners.entry(connection).or_insert(owner), owner);
        }
    }
    assert!(!owners.is_empty());
}
