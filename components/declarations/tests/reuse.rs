//! A set that was checked after another is what it is when it is checked alone.

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

/// Routes of few names, hosts, paths and services, so that drawn sets share some and clash in others.
fn routes_of_a_set() -> impl Strategy<Value = String> {
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

/// A set with two or three services. A heading may stand twice.
fn set() -> impl Strategy<Value = String> {
    let twice = prop_oneof![9 => Just(false), 1 => Just(true)];
    (2..4u8, routes_of_a_set(), twice).prop_map(|(services, routes, twice)| {
        let service = |i| format!("[registered s{i}]\nhealth_path = /\n\n");
        let services: String = (0..services).map(service).collect();
        let again = if twice { routes.as_str() } else { "" };
        services + routes.as_str() + again
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
    fn what_is_taken_over_changes_no_outcome(texts in prop::collection::vec(set(), 1..6)) {
        let mut before = Declarations::default();
        for text in texts {
            let alone = check(&bundle(&text));
            let after = check_incremental(bundle(&text), &before);
            match (alone, after) {
                (Ok(alone), Ok(after)) => {
                    prop_assert_eq!(routes(&alone), routes(&after));
                    prop_assert_eq!(&alone.registered, &after.registered);
                    before = after;
                }
                (Err(alone), Err(after)) => prop_assert_eq!(alone.to_string(), after.to_string()),
                (alone, after) => prop_assert!(false, "{alone:?} and {after:?}"),
            }
        }
    }
}

#[test]
fn a_route_whose_service_is_gone_is_a_problem_though_its_section_is_the_same() {
    let route = "[route r]\nhost = h\npath = /\nservices = s:1\n";
    let with = format!("[registered s]\nhealth_path = /\n\n{route}");
    let without = format!("[registered t]\nhealth_path = /\n\n{route}");
    let before = check(&bundle(&with)).expect("a good set");
    let problems = check_incremental(bundle(&without), &before).expect_err("no such service");
    assert!(
        problems
            .to_string()
            .contains("not a [registered ...] service"),
        "{problems}"
    );
}

#[test]
fn two_routes_with_one_path_are_a_problem_though_the_section_of_one_is_the_same() {
    let service = "[registered s]\nhealth_path = /\n\n";
    let route = |name| format!("[route {name}]\nhost = h\npath = /\nservices = s:1\n\n");
    let first = format!("{service}{}", route("first"));
    let before = check(&bundle(&first)).expect("a good set");
    let both = format!("{first}{}", route("second"));
    let problems = check_incremental(bundle(&both), &before).expect_err("one path twice");
    let text = problems.to_string();
    assert!(text.contains("the path of another route"), "{text}");
}
