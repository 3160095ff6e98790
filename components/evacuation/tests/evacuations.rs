//! Evacuated halls as one node knows them: whatever the order of notices, the newest one is in effect.

use era::{Era, Position};
use evacuation::{Evacuated, Evacuations, RESTORE_GRACE_US};
use names::{Moment, Name, SECOND};
use proptest::prelude::*;
use std::collections::BTreeSet;

const NOW: Moment = Moment(50 * SECOND);

fn position(era: u64, revision: u64) -> Position {
    Position {
        era: Some(Era(era)),
        revision,
    }
}

fn halls(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn evacuated(era: u64, revision: u64, names: &[&str]) -> Evacuated {
    Evacuated {
        as_of: position(era, revision),
        halls: halls(names),
    }
}

#[test]
fn hall_is_evacuated_until_the_evacuation_is_lifted() {
    let mut node = Evacuations::default();
    assert!(!node.is_evacuated(NOW, &"a".into()));
    assert!(node.apply(NOW, evacuated(1, 5, &["a"])));
    assert!(node.is_evacuated(NOW, &"a".into()));
    assert!(node.apply_changes(NOW, position(1, 9), [], &["a".into()]));
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn older_notice_is_ignored() {
    let mut node = Evacuations::default();
    node.apply(NOW, evacuated(1, 9, &[]));
    assert!(!node.apply(NOW, evacuated(1, 5, &["a"])));
    assert!(!node.is_evacuated(NOW, &"a".into()));
    let mut node = Evacuations::default();
    node.apply(NOW, evacuated(1, 9, &["a"]));
    assert!(!node.apply(NOW, evacuated(1, 5, &[])));
    assert!(node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn node_is_newer_than_one_with_an_older_and_different_set() {
    let mut node = Evacuations::default();
    assert!(!node.is_newer_than(None));
    node.apply(NOW, evacuated(1, 5, &[]));
    assert!(!node.is_newer_than(None));
    node.apply(NOW, evacuated(1, 6, &["a"]));
    assert!(node.is_newer_than(None));
    assert!(node.is_newer_than(Some(&evacuated(1, 5, &[]))));
    assert!(!node.is_newer_than(Some(&evacuated(1, 7, &[]))));
    assert!(!node.is_newer_than(Some(&evacuated(1, 5, &["a"]))));
}

#[test]
fn evacuation_lost_by_a_restore_stays_in_effect_for_the_grace_period() {
    let mut node = Evacuations::default();
    node.apply(NOW, evacuated(1, 90, &["a", "b"]));
    node.apply(NOW, evacuated(2, 40, &["b"]));
    assert!(node.is_evacuated(NOW, &"a".into()));
    assert_eq!(node.halls(NOW), halls(&["a", "b"]));
    let later = NOW + RESTORE_GRACE_US;
    assert!(!node.is_evacuated(later, &"a".into()));
    assert!(node.is_evacuated(later, &"b".into()));
}

#[test]
fn evacuation_lifted_after_a_restore_ends_immediately() {
    let mut node = Evacuations::default();
    node.apply(NOW, evacuated(1, 90, &["a"]));
    node.apply(NOW, evacuated(2, 40, &[]));
    node.apply_changes(NOW, position(2, 44), ["a".into()], &[]);
    node.apply_changes(NOW, position(2, 45), [], &["a".into()]);
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn notice_of_a_lifted_evacuation_after_a_restore_ends_it() {
    let mut node = Evacuations::default();
    node.apply(NOW, evacuated(1, 90, &["a"]));
    node.apply(NOW, evacuated(2, 40, &[]));
    assert!(
        !node.apply(NOW, evacuated(2, 44, &["a"])),
        "the hall was evacuated already"
    );
    assert!(node.apply(NOW, evacuated(2, 45, &[])));
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

proptest! {
    /// The store's history is random, and notices about it arrive late, repeatedly and in any order.
    #[test]
    fn newest_notice_decides_for_any_order_of_notices(
        history in proptest::collection::vec(proptest::collection::btree_set(0..4u8, 0..4), 1..12),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let notices: Vec<Evacuated> = history
            .iter()
            .enumerate()
            .map(|(i, set)| Evacuated {
                as_of: position(1, i as u64 + 1),
                halls: set.iter().map(|hall| Name::from(format!("hall-{hall}"))).collect(),
            })
            .collect();
        let mut node = Evacuations::default();
        let mut newest: Option<usize> = None;
        for index in order {
            let i = index.index(notices.len());
            node.apply(NOW, notices[i].clone());
            newest = newest.max(Some(i));
            let expected = newest.map(|i| notices[i].halls.clone()).unwrap_or_default();
            prop_assert_eq!(node.halls(NOW), expected);
        }
    }
}
