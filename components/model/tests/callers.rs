//! Behaviour of callers, connections and calls on sites of few upstreams.

use model::{
    Arrival, Callers, Calls, Class, Fault, FaultKind, Load, Service, Site, SpeedModel, Tail, Tally,
    Vm, World,
};
use names::{Moment, Name, MILLISECOND, SECOND};

const END: Moment = Moment(10 * SECOND);

/// A class of requests that take `work_ms` at the service with this index.
fn class(service: usize, work_ms: u64, objective_ms: u64, deadline_ms: u64) -> Class {
    Class {
        name: Name::from(format!("class-{service}")),
        service,
        priority: 8,
        repeatable: true,
        max_attempts: 2,
        objective_us: objective_ms * MILLISECOND,
        deadline_us: deadline_ms * MILLISECOND,
        timeout_us: deadline_ms * MILLISECOND,
        work_us: (work_ms * MILLISECOND) as f64,
        spread: 0.001,
        tail: None,
        calls: None,
        value: (1.0, 0.0),
    }
}

/// One hall, with one upstream of one slot per class.
fn site(classes: Vec<Class>) -> Site {
    let indexes = 0..classes.len();
    Site {
        services: indexes
            .clone()
            .map(|index| Service {
                name: Name::from(format!("service-{index}")),
                slots: 1,
                cold: None,
                sustained_concurrency: None,
            })
            .collect(),
        vms: indexes
            .map(|service| Vm {
                hall: 0,
                service,
                up_at: Moment(0),
            })
            .collect(),
        classes,
        speed: SpeedModel {
            slow_share: 0.0,
            slow_factor: 1.0,
            phase_us: SECOND,
            cold_us: 0,
            cold_factor: 1.0,
        },
        usable_fraction: 1.0,
        latency_us: (MILLISECOND, MILLISECOND),
        callers: Callers {
            max_tries: 3,
            shortens_long_waits: true,
            latency_us: 0,
        },
        accounts: Vec::new(),
    }
}

fn arrival_at(ms: u64, class: usize) -> Arrival {
    Arrival {
        at: Moment(ms * MILLISECOND),
        class,
        ..Arrival::default()
    }
}

fn simulate(site: &Site, arrivals: Vec<Arrival>) -> Tally {
    let world = World::new(site.clone(), 1);
    world.simulate_tallied(&Load { arrivals }, Moment(0)..END)
}

/// The first caller occupies the only slot for two seconds; the second has a deadline of 120 ms.
fn simulate_second_refused(site: &Site) -> Tally {
    let short_deadline = Arrival {
        deadline_us: Some(120 * MILLISECOND),
        ..arrival_at(10, 0)
    };
    simulate(site, vec![arrival_at(0, 0), short_deadline])
}

/// Guards against callers that a long `Retry-After` keeps from retrying: callers of real
/// deployments retry after a third of their remaining time, and no node advises less than 50 ms.
#[test]
fn caller_retries_after_a_third_of_its_time_when_told_to_wait_longer() {
    let site = site(vec![class(0, 2_000, 100, 4_000)]);
    let tally = simulate_second_refused(&site);
    assert_eq!(tally.all().refused, 1.0);
    assert_eq!(tally.all().retry_refusals, 2.0);
}

/// Callers of the recorded sites give up instead; the reports of those sites must not change.
#[test]
fn caller_told_to_wait_longer_gives_up_where_the_site_says_so() {
    let mut site = site(vec![class(0, 2_000, 100, 4_000)]);
    site.callers.shortens_long_waits = false;
    let tally = simulate_second_refused(&site);
    assert_eq!(tally.all().refused, 1.0);
    assert_eq!(tally.all().retry_refusals, 0.0);
}

/// Guards against a third try where the site allows two.
#[test]
fn caller_makes_as_many_tries_as_the_site_allows() {
    let mut site = site(vec![class(0, 2_000, 100, 4_000)]);
    site.callers.max_tries = 2;
    assert_eq!(simulate_second_refused(&site).all().retry_refusals, 1.0);
}

/// Guards against answers counted when they are ready: the second waits for the first and is late.
#[test]
fn pipelined_answer_counts_from_when_it_is_sent() {
    let site = site(vec![class(0, 200, 300, 900), class(1, 10, 100, 900)]);
    let arrivals = |connection: [usize; 2]| {
        let [first, second] = connection.map(Some);
        let first = Arrival {
            connection: first,
            ..arrival_at(0, 0)
        };
        let second = Arrival {
            connection: second,
            ..arrival_at(5, 1)
        };
        vec![first, second]
    };
    let own = simulate(&site, arrivals([0, 1])).all();
    assert_eq!((own.in_time, own.late), (2.0, 0.0));
    let shared = simulate(&site, arrivals([0, 0])).all();
    assert_eq!((shared.in_time, shared.late), (1.0, 1.0));
}

/// Guards against sequential calls that take no longer than concurrent ones.
#[test]
fn sequential_calls_take_the_sum_of_their_times() {
    let answered = |sequential: bool| {
        let mut outer = class(0, 10, 100, 900);
        outer.calls = Some(Calls {
            class: 1,
            count: 3,
            sequential,
            share: 1.0,
        });
        let mut site = site(vec![outer, class(1, 40, 500, 900)]);
        site.services[1].slots = 3;
        simulate(&site, vec![arrival_at(0, 0)]).all()
    };
    assert_eq!(answered(false).in_time, 1.0);
    assert_eq!(answered(true).late, 1.0);
}

/// Guards against times that leave out the latency between caller and node.
#[test]
fn latency_between_caller_and_node_counts() {
    let mut site = site(vec![class(0, 95, 100, 900)]);
    assert_eq!(simulate(&site, vec![arrival_at(0, 0)]).all().in_time, 1.0);
    site.callers.latency_us = 8 * MILLISECOND;
    assert_eq!(simulate(&site, vec![arrival_at(0, 0)]).all().late, 1.0);
}

/// Guards against long-tail runs that are never drawn, or that use another factor.
#[test]
fn long_tail_run_takes_its_factor_longer() {
    let all_with_tail = |factor| {
        let mut class_with_tail = class(0, 20, 100, 900);
        class_with_tail.tail = Some(Tail { share: 1.0, factor });
        simulate(&site(vec![class_with_tail]), vec![arrival_at(0, 0)]).all()
    };
    assert_eq!(all_with_tail(4.0).in_time, 1.0);
    assert_eq!(all_with_tail(7.0).late, 1.0);
}

fn simulate_fault(kind: FaultKind, arrivals: Vec<Arrival>) -> Tally {
    let site = site(vec![class(0, 40, 100, 200)]);
    let fault = Fault {
        from: Moment(SECOND),
        until: Moment(2 * SECOND),
        kind,
    };
    let world = World::new(site, 1).with_faults(&[fault]);
    world.simulate_tallied(&Load { arrivals }, Moment(0)..END)
}

/// Guards against upstreams that serve while they are down, or that don't come back.
#[test]
fn upstream_that_is_down_serves_nothing_until_it_is_back() {
    let arrivals = || {
        vec![
            arrival_at(500, 0),
            arrival_at(1_200, 0),
            arrival_at(2_500, 0),
        ]
    };
    let all = simulate_fault(FaultKind::Down(1.0), arrivals()).all();
    assert_eq!((all.in_time, all.refused), (2.0, 1.0));
    let none = simulate_fault(FaultKind::Down(0.0), arrivals()).all();
    assert_eq!(none.in_time, 3.0);
}

/// Guards against a slowdown that has no effect, or that never ends.
#[test]
fn work_takes_longer_while_all_upstreams_are_slow() {
    let arrivals = vec![
        arrival_at(500, 0),
        arrival_at(1_200, 0),
        arrival_at(2_500, 0),
    ];
    let all = simulate_fault(FaultKind::Slow(4.0), arrivals).all();
    assert_eq!((all.in_time, all.late), (2.0, 1.0));
}
