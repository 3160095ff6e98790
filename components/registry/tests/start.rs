//! Whom a node that starts asks first, and which of its records may wait.

use names::{BootId, Name};
use registry::{can_defer, is_replaced, start_contacts, Fleet, Instance, Record, State, Version};

fn record(index: usize, halls: usize) -> Record {
    Record {
        vm: Name::from(format!("vm-{index}").as_str()),
        hall: Name::from(format!("hall-{}", index % halls).as_str()),
        peers: format!("10.0.0.{index}:81"),
        boot: BootId(index as u64 + 1),
        version: Version {
            generation: 1,
            change: 0,
        },
        serving: true,
        upstream: None,
        quarantined: Vec::new(),
    }
}

fn fleet(nodes: usize, halls: usize) -> Fleet {
    let mut fleet = Fleet::new(record(0, halls));
    for index in 1..nodes {
        fleet.merge(record(index, halls));
    }
    fleet
}

/// How many nodes of its own hall and of others a node asks.
fn asked(fleet: &Fleet, count: usize, down: &[Name]) -> (usize, usize) {
    let asked = start_contacts(fleet, count, |_| false, |vm| down.contains(vm));
    assert!(asked.iter().all(|vm| !down.contains(vm)));
    let own = &fleet.own().hall;
    let is_near = |vm: &&Name| fleet.record(vm).is_some_and(|found| found.hall == *own);
    let near = asked.iter().filter(is_near).count();
    (near, asked.len() - near)
}

/// Guards against a hall that starts at once and asks only itself: all contacts were of the own hall.
#[test]
fn one_of_the_first_contacts_stands_in_another_hall() {
    let fleet = fleet(60, 4);
    assert_eq!(asked(&fleet, 4, &[]), (3, 1));
    assert_eq!(asked(&fleet, 2, &[]), (1, 1));
}

#[test]
fn first_contacts_that_cannot_be_reached_are_passed_over() {
    let fleet = fleet(60, 4);
    let down = start_contacts(&fleet, 4, |_| false, |_| false);
    assert_eq!(asked(&fleet, 4, &down), (3, 1));
}

/// Guards against further connections with each record that arrives: each changes the order of the contacts, and a node
/// opened five connections where four are allowed.
#[test]
fn contacts_that_are_connected_count_while_records_arrive() {
    let mut fleet = fleet(1, 4);
    let mut connected = Vec::new();
    for index in 1..60 {
        fleet.merge(record(index, 4));
        let count = if index < 30 { 2 } else { 4 };
        let next = start_contacts(&fleet, count, |vm| connected.contains(vm), |_| false);
        connected.extend(next);
        assert!(connected.len() <= count, "{connected:?}");
    }
    assert_eq!(connected.len(), 4);
    let is_far = |vm: &&Name| fleet.record(vm).is_some_and(|r| r.hall != fleet.own().hall);
    assert!(connected.iter().any(|vm| is_far(&vm)));
}

#[test]
fn a_fleet_of_one_hall_or_of_one_node_in_each_is_asked_as_far_as_it_goes() {
    assert_eq!(asked(&fleet(20, 1), 4, &[]), (4, 0));
    assert_eq!(asked(&fleet(4, 4), 4, &[]), (0, 3));
    assert_eq!(asked(&fleet(1, 1), 4, &[]), (0, 0));
    assert_eq!(asked(&fleet(60, 4), 0, &[]), (0, 0));
}

fn upstream(id: &str, state: State) -> Instance {
    Instance {
        id: Name::from(id),
        born_ms: None,
        service: Name::from("a"),
        address: "10.0.0.0:80".to_string(),
        slots: 6,
        state,
    }
}

fn naming(upstream: Option<Instance>) -> Record {
    Record {
        upstream,
        ..record(0, 1)
    }
}

/// Guards against requests for a drained upstream, and against a connection to the whole hall for each record at a start.
#[test]
fn only_a_record_by_which_the_upstream_takes_work_or_none_is_known_may_wait() {
    assert!(can_defer(&naming(None)));
    assert!(can_defer(&naming(Some(upstream("i-1", State::Ready)))));
    assert!(!can_defer(&naming(Some(upstream("i-1", State::Draining)))));
    assert!(!can_defer(&naming(Some(upstream("i-1", State::Gone)))));
    let leaving = Record {
        serving: false,
        ..naming(None)
    };
    assert!(!can_defer(&leaving));
}

/// Guards against a record that waits although the upstream which it no longer names still gets requests.
#[test]
fn an_upstream_that_is_gone_or_stands_no_longer_at_its_address_is_replaced() {
    let first = upstream("i-1", State::Ready);
    let next = upstream("i-2", State::Ready);
    assert!(is_replaced(Some(&first), None));
    assert!(is_replaced(Some(&first), Some(&next)));
    assert!(!is_replaced(Some(&first), Some(&first)));
    assert!(!is_replaced(None, Some(&first)));
    assert!(!is_replaced(None, None));
}
