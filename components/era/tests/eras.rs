//! A node's handling of the store's eras under any sequence of eras and revisions.

use era::{Era, EraOrder, Eras, Position, LATE_WRITE_US, OFFER_SPREAD_US};
use names::{Moment, SECOND};
use proptest::prelude::*;

const NOW: Moment = Moment(1_000 * SECOND);

fn position(era: u64, revision: u64) -> Position {
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
fn position_of_another_era_is_discarded() {
    let mut eras = in_era(3);
    eras.read_up_to(position(3, 90));
    assert_eq!(eras.position(), Some(position(3, 90)));
    assert_eq!(eras.observe(NOW, Era(4)), EraOrder::Later { from: Era(3) });
    assert_eq!(eras.position(), None);
    // A late answer of the previous era, then a lower revision of the current one.
    eras.read_up_to(position(3, 95));
    assert_eq!(eras.position(), None);
    eras.read_up_to(position(4, 12));
    assert_eq!(eras.position(), Some(position(4, 12)));
    assert_eq!(eras.observe(NOW, Era(3)), EraOrder::Earlier);
    assert_eq!(eras.position(), Some(position(4, 12)));
}

#[test]
fn store_without_eras_keeps_its_position() {
    let mut eras = Eras::new(1);
    let at = Position {
        era: None,
        revision: 7,
    };
    eras.read_up_to(at);
    assert_eq!(eras.position(), Some(at));
    assert_eq!(eras.offer_at(), None);
    // When the store starts to report an era, it is read again, but no offer is due.
    assert_eq!(eras.observe(NOW, Era(1)), EraOrder::First);
    assert_eq!(eras.position(), None);
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn record_is_offered_once_per_restore_within_the_spread() {
    let mut eras = in_era(1);
    eras.record_stored(NOW, Some(Era(1)));
    assert_eq!(eras.offer_at(), None);
    eras.observe(NOW, Era(2));
    let due = eras.offer_at().expect("a pending offer");
    assert!(due >= NOW && due <= NOW + OFFER_SPREAD_US);
    // A write accepted in the previous era does not count.
    eras.record_stored(NOW, Some(Era(1)));
    assert_eq!(eras.offer_at(), Some(due));
    eras.record_stored(NOW, Some(Era(2)));
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn unanswered_write_before_a_restore_causes_one_more_offer() {
    let mut eras = in_era(1);
    eras.write_unanswered(NOW);
    eras.observe(NOW + SECOND, Era(2));
    eras.record_stored(NOW + 2 * SECOND, Some(Era(2)));
    let again = eras.offer_at().expect("a second offer");
    assert!(again > NOW + LATE_WRITE_US);
    eras.record_stored(again, Some(Era(2)));
    assert_eq!(eras.offer_at(), None);
    // An unanswered write that can no longer take effect causes no further offer.
    eras.write_unanswered(NOW);
    eras.observe(NOW + LATE_WRITE_US, Era(3));
    eras.record_stored(NOW + LATE_WRITE_US, Some(Era(3)));
    assert_eq!(eras.offer_at(), None);
}

#[test]
fn later_position_supersedes_an_earlier_one() {
    assert!(position(2, 1).supersedes(&position(1, 90)));
    assert!(position(2, 9).supersedes(&position(2, 8)));
    assert!(!position(2, 9).supersedes(&position(2, 9)));
    assert!(!position(1, 90).supersedes(&position(2, 1)));
    assert!(position(1, 0).supersedes(&Position::default()));
}

/// An event at a node.
#[derive(Debug, Clone)]
enum Event {
    Observed(u64),
    Read(u64, u64),
    Stored(u64),
    Unanswered,
    TimePasses(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (1..6u64).prop_map(Event::Observed),
        (1..6u64, 0..50u64).prop_map(|(era, revision)| Event::Read(era, revision)),
        (1..6u64).prop_map(Event::Stored),
        Just(Event::Unanswered),
        (0..3 * SECOND).prop_map(Event::TimePasses),
    ];
    proptest::collection::vec(event, 0..60)
}

proptest! {
    #[test]
    fn only_the_highest_era_counts_for_any_sequence_of_events(events in events(), seed in any::<u64>()) {
        let mut eras = Eras::new(seed);
        let mut now = NOW;
        let mut highest = 0;
        // The highest revision read in the current era.
        let mut read: Option<u64> = None;
        let mut is_offer_pending = false;
        for event in events {
            match event {
                Event::Observed(era) => {
                    let order = eras.observe(now, Era(era));
                    if era > highest {
                        prop_assert_eq!(order == EraOrder::First, highest == 0);
                        is_offer_pending |= highest > 0;
                        highest = era;
                        read = None;
                    } else {
                        prop_assert_eq!(order == EraOrder::Same, era == highest);
                    }
                }
                Event::Read(era, revision) => {
                    eras.read_up_to(position(era, revision));
                    if era == highest {
                        read = read.max(Some(revision));
                    }
                }
                Event::Stored(era) => {
                    eras.record_stored(now, Some(Era(era)));
                    if era == highest && is_offer_pending {
                        // Only an unanswered write causes another offer, at a later time.
                        is_offer_pending = eras.offer_at().is_some_and(|at| at > now);
                    }
                }
                Event::Unanswered => eras.write_unanswered(now),
                Event::TimePasses(us) => now = now + us,
            }
            prop_assert_eq!(eras.known(), (highest > 0).then_some(Era(highest)));
            let expected = read.map(|revision| position(highest, revision));
            prop_assert_eq!(eras.position(), expected);
            prop_assert_eq!(eras.offer_at().is_some(), is_offer_pending);
            let latest = now + OFFER_SPREAD_US + LATE_WRITE_US + SECOND;
            prop_assert!(eras.offer_at().is_none_or(|at| at <= latest));
        }
    }
}
