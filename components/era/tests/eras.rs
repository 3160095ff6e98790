//! What a node makes of the store's eras, however they and the revisions move, against plain statements of what must hold.

use era::{Era, EraOrder, Eras, Position, LATE_WRITE_US, OFFER_SPREAD_US};
use names::{Moment, SECOND};
use proptest::prelude::*;

const NOW: Moment = Moment(1_000 * SECOND);

fn place(era: u64, revision: u64) -> Position {
    Position {
        era: Some(Era(era)),
        revision,
    }
}

fn in_era(era: u64) -> Eras {
    let mut eras = Eras::new(1);
    assert_eq!(eras.observe(NOW, Era(era)), EraOrder::First);
    eras
}

#[test]
fn a_place_of_another_era_is_none() {
    let mut eras = in_era(3);
    eras.read_up_to(place(3, 90));
    assert_eq!(eras.position(), Some(place(3, 90)));
    assert_eq!(eras.observe(NOW, Era(4)), EraOrder::Later { from: Era(3) });
    assert_eq!(eras.position(), None);
    // An answer of before that was taken in late, and a lower revision of the present.
    eras.read_up_to(place(3, 95));
    assert_eq!(eras.position(), None);
    eras.read_up_to(place(4, 12));
    assert_eq!(eras.position(), Some(place(4, 12)));
    assert_eq!(eras.observe(NOW, Era(3)), EraOrder::Earlier);
    assert_eq!(eras.position(), Some(place(4, 12)));
}

#[test]
fn a_store_that_tells_no_era_is_read_as_ever() {
    let mut eras = Eras::new(1);
    let at = Position {
        era: None,
        revision: 7,
    };
    eras.read_up_to(at);
    assert_eq!(eras.position(), Some(at));
    assert_eq!(eras.offer_at(), None);
    // One that begins to tell it is read anew, and owes nobody anything.
    assert_eq!(eras.observe(NOW, Era(1)), EraOrder::First);
    assert_eq!(eras.position(), None);
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn the_record_is_offered_once_a_return_spread_over_a_second() {
    let mut eras = in_era(1);
    eras.record_stored(NOW, Some(Era(1)));
    assert_eq!(eras.offer_at(), None);
    eras.observe(NOW, Era(2));
    let due = eras.offer_at().expect("an offer");
    assert!(due >= NOW && due <= NOW + OFFER_SPREAD_US);
    // What the store of before took says nothing.
    eras.record_stored(NOW, Some(Era(1)));
    assert_eq!(eras.offer_at(), Some(due));
    eras.record_stored(NOW, Some(Era(2)));
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn a_write_without_an_answer_from_before_is_followed_by_one_more_offer() {
    let mut eras = in_era(1);
    eras.write_unanswered(NOW);
    eras.observe(NOW + SECOND, Era(2));
    eras.record_stored(NOW + 2 * SECOND, Some(Era(2)));
    let again = eras.offer_at().expect("one more");
    assert!(again > NOW + LATE_WRITE_US);
    eras.record_stored(again, Some(Era(2)));
    assert_eq!(eras.offer_at(), None);
    // One that was answered in no time that counts asks for nothing more.
    eras.write_unanswered(NOW);
    eras.observe(NOW + LATE_WRITE_US, Era(3));
    eras.record_stored(NOW + LATE_WRITE_US, Some(Era(3)));
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn of_two_contents_with_one_number_the_one_that_was_read_later_goes_before() {
    assert!(place(2, 1).supersedes(&place(1, 90)));
    assert!(place(2, 9).supersedes(&place(2, 8)));
    assert!(!place(2, 9).supersedes(&place(2, 9)));
    assert!(!place(1, 90).supersedes(&place(2, 1)));
    assert!(place(1, 0).supersedes(&Position::default()));
}

/// One thing that happens at a node.
#[derive(Debug, Clone)]
enum Step {
    Saw(u64),
    Read(u64, u64),
    Offered(u64),
    Unanswered,
    Passes(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..6u64).prop_map(Step::Saw),
        (1..6u64, 0..50u64).prop_map(|(era, revision)| Step::Read(era, revision)),
        (1..6u64).prop_map(Step::Offered),
        Just(Step::Unanswered),
        (0..3 * SECOND).prop_map(Step::Passes),
    ];
    proptest::collection::vec(step, 0..60)
}

proptest! {
    #[test]
    fn nothing_of_another_era_counts_however_eras_and_revisions_move(steps in steps(), seed in any::<u64>()) {
        let mut eras = Eras::new(seed);
        let mut now = NOW;
        let mut highest = 0;
        // The largest revision read in each era while it was the present one.
        let mut read: Option<u64> = None;
        let mut owed = false;
        for step in steps {
            match step {
                Step::Saw(era) => {
                    let seen = eras.observe(now, Era(era));
                    if era > highest {
                        prop_assert_eq!(seen == EraOrder::First, highest == 0);
                        owed |= highest > 0;
                        highest = era;
                        read = None;
                    } else {
                        prop_assert_eq!(seen == EraOrder::Same, era == highest);
                    }
                }
                Step::Read(era, revision) => {
                    eras.read_up_to(place(era, revision));
                    if era == highest {
                        read = read.max(Some(revision));
                    }
                }
                Step::Offered(era) => {
                    eras.record_stored(now, Some(Era(era)));
                    if era == highest && owed {
                        // Only a write without an answer asks for one more, later.
                        owed = eras.offer_at().is_some_and(|at| at > now);
                    }
                }
                Step::Unanswered => eras.write_unanswered(now),
                Step::Passes(us) => now = now + us,
            }
            prop_assert_eq!(eras.known(), (highest > 0).then_some(Era(highest)));
            let expected = read.map(|revision| place(highest, revision));
            prop_assert_eq!(eras.position(), expected);
            prop_assert_eq!(eras.offer_at().is_some(), owed);
            let latest = now + OFFER_SPREAD_US + LATE_WRITE_US + SECOND;
            prop_assert!(eras.offer_at().is_none_or(|at| at <= latest));
        }
    }
}
