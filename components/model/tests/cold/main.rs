//! All upstreams of a service are cold and receive more than cold upstreams sustain. An upstream
//! that filled its slots crashed by overload and came back cold, while its load moved to the
//! others: the service stayed down for as long as requests arrived.

mod site;

use model::{Report, World};
use names::{Moment, MILLISECOND, SECOND};

const SEEDS: u64 = 3;
/// Start of the arrivals.
const FROM: Moment = Moment(50 * MILLISECOND);
/// Until then upstreams that don't crash are cold.
const COLD: Moment = Moment(3 * SECOND);
/// Half a second later, when runs that began on cold upstreams have ended.
const WARM: Moment = Moment(3_500 * MILLISECOND);
const END: Moment = Moment(8 * SECOND);

/// Reports of the cold time and of the time afterwards; `load_factor` is relative to the load that
/// cold upstreams sustain.
fn simulate(load_factor: f64, declared: Option<u32>, seed: u64) -> (Report, Report) {
    let site = site::site(declared);
    let load = site::load(&site, load_factor, FROM..END, seed);
    let windows = [FROM..COLD, WARM..END];
    let mut reports = World::new(site, seed).simulate_windows(&load, &windows);
    let after = reports.pop().expect("two reports");
    let cold = reports.pop().expect("two reports");
    println!("{load_factor} seed {seed} cold:\n{cold}\nafterwards:\n{after}");
    (cold, after)
}

#[test]
fn cold_service_recovers_by_the_time_it_is_warm() {
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
fn cold_service_without_a_declared_limit_stays_down() {
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
