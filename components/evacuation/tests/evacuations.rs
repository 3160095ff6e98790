//! What a node believes of evacuated halls: in whatever order words come, the newest one holds.

use era::{Era, Position};
use evacuation::{Evacuated, Evacuations, RESTORE_GRACE_US};
use names::{Moment, Name, SECOND};
use proptest::prelude::*;
use std::collections::BTreeSet;

const NOW: Moment = Moment(50 * SECOND);

fn place(era: u64, revision: u64) -> Position {
    Position {
        era: Some(Era(era)),
        revision,
    }
}

fn halls(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn told(era: u64, revision: u64, names: &[&str]) -> Evacuated {
    Evacuated {
        as_of: place(era, revision),
        halls: halls(names),
    }
}

#[test]
fn a_hall_is_evacuated_until_it_is_taken_back() {
    let mut node = Evacuations::default();
    assert!(!node.is_evacuated(NOW, &"a".into()));
    assert!(node.apply(NOW, told(1, 5, &["a"])));
    assert!(node.is_evacuated(NOW, &"a".into()));
    assert!(node.apply_changes(NOW, place(1, 9), [], &["a".into()]));
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn a_word_that_is_older_than_what_is_known_changes_nothing() {
    let mut node = Evacuations::default();
    node.apply(NOW, told(1, 9, &[]));
    assert!(!node.apply(NOW, told(1, 5, &["a"])));
    assert!(!node.is_evacuated(NOW, &"a".into()));
    let mut node = Evacuations::default();
    node.apply(NOW, told(1, 9, &["a"]));
    assert!(!node.apply(NOW, told(1, 5, &[])));
    assert!(node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn a_node_that_knows_of_an_evacuation_tells_one_that_knows_nothing() {
    let mut node = Evacuations::default();
    assert!(!node.is_newer_than(None));
    node.apply(NOW, told(1, 5, &[]));
    assert!(!node.is_newer_than(None));
    node.apply(NOW, told(1, 6, &["a"]));
    assert!(node.is_newer_than(None));
    assert!(node.is_newer_than(Some(&told(1, 5, &[]))));
    assert!(!node.is_newer_than(Some(&told(1, 7, &[]))));
    assert!(!node.is_newer_than(Some(&told(1, 5, &["a"]))));
}

#[test]
fn what_a_return_of_the_store_has_lost_holds_until_operators_can_have_written_it_again() {
    let mut node = Evacuations::default();
    node.apply(NOW, told(1, 90, &["a", "b"]));
    node.apply(NOW, told(2, 40, &["b"]));
    assert!(node.is_evacuated(NOW, &"a".into()));
    assert_eq!(node.halls(NOW), halls(&["a", "b"]));
    let later = NOW + RESTORE_GRACE_US;
    assert!(!node.is_evacuated(later, &"a".into()));
    assert!(node.is_evacuated(later, &"b".into()));
}

#[test]
fn a_hall_that_is_taken_back_after_a_return_is_open_at_once() {
    let mut node = Evacuations::default();
    node.apply(NOW, told(1, 90, &["a"]));
    node.apply(NOW, told(2, 40, &[]));
    node.apply_changes(NOW, place(2, 44), ["a".into()], &[]);
    node.apply_changes(NOW, place(2, 45), [], &["a".into()]);
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

#[test]
fn who_is_told_that_a_hall_was_taken_back_after_a_return_opens_it_as_well() {
    let mut node = Evacuations::default();
    node.apply(NOW, told(1, 90, &["a"]));
    node.apply(NOW, told(2, 40, &[]));
    assert!(
        !node.apply(NOW, told(2, 44, &["a"])),
        "it was covered before"
    );
    assert!(node.apply(NOW, told(2, 45, &[])));
    assert!(!node.is_evacuated(NOW, &"a".into()));
}

proptest! {
    /// The store's history is drawn, and what nodes tell of it comes late, doubled and in any order.
    #[test]
    fn nodes_that_heard_the_same_newest_word_agree(
        history in proptest::collection::vec(proptest::collection::btree_set(0..4u8, 0..4), 1..12),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let words: Vec<Evacuated> = history
            .iter()
            .enumerate()
            .map(|(i, set)| Evacuated {
                as_of: place(1, i as u64 + 1),
                halls: set.iter().map(|hall| Name::from(format!("hall-{hall}"))).collect(),
            })
            .collect();
        let mut node = Evacuations::default();
        let mut newest: Option<usize> = None;
        for index in order {
            let i = index.index(words.len());
            node.apply(NOW, words[i].clone());
            newest = newest.max(Some(i));
            let expected = newest.map(|i| words[i].halls.clone()).unwrap_or_default();
            prop_assert_eq!(node.halls(NOW), expected);
        }
    }
}
