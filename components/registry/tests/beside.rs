//! Tests which reports about its local upstream a node accepts, for combinations of settings,
//! declarations and registrations.

use names::{Moment, Name};
use proptest::prelude::*;
use registry::{
    ConfiguredUpstream, Declared, Heartbeat, Instance, LocalUpstream, Mismatch, Origin, State,
    CONFIRMATION_US,
};
use std::collections::BTreeSet;

const ADDRESS: &str = "10.0.0.1:80";
const SERVICES: [&str; 4] = ["prices", "bids", "x1", "x2"];

fn reported(service: &str, address: &str) -> Instance {
    Instance {
        id: Name::from("i-1"),
        born_ms: None,
        service: Name::from(service),
        address: address.to_string(),
        slots: 6,
        state: State::Ready,
    }
}

fn configured(service: Option<&str>) -> ConfiguredUpstream {
    ConfiguredUpstream {
        service: service.map(Name::from),
        address: ADDRESS.parse().ok(),
    }
}

fn declared(names: &'static [&'static str]) -> impl Fn(&Name) -> Declared + Copy {
    |name| {
        if names.contains(&name.as_str()) {
            Declared::Yes
        } else {
            Declared::No
        }
    }
}

fn unknown(_: &Name) -> Declared {
    Declared::Unknown
}

#[test]
fn report_with_another_service_or_address_is_rejected() {
    let prices = configured(Some("prices"));
    let both = declared(&["prices", "bids"]);
    assert_eq!(prices.mismatch(&reported("prices", ADDRESS), both), None);
    for service in ["bids", "x1", ""] {
        let report = reported(service, ADDRESS);
        assert_eq!(prices.mismatch(&report, both), Some(Mismatch::Service));
        assert_eq!(prices.mismatch(&report, unknown), Some(Mismatch::Service));
    }
    for address in ["10.0.0.1:81", "10.0.0.2:80", "prices:80", ""] {
        let report = reported("prices", address);
        assert_eq!(prices.mismatch(&report, both), Some(Mismatch::Address));
    }
}

#[test]
fn declared_service_overrides_an_undeclared_service_in_the_settings() {
    let wrong = configured(Some("x1"));
    let prices = Name::from("prices");
    let report = reported("prices", ADDRESS);
    assert_eq!(wrong.mismatch(&report, declared(&["prices"])), None);
    assert_eq!(wrong.mismatch(&report, unknown), Some(Mismatch::Service));
    let found = wrong.service(Some(&prices)).expect("a service");
    assert_eq!(
        (found.service, found.origin),
        (prices, Origin::Registration)
    );
    let found = wrong.service(None).expect("a service");
    assert_eq!(found.service.as_str(), "x1");
    assert_eq!(found.origin, Origin::Settings);
}

#[test]
fn upstream_determines_the_service_if_the_settings_have_none() {
    let unset = configured(None);
    let report = reported("prices", ADDRESS);
    let undeclared = reported("x1", ADDRESS);
    assert_eq!(unset.mismatch(&report, unknown), None);
    assert_eq!(unset.mismatch(&report, declared(&["prices"])), None);
    let mismatch = unset.mismatch(&undeclared, declared(&["prices"]));
    assert_eq!(mismatch, Some(Mismatch::Service));
    assert_eq!(unset.service(None), None);
}

/// An input of the node.
#[derive(Debug, Clone)]
enum Event {
    /// A registration: index of the service, number of the instance, sequence number.
    Registration(usize, usize, u64),
    /// The settings change to this service.
    Settings(usize),
    /// The declarations change to these services.
    Declarations(BTreeSet<usize>),
    /// This time passes, in microseconds.
    TimePasses(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let service = 0..SERVICES.len();
    prop_oneof![
        (service.clone(), 0..3usize, 0..50u64)
            .prop_map(|(s, id, at)| Event::Registration(s, id, at)),
        service.clone().prop_map(Event::Settings),
        proptest::collection::btree_set(service, 0..4).prop_map(Event::Declarations),
        (0..2 * CONFIRMATION_US).prop_map(Event::TimePasses),
    ]
}

proptest! {
    /// A single report never determines the name of the service in which calls are made: every name
    /// but the first comes from a registration that agreed with the settings, or that the
    /// declarations confirmed while the settings named an undeclared service.
    #[test]
    fn service_name_is_confirmed_by_two_sources_or_comes_from_the_settings(
        first in 0..SERVICES.len(),
        steps in proptest::collection::vec(event(), 0..60),
    ) {
        let mut settings = configured(Some(SERVICES[first]));
        let mut declared_services: BTreeSet<usize> = BTreeSet::from([first]);
        let mut local = LocalUpstream::default();
        let mut confirmed = BTreeSet::new();
        let mut now = Moment(1);
        for step in steps {
            let declared = |name: &Name| {
                match declared_services.iter().any(|index| SERVICES[*index] == name.as_str()) {
                    true => Declared::Yes,
                    false => Declared::No,
                }
            };
            match step {
                Event::Registration(service, id, sequence) => {
                    let mut instance = reported(SERVICES[service], ADDRESS);
                    instance.id = Name::from(format!("i-{id}"));
                    let is_current = local.is_current(&instance);
                    if is_current || settings.mismatch(&instance, declared).is_none() {
                        confirmed.insert(instance.service.clone());
                        let heartbeat = Heartbeat { instance, sequence, cold_ms: 0 };
                        local.on_heartbeat(now, heartbeat);
                    }
                }
                Event::Settings(service) => settings.service = Some(Name::from(SERVICES[service])),
                Event::Declarations(services) => declared_services = services,
                Event::TimePasses(us) => now = now + us,
            }
            let registered = local.current().map(|run| run.service.clone());
            let chosen = settings.service(registered.as_ref()).expect("the settings have a service");
            match chosen.origin {
                Origin::Registration => prop_assert!(confirmed.contains(&chosen.service)),
                Origin::Settings => prop_assert!(registered.is_none()),
            }
        }
    }

    #[test]
    fn running_upstream_keeps_its_service_name_whatever_others_report(
        first in 0..SERVICES.len(),
        steps in proptest::collection::vec(event(), 0..60),
    ) {
        let own = Name::from(SERVICES[first]);
        let mut settings = configured(Some(SERVICES[first]));
        let mut local = LocalUpstream::default();
        let instance = reported(SERVICES[first], ADDRESS);
        let all = declared(&SERVICES);
        let mut now = Moment(1);
        for (count, step) in steps.into_iter().enumerate() {
            let is_accepted = local.is_current(&instance) || settings.mismatch(&instance, all).is_none();
            prop_assert!(is_accepted, "its own registration is not accepted");
            let instance = instance.clone();
            let sequence = count as u64;
            local.on_heartbeat(now, Heartbeat { instance, sequence, cold_ms: 0 });
            match step {
                Event::Registration(service, id, _) if service != first => {
                    let mut other = reported(SERVICES[service], ADDRESS);
                    other.id = Name::from(format!("i-{id}"));
                    prop_assert!(!local.is_current(&other));
                    let is_rejected = settings.mismatch(&other, all).is_some();
                    prop_assert!(is_rejected || settings.service.as_ref() != Some(&own));
                }
                Event::Settings(service) => settings.service = Some(Name::from(SERVICES[service])),
                Event::TimePasses(us) => now = now + us,
                _ => {}
            }
            let registered = local.current().map(|run| run.service.clone());
            let chosen = settings.service(registered.as_ref());
            prop_assert_eq!(chosen.map(|found| found.service), Some(own.clone()));
        }
    }
}
