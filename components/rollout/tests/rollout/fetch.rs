//! Which node is asked for a revision, and when.

use names::{Moment, Name};
use proptest::prelude::*;
use rollout::{
    Advice, Fetch, LocalState, FETCH_TIMEOUT_US, LARGE_BYTES, SMALL_FETCH_TIMEOUT_US,
    SMALL_STORE_WAIT_US, STORE_WAIT_US,
};

const ALONE: LocalState = LocalState {
    revision: 3,
    awaits_store: false,
    can_read_store: true,
};
const STORE_ASKED: LocalState = LocalState {
    revision: 3,
    awaits_store: true,
    can_read_store: true,
};
/// The shortest time within which users' changes have to be in force, in microseconds.
const SHORTEST_BOUND_US: u64 = 2_000_000;
/// A node hears a word of some watcher so often, in microseconds.
const WORD_US: u64 = SHORTEST_BOUND_US / 12;
/// Bytes of a small revision.
const SMALL: u64 = 5_000;

fn peer(number: u8) -> Name {
    Name::from(format!("vm-{number}").as_str())
}

#[test]
fn only_the_first_of_many_that_know_more_is_asked() {
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), ALONE, SMALL),
        Advice::Ask
    );
    for number in 1..20 {
        let advice = fetch.on_newer(Moment(u64::from(number)), &peer(number), ALONE, SMALL);
        assert_eq!(advice, Advice::Wait);
    }
}

#[test]
fn the_store_has_its_time_before_another_node_is_asked() {
    for (bytes, hold_us, next) in [
        (SMALL, SMALL_STORE_WAIT_US, Advice::Ask),
        (LARGE_BYTES + 1, STORE_WAIT_US, Advice::Read),
    ] {
        let mut fetch = Fetch::default();
        let hold = Moment(5) + hold_us;
        assert_eq!(
            fetch.on_newer(Moment(5), &peer(0), STORE_ASKED, bytes),
            Advice::Hold(hold)
        );
        assert_eq!(
            fetch.on_newer(hold - 1, &peer(1), STORE_ASKED, bytes),
            Advice::Wait
        );
        assert_eq!(fetch.on_newer(hold, &peer(1), STORE_ASKED, bytes), next);
    }
}

#[test]
fn a_node_without_a_revision_asks_at_once_whether_the_store_answers_or_not() {
    let blank = LocalState {
        revision: 0,
        ..STORE_ASKED
    };
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), blank, SMALL),
        Advice::Ask
    );
    assert_eq!(
        fetch.on_newer(Moment(1), &peer(1), blank, SMALL),
        Advice::Wait
    );
}

#[test]
fn a_large_revision_is_read_from_the_store_and_copied_only_if_that_fails() {
    let large = LARGE_BYTES + 1;
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), ALONE, large),
        Advice::Read
    );
    assert_eq!(
        fetch.on_newer(Moment(1), &peer(1), ALONE, large),
        Advice::Wait
    );
    fetch.on_connection_lost(&peer(0));
    assert_eq!(
        fetch.on_newer(Moment(2), &peer(1), ALONE, large),
        Advice::Wait
    );
    fetch.store_failed();
    assert_eq!(
        fetch.on_newer(Moment(3), &peer(1), ALONE, large),
        Advice::Ask
    );
    fetch.on_applied();
    assert_eq!(
        fetch.on_newer(Moment(4), &peer(1), ALONE, large),
        Advice::Read
    );
}

#[test]
fn where_one_call_does_not_bring_it_a_large_revision_is_copied() {
    let listed = LocalState {
        can_read_store: false,
        ..ALONE
    };
    let mut fetch = Fetch::default();
    let advice = fetch.on_newer(Moment(0), &peer(0), listed, LARGE_BYTES + 1);
    assert_eq!(advice, Advice::Ask);
}

#[test]
fn a_node_that_went_away_is_followed_by_another_at_once() {
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), ALONE, SMALL),
        Advice::Ask
    );
    fetch.on_connection_lost(&peer(1));
    assert_eq!(
        fetch.on_newer(Moment(1), &peer(1), ALONE, SMALL),
        Advice::Wait
    );
    fetch.on_connection_lost(&peer(0));
    assert_eq!(
        fetch.on_newer(Moment(2), &peer(1), ALONE, SMALL),
        Advice::Ask
    );
}

/// A node that had been told of a change asked a node that was paused just then, and waited 2 s, then 4 s for its
/// copy, whatever others told it: longer than a change may take. Where nodes heard one another and their answers
/// were lost, some of eight nodes did not have a change 6 s after it was confirmed.
#[test]
fn three_nodes_that_do_not_answer_leave_time_to_read_the_store_within_the_bound() {
    let mut fetch = Fetch::default();
    let mut asked = 0;
    let mut read_at = None;
    for step in 0..SHORTEST_BOUND_US / WORD_US {
        let now = Moment(step * WORD_US);
        match fetch.on_newer(now, &peer(step as u8 % 4), ALONE, SMALL) {
            Advice::Ask => asked += 1,
            Advice::Read => read_at = read_at.or(Some(now)),
            Advice::Hold(_) | Advice::Wait => {}
        }
    }
    assert!((2..=3).contains(&asked), "{asked} nodes were asked");
    let read_at = read_at.expect("the store is read");
    assert!(read_at.0 <= SHORTEST_BOUND_US * 3 / 4, "{read_at:?}");
}

#[test]
fn a_watcher_that_is_told_of_a_change_waits_for_its_own_watch_for_a_sixth_of_the_bound() {
    let mut fetch = Fetch::default();
    fetch.on_newer(Moment(0), &peer(0), STORE_ASKED, SMALL);
    let sixth = Moment(SHORTEST_BOUND_US / 6);
    assert_eq!(
        fetch.on_newer(sixth, &peer(0), STORE_ASKED, SMALL),
        Advice::Ask
    );
}

#[test]
fn a_large_copy_that_does_not_come_is_asked_for_elsewhere_with_more_patience() {
    let listed = LocalState {
        can_read_store: false,
        ..ALONE
    };
    let large = LARGE_BYTES + 1;
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), listed, large),
        Advice::Ask
    );
    let second = Moment(FETCH_TIMEOUT_US);
    assert_eq!(
        fetch.on_newer(second - 1, &peer(1), listed, large),
        Advice::Wait
    );
    assert_eq!(fetch.on_newer(second, &peer(1), listed, large), Advice::Ask);
    let third = second + 2 * FETCH_TIMEOUT_US;
    assert_eq!(
        fetch.on_newer(third - 1, &peer(2), listed, large),
        Advice::Wait
    );
    assert_eq!(fetch.on_newer(third, &peer(2), listed, large), Advice::Ask);
    fetch.on_applied();
    assert_eq!(fetch.on_newer(third, &peer(3), listed, large), Advice::Ask);
}

#[test]
fn a_small_copy_that_does_not_come_is_asked_for_elsewhere_and_then_read() {
    let mut fetch = Fetch::default();
    assert_eq!(
        fetch.on_newer(Moment(0), &peer(0), ALONE, SMALL),
        Advice::Ask
    );
    let second = Moment(SMALL_FETCH_TIMEOUT_US);
    assert_eq!(
        fetch.on_newer(second - 1, &peer(1), ALONE, SMALL),
        Advice::Wait
    );
    assert_eq!(fetch.on_newer(second, &peer(1), ALONE, SMALL), Advice::Ask);
    let third = second + SMALL_FETCH_TIMEOUT_US;
    assert_eq!(
        fetch.on_newer(third - 1, &peer(2), ALONE, SMALL),
        Advice::Wait
    );
    assert_eq!(fetch.on_newer(third, &peer(2), ALONE, SMALL), Advice::Read);
    fetch.store_failed();
    assert_eq!(
        fetch.on_newer(third + 1, &peer(2), ALONE, SMALL),
        Advice::Ask
    );
    fetch.on_applied();
    assert_eq!(
        fetch.on_newer(third + 2, &peer(3), ALONE, SMALL),
        Advice::Ask
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// However often and by whomever a node is told, copies that overlap stay few: one, and one more for each
    /// time that the patience ended.
    #[test]
    fn copies_that_overlap_are_few(steps in prop::collection::vec((0u8..30, 0u64..400_000, any::<bool>()), 1..400)) {
        let mut fetch = Fetch::default();
        let mut now = Moment(0);
        let mut asked: Vec<Moment> = Vec::new();
        for (number, pause_us, store_asked) in steps {
            now = now + pause_us;
            let standing = if store_asked { STORE_ASKED } else { ALONE };
            if fetch.on_newer(now, &peer(number), standing, SMALL) == Advice::Ask {
                asked.push(now);
            }
        }
        for pair in asked.windows(2) {
            prop_assert!(pair[1].since(pair[0]) >= SMALL_FETCH_TIMEOUT_US);
        }
        prop_assert!(asked.len() as u64 <= 1 + now.0 / SMALL_FETCH_TIMEOUT_US);
    }
}
