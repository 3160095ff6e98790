//! Three halls whose upstreams have all just started; one service has few upstreams, which sustain
//! little while they are cold.

use model::{Arrival, Callers, Calls, Class, ColdLimit, Load, Service, Site, SpeedModel, Vm};
use names::{Moment, Name, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;

/// Maximum starts per second at a cold upstream.
pub const SUSTAINED_STARTS_PER_S: u32 = 30;
const SLOTS: u32 = 11;
/// Upstreams of each service in each of three halls.
const UPSTREAMS: [[usize; 3]; 4] = [[8, 7, 7], [10, 11, 11], [4, 3, 2], [3, 2, 1]];
/// Requests per second of each class at which the service with the fewest upstreams receives, calls
/// included, what its cold upstreams sustain.
const REQUESTS_PER_S: [f64; 4] = [137.0, 141.0, 37.0, 104.0];

/// The site; `declared`: the limit of starts at cold upstreams that its nodes know.
pub fn site(declared: Option<u32>) -> Site {
    let services = ["portal", "booking", "dispatch", "clinic"];
    Site {
        services: services
            .iter()
            .map(|name| Service {
                name: Name::from(*name),
                slots: SLOTS,
                cold: Some(ColdLimit {
                    declared,
                    crash_threshold: 38,
                    downtime_us: SECOND,
                }),
                sustained_concurrency: None,
            })
            .collect(),
        classes: classes(),
        vms: vms(),
        speed: SpeedModel {
            slow_share: 0.25,
            slow_factor: 4.0,
            phase_us: 300 * MILLISECOND,
            cold_us: 3 * SECOND,
            cold_factor: 2.0,
        },
        usable_fraction: 0.8,
        latency_us: (MILLISECOND, 2 * MILLISECOND),
        callers: Callers::default(),
        accounts: Vec::new(),
    }
}

fn vms() -> Vec<Vm> {
    let mut vms = Vec::new();
    for (service, halls) in UPSTREAMS.iter().enumerate() {
        for (hall, count) in halls.iter().enumerate() {
            for _ in 0..*count {
                vms.push(Vm {
                    hall,
                    service,
                    up_at: Moment(0),
                });
            }
        }
    }
    vms
}

/// Random arrivals, the same expected number in each hall.
pub fn load(site: &Site, load_factor: f64, within: Range<Moment>, seed: u64) -> Load {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (class, per_second) in REQUESTS_PER_S.iter().enumerate() {
        let seconds = within.end.since(within.start) as f64 / SECOND as f64;
        let count = (per_second * load_factor * seconds) as usize;
        for _ in 0..count {
            let hall = rng.random_range(0..3);
            let vms_in_hall: Vec<usize> = (0..site.vms.len())
                .filter(|vm| site.vms[*vm].hall == hall)
                .collect();
            arrivals.push(Arrival {
                at: within.start + rng.random_range(0..within.end.since(within.start)),
                vm: vms_in_hall[rng.random_range(0..vms_in_hall.len())],
                class,
                ..Arrival::default()
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    Load { arrivals }
}

fn classes() -> Vec<Class> {
    vec![
        outer(
            "look-up",
            0,
            (7, true),
            [160, 500, 1_200],
            Some((4, 1)),
            1.0,
        ),
        outer(
            "reserve",
            1,
            (8, false),
            [210, 600, 1_500],
            Some((5, 1)),
            2.0,
        ),
        outer(
            "assign",
            2,
            (9, false),
            [110, 300, 1_000],
            Some((6, 2)),
            3.0,
        ),
        outer("calendar", 3, (8, true), [64, 200, 600], None, 2.0),
        outer("reserve-check", 1, (7, true), [40, 150, 500], None, 0.0),
        outer("crew-check", 2, (7, true), [40, 150, 500], None, 0.0),
        outer("calendar-check", 3, (7, true), [40, 150, 500], None, 0.0),
    ]
}

/// `times_ms`: mean work, objective, caller's deadline. `calls`: class and number.
fn outer(
    name: &str,
    service: usize,
    (priority, repeatable): (u8, bool),
    times_ms: [u64; 3],
    calls: Option<(usize, u32)>,
    value: f64,
) -> Class {
    let [work_ms, objective_ms, deadline_ms] = times_ms;
    Class {
        name: Name::from(name),
        service,
        priority,
        repeatable,
        max_attempts: 2,
        objective_us: objective_ms * MILLISECOND,
        deadline_us: deadline_ms * MILLISECOND,
        timeout_us: deadline_ms * MILLISECOND,
        work_us: (work_ms * MILLISECOND) as f64,
        spread: 0.3,
        tail: None,
        calls: calls.map(|(class, count)| Calls {
            class,
            count,
            sequential: false,
            share: 0.7,
        }),
        value: (value, value / 10.0),
    }
}
