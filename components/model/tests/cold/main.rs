//! A whole service is cold and gets more than its cold upstreams bear. Each that got what its slots held fell over, came
//! back cold, and left its load to the others: the service stayed down for as long as requests came.

mod site;

use model::{Report, World};
use names::{Moment, MILLISECOND, SECOND};

const SEEDS: u64 = 3;
/// From when callers come on.
const FROM: Moment = Moment(50 * MILLISECOND);
/// Until when upstreams are cold that don't fall over.
const COLD: Moment = Moment(3 * SECOND);
/// Half a second more, in which what began while they were cold ends.
const WARM: Moment = Moment(3_500 * MILLISECOND);
const END: Moment = Moment(8 * SECOND);

/// The time in which all is cold and the time afterwards, under `times` the load that cold upstreams bear.
fn simulate(load_factor: f64, known: Option<u32>, seed: u64) -> (Report, Report) {
    let site = site::site(known);
    let load = site::load(&site, load_factor, FROM..END, seed);
    let windows = [FROM..COLD, WARM..END];
    let mut reports = World::new(site, seed).simulate_windows(&load, &windows);
    let after = reports.pop().expect("two reports");
    let cold = reports.pop().expect("two reports");
    println!("{load_factor} seed {seed} cold:\n{cold}\nafterwards:\n{after}");
    (cold, after)
}

#[test]
fn a_service_that_is_all_cold_recovers_in_the_time_that_it_is_cold() {
    for load_factor in [1.5, 2.0, 3.0] {
        for seed in 0..SEEDS {
            let (cold, after) = simulate(load_factor, Some(site::SUSTAINED_STARTS_PER_S), seed);
            assert_eq!(cold.overload_crashes + after.overload_crashes, 0);
            assert!(
                after.value_share() > 0.9,
                "afterwards {:.3}",
                after.value_share()
            );
        }
    }
}

#[test]
fn one_whose_nodes_know_of_no_bound_stays_down() {
    for seed in 0..SEEDS {
        let (cold, after) = simulate(2.0, None, seed);
        assert!(cold.overload_crashes > 0 && after.overload_crashes > 0);
        assert!(
            after.value_share() < 0.8,
            "afterwards {:.3}",
            after.value_share()
        );
    }
}
