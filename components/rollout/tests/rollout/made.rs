//! A revision that a node creates from files is digested once; a received one is compared with its digests.
//!
//! Guards against digesting a set twice when all nodes start at once with a large set on a tenth of a
//! core. It was digested once to create its content objects; each of them was digested again and joined
//! before the check.

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

fn created(routes: usize) -> UncheckedRevision {
    UncheckedRevision::from_bundle(1, change(), bundle(routes), Position::default())
}

fn finish(rollout: &mut Rollout, mut check: RevisionCheck) -> Offered {
    loop {
        if let Some(checked) = check.step() {
            return rollout.end_check(check, checked);
        }
    }
}

#[test]
fn only_received_revisions_are_digested_before_the_check() {
    for routes in [500, 2_000, 8_000] {
        let mut rollout = Rollout::default();
        let check = rollout.begin_check(created(routes)).expect("new");
        assert_eq!(check.digested_bytes(), 0);
        assert_eq!(finish(&mut rollout, check), Offered::Taken);
        let received = created(routes).configuration().clone();
        let size = received.size();
        let mut receiver = Rollout::default();
        let check = receiver.begin_check(received).expect("new");
        assert_eq!(check.digested_bytes(), size);
        assert_eq!(finish(&mut receiver, check), Offered::Taken);
        assert_eq!(rollout.content_id(), receiver.content_id());
    }
}

#[test]
fn created_revision_has_the_digests_of_its_content() {
    let bundle = bundle(300);
    let (files, objects) = split_sections(&bundle);
    let head = Head {
        revision: 1,
        previous: None,
        change: change(),
        files,
    };
    let created = UncheckedRevision::from_bundle(1, change(), bundle, Position::default());
    assert_eq!(created.configuration().head, head);
    assert_eq!(created.configuration().objects, objects);
}

#[test]
fn created_and_received_revisions_are_rejected_alike() {
    let text = "[route r]\nhost=h\npath=/\nservices=nobody:1\n".to_string();
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    let created = || {
        UncheckedRevision::from_bundle(
            1,
            change(),
            Bundle {
                files: files.clone(),
            },
            Position::default(),
        )
    };
    let received = created().configuration().clone();
    let of_created = Rollout::default().offer(created());
    assert!(matches!(of_created, Offered::Bad(_)), "{of_created:?}");
    assert_eq!(of_created, Rollout::default().offer(received));
}
