//! A revision that a node makes of what it read is digested once; one that another node tells is compared with its digests.
//!
//! The load: all nodes start at once with a large set on a tenth of a core. The set was digested once to make its content
//! objects, and each was digested again and put together before the check.

use declarations::Bundle;
use era::Position;
use rollout::{split_sections, Change, Head, Offered, RevisionCheck, Rollout, UncheckedRevision};
use std::collections::BTreeMap;

fn change() -> Change {
    Change {
        id: "platform-1".to_string(),
        who: "platform".to_string(),
        when_ms: 0,
        why: "written".to_string(),
    }
}

fn bundle(routes: usize) -> Bundle {
    let mut text = "[registered one]\nhealth_path=/health\n".to_string();
    for i in 0..routes {
        text += &format!("\n[route r-{i}]\nhost=one.example\npath=/{i}/\nservices=one:1\n");
    }
    Bundle {
        files: BTreeMap::from([("services.ini".to_string(), text)]),
    }
}

fn made(routes: usize) -> UncheckedRevision {
    UncheckedRevision::from_bundle(1, change(), bundle(routes), Position::default())
}

fn finish(rollout: &mut Rollout, mut checking: RevisionCheck) -> Offered {
    loop {
        if let Some(checked) = checking.step() {
            return rollout.end_check(checking, checked);
        }
    }
}

#[test]
fn what_a_node_made_itself_is_not_digested_again_and_what_it_is_told_is() {
    for routes in [500, 2_000, 8_000] {
        let mut rollout = Rollout::default();
        let checking = rollout.begin_check(made(routes)).expect("new");
        assert_eq!(checking.digested_bytes(), 0);
        assert_eq!(finish(&mut rollout, checking), Offered::Taken);
        let told = made(routes).configuration().clone();
        let size = told.size();
        let mut other = Rollout::default();
        let checking = other.begin_check(told).expect("new");
        assert_eq!(checking.digested_bytes(), size);
        assert_eq!(finish(&mut other, checking), Offered::Taken);
        assert_eq!(rollout.content_id(), other.content_id());
    }
}

#[test]
fn the_digests_on_the_wire_are_those_of_the_content() {
    let bundle = bundle(300);
    let (files, objects) = split_sections(&bundle);
    let head = Head {
        revision: 1,
        previous: None,
        change: change(),
        files,
    };
    let made = UncheckedRevision::from_bundle(1, change(), bundle, Position::default());
    assert_eq!(made.configuration().head, head);
    assert_eq!(made.configuration().objects, objects);
}

#[test]
fn a_set_that_a_node_made_itself_is_refused_like_one_that_it_was_told() {
    let text = "[route r]\nhost=h\npath=/\nservices=nobody:1\n".to_string();
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    let made = || {
        UncheckedRevision::from_bundle(
            1,
            change(),
            Bundle {
                files: files.clone(),
            },
            Position::default(),
        )
    };
    let told = made().configuration().clone();
    let of_made = Rollout::default().offer(made());
    assert!(matches!(of_made, Offered::Bad(_)), "{of_made:?}");
    assert_eq!(of_made, Rollout::default().offer(told));
}
