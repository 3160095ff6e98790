//! What a node believes of the upstream beside it, for everything that its settings, the declarations and others may
//! say.

use names::Name;
use proptest::prelude::*;
use registry::{Beside, Declared, Instance, Mismatch, Origin, State};
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

fn beside(service: Option<&str>) -> Beside {
    Beside {
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
    let named = wrong.service(Some(&prices), declared(&["prices"]));
    assert_eq!(named, Some((prices.clone(), Origin::Registration)));
    let named = wrong.service(Some(&prices), unknown);
    assert_eq!(named, Some((Name::from("x1"), Origin::Settings)));
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
    assert_eq!(silent.service(None, unknown), None);
}

proptest! {
    #[test]
    fn a_declared_service_in_the_settings_names_the_calls_whatever_else_is_said(
        settings in 0..SERVICES.len(),
        registered in proptest::option::of(0..SERVICES.len()),
        others in proptest::collection::btree_set(0..SERVICES.len(), 0..4),
        known in any::<bool>(),
    ) {
        let service = Name::from(SERVICES[settings]);
        let named: BTreeSet<&str> = others.iter().map(|index| SERVICES[*index]).collect();
        let declared = |name: &Name| match (known, *name == service, named.contains(name.as_str())) {
            (false, ..) => Declared::Unknown,
            (true, true, _) | (true, _, true) => Declared::Yes,
            (true, false, false) => Declared::No,
        };
        let beside = beside(Some(SERVICES[settings]));
        let registered = registered.map(|index| Name::from(SERVICES[index]));
        let chosen = beside.service(registered.as_ref(), declared).map(|(name, _)| name);
        prop_assert_eq!(chosen, Some(service.clone()));
        if let Some(registered) = registered.filter(|registered| *registered != service) {
            let word = told(registered.as_str(), ADDRESS);
            prop_assert_eq!(beside.mismatch(&word, declared), Some(Mismatch::Service));
        }
    }
}
