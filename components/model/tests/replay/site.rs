//! A site of 295 VMs in five halls whose nodes recorded the requests of its callers.

use model::{Callers, Calls, Class, Service, Site, SpeedModel, Vm};
use names::{Moment, Name, MILLISECOND, SECOND};

const SLOTS: u32 = 9;

/// The site; `vms` has a line `hall,service,milliseconds until it serves` per VM.
pub fn site(vms: &str) -> Site {
    let services = ["portal", "booking", "dispatch", "clinic"];
    Site {
        services: services
            .iter()
            .map(|name| Service {
                name: Name::from(*name),
                slots: SLOTS,
                cold: None,
                sustained_concurrency: None,
            })
            .collect(),
        classes: classes(),
        vms: vms
            .lines()
            .filter(|line| !line.starts_with('#'))
            .map(vm)
            .collect(),
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

fn vm(line: &str) -> Vm {
    let fields: Vec<u64> = line
        .split(',')
        .map(|field| field.parse().expect("a number"))
        .collect();
    Vm {
        hall: fields[0] as usize,
        service: fields[1] as usize,
        up_at: Moment(fields[2] * MILLISECOND),
    }
}

/// Four classes of callers' requests, and the calls made for three of them.
fn classes() -> Vec<Class> {
    vec![
        outer(
            "look-up",
            0,
            7,
            true,
            [310, 800, 2_000, 1_200],
            Some(4),
            1.0,
        ),
        outer(
            "reserve",
            1,
            8,
            false,
            [400, 1_200, 3_000, 2_000],
            Some(5),
            2.0,
        ),
        outer(
            "assign",
            2,
            9,
            false,
            [210, 600, 1_500, 1_500],
            Some(6),
            3.0,
        ),
        outer("calendar", 3, 8, true, [120, 300, 1_200, 1_200], None, 2.0),
        inner("reserve-check", 1),
        inner("crew-check", 2),
        inner("calendar-check", 3),
    ]
}

/// `times_ms`: mean work, objective, caller's deadline, timeout of the route.
fn outer(
    name: &str,
    service: usize,
    priority: u8,
    repeatable: bool,
    times_ms: [u64; 4],
    calls: Option<usize>,
    value: f64,
) -> Class {
    let [work_ms, objective_ms, deadline_ms, timeout_ms] = times_ms;
    Class {
        name: Name::from(name),
        service,
        priority,
        repeatable,
        max_attempts: 2,
        objective_us: objective_ms * MILLISECOND,
        deadline_us: deadline_ms * MILLISECOND,
        timeout_us: timeout_ms * MILLISECOND,
        work_us: (work_ms * MILLISECOND) as f64,
        spread: 0.3,
        tail: None,
        calls: calls.map(|class| Calls {
            class,
            count: 2,
            sequential: false,
            share: 0.7,
        }),
        value: (value, value / 10.0),
    }
}

fn inner(name: &str, service: usize) -> Class {
    outer(name, service, 7, true, [77, 250, 1_000, 1_000], None, 0.0)
}
