//! Tests of the departures that the store remembers for later boots of a node.

use insta::assert_snapshot;
use names::{BootId, Moment, Name};
use registry::{
    Departed, Heartbeat, HeartbeatOutcome, Incarnation, Instance, LocalUpstream, Record, State,
    StoredRecord, Version,
};

const NOW: Moment = Moment(0);

fn incarnation(born_ms: u64) -> Incarnation {
    Incarnation {
        id: Name::from("a"),
        born_ms: Some(born_ms),
    }
}

fn instance(born_ms: u64, state: State) -> Instance {
    Instance {
        id: Name::from("a"),
        born_ms: Some(born_ms),
        service: Name::from("prices"),
        address: "10.0.0.1:80".to_string(),
        slots: 6,
        state,
    }
}

fn heartbeat(born_ms: u64, state: State, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance(born_ms, state),
        sequence,
        cold_ms: 0,
    }
}

fn record(upstream: Option<Instance>) -> Record {
    Record {
        vm: Name::from("vm"),
        hall: Name::from("north"),
        peers: "10.0.0.1:81".to_string(),
        boot: BootId(7),
        version: Version {
            generation: 2,
            change: 3,
        },
        serving: true,
        upstream,
        quarantined: Vec::new(),
    }
}

/// What the node writes to the store.
fn stored(local: &LocalUpstream) -> StoredRecord {
    StoredRecord {
        record: record(local.current().cloned()),
        departed: local.departed(),
        drained_by_operator: false,
    }
}

/// The state of a node that has read what its earlier boot wrote.
fn restarted(before: &LocalUpstream) -> LocalUpstream {
    let stored = stored(before);
    let mut local = LocalUpstream::default();
    for departed in &stored.departed {
        local.restore_departed(departed);
    }
    if let Some(upstream) = &stored.record.upstream {
        local.restore_state(upstream);
    }
    local
}

fn ready(local: &LocalUpstream) -> Option<u64> {
    let current = local.current()?;
    current.born_ms.filter(|_| current.state == State::Ready)
}

/// One line per incarnation, the current one first.
fn summary(local: &LocalUpstream) -> String {
    let current = local.current().map(|upstream| {
        format!(
            "current {} {}",
            upstream.born_ms.unwrap_or(0),
            upstream.state.as_str()
        )
    });
    let departed = local.departed();
    let departed = departed.iter().map(|departed| {
        format!(
            "departed {} {}",
            departed.born_ms.unwrap_or(0),
            departed.state.as_str()
        )
    });
    current
        .into_iter()
        .chain(departed)
        .collect::<Vec<_>>()
        .join("\n")
}

#[test]
fn stored_departures_are_read_by_this_and_the_earlier_release() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat(5, State::Ready, 0));
    local.on_departure(&incarnation(5));
    local.on_heartbeat(NOW, heartbeat(9, State::Draining, 0));
    let stored = stored(&local);
    let text = serde_json::to_string(&stored).expect("a record is written");
    assert_snapshot!(text, @r#"{"v":"vm","h":"north","p":"10.0.0.1:81","b":7,"n":{"g":2,"c":3},"s":true,"u":{"i":"a","o":9,"s":"prices","a":"10.0.0.1:80","t":6,"z":"Draining"},"e":[{"i":"a","o":5,"z":"Gone"}]}"#);
    let again: StoredRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(again, stored);
    // The earlier release knows the record only.
    let earlier: Record = serde_json::from_str(&text).expect("a record");
    assert_eq!(earlier, stored.record);
    let written = serde_json::to_string(&earlier).expect("a record is written");
    let again: StoredRecord = serde_json::from_str(&written).expect("a record");
    assert_eq!(again.departed, []);
    let long_names = r#"{"vm":"vm","hall":"north","peers":"10.0.0.1:81","boot":7,
        "version":{"generation":2,"change":3},"serving":true,"upstream":null}"#;
    let again: StoredRecord = serde_json::from_str(long_names).expect("a record");
    assert_eq!(again.record, record(None));
    let drained = StoredRecord {
        drained_by_operator: true,
        ..again
    };
    let text = serde_json::to_string(&drained).expect("a record is written");
    assert_snapshot!(text, @r#"{"v":"vm","h":"north","p":"10.0.0.1:81","b":7,"n":{"g":2,"c":3},"s":true,"u":null,"d":true}"#);
    let again: StoredRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(again, drained);
}

/// Guards against a late registration that makes a departed upstream ready after a restart.
#[test]
fn late_registration_revives_a_departed_incarnation_after_restarts() {
    for state in [State::Draining, State::Gone] {
        let mut local = LocalUpstream::default();
        local.on_heartbeat(NOW, heartbeat(5, State::Ready, 3));
        match state {
            State::Gone => drop(local.on_departure(&incarnation(5))),
            _ => drop(local.on_heartbeat(NOW, heartbeat(5, state, 4))),
        }
        for _ in 0..3 {
            local = restarted(&local);
            local.on_heartbeat(NOW, heartbeat(5, State::Ready, 90));
            assert_eq!(ready(&local), None, "{state:?}");
        }
        let next = local.on_heartbeat(NOW, heartbeat(6, State::Ready, 0));
        assert!(matches!(next, HeartbeatOutcome::Taken(_)), "{next:?}");
        assert_eq!(ready(&local), Some(6));
        // After a restart, the late registration may arrive before the present incarnation's.
        local.on_departure(&incarnation(6));
        local = restarted(&local);
        local.on_heartbeat(NOW, heartbeat(5, State::Ready, 91));
        assert_eq!(ready(&local), None, "{state:?}");
    }
}

/// Guards against a lost drain: an incarnation that had been replaced reported it and was
/// acknowledged, and resumed later as ready.
#[test]
fn replaced_incarnation_resumes_as_ready_after_it_reported_draining() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat(5, State::Ready, 0));
    local.on_heartbeat(NOW, heartbeat(9, State::Ready, 0));
    let outcome = local.on_heartbeat(NOW, heartbeat(5, State::Draining, 1));
    assert_eq!(outcome, HeartbeatOutcome::Ended);
    assert!(local.mark_absent(&incarnation(9)));
    local.on_heartbeat(NOW, heartbeat(5, State::Ready, 2));
    assert_eq!(ready(&local), None);
    assert_snapshot!(summary(&local), @r"
    current 5 draining
    departed 9 gone
    ");
}

/// Guards against a departure that is acknowledged again although the store no longer lists it.
#[test]
fn departure_reported_again_is_not_listed_for_the_store() {
    let mut local = LocalUpstream::default();
    for born_ms in 1..=6 {
        local.on_heartbeat(NOW, heartbeat(born_ms, State::Ready, 0));
        local.on_departure(&incarnation(born_ms));
    }
    assert_snapshot!(summary(&local), @r"
    current 6 gone
    departed 2 gone
    departed 3 gone
    departed 4 gone
    departed 5 gone
    ");
    local.on_departure(&incarnation(1));
    local.on_heartbeat(NOW, heartbeat(2, State::Draining, 9));
    assert_snapshot!(summary(&local), @r"
    current 6 gone
    departed 4 gone
    departed 5 gone
    departed 1 gone
    departed 2 gone
    ");
}

/// Guards against a registration that was applied before the stored departure was read.
#[test]
fn stored_departure_read_late_leaves_the_upstream_ready() {
    let mut local = LocalUpstream::default();
    local.on_heartbeat(NOW, heartbeat(5, State::Ready, 0));
    let departed = Departed::of(&instance(5, State::Gone)).expect("it accepts no work");
    assert!(local.restore_departed(&departed));
    assert!(!local.restore_departed(&departed));
    assert_eq!(ready(&local), None);
    let other = Departed::of(&instance(4, State::Draining)).expect("it accepts no work");
    assert!(!local.restore_departed(&other));
    assert!(!local.restore_state(&instance(3, State::Gone)));
    assert_snapshot!(summary(&local), @r"
    current 5 gone
    departed 4 draining
    departed 3 gone
    ");
}
