//! The difference that is shown to operators, and revisions that a node must reject.

use declarations::Bundle;
use era::Position;
use rollout::{diff, Configuration, Offered, Rollout};
use std::collections::BTreeMap;

fn bundle(policy: &str) -> Bundle {
    Bundle {
        files: BTreeMap::from([
            (
                "services.ini".to_string(),
                "[group g]\nupstreams = a\n\n[service s]\ngroup = g\nhost = s\npolicy = s.rhai\n"
                    .to_string(),
            ),
            ("s.rhai".to_string(), policy.to_string()),
        ]),
    }
}

fn configuration(revision: u64, policy: &str) -> Configuration {
    crate::revision(revision, &bundle(policy), Position::default())
}

#[test]
fn diff_names_the_file_and_shows_only_changed_lines() {
    let before = bundle("// one\n// two\n#{ priority: 1 }\n");
    let after = bundle("// one\n#{ priority: 2 }\n// three\n");
    assert_eq!(
        diff(&before, &after),
        [
            "s.rhai:",
            "- // two",
            "- #{ priority: 1 }",
            "+ #{ priority: 2 }",
            "+ // three"
        ]
    );
    assert!(diff(&after, &after).is_empty());
}

#[test]
fn node_rejects_older_revision_and_different_content_of_its_own() {
    let mut node = Rollout::default();
    assert_eq!(
        node.offer(configuration(5, "#{ priority: 1 }")),
        Offered::Taken
    );
    assert_eq!(
        node.offer(configuration(4, "#{ priority: 1 }")),
        Offered::Older
    );
    assert_eq!(
        node.offer(configuration(5, "#{ priority: 2 }")),
        Offered::Differs
    );
    assert_eq!(
        node.offer(configuration(5, "#{ priority: 1 }")),
        Offered::Same
    );
    assert_eq!(node.revision(), 5);
    assert_eq!(node.counters().older, 1);
    assert_eq!(node.counters().differs, 1);
}

#[test]
fn node_keeps_its_revision_when_the_next_one_fails_the_check() {
    let mut node = Rollout::default();
    node.offer(configuration(1, "#{ priority: 1 }"));
    let offered = node.offer(configuration(2, "#{ priority: 99 }"));
    assert!(matches!(offered, Offered::Bad(_)), "{offered:?}");
    assert_eq!(node.revision(), 1);
}

#[test]
fn revision_with_forged_content_is_rejected() {
    let mut forged = configuration(1, "#{ priority: 1 }");
    for bytes in forged.objects.values_mut() {
        bytes.push(b'\n');
    }
    let offered = Rollout::default().offer(forged);
    assert!(matches!(offered, Offered::Bad(_)), "{offered:?}");
}

#[test]
fn one_changed_line_of_a_large_set_is_found() {
    let set = |changed: Option<usize>| {
        let line = |i| {
            let path = if changed == Some(i) { "moved" } else { "path" };
            format!(
                "[route r-{i}]\nhost = h\npath = /{path}-{i}/\nservices = s:1\nattempts = 2\n\n"
            )
        };
        let text = (0..4_200).map(line).collect();
        Bundle {
            files: BTreeMap::from([("services.ini".to_string(), text)]),
        }
    };
    assert_eq!(
        diff(&set(None), &set(Some(2_000))),
        [
            "services.ini:",
            "- path = /path-2000/",
            "+ path = /moved-2000/"
        ]
    );
}
