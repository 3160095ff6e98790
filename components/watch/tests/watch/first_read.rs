//! What a node that has just started may do before its declarations are in force.
//!
//! Load pattern: all nodes of a fleet start at once. When each of them first opened connections to
//! its whole hall, its declarations came into force later by the time that this took.

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
fn no_other_work_is_allowed_while_the_store_sends_the_declarations() {
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
fn contacts_are_dialled_after_the_store_timeout() {
    let read = first_read();
    let before = STARTED + (ANSWER_TIMEOUT_US - 1);
    assert_eq!(read.allowed(before, false), AllowedWork::Nothing);
    assert_eq!(
        read.allowed(STARTED + ANSWER_TIMEOUT_US, false),
        AllowedWork::Contacts
    );
    // The answer begins to arrive late.
    assert_eq!(
        read.allowed(STARTED + 2 * ANSWER_TIMEOUT_US, true),
        AllowedWork::Nothing
    );
}

#[test]
fn all_work_is_allowed_once_the_first_read_has_ended() {
    let mut read = first_read();
    read.finish();
    assert_eq!(read.allowed(STARTED + 1, false), AllowedWork::Everything);
}

#[test]
fn all_work_is_allowed_after_the_read_timeout() {
    let read = first_read();
    for is_receiving in [false, true] {
        let allowed = read.allowed(STARTED + READ_TIMEOUT_US, is_receiving);
        assert_eq!(allowed, AllowedWork::Everything);
    }
    assert_eq!(
        READ_TIMEOUT_US,
        1_000 * MILLISECOND,
        "the documentation states this time"
    );
}

#[test]
fn callers_wait_a_quarter_of_their_time_only_while_declarations_are_being_read() {
    let read = first_read();
    let startup_wait_end = STARTED + STARTUP_WAIT_US;
    let arrived = STARTED + 200 * MILLISECOND;
    let time_us = 1_200 * MILLISECOND;
    assert_eq!(
        read.caller_wait_deadline(arrived, time_us, false),
        startup_wait_end
    );
    let quarter = arrived + 300 * MILLISECOND;
    assert_eq!(read.caller_wait_deadline(arrived, time_us, true), quarter);
    // A caller without a deadline, or with a short one, waits as long as without a read.
    for time_us in [0, 100 * MILLISECOND] {
        assert_eq!(
            read.caller_wait_deadline(arrived, time_us, true),
            startup_wait_end
        );
    }
}

#[test]
fn waiting_callers_are_limited_by_number_and_size_and_release_their_reservations() {
    let waiting = WaitingCallers::default();
    let reservations: Vec<_> = (0..MAX_WAITING).map(|_| waiting.reserve(1)).collect();
    assert!(reservations.iter().all(Option::is_some));
    assert!(waiting.reserve(1).is_none(), "too many callers");
    drop(reservations);
    let large = waiting
        .reserve(MAX_WAITING_BYTES)
        .expect("free capacity after the release");
    assert!(waiting.reserve(1).is_none(), "too many bytes");
    drop(large);
    assert!(waiting.reserve(1).is_some());
}

/// Guards against callers that miss the time at which they need a reservation, or that poll every few
/// milliseconds.
#[test]
fn waiting_caller_checks_again_at_the_end_of_the_startup_wait_and_at_its_deadline() {
    let started = Moment(7_000_000);
    let read = FirstRead::new(started);
    let startup_wait_end = started + STARTUP_WAIT_US;
    let late = startup_wait_end + 400 * MILLISECOND;
    assert_eq!(read.next_check(started, late), startup_wait_end);
    assert_eq!(read.next_check(startup_wait_end, late), late);
    assert_eq!(read.next_check(started, startup_wait_end), startup_wait_end);
    assert!(read.needs_reservation(startup_wait_end));
}
