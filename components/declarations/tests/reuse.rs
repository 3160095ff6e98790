//! Tests that a check that reuses routes of the previously checked set has the outcome of the full
//! check.

use declarations::{check, check_incremental, Bundle, Declarations, Route, SERVICES_FILE};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn bundle(text: &str) -> Bundle {
    let files = BTreeMap::from([(SERVICES_FILE.to_string(), text.to_string())]);
    Bundle { files }
}

fn routes(declarations: &Declarations) -> Vec<Arc<Route>> {
    let mut routes: Vec<_> = declarations.routes.values().flatten().cloned().collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}

/// Routes from few names, hosts, paths and services, so that generated sets have some in common and
/// conflict in others.
fn route_sections() -> impl Strategy<Value = String> {
    let fields = (0..2u8, 0..4u8, 0..3u8, any::<bool>());
    prop::collection::btree_map(0..6u8, fields, 0..5).prop_map(|routes| {
        let route = |(name, (host, path, service, more)): (u8, (u8, u8, u8, bool))| {
            let more = if more { "attempts = 2\n" } else { "" };
            let fields =
                format!("host = h{host}\npath = /{path}/\nservices = s{service}:1\n{more}");
            format!("[route r{name}]\n{fields}\n")
        };
        routes.into_iter().map(route).collect()
    })
}

/// A set with two or three services. Headings may occur twice.
fn set() -> impl Strategy<Value = String> {
    let twice = prop_oneof![9 => Just(false), 1 => Just(true)];
    (2..4u8, route_sections(), twice).prop_map(|(services, routes, twice)| {
        let service = |i| format!("[registered s{i}]\nhealth_path = /\n\n");
        let services: String = (0..services).map(service).collect();
        let repeated = if twice { routes.as_str() } else { "" };
        services + routes.as_str() + repeated
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reused_routes_do_not_change_the_outcome(texts in prop::collection::vec(set(), 1..6)) {
        let mut previous = Declarations::default();
        for text in texts {
            let full = check(&bundle(&text));
            let incremental = check_incremental(bundle(&text), &previous);
            match (full, incremental) {
                (Ok(full), Ok(incremental)) => {
                    prop_assert_eq!(routes(&full), routes(&incremental));
                    prop_assert_eq!(&full.registered, &incremental.registered);
                    previous = incremental;
                }
                (Err(full), Err(incremental)) => prop_assert_eq!(
                    full.to_string(),
                    incremental.to_string()
                ),
                (full, incremental) => prop_assert!(false, "{full:?} and {incremental:?}"),
            }
        }
    }
}

#[test]
fn unchanged_route_to_a_removed_service_is_rejected() {
    let route = "[route r]\nhost = h\npath = /\nservices = s:1\n";
    let with = format!("[registered s]\nhealth_path = /\n\n{route}");
    let without = format!("[registered t]\nhealth_path = /\n\n{route}");
    let previous = check(&bundle(&with)).expect("a valid set");
    let problems =
        check_incremental(bundle(&without), &previous).expect_err("route to a removed service");
    assert!(
        problems
            .to_string()
            .contains("not a [registered ...] service"),
        "{problems}"
    );
}

#[test]
fn unchanged_route_with_the_same_path_as_a_new_route_is_rejected() {
    let service = "[registered s]\nhealth_path = /\n\n";
    let route = |name| format!("[route {name}]\nhost = h\npath = /\nservices = s:1\n\n");
    let first = format!("{service}{}", route("first"));
    let previous = check(&bundle(&first)).expect("a valid set");
    let both = format!("{first}{}", route("second"));
    let problems =
        check_incremental(bundle(&both), &previous).expect_err("two routes with the same path");
    let text = problems.to_string();
    assert!(
        text.contains("already the path of another route of this host"),
        "{text}"
    );
}
