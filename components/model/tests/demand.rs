//! Callers drawn from the demand of a load file.

use model::{Arrival, Scenario, Surge, SurgeKind};
use names::{Moment, SECOND};
use std::ops::Range;

/// Drawn numbers are within this part of what a file asks for, by far more than chance allows for.
const NEAR: f64 = 0.05;

fn open(load: &str) -> (Scenario, Vec<Arrival>) {
    let scenario = Scenario::open(load).expect("a load");
    let arrivals = scenario.demand.draw(&scenario.site, 1).arrivals;
    (scenario, arrivals)
}

/// Callers a second within a time.
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

fn assert_near(found: f64, wanted: f64, what: &str) {
    let off = (found / wanted - 1.0).abs();
    assert!(off < NEAR, "{what}: {found:.1}, wanted {wanted:.1}");
}

/// Guards against waves that are higher or lower than their file says, also while the halls' own demand moves.
#[test]
fn a_wave_is_as_high_as_its_file_says() {
    for (load, times) in [("wave-1.3", 1.3), ("wave-1.6", 1.6), ("wave-2.5", 2.5)] {
        let (scenario, arrivals) = open(load);
        let capacity = scenario.site.capacity(&scenario.demand.shares);
        let surge = scenario.demand.surges[0];
        assert_eq!(surge.kind, SurgeKind::Capacity(times));
        let found = rate(&arrivals, &during(&surge), |_| true);
        assert_near(found, times * capacity, load);
    }
}

/// Guards against halls whose demand stands still, or moves at the same time.
#[test]
fn the_demand_of_each_hall_moves_after_the_one_before() {
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
    // A quarter of a period after the hall's own beginning there is its crest, after three quarters the trough.
    for hall in 0..4 {
        let crest = 3 + 2 * hall as u64;
        let trough = (11 + 2 * hall as u64) % 15;
        let (crest, trough) = (in_second(hall, crest), in_second(hall, trough));
        assert!(crest > trough * 2.5, "hall {hall}: {crest} and {trough}");
    }
}

/// Guards against a surge of one account that raises others, or counts against the usual requests of the others.
#[test]
fn an_account_at_ten_times_its_rate_raises_no_other() {
    let (scenario, arrivals) = open("account-times-ten");
    let surge = scenario.demand.surges[0];
    let of = |within: &Range<Moment>, own: bool| {
        rate(&arrivals, within, |arrival| {
            (arrival.account == Some(0)) == own
        })
    };
    let (usual, now) = (before(&surge), during(&surge));
    assert_near(of(&now, true), 10.0 * of(&usual, true), "the account");
    assert_near(of(&now, false), of(&usual, false), "the others");
}

/// The same for one class.
#[test]
fn a_class_at_twice_its_rate_raises_no_other() {
    let (scenario, arrivals) = open("five-upstreams");
    let surge = scenario.demand.surges[0];
    let SurgeKind::Class(class, times) = surge.kind else {
        panic!("a surge of a class");
    };
    let of = |within: &Range<Moment>, own: bool| {
        rate(&arrivals, within, |arrival| (arrival.class == class) == own)
    };
    let (usual, now) = (before(&surge), during(&surge));
    assert_near(of(&now, true), times * of(&usual, true), "the class");
    let others: f64 = of(&now, false) / of(&usual, false);
    assert!((0.75..1.25).contains(&others), "the others: {others}");
}

/// Guards against pipelined callers of two nodes or classes on one connection.
#[test]
fn a_connection_belongs_to_one_node_and_class() {
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
