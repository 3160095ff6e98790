//! Tests of the local upstream's state and of the merging of records.

use names::{BootId, Moment, Name, SECOND};
use registry::{
    Change, DepartureOutcome, Fleet, Heartbeat, HeartbeatOutcome, Incarnation, Instance,
    LocalUpstream, MergeOutcome, Record, State, Version, CONFIRMATION_US,
};

fn instance(id: &str, state: State) -> Instance {
    Instance {
        id: Name::from(id),
        born_ms: None,
        service: Name::from("prices"),
        address: "10.0.0.1:80".to_string(),
        slots: 6,
        state,
    }
}

const NOW: Moment = Moment(0);

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: Name::from(id),
        born_ms: None,
    }
}

/// A registration of the incarnation of `a` that started at `born_ms`.
fn heartbeat_born(born_ms: u64, state: State, sequence: u64) -> Heartbeat {
    let mut heartbeat = heartbeat("a", state, sequence);
    heartbeat.instance.born_ms = Some(born_ms);
    heartbeat
}

fn incarnation_born(born_ms: u64) -> Incarnation {
    Incarnation {
        id: Name::from("a"),
        born_ms: Some(born_ms),
    }
}

fn state_of(local: &LocalUpstream) -> Option<(Option<u64>, State)> {
    local.current().map(|run| (run.born_ms, run.state))
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
        quarantined: Vec::new(),
    }
}

fn ready_vms(fleet: &Fleet) -> Vec<&str> {
    let halls = fleet.ready("prices");
    halls.flat_map(|(_, vms)| vms).map(Name::as_str).collect()
}

#[test]
fn late_registration_is_ignored() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 1));
    local.on_heartbeat(NOW, heartbeat("a", State::Draining, 5));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat("a", State::Ready, 4)),
        HeartbeatOutcome::Late
    );
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn new_incarnation_with_the_same_id_is_ready_although_the_earlier_one_drained() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat_born(100, State::Draining, 90));
    let verdict = local.on_heartbeat(NOW, heartbeat_born(200, State::Ready, 0));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat_born(100, State::Draining, 91)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(
        local.on_departure(&incarnation_born(100)),
        DepartureOutcome::Known
    );
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
    // The same holds for the next incarnation.
    local.on_heartbeat(NOW, heartbeat_born(300, State::Ready, 0));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat_born(200, State::Draining, 5)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(state_of(&local), Some((Some(300), State::Ready)));
}

#[test]
fn registration_of_an_unknown_earlier_incarnation_is_unconfirmed_and_ignored() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat_born(200, State::Ready, 3));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat_born(100, State::Draining, 50)),
        HeartbeatOutcome::Doubted
    );
    assert_eq!(
        local.on_departure(&incarnation_born(100)),
        DepartureOutcome::Doubted
    );
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
}

#[test]
fn late_registrations_do_not_replace_an_incarnation_that_keeps_registering() {
    let mut local = LocalUpstream::default();
    let mut now = NOW;
    for step in 0..20 {
        now = now + CONFIRMATION_US / 2;
        local.on_heartbeat(now, heartbeat_born(200, State::Ready, step));
        let late = local.on_heartbeat(now + 1, heartbeat_born(100, State::Draining, 50 + step));
        assert_eq!(late, HeartbeatOutcome::Doubted);
    }
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
}

#[test]
fn incarnation_whose_clock_was_set_back_becomes_current_after_confirmation() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat_born(200, State::Draining, 3));
    let mut sequence = 0;
    let mut now = NOW;
    while now < NOW + CONFIRMATION_US {
        let verdict = local.on_heartbeat(now, heartbeat_born(100, State::Ready, sequence));
        assert_eq!(verdict, HeartbeatOutcome::Doubted);
        sequence += 1;
        now = now + CONFIRMATION_US / 3 + 1;
    }
    // Repeating the same registration does not confirm the incarnation.
    let again = local.on_heartbeat(now, heartbeat_born(100, State::Ready, sequence - 1));
    assert_eq!(again, HeartbeatOutcome::Doubted);
    let verdict = local.on_heartbeat(now, heartbeat_born(100, State::Ready, sequence));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
}

/// Guards against a confirmation time that is shorter than the interval of registrations.
#[test]
fn incarnation_that_registers_rarely_is_replaced_between_two_registrations() {
    let interval_us = 5 * SECOND;
    let mut local = LocalUpstream::registering_every(interval_us);
    local.on_heartbeat(NOW, heartbeat_born(200, State::Ready, 3));
    local.on_heartbeat(NOW + 1, heartbeat_born(100, State::Ready, 50));
    let late = NOW + 1 + CONFIRMATION_US;
    let verdict = local.on_heartbeat(late, heartbeat_born(100, State::Ready, 51));
    assert_eq!(verdict, HeartbeatOutcome::Doubted);
    let verdict = local.on_heartbeat(NOW + interval_us, heartbeat_born(200, State::Ready, 4));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::None));
}

#[test]
fn incarnation_that_was_wrongly_replaced_resumes_with_its_next_registration() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat_born(200, State::Ready, 3));
    // The current incarnation can't reach the node, while registrations of the earlier one still
    // arrive.
    local.on_heartbeat(NOW, heartbeat_born(100, State::Ready, 50));
    local.on_heartbeat(NOW + CONFIRMATION_US, heartbeat_born(100, State::Ready, 51));
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
    let verdict = local.on_heartbeat(
        NOW + CONFIRMATION_US + 1,
        heartbeat_born(200, State::Ready, 4),
    );
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
    // An incarnation that sent a departure notice does not resume.
    assert_eq!(
        local.on_departure(&incarnation_born(200)),
        DepartureOutcome::Taken
    );
    assert_eq!(
        local.on_heartbeat(
            NOW + CONFIRMATION_US + 2,
            heartbeat_born(200, State::Ready, 5)
        ),
        HeartbeatOutcome::Taken(Change::None)
    );
    assert_eq!(state_of(&local), Some((Some(200), State::Gone)));
}

#[test]
fn incarnation_without_a_start_time_is_recognized_by_its_id() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 3));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat_born(100, State::Ready, 4)),
        HeartbeatOutcome::Taken(Change::Updated)
    );
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
    assert_eq!(
        local.on_departure(&incarnation("a")),
        DepartureOutcome::Taken
    );
}

#[test]
fn draining_incarnation_does_not_become_ready_again() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Draining, 1));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 2));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::None));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn replaced_incarnation_does_not_become_current_with_one_registration() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 9));
    local.on_heartbeat(NOW, heartbeat("b", State::Ready, 1));
    assert_eq!(
        local.on_heartbeat(NOW, heartbeat("a", State::Ready, 10)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(local.current().map(|run| run.id.as_str()), Some("b"));
}

#[test]
fn replaced_incarnation_resumes_when_its_replacement_stops_registering() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 9));
    local.on_heartbeat(NOW, heartbeat("b", State::Ready, 1));
    let mut now = NOW;
    for sequence in 10..12 {
        let verdict = local.on_heartbeat(now, heartbeat("a", State::Ready, sequence));
        assert_eq!(verdict, HeartbeatOutcome::Ended);
        now = now + CONFIRMATION_US / 2;
    }
    // Repeating the same registration does not count, and a registration of the replacement
    // restarts the confirmation time.
    now = now + CONFIRMATION_US;
    let again = local.on_heartbeat(now, heartbeat("a", State::Ready, 11));
    assert_eq!(again, HeartbeatOutcome::Ended);
    local.on_heartbeat(now, heartbeat("b", State::Ready, 2));
    let verdict = local.on_heartbeat(now, heartbeat("a", State::Ready, 12));
    assert_eq!(verdict, HeartbeatOutcome::Ended);
    let verdict = local.on_heartbeat(now + CONFIRMATION_US, heartbeat("a", State::Ready, 13));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(local.current().map(|run| run.id.as_str()), Some("a"));
}

#[test]
fn replaced_incarnation_resumes_in_its_last_state_when_its_replacement_is_absent() {
    for (state, expected) in [
        (State::Ready, State::Ready),
        (State::Draining, State::Draining),
    ] {
        let mut local = LocalUpstream::default();
        local.on_heartbeat(NOW, heartbeat("a", state, 9));
        local.on_heartbeat(NOW, heartbeat("b", State::Ready, 1));
        assert!(local.mark_absent(&incarnation("b")));
        let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 10));
        assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
        assert_eq!(local.current().map(|run| run.state), Some(expected));
        // The replacement was found to be absent, which is final.
        let verdict = local.on_heartbeat(NOW, heartbeat("b", State::Ready, 2));
        assert_eq!(verdict, HeartbeatOutcome::Ended);
    }
}

#[test]
fn late_registration_that_reports_a_drain_is_applied() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 9));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Draining, 5));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Updated));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 6));
    assert_eq!(verdict, HeartbeatOutcome::Late);
}

#[test]
fn departed_incarnation_stays_gone_when_it_registers_again() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 1));
    assert_eq!(
        local.on_departure(&incarnation("a")),
        DepartureOutcome::Taken
    );
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 2));
    assert_eq!(local.current().map(|run| run.state), Some(State::Gone));
}

#[test]
fn restarted_node_applies_a_drain_that_other_nodes_remember() {
    let mut local = LocalUpstream::default();
    assert!(local.restore_state(&instance("a", State::Draining)));
    assert!(!local.adopt(instance("a", State::Ready)));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn only_newer_records_are_applied_and_only_ready_upstreams_listed() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let ready = record("b", 2, 1, Some(instance("x", State::Ready)));
    assert_eq!(fleet.merge(ready.clone()), MergeOutcome::Applied(None));
    assert_eq!(fleet.merge(ready.clone()), MergeOutcome::Same);
    assert_eq!(fleet.merge(record("b", 1, 9, None)), MergeOutcome::Older);
    assert_eq!(ready_vms(&fleet), ["b"]);
    let draining = record("b", 2, 2, Some(instance("x", State::Draining)));
    assert_eq!(fleet.merge(draining), MergeOutcome::Applied(Some(ready)));
    assert!(ready_vms(&fleet).is_empty());
}

#[test]
fn node_supersedes_the_record_of_an_earlier_boot_of_its_vm() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let earlier = Record {
        boot: BootId(77),
        ..record("me", 4, 2, None)
    };
    assert_eq!(
        fleet.merge(earlier.clone()),
        MergeOutcome::OwnConflict(earlier.version)
    );
    let own = fleet.supersede(earlier.version);
    assert!(own.version > earlier.version);
    assert_eq!(fleet.merge(earlier), MergeOutcome::Older);
}

#[test]
fn known_boot_of_a_vm_is_kept_until_the_other_boot_supersedes_its_version() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let mut first = record("vm", 2, 2, Some(instance("a", State::Draining)));
    first.boot = BootId(11);
    fleet.merge(first.clone());
    // The later boot has not received the earlier boot's record, and its own has reached the same
    // version.
    let mut second = record("vm", 2, 2, Some(instance("a", State::Ready)));
    second.boot = BootId(12);
    assert_eq!(fleet.merge(second.clone()), MergeOutcome::Older);
    assert_eq!(fleet.record(&first.vm), Some(&first));
    // Once it receives that record, the later boot supersedes it.
    let mut own = Fleet::new(second);
    assert_eq!(
        own.merge(first.clone()),
        MergeOutcome::OwnConflict(first.version)
    );
    let superseding = own.supersede(first.version);
    assert!(matches!(fleet.merge(superseding), MergeOutcome::Applied(_)));
}

#[test]
fn stored_record_of_an_earlier_release_is_read() {
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

#[test]
fn record_with_an_implausible_version_is_rejected() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let too_large = u64::from(u32::MAX) + 1;
    for (generation, change) in [(u64::MAX, 0), (too_large, 0), (2, too_large)] {
        for vm in ["me", "other"] {
            let implausible = record(vm, generation, change, None);
            assert_eq!(fleet.merge(implausible), MergeOutcome::ImplausibleVersion);
        }
    }
    assert_eq!(fleet.len(), 1);
}

#[test]
fn record_changed_without_a_new_version_is_reported_as_a_conflict() {
    let known = record("vm", 2, 2, Some(instance("a", State::Ready)));
    let changed = Record {
        upstream: None,
        ..known.clone()
    };
    let mut other = Fleet::new(record("me", 1, 0, None));
    other.merge(known.clone());
    assert_eq!(other.merge(changed.clone()), MergeOutcome::Conflict);
    assert_eq!(other.record(&known.vm), Some(&known));
    // The node of the VM supersedes the other record, whichever boot that one claims to be from.
    let mut own = Fleet::new(known.clone());
    assert_eq!(own.merge(known.clone()), MergeOutcome::Older);
    assert_eq!(own.merge(changed), MergeOutcome::OwnConflict(known.version));
    let later = record("vm", 2, 9, None);
    assert_eq!(
        own.merge(later.clone()),
        MergeOutcome::OwnConflict(later.version)
    );
    assert!(own.supersede(later.version).version > later.version);
}

#[test]
fn drain_announced_in_an_answer_overrides_registrations() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat_born(5, State::Ready, 0));
    assert!(!local.on_drain(&incarnation_born(4)));
    assert!(local.on_drain(&incarnation_born(5)));
    assert!(!local.on_drain(&incarnation_born(5)));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
    local.on_heartbeat(NOW, heartbeat_born(5, State::Ready, 1));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
    local.on_heartbeat(NOW, heartbeat_born(6, State::Ready, 0));
    assert_eq!(state_of(&local), Some((Some(6), State::Ready)));
}

#[test]
fn drain_announced_before_the_first_registration_is_remembered() {
    let mut local = LocalUpstream::default();
    assert!(!local.on_drain(&incarnation_born(5)));
    local.on_heartbeat(NOW, heartbeat_born(5, State::Ready, 0));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
}

/// Guards against requests to a draining upstream: its node was killed before it announced the
/// drain, and reports the upstream as ready after its restart.
#[test]
fn later_record_of_a_draining_incarnation_does_not_make_it_ready() {
    let mut fleet = Fleet::new(record("vm-0", 1, 0, None));
    let ready_count = |fleet: &Fleet| fleet.ready("prices").flat_map(|(_, vms)| vms).count();
    let upstream = |id: &str| Some(instance(id, State::Ready));
    fleet.merge(record("vm-1", 1, 0, upstream("a")));
    fleet.merge(record("vm-2", 1, 0, upstream("b")));
    assert_eq!(ready_count(&fleet), 2);
    let digest = fleet.digests().combined();
    assert!(fleet.set_upstream_draining(&Name::from("vm-1"), &incarnation("a")));
    assert!(!fleet.set_upstream_draining(&Name::from("vm-1"), &incarnation("a")));
    assert_eq!(ready_count(&fleet), 1);
    assert_eq!(fleet.digests().combined(), digest);
    fleet.merge(record("vm-1", 2, 0, upstream("a")));
    assert_eq!(ready_count(&fleet), 1);
    fleet.merge(record("vm-1", 2, 1, upstream("c")));
    assert_eq!(ready_count(&fleet), 2);
}
