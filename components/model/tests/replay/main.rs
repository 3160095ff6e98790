//! Recorded loads, simulated with the decisions of all nodes.

mod site;

use model::{Load, Report, World};
use names::Moment;

/// All VMs lose power for half a second; callers of the next five seconds.
const POWER_RETURNS: &str = include_str!("power-returns.csv");
const POWER_RETURNS_VMS: &str = include_str!("power-returns.vms.csv");
/// From the time when most nodes serve to the time when the first upstreams run at normal speed, in
/// microseconds.
const COLD: (u64, u64) = (900_000, 3_400_000);
const SEEDS: u64 = 3;

fn power_returns(load: &Load, seed: u64) -> Report {
    let site = site::site(POWER_RETURNS_VMS);
    let window = Moment(COLD.0)..Moment(COLD.1);
    World::new(site, seed).simulate(load, window)
}

fn recorded_load() -> Load {
    Load::parse(POWER_RETURNS).expect("a load")
}

/// Mean value share, and mean share of wasted runs.
fn means(load: &Load) -> (f64, f64) {
    let reports: Vec<Report> = (0..SEEDS).map(|seed| power_returns(load, seed)).collect();
    for report in &reports {
        println!("{report}");
    }
    let mean = |value: fn(&Report) -> f64| reports.iter().map(value).sum::<f64>() / SEEDS as f64;
    let wasted = |report: &Report| report.runs.1 as f64 / report.runs.0 as f64;
    (mean(Report::value_share), mean(wasted))
}

#[test]
fn one_seed_gives_one_report() {
    let load = recorded_load();
    assert_eq!(power_returns(&load, 5), power_returns(&load, 5));
}

#[test]
fn slots_go_to_requests_that_can_be_in_time_after_a_power_loss() {
    // 0.49 of the value, and one run in 29 wasted, if waits end by timeout alone.
    let (value_share, wasted) = means(&recorded_load());
    assert!(value_share > 0.52, "value share {value_share:.3}");
    assert!(wasted < 0.028, "wasted {wasted:.3}");
}

#[test]
fn slots_go_to_requests_that_can_be_in_time_with_30_percent_more_load() {
    // 0.33 of the value, and one run in 19 wasted, if waits end by timeout alone.
    let (value_share, wasted) = means(&recorded_load().with_duplicates(0.3));
    assert!(value_share > 0.37, "value share {value_share:.3}");
    assert!(wasted < 0.04, "wasted {wasted:.3}");
}
