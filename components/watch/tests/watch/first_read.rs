//! What a node that has just started may do before its declarations are in force.
//!
//! The load: all nodes of a fleet start at once. When each of them opened connections to its whole hall first, declarations
//! were in force later by as much as that took.

use names::{Moment, MILLISECOND};
use watch::{Allowed, FirstRead, ANSWER_US, READ_US};

const STARTED: Moment = Moment(7);

fn first_read() -> FirstRead {
    FirstRead::new(STARTED)
}

#[test]
fn nothing_else_is_done_while_the_store_gives_the_declarations() {
    let read = first_read();
    assert_eq!(read.allowed(STARTED, false), Allowed::Nothing);
    for at in [0, ANSWER_US, READ_US - 1] {
        assert_eq!(read.allowed(STARTED + at, true), Allowed::Nothing, "{at}");
    }
}

#[test]
fn contacts_are_dialled_once_the_store_has_not_answered_in_time() {
    let read = first_read();
    let before = STARTED + (ANSWER_US - 1);
    assert_eq!(read.allowed(before, false), Allowed::Nothing);
    assert_eq!(read.allowed(STARTED + ANSWER_US, false), Allowed::Contacts);
    // Its answer comes after all.
    assert_eq!(
        read.allowed(STARTED + 2 * ANSWER_US, true),
        Allowed::Nothing
    );
}

#[test]
fn a_store_that_fails_or_holds_no_declarations_delays_nothing_further() {
    let mut read = first_read();
    read.ended();
    assert_eq!(read.allowed(STARTED + 1, false), Allowed::Everything);
}

#[test]
fn a_store_that_is_silent_or_answers_without_end_does_not_keep_a_node_apart() {
    let read = first_read();
    for is_coming in [false, true] {
        let allowed = read.allowed(STARTED + READ_US, is_coming);
        assert_eq!(allowed, Allowed::Everything);
    }
    assert_eq!(READ_US, 1_000 * MILLISECOND, "the page names this time");
}
