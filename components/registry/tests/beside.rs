//! What a node believes of the upstream beside it, for everything that its settings, the declarations and others may
//! say.

use names::{Moment, Name};
use proptest::prelude::*;
use registry::{
    ConfiguredUpstream, Declared, Heartbeat, Instance, LocalUpstream, Mismatch, Origin, State,
    CONFIRMATION_US,
};
use std::collections::BTreeSet;

const ADDRESS: &str = "10.0.0.1:80";
const SERVICES: [&str; 4] = ["prices", "bids", "x1", "x2"];

fn told(service: &str, address: &str) -> Instance {
    Instance {
        id: Name::from("i-1"),
        born_ms: None,
        service: Name::from(service),
        address: address.to_string(),
        slots: 6,
        state: State::Ready,
    }
}

fn beside(service: Option<&str>) -> ConfiguredUpstream {
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
fn a_word_that_names_another_service_or_address_is_not_about_the_upstream() {
    let prices = beside(Some("prices"));
    let both = declared(&["prices", "bids"]);
    assert_eq!(prices.mismatch(&told("prices", ADDRESS), both), None);
    for service in ["bids", "x1", ""] {
        let word = told(service, ADDRESS);
        assert_eq!(prices.mismatch(&word, both), Some(Mismatch::Service));
        assert_eq!(prices.mismatch(&word, unknown), Some(Mismatch::Service));
    }
    for address in ["10.0.0.1:81", "10.0.0.2:80", "prices:80", ""] {
        let word = told("prices", address);
        assert_eq!(prices.mismatch(&word, both), Some(Mismatch::Address));
    }
}

#[test]
fn settings_that_name_a_service_nobody_declares_give_way_to_a_declared_one() {
    let wrong = beside(Some("x1"));
    let prices = Name::from("prices");
    let word = told("prices", ADDRESS);
    assert_eq!(wrong.mismatch(&word, declared(&["prices"])), None);
    assert_eq!(wrong.mismatch(&word, unknown), Some(Mismatch::Service));
    let named = wrong.service(Some(&prices)).expect("a name");
    assert_eq!(
        (named.service, named.origin),
        (prices, Origin::Registration)
    );
    let named = wrong.service(None).expect("a name");
    assert_eq!(named.service.as_str(), "x1");
    assert_eq!(named.origin, Origin::Settings);
}

#[test]
fn settings_without_a_service_leave_it_to_the_upstream() {
    let silent = beside(None);
    let word = told("prices", ADDRESS);
    let stranger = told("x1", ADDRESS);
    assert_eq!(silent.mismatch(&word, unknown), None);
    assert_eq!(silent.mismatch(&word, declared(&["prices"])), None);
    let refused = silent.mismatch(&stranger, declared(&["prices"]));
    assert_eq!(refused, Some(Mismatch::Service));
    assert_eq!(silent.service(None), None);
}

/// One thing that is said to a node.
#[derive(Debug, Clone)]
enum Said {
    /// A registration: the service, the identity and the count.
    Registration(usize, usize, u64),
    /// The settings now name this service.
    Settings(usize),
    /// The declarations now name these services.
    Declarations(BTreeSet<usize>),
    /// Time passes.
    Passes(u64),
}

fn said() -> impl Strategy<Value = Said> {
    let service = 0..SERVICES.len();
    prop_oneof![
        (service.clone(), 0..3usize, 0..50u64)
            .prop_map(|(s, id, at)| Said::Registration(s, id, at)),
        service.clone().prop_map(Said::Settings),
        proptest::collection::btree_set(service, 0..4).prop_map(Said::Declarations),
        (0..2 * CONFIRMATION_US).prop_map(Said::Passes),
    ]
}

proptest! {
    /// No word by itself names the calls: the settings and a registration agree on each name but the first one, or the
    /// settings name what nobody declares.
    #[test]
    fn calls_are_made_in_a_name_on_which_two_sources_agreed_or_in_that_of_the_settings(
        first in 0..SERVICES.len(),
        steps in proptest::collection::vec(said(), 0..60),
    ) {
        let mut settings = beside(Some(SERVICES[first]));
        let mut named: BTreeSet<usize> = BTreeSet::from([first]);
        let mut local = LocalUpstream::default();
        let mut agreed = BTreeSet::new();
        let mut now = Moment(1);
        for step in steps {
            let declared = |name: &Name| {
                match named.iter().any(|index| SERVICES[*index] == name.as_str()) {
                    true => Declared::Yes,
                    false => Declared::No,
                }
            };
            match step {
                Said::Registration(service, id, sequence) => {
                    let mut instance = told(SERVICES[service], ADDRESS);
                    instance.id = Name::from(format!("i-{id}"));
                    let goes_on = local.is_current(&instance);
                    if goes_on || settings.mismatch(&instance, declared).is_none() {
                        agreed.insert(instance.service.clone());
                        let heartbeat = Heartbeat { instance, sequence, cold_ms: 0 };
                        local.on_heartbeat(now, heartbeat);
                    }
                }
                Said::Settings(service) => settings.service = Some(Name::from(SERVICES[service])),
                Said::Declarations(services) => named = services,
                Said::Passes(us) => now = now + us,
            }
            let believed = local.current().map(|run| run.service.clone());
            let chosen = settings.service(believed.as_ref()).expect("the settings name one");
            match chosen.origin {
                Origin::Registration => prop_assert!(agreed.contains(&chosen.service)),
                Origin::Settings => prop_assert!(believed.is_none()),
            }
        }
    }

    #[test]
    fn an_upstream_that_goes_on_keeps_its_name_whatever_the_settings_and_others_say(
        first in 0..SERVICES.len(),
        steps in proptest::collection::vec(said(), 0..60),
    ) {
        let own = Name::from(SERVICES[first]);
        let mut settings = beside(Some(SERVICES[first]));
        let mut local = LocalUpstream::default();
        let instance = told(SERVICES[first], ADDRESS);
        let all = declared(&SERVICES);
        let mut now = Moment(1);
        for (count, step) in steps.into_iter().enumerate() {
            let is_believed = local.is_current(&instance) || settings.mismatch(&instance, all).is_none();
            prop_assert!(is_believed, "its own word is not believed");
            let instance = instance.clone();
            let sequence = count as u64;
            local.on_heartbeat(now, Heartbeat { instance, sequence, cold_ms: 0 });
            match step {
                Said::Registration(service, id, _) if service != first => {
                    let mut other = told(SERVICES[service], ADDRESS);
                    other.id = Name::from(format!("i-{id}"));
                    prop_assert!(!local.is_current(&other));
                    let refused = settings.mismatch(&other, all).is_some();
                    prop_assert!(refused || settings.service.as_ref() != Some(&own));
                }
                Said::Settings(service) => settings.service = Some(Name::from(SERVICES[service])),
                Said::Passes(us) => now = now + us,
                _ => {}
            }
            let believed = local.current().map(|run| run.service.clone());
            let chosen = settings.service(believed.as_ref());
            prop_assert_eq!(chosen.map(|named| named.service), Some(own.clone()));
        }
    }
}
