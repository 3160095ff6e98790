//! Which offers run at the local upstream, for upstreams that replace one another on a VM.

use names::{Moment, Name};
use proptest::prelude::*;
use registry::{Heartbeat, Incarnation, Instance, LocalUpstream, Misdirection, State};

fn incarnation(id: &str, born_ms: Option<u64>) -> Incarnation {
    Incarnation {
        id: Name::from(id),
        born_ms,
    }
}

fn instance(id: &str, born_ms: Option<u64>, service: &str) -> Instance {
    Instance {
        id: Name::from(id),
        born_ms,
        service: Name::from(service),
        address: "10.0.0.1:80".to_string(),
        slots: 6,
        state: State::Ready,
    }
}

fn registered(instances: &[Instance]) -> LocalUpstream {
    let mut local = LocalUpstream::default();
    for instance in instances {
        local.on_heartbeat(
            Moment(1),
            Heartbeat {
                instance: instance.clone(),
                sequence: 1,
                cold_ms: 0,
            },
        );
    }
    local
}

#[test]
fn offer_for_the_former_service_of_a_vm_runs_at_its_new_upstream() {
    let former = instance("i-0", Some(10), "alpha");
    let local = registered(&[former.clone(), instance("i-1", Some(20), "beta")]);
    let chosen = former.incarnation();
    let alpha = Name::from("alpha");
    for chosen in [Some(&chosen), None] {
        let received = local.receive_offer(&alpha, chosen);
        assert_eq!(received, Err(Misdirection::Service), "{chosen:?}");
    }
}

#[test]
fn offer_for_an_earlier_incarnation_runs_at_the_next_one() {
    let local = registered(&[
        instance("i-0", Some(10), "alpha"),
        instance("i-0", Some(20), "alpha"),
    ]);
    let alpha = Name::from("alpha");
    let receive = |chosen: &Incarnation| local.receive_offer(&alpha, Some(chosen));
    let earlier = incarnation("i-0", Some(10));
    let current = incarnation("i-0", Some(20));
    assert_eq!(receive(&earlier), Err(Misdirection::Instance));
    assert_eq!(receive(&current), Ok(Some(current.clone())));
    // A record without the start time.
    assert_eq!(
        receive(&incarnation("i-0", None)),
        Ok(Some(current.clone()))
    );
    // A node of an earlier version names no incarnation.
    assert_eq!(local.receive_offer(&alpha, None), Ok(Some(current)));
}

#[test]
fn offer_to_a_node_without_an_upstream_names_none() {
    let received = LocalUpstream::default().receive_offer(&Name::from("alpha"), None);
    assert_eq!(received, Ok(None));
}

proptest! {
    #[test]
    fn accepted_offer_is_for_the_current_upstream(
        registrations in prop::collection::vec((0..3u64, 0..3u64, 0..2u64), 1..6),
        service in 0..2u64,
        id in 0..3u64,
        born in prop::option::of(0..3u64),
    ) {
        let name = |prefix: &str, number: u64| format!("{prefix}-{number}");
        let instances: Vec<Instance> = registrations
            .iter()
            .map(|(id, born, service)| instance(&name("i", *id), Some(*born), &name("s", *service)))
            .collect();
        let local = registered(&instances);
        let service = Name::from(name("s", service).as_str());
        let chosen = incarnation(&name("i", id), born);
        if let Ok(runs_at) = local.receive_offer(&service, Some(&chosen)) {
            let current = local.current().expect("one is registered");
            prop_assert_eq!(&current.service, &service);
            prop_assert_eq!(runs_at, Some(current.incarnation()));
            prop_assert!(current.incarnation().matches(&chosen));
        }
    }
}
