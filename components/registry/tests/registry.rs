//! What a node makes of registrations and records.

use names::{BootId, Moment, Name};
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

/// A registration of the start of `a` that began at `born_ms`.
fn born(born_ms: u64, state: State, sequence: u64) -> Heartbeat {
    let mut heartbeat = heartbeat("a", state, sequence);
    heartbeat.instance.born_ms = Some(born_ms);
    heartbeat
}

fn started(born_ms: u64) -> Incarnation {
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

fn listed(fleet: &Fleet) -> Vec<&str> {
    let halls = fleet.ready("prices");
    halls.flat_map(|(_, vms)| vms).map(Name::as_str).collect()
}

#[test]
fn a_registration_that_comes_late_changes_nothing() {
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
fn a_later_start_of_the_same_identity_takes_work_whatever_the_earlier_one_said() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, born(100, State::Draining, 90));
    let verdict = local.on_heartbeat(NOW, born(200, State::Ready, 0));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(
        local.on_heartbeat(NOW, born(100, State::Draining, 91)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(local.on_departure(&started(100)), DepartureOutcome::Known);
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
    // Twice in a row.
    local.on_heartbeat(NOW, born(300, State::Ready, 0));
    assert_eq!(
        local.on_heartbeat(NOW, born(200, State::Draining, 5)),
        HeartbeatOutcome::Ended
    );
    assert_eq!(state_of(&local), Some((Some(300), State::Ready)));
}

#[test]
fn a_word_of_an_earlier_start_that_was_never_known_is_not_acknowledged_and_changes_nothing() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, born(200, State::Ready, 3));
    assert_eq!(
        local.on_heartbeat(NOW, born(100, State::Draining, 50)),
        HeartbeatOutcome::Doubted
    );
    assert_eq!(local.on_departure(&started(100)), DepartureOutcome::Doubted);
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
}

#[test]
fn several_late_words_do_not_take_the_place_of_a_start_that_goes_on() {
    let mut local = LocalUpstream::default();
    let mut now = NOW;
    for step in 0..20 {
        now = now + CONFIRMATION_US / 2;
        local.on_heartbeat(now, born(200, State::Ready, step));
        let late = local.on_heartbeat(now + 1, born(100, State::Draining, 50 + step));
        assert_eq!(late, HeartbeatOutcome::Doubted);
    }
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
}

#[test]
fn a_start_whose_clock_was_set_back_is_taken_once_it_goes_on_alone() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, born(200, State::Draining, 3));
    let mut sequence = 0;
    let mut now = NOW;
    while now < NOW + CONFIRMATION_US {
        let verdict = local.on_heartbeat(now, born(100, State::Ready, sequence));
        assert_eq!(verdict, HeartbeatOutcome::Doubted);
        sequence += 1;
        now = now + CONFIRMATION_US / 3 + 1;
    }
    // The same word again proves nothing.
    let again = local.on_heartbeat(now, born(100, State::Ready, sequence - 1));
    assert_eq!(again, HeartbeatOutcome::Doubted);
    let verdict = local.on_heartbeat(now, born(100, State::Ready, sequence));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
}

#[test]
fn a_start_that_was_wrongly_taken_for_a_gone_one_returns_with_its_next_word() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, born(200, State::Ready, 3));
    // Cut off, while words of the earlier start still arrive.
    local.on_heartbeat(NOW, born(100, State::Ready, 50));
    local.on_heartbeat(NOW + CONFIRMATION_US, born(100, State::Ready, 51));
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
    let verdict = local.on_heartbeat(NOW + CONFIRMATION_US + 1, born(200, State::Ready, 4));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
    assert_eq!(state_of(&local), Some((Some(200), State::Ready)));
    // One that said that it ends does not.
    assert_eq!(local.on_departure(&started(200)), DepartureOutcome::Taken);
    assert_eq!(
        local.on_heartbeat(NOW + CONFIRMATION_US + 2, born(200, State::Ready, 5)),
        HeartbeatOutcome::Taken(Change::None)
    );
    assert_eq!(state_of(&local), Some((Some(200), State::Gone)));
}

#[test]
fn a_start_that_does_not_say_when_it_began_is_known_by_its_identity() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 3));
    assert_eq!(
        local.on_heartbeat(NOW, born(100, State::Ready, 4)),
        HeartbeatOutcome::Taken(Change::Updated)
    );
    assert_eq!(state_of(&local), Some((Some(100), State::Ready)));
    assert_eq!(
        local.on_departure(&incarnation("a")),
        DepartureOutcome::Taken
    );
}

#[test]
fn a_run_that_drains_never_takes_work_again() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Draining, 1));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 2));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::None));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn a_run_that_was_followed_by_another_never_comes_back() {
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
fn a_start_that_goes_on_comes_back_when_the_one_in_its_place_says_nothing_more() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 9));
    local.on_heartbeat(NOW, heartbeat("b", State::Ready, 1));
    let mut now = NOW;
    for sequence in 10..12 {
        let verdict = local.on_heartbeat(now, heartbeat("a", State::Ready, sequence));
        assert_eq!(verdict, HeartbeatOutcome::Ended);
        now = now + CONFIRMATION_US / 2;
    }
    // The same word again proves nothing, and a word of the other one starts the time anew.
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
fn a_start_that_goes_on_comes_back_at_once_when_nothing_stands_in_its_place_and_still_drains() {
    for (state, then) in [
        (State::Ready, State::Ready),
        (State::Draining, State::Draining),
    ] {
        let mut local = LocalUpstream::default();
        local.on_heartbeat(NOW, heartbeat("a", state, 9));
        local.on_heartbeat(NOW, heartbeat("b", State::Ready, 1));
        assert!(local.mark_absent(&incarnation("b")));
        let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 10));
        assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Replaced));
        assert_eq!(local.current().map(|run| run.state), Some(then));
        // The other one was found not to stand there.
        let verdict = local.on_heartbeat(NOW, heartbeat("b", State::Ready, 2));
        assert_eq!(verdict, HeartbeatOutcome::Ended);
    }
}

#[test]
fn a_late_registration_still_tells_that_its_start_drains() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat("a", State::Ready, 9));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Draining, 5));
    assert_eq!(verdict, HeartbeatOutcome::Taken(Change::Updated));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
    let verdict = local.on_heartbeat(NOW, heartbeat("a", State::Ready, 6));
    assert_eq!(verdict, HeartbeatOutcome::Late);
}

#[test]
fn a_run_that_left_stays_gone_whatever_it_says_later() {
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
fn what_other_nodes_remember_of_a_drain_holds_for_a_node_that_started_anew() {
    let mut local = LocalUpstream::default();
    assert!(local.restore_state(&instance("a", State::Draining)));
    assert!(!local.adopt(instance("a", State::Ready)));
    assert_eq!(local.current().map(|run| run.state), Some(State::Draining));
}

#[test]
fn only_a_newer_record_is_taken_and_only_ready_upstreams_are_listed() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let ready = record("b", 2, 1, Some(instance("x", State::Ready)));
    assert_eq!(fleet.merge(ready.clone()), MergeOutcome::Applied(None));
    assert_eq!(fleet.merge(ready.clone()), MergeOutcome::Same);
    assert_eq!(fleet.merge(record("b", 1, 9, None)), MergeOutcome::Older);
    assert_eq!(listed(&fleet), ["b"]);
    let drains = record("b", 2, 2, Some(instance("x", State::Draining)));
    assert_eq!(fleet.merge(drains), MergeOutcome::Applied(Some(ready)));
    assert!(listed(&fleet).is_empty());
}

#[test]
fn a_node_rises_above_what_an_earlier_start_of_its_vm_has_told() {
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
fn of_two_starts_of_a_vm_with_one_version_the_known_one_stays_until_the_other_counts_on() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let mut first = record("vm", 2, 2, Some(instance("a", State::Draining)));
    first.boot = BootId(11);
    fleet.merge(first.clone());
    // The later start was not told of the earlier one, and its record has come as far.
    let mut second = record("vm", 2, 2, Some(instance("a", State::Ready)));
    second.boot = BootId(12);
    assert_eq!(fleet.merge(second.clone()), MergeOutcome::Older);
    assert_eq!(fleet.record(&first.vm), Some(&first));
    // Told of it, the later start goes above it.
    let mut own = Fleet::new(second);
    assert_eq!(
        own.merge(first.clone()),
        MergeOutcome::OwnConflict(first.version)
    );
    let risen = own.supersede(first.version);
    assert!(matches!(fleet.merge(risen), MergeOutcome::Applied(_)));
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

#[test]
fn a_record_with_a_version_that_no_start_reaches_is_not_taken() {
    let mut fleet = Fleet::new(record("me", 1, 0, None));
    let far = u64::from(u32::MAX) + 1;
    for (generation, change) in [(u64::MAX, 0), (far, 0), (2, far)] {
        for vm in ["me", "other"] {
            let offered = record(vm, generation, change, None);
            assert_eq!(fleet.merge(offered), MergeOutcome::ImplausibleVersion);
        }
    }
    assert_eq!(fleet.len(), 1);
}

#[test]
fn a_record_that_somebody_changed_under_its_version_is_told_from_the_one_that_is_known() {
    let known = record("vm", 2, 2, Some(instance("a", State::Ready)));
    let changed = Record {
        upstream: None,
        ..known.clone()
    };
    let mut other = Fleet::new(record("me", 1, 0, None));
    other.merge(known.clone());
    assert_eq!(other.merge(changed.clone()), MergeOutcome::Conflict);
    assert_eq!(other.record(&known.vm), Some(&known));
    // Its own node says anew what holds, whatever start the other one claims to be of.
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
fn a_start_that_leaves_by_its_answers_is_drained_whatever_its_registrations_say() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, born(5, State::Ready, 0));
    assert!(!local.on_drain(&started(4)));
    assert!(local.on_drain(&started(5)));
    assert!(!local.on_drain(&started(5)));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
    local.on_heartbeat(NOW, born(5, State::Ready, 1));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
    local.on_heartbeat(NOW, born(6, State::Ready, 0));
    assert_eq!(state_of(&local), Some((Some(6), State::Ready)));
}

#[test]
fn a_start_that_left_before_it_registered_here_is_drained_when_it_does() {
    let mut local = LocalUpstream::default();
    assert!(!local.on_drain(&started(5)));
    local.on_heartbeat(NOW, born(5, State::Ready, 0));
    assert_eq!(state_of(&local), Some((Some(5), State::Draining)));
}

/// The node beside a leaving upstream was killed before it had told anybody, and says anew that its upstream is ready.
#[test]
fn an_upstream_that_left_by_its_answers_is_not_ready_by_a_later_record_of_the_same_start() {
    let mut fleet = Fleet::new(record("vm-0", 1, 0, None));
    let ready = |fleet: &Fleet| fleet.ready("prices").flat_map(|(_, vms)| vms).count();
    let start = |id: &str| Some(instance(id, State::Ready));
    fleet.merge(record("vm-1", 1, 0, start("a")));
    fleet.merge(record("vm-2", 1, 0, start("b")));
    assert_eq!(ready(&fleet), 2);
    let digest = fleet.digests().combined();
    assert!(fleet.set_upstream_draining(&Name::from("vm-1"), &incarnation("a")));
    assert!(!fleet.set_upstream_draining(&Name::from("vm-1"), &incarnation("a")));
    assert_eq!(ready(&fleet), 1);
    assert_eq!(fleet.digests().combined(), digest);
    fleet.merge(record("vm-1", 2, 0, start("a")));
    assert_eq!(ready(&fleet), 1);
    fleet.merge(record("vm-1", 2, 1, start("c")));
    assert_eq!(ready(&fleet), 2);
}
