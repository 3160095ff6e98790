//! What a node makes of registrations and records.

use names::{BootId, Name};
use registry::{
    Change, Fleet, Heartbeat, Instance, Local, Merged, Record, State, Verdict, Version,
};

fn instance(id: &str, state: State) -> Instance {
    Instance {
        id: Name::from(id),
        service: Name::from("prices"),
        address: "10.0.0.1:80".to_string(),
        slots: 6,
        state,
    }
}

fn heartbeat(id: &str, state: State, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance(id, state),
        sequence,
        cold_ms: 0,
    }
}

fn record(vm: &str, generation: u64, change: u64, upstream: Option<Instance>) -> Record {
    Record {
        vm: Name::from(vm),
        hall: Name::from("north"),
        peers: "10.0.0.1:81".to_string(),
        boot: BootId(generation),
        version: Version { generation, change },
        serving: true,
        upstream,
    }
}

fn listed(fleet: &Fleet) -> Vec<&str> {
    let halls = fleet.ready("prices");
    halls.flat_map(|(_, vms)| vms).map(Name::as_str).collect()
}

#[test]
fn a_registration_that_comes_late_changes_nothing() {
    let mut local = Local::default();
    local.heartbeat(heartbeat("a", State::Ready, 1));
    local.heartbeat(heartbeat("a", State::Draining, 5));
    assert_eq!(
        local.heartbeat(heartbeat("a", State::Ready, 4)),
        Verdict::Late
    );
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn a_run_that_drains_never_takes_work_again() {
    let mut local = Local::default();
    local.heartbeat(heartbeat("a", State::Draining, 1));
    let verdict = local.heartbeat(heartbeat("a", State::Ready, 2));
    assert_eq!(verdict, Verdict::Taken(Change::None));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn a_run_that_was_followed_by_another_never_comes_back() {
    let mut local = Local::default();
    local.heartbeat(heartbeat("a", State::Ready, 9));
    local.heartbeat(heartbeat("b", State::Ready, 1));
    assert_eq!(
        local.heartbeat(heartbeat("a", State::Ready, 10)),
        Verdict::Ended
    );
    assert_eq!(local.current().map(|run| run.id.as_str()), Some("b"));
}

#[test]
fn a_run_that_left_stays_gone_whatever_it_says_later() {
    let mut local = Local::default();
    local.heartbeat(heartbeat("a", State::Ready, 1));
    assert!(local.leaves("a"));
    local.heartbeat(heartbeat("a", State::Ready, 2));
    assert_eq!(local.current().map(|run| run.state), Some(State::Gone));
}

#[test]
fn what_other_nodes_remember_of_a_drain_holds_for_a_node_that_started_anew() {
    let mut local = Local::default();
    assert!(local.remembered(&instance("a", State::Draining)));
    assert!(!local.found(instance("a", State::Ready)));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn only_a_newer_record_is_taken_and_only_ready_upstreams_are_listed() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let ready = record("b", 2, 1, Some(instance("x", State::Ready)));
    assert_eq!(fleet.merge(ready.clone()), Merged::Taken(None));
    assert_eq!(fleet.merge(ready.clone()), Merged::Same);
    assert_eq!(fleet.merge(record("b", 1, 9, None)), Merged::Older);
    assert_eq!(listed(&fleet), ["b"]);
    let drains = record("b", 2, 2, Some(instance("x", State::Draining)));
    assert_eq!(fleet.merge(drains), Merged::Taken(Some(ready)));
    assert!(listed(&fleet).is_empty());
}

#[test]
fn a_node_rises_above_what_an_earlier_start_of_its_vm_has_told() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let earlier = Record {
        boot: BootId(77),
        ..record("me", 4, 2, None)
    };
    assert_eq!(fleet.merge(earlier.clone()), Merged::Own(earlier.version));
    let own = fleet.rise_above(earlier.version);
    assert!(own.version > earlier.version);
    assert_eq!(fleet.merge(earlier), Merged::Older);
}

#[test]
fn of_two_starts_of_a_vm_with_one_version_the_known_one_stays_until_the_other_counts_on() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let mut first = record("vm", 2, 2, Some(instance("a", State::Draining)));
    first.boot = BootId(11);
    fleet.merge(first.clone());
    // The later start was not told of the earlier one, and its record has come as far.
    let mut second = record("vm", 2, 2, Some(instance("a", State::Ready)));
    second.boot = BootId(12);
    assert_eq!(fleet.merge(second.clone()), Merged::Older);
    assert_eq!(fleet.record(&first.vm), Some(&first));
    // Told of it, the later start goes above it.
    let mut own = Fleet::new(second);
    assert_eq!(own.merge(first.clone()), Merged::Own(first.version));
    let risen = own.rise_above(first.version);
    assert!(matches!(fleet.merge(risen), Merged::Taken(_)));
}

#[test]
fn a_record_that_an_earlier_version_wrote_into_the_store_is_read() {
    let known = record("vm", 2, 3, Some(instance("a", State::Draining)));
    let earlier = r#"{"vm":"vm","hall":"north","peers":"10.0.0.1:81","boot":2,
        "version":{"generation":2,"change":3},"serving":true,"upstream":{"id":"a","service":"prices",
        "address":"10.0.0.1:80","slots":6,"state":"Draining"}}"#;
    let read: Record = serde_json::from_str(earlier).expect("a record");
    assert_eq!(read, known);
    let written = serde_json::to_string(&known).expect("a record is written");
    let again: Record = serde_json::from_str(&written).expect("a record");
    assert_eq!(again, known);
}
