//! Tests of the nodes that a starting node connects to first, and of the records whose announcement
//! it may defer.

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

/// Numbers of first contacts in the own hall and in other halls.
fn contact_counts(fleet: &Fleet, count: usize, down: &[Name]) -> (usize, usize) {
    let contacts = start_contacts(fleet, count, |_| false, |vm| down.contains(vm));
    assert!(contacts.iter().all(|vm| !down.contains(vm)));
    let own = &fleet.own().hall;
    let is_in_hall = |vm: &&Name| fleet.record(vm).is_some_and(|found| found.hall == *own);
    let in_hall = contacts.iter().filter(is_in_hall).count();
    (in_hall, contacts.len() - in_hall)
}

/// Guards against nodes of a hall that start together and connect only to one another: all contacts
/// were in the own hall.
#[test]
fn one_of_the_first_contacts_is_in_another_hall() {
    let fleet = fleet(60, 4);
    assert_eq!(contact_counts(&fleet, 4, &[]), (3, 1));
    assert_eq!(contact_counts(&fleet, 2, &[]), (1, 1));
}

#[test]
fn unreachable_first_contacts_are_skipped() {
    let fleet = fleet(60, 4);
    let down = start_contacts(&fleet, 4, |_| false, |_| false);
    assert_eq!(contact_counts(&fleet, 4, &down), (3, 1));
}

/// Guards against exceeding the limit while records arrive: each record changes the order of the
/// contacts, and a node opened five connections where four are allowed.
#[test]
fn connected_contacts_count_towards_the_limit_while_records_arrive() {
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
    let is_remote = |vm: &&Name| fleet.record(vm).is_some_and(|r| r.hall != fleet.own().hall);
    assert!(connected.iter().any(|vm| is_remote(&vm)));
}

#[test]
fn small_fleet_yields_as_many_contacts_as_it_has() {
    assert_eq!(contact_counts(&fleet(20, 1), 4, &[]), (4, 0));
    assert_eq!(contact_counts(&fleet(4, 4), 4, &[]), (0, 3));
    assert_eq!(contact_counts(&fleet(1, 1), 4, &[]), (0, 0));
    assert_eq!(contact_counts(&fleet(60, 4), 0, &[]), (0, 0));
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

fn record_with(upstream: Option<Instance>) -> Record {
    Record {
        upstream,
        ..record(0, 1)
    }
}

/// Guards against requests to a drained upstream, and against connections to all nodes of the hall
/// for each record during startup.
#[test]
fn only_a_record_with_a_ready_upstream_or_none_is_deferred() {
    assert!(can_defer(&record_with(None)));
    assert!(can_defer(&record_with(Some(upstream("i-1", State::Ready)))));
    assert!(!can_defer(&record_with(Some(upstream(
        "i-1",
        State::Draining
    )))));
    assert!(!can_defer(&record_with(Some(upstream("i-1", State::Gone)))));
    let stopping = Record {
        serving: false,
        ..record_with(None)
    };
    assert!(!can_defer(&stopping));
}

/// Guards against deferring a record that no longer contains an upstream while that upstream still
/// gets requests.
#[test]
fn upstream_absent_from_the_new_record_is_replaced() {
    let first = upstream("i-1", State::Ready);
    let next = upstream("i-2", State::Ready);
    assert!(is_replaced(Some(&first), None));
    assert!(is_replaced(Some(&first), Some(&next)));
    assert!(!is_replaced(Some(&first), Some(&first)));
    assert!(!is_replaced(None, Some(&first)));
    assert!(!is_replaced(None, None));
}
