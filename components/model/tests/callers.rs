//! What callers, connections and calls do in the model, on sites of few upstreams.

use model::{
    Arrival, Callers, Calls, Class, Fault, FaultKind, Load, Service, Site, SpeedModel, Tail, Tally,
    Vm, World,
};
use names::{Moment, Name, MILLISECOND, SECOND};

const END: Moment = Moment(10 * SECOND);

/// A request of `work_ms` at the service of this index.
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

/// One hall with one upstream of one slot for each class.
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

fn at(ms: u64, class: usize) -> Arrival {
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

/// A class whose only slot is taken for two seconds by the first caller, and a second caller that has 120 ms.
fn refused_once(site: &Site) -> Tally {
    let short = Arrival {
        deadline_us: Some(120 * MILLISECOND),
        ..at(10, 0)
    };
    simulate(site, vec![at(0, 0), short])
}

/// Guards against callers that a long `Retry-After` keeps away: those of the users' sites come back after a third of
/// their time. No node names less than 50 ms.
#[test]
fn a_caller_told_to_wait_longer_comes_back_after_a_third_of_its_time() {
    let site = site(vec![class(0, 2_000, 100, 4_000)]);
    let tally = refused_once(&site);
    assert_eq!(tally.all().refused, 1.0);
    assert_eq!(tally.all().retry_refusals, 2.0);
}

/// The callers of the recorded sites give up then; their reports must stay as they are.
#[test]
fn it_gives_up_where_callers_of_the_site_do() {
    let mut site = site(vec![class(0, 2_000, 100, 4_000)]);
    site.callers.shortens_long_waits = false;
    let tally = refused_once(&site);
    assert_eq!(tally.all().refused, 1.0);
    assert_eq!(tally.all().retry_refusals, 0.0);
}

/// Guards against a third try where callers of a site make two.
#[test]
fn a_caller_makes_as_many_tries_as_callers_of_the_site_do() {
    let mut site = site(vec![class(0, 2_000, 100, 4_000)]);
    site.callers.max_tries = 2;
    assert_eq!(refused_once(&site).all().retry_refusals, 1.0);
}

/// Guards against answers counted when they are ready: the second waits behind the first, and comes late.
#[test]
fn an_answer_counts_from_when_it_was_handed_over_in_order() {
    let site = site(vec![class(0, 200, 300, 900), class(1, 10, 100, 900)]);
    let arrivals = |connection: [usize; 2]| {
        let [first, second] = connection.map(Some);
        let first = Arrival {
            connection: first,
            ..at(0, 0)
        };
        let second = Arrival {
            connection: second,
            ..at(5, 1)
        };
        vec![first, second]
    };
    let own = simulate(&site, arrivals([0, 1])).all();
    assert_eq!((own.in_time, own.late), (2.0, 0.0));
    let shared = simulate(&site, arrivals([0, 0])).all();
    assert_eq!((shared.in_time, shared.late), (1.0, 1.0));
}

/// Guards against calls in turn that take no longer than calls at once.
#[test]
fn calls_in_turn_take_the_sum_of_their_times() {
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
        simulate(&site, vec![at(0, 0)]).all()
    };
    assert_eq!(answered(false).in_time, 1.0);
    assert_eq!(answered(true).late, 1.0);
}

/// Guards against callers whose way to their node is left out of their time.
#[test]
fn the_way_between_caller_and_node_counts() {
    let mut site = site(vec![class(0, 95, 100, 900)]);
    assert_eq!(simulate(&site, vec![at(0, 0)]).all().in_time, 1.0);
    site.callers.latency_us = 8 * MILLISECOND;
    assert_eq!(simulate(&site, vec![at(0, 0)]).all().late, 1.0);
}

/// Guards against tails that are drawn for no run, or change work by another factor.
#[test]
fn a_run_in_the_tail_takes_its_factor_longer() {
    let with = |factor| {
        let mut long = class(0, 20, 100, 900);
        long.tail = Some(Tail { share: 1.0, factor });
        simulate(&site(vec![long]), vec![at(0, 0)]).all()
    };
    assert_eq!(with(4.0).in_time, 1.0);
    assert_eq!(with(7.0).late, 1.0);
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

/// Guards against upstreams that go on serving while they are gone, or don't come back.
#[test]
fn an_upstream_that_is_gone_serves_nothing_until_it_is_back() {
    let arrivals = || vec![at(500, 0), at(1_200, 0), at(2_500, 0)];
    let all = simulate_fault(FaultKind::Down(1.0), arrivals()).all();
    assert_eq!((all.in_time, all.refused), (2.0, 1.0));
    let none = simulate_fault(FaultKind::Down(0.0), arrivals()).all();
    assert_eq!(none.in_time, 3.0);
}

/// Guards against slowness that is left out, or goes on for ever.
#[test]
fn work_takes_longer_while_all_upstreams_are_slow() {
    let arrivals = vec![at(500, 0), at(1_200, 0), at(2_500, 0)];
    let all = simulate_fault(FaultKind::Slow(4.0), arrivals).all();
    assert_eq!((all.in_time, all.late), (2.0, 1.0));
}
