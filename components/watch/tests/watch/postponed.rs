//! Peers whose summaries came while a node asked nobody.
//!
//! The failure guarded against: one node restarts, its peers dial it and their summaries arrive before the store has had
//! time to answer. The summaries were dropped and never repeated, so that a node whose store hung asked nobody.

use names::{Moment, Name, MILLISECOND};
use watch::{FirstRead, PostponedPeers, ANSWER_TIMEOUT_US, MAX_POSTPONED, READ_TIMEOUT_US};

const STARTED: Moment = Moment(7_000_000);

#[test]
fn a_peer_that_told_early_is_asked_once_the_store_has_not_answered() {
    let read = FirstRead::new(STARTED);
    let mut postponed = PostponedPeers::default();
    postponed.add(&Name::from("vm-1"), 1);
    let early = STARTED + 50 * MILLISECOND;
    assert!(postponed.take_due(read.allowed(early, false)).is_empty());
    let late = STARTED + ANSWER_TIMEOUT_US;
    assert_eq!(postponed.take_due(read.allowed(late, false)), [1]);
    assert!(postponed.take_due(read.allowed(late, false)).is_empty());
}

#[test]
fn a_peer_is_asked_when_the_store_stalls_in_the_middle_of_its_answer() {
    let read = FirstRead::new(STARTED);
    let mut postponed = PostponedPeers::default();
    postponed.add(&Name::from("vm-1"), 1);
    let stalled = STARTED + (READ_TIMEOUT_US - 1);
    assert!(postponed.take_due(read.allowed(stalled, true)).is_empty());
    assert_eq!(
        postponed.take_due(read.allowed(STARTED + READ_TIMEOUT_US, true)),
        [1]
    );
}

#[test]
fn a_store_that_has_not_answered_the_first_read_is_not_read_again_after_its_time() {
    let mut read = FirstRead::new(STARTED);
    assert!(read.is_over(STARTED + READ_TIMEOUT_US) && !read.has_ended());
    read.finish();
    assert!(read.has_ended());
}

#[test]
fn a_peer_is_kept_once_by_its_last_connection_and_few_peers_are_kept() {
    let read = FirstRead::new(STARTED);
    let mut postponed = PostponedPeers::default();
    postponed.add(&Name::from("vm-0"), 100);
    for peer in 0..2 * MAX_POSTPONED {
        postponed.add(&Name::from(format!("vm-{peer}")), peer);
    }
    let due = postponed.take_due(read.allowed(STARTED + ANSWER_TIMEOUT_US, false));
    assert_eq!(due, (0..MAX_POSTPONED).collect::<Vec<_>>());
}
