//! Recorded loads, played through the decisions of all nodes.

mod site;

use model::{Load, Report, World};
use names::Moment;

/// All VMs lose power for half a second; the callers of the next five seconds.
const POWER_RETURNS: &str = include_str!("power-returns.csv");
const POWER_RETURNS_VMS: &str = include_str!("power-returns.vms.csv");
/// From when most nodes serve until the first upstreams work at their usual pace, in microseconds.
const COLD: (u64, u64) = (900_000, 3_400_000);
const SEEDS: u64 = 3;

fn power_returns(load: &Load, seed: u64) -> Report {
    let site = site::site(POWER_RETURNS_VMS);
    let window = Moment(COLD.0)..Moment(COLD.1);
    World::new(site, seed).simulate(load, window)
}

fn recorded() -> Load {
    Load::parse(POWER_RETURNS).expect("a load")
}

/// Mean credit, and the share of the runs that were for nothing.
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
    let load = recorded();
    assert_eq!(power_returns(&load, 5), power_returns(&load, 5));
}

#[test]
fn after_a_loss_of_power_slots_go_to_what_can_be_answered_in_time() {
    // 0.49 of the worth and one run in 29 for nothing where waits end by the patience alone.
    let (value_share, wasted) = means(&recorded());
    assert!(value_share > 0.52, "value share {value_share:.3}");
    assert!(wasted < 0.028, "wasted {wasted:.3}");
}

#[test]
fn so_they_do_when_three_tenths_more_come() {
    // 0.33 and one run in 19.
    let (value_share, wasted) = means(&recorded().with_duplicates(0.3));
    assert!(value_share > 0.37, "value share {value_share:.3}");
    assert!(wasted < 0.04, "wasted {wasted:.3}");
}
