//! What a node that has just started may do before its declarations are in force.
//!
//! The load: all nodes of a fleet start at once. When each of them opened connections to its whole hall first, declarations
//! were in force later by as much as that took.

use names::{Moment, MILLISECOND};
use watch::{
    AllowedWork, FirstRead, WaitingCallers, ANSWER_TIMEOUT_US, MAX_WAITING, MAX_WAITING_BYTES,
    READ_TIMEOUT_US, STARTUP_WAIT_US,
};

const STARTED: Moment = Moment(7);

fn first_read() -> FirstRead {
    FirstRead::new(STARTED)
}

#[test]
fn nothing_else_is_done_while_the_store_gives_the_declarations() {
    let read = first_read();
    assert_eq!(read.allowed(STARTED, false), AllowedWork::Nothing);
    for at in [0, ANSWER_TIMEOUT_US, READ_TIMEOUT_US - 1] {
        assert_eq!(
            read.allowed(STARTED + at, true),
            AllowedWork::Nothing,
            "{at}"
        );
    }
}

#[test]
fn contacts_are_dialled_once_the_store_has_not_answered_in_time() {
    let read = first_read();
    let before = STARTED + (ANSWER_TIMEOUT_US - 1);
    assert_eq!(read.allowed(before, false), AllowedWork::Nothing);
    assert_eq!(
        read.allowed(STARTED + ANSWER_TIMEOUT_US, false),
        AllowedWork::Contacts
    );
    // Its answer comes after all.
    assert_eq!(
        read.allowed(STARTED + 2 * ANSWER_TIMEOUT_US, true),
        AllowedWork::Nothing
    );
}

#[test]
fn a_store_that_fails_or_holds_no_declarations_delays_nothing_further() {
    let mut read = first_read();
    read.finish();
    assert_eq!(read.allowed(STARTED + 1, false), AllowedWork::Everything);
}

#[test]
fn a_store_that_is_silent_or_answers_without_end_does_not_keep_a_node_apart() {
    let read = first_read();
    for is_coming in [false, true] {
        let allowed = read.allowed(STARTED + READ_TIMEOUT_US, is_coming);
        assert_eq!(allowed, AllowedWork::Everything);
    }
    assert_eq!(
        READ_TIMEOUT_US,
        1_000 * MILLISECOND,
        "the page names this time"
    );
}

#[test]
fn callers_wait_a_quarter_of_their_time_only_while_declarations_are_being_read() {
    let read = first_read();
    let blank = STARTED + STARTUP_WAIT_US;
    let arrived = STARTED + 200 * MILLISECOND;
    let time_us = 1_200 * MILLISECOND;
    assert_eq!(read.caller_wait_deadline(arrived, time_us, false), blank);
    let quarter = arrived + 300 * MILLISECOND;
    assert_eq!(read.caller_wait_deadline(arrived, time_us, true), quarter);
    // One that tells no deadline, or a short one, waits as long as before.
    for time_us in [0, 100 * MILLISECOND] {
        assert_eq!(read.caller_wait_deadline(arrived, time_us, true), blank);
    }
}

#[test]
fn callers_that_wait_hold_bounded_memory_and_leave_their_places() {
    let waiting = WaitingCallers::default();
    let places: Vec<_> = (0..MAX_WAITING).map(|_| waiting.reserve(1)).collect();
    assert!(places.iter().all(Option::is_some));
    assert!(waiting.reserve(1).is_none(), "too many callers");
    drop(places);
    let large = waiting.reserve(MAX_WAITING_BYTES).expect("room again");
    assert!(waiting.reserve(1).is_none(), "too many bytes");
    drop(large);
    assert!(waiting.reserve(1).is_some());
}

/// Guards against callers that miss the moment at which they need a place, or look every few milliseconds.
#[test]
fn a_waiting_caller_looks_again_at_the_end_of_the_time_after_the_start_and_of_its_own() {
    let started = Moment(7_000_000);
    let read = FirstRead::new(started);
    let boundary = started + STARTUP_WAIT_US;
    let late = boundary + 400 * MILLISECOND;
    assert_eq!(read.next_check(started, late), boundary);
    assert_eq!(read.next_check(boundary, late), late);
    assert_eq!(read.next_check(started, boundary), boundary);
    assert!(read.needs_reservation(boundary));
}
