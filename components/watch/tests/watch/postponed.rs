//! Peers whose summaries arrive while a node is not allowed to query them.
//!
//! Guards against a node that queries nobody while its store hangs: when a single node restarts,
//! its peers connect and send their summaries before the store has had time to answer. The
//! summaries were dropped, and peers don't repeat them.

use names::{Moment, Name, MILLISECOND};
use watch::{FirstRead, PostponedPeers, ANSWER_TIMEOUT_US, MAX_POSTPONED, READ_TIMEOUT_US};

const STARTED: Moment = Moment(7_000_000);

#[test]
fn peer_with_an_early_summary_is_queried_after_the_store_timeout() {
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
fn peer_is_queried_when_the_store_stalls_during_its_answer() {
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

/// The store is not read a second time before the first read has ended.
#[test]
fn timed_out_first_read_is_over_but_has_not_ended() {
    let mut read = FirstRead::new(STARTED);
    assert!(read.is_over(STARTED + READ_TIMEOUT_US) && !read.has_ended());
    read.finish();
    assert!(read.has_ended());
}

#[test]
fn each_peer_is_stored_once_with_its_latest_link_up_to_the_limit() {
    let read = FirstRead::new(STARTED);
    let mut postponed = PostponedPeers::default();
    postponed.add(&Name::from("vm-0"), 100);
    for peer in 0..2 * MAX_POSTPONED {
        postponed.add(&Name::from(format!("vm-{peer}")), peer);
    }
    let due = postponed.take_due(read.allowed(STARTED + ANSWER_TIMEOUT_US, false));
    assert_eq!(due, (0..MAX_POSTPONED).collect::<Vec<_>>());
}
