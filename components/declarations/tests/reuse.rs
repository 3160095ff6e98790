//! A set that was checked after another is what it is when it is checked alone.

use declarations::{check, check_after, Bundle, Declarations, Route, SERVICES_FILE};
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

/// A route of few names, hosts, paths and services, so that drawn sets share some and clash in others.
fn route() -> impl Strategy<Value = String> {
    let fields = (0..6u8, 0..2u8, 0..6u8, 0..3u8, 0..3u8);
    fields.prop_map(|(name, host, path, service, odd)| {
        let odd = ["", "attempts = 2\n", "; \"quoted\"\n"][usize::from(odd)];
        format!(
            "[route r{name}]\nhost = h{host}\npath = /{path}/\nservices = s{service}:1\n{odd}\n"
        )
    })
}

/// A set with two or three services.
fn set() -> impl Strategy<Value = String> {
    (2..4u8, prop::collection::vec(route(), 0..8)).prop_map(|(services, routes)| {
        let service = |i| format!("[registered s{i}]\nhealth_path = /\n\n");
        let services: String = (0..services).map(service).collect();
        services + routes.concat().as_str()
    })
}

proptest! {
    #[test]
    fn what_is_taken_over_changes_no_outcome(texts in prop::collection::vec(set(), 1..6)) {
        let mut before = Declarations::default();
        for text in texts {
            let alone = check(&bundle(&text));
            let after = check_after(&bundle(&text), &before);
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
    let problems = check_after(&bundle(&without), &before).expect_err("no such service");
    assert!(
        problems
            .to_string()
            .contains("not a [registered ...] service"),
        "{problems}"
    );
}
