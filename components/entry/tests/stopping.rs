//! Requests at the entry duty of a node that is stopping.

use entry::{Action, Call, Candidate, Entry, Event, Origin, Outcome, SelectionRule, Treatment};
use home::{Reason, Refusal};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use shutdown::{Limits, Plan};

const SIGNAL: Moment = Moment(100 * SECOND);
const LONGEST_US: u64 = 2_500 * MILLISECOND;
/// The stop of [`stopping_entry`] leaves accepted work this long after the signal.
const WORK_US: u64 = 5_700 * MILLISECOND;

fn stopping_entry() -> Entry {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    // Fills the retry budget.
    for _ in 0..50 {
        let mut call = call(true);
        call.step(SIGNAL, Event::Begin, &mut entry);
        call.step(SIGNAL, Event::CallerDisconnected, &mut entry);
    }
    let limits = Limits {
        grace_us: 6 * SECOND,
        linger_us: 2_200 * MILLISECOND,
    };
    entry.begin_shutdown(Plan::new(SIGNAL, limits));
    entry
}

fn call(repeatable: bool) -> Call<u64> {
    let candidates = ["a", "b", "c"].map(|vm| Candidate {
        vm: Name::from(vm),
        same_hall: true,
        local: false,
    });
    let treatment = Treatment {
        repeatable,
        priority: 5,
        max_runs: 3,
        max_arrivals: 3,
        origin: Origin::Client,
    };
    let deadline = SIGNAL + 9 * SECOND;
    Call::new("s".into(), treatment, deadline, candidates.to_vec()).with_longest(Some(LONGEST_US))
}

fn offered(actions: &[Action<u64>]) -> AttemptId {
    match actions {
        [Action::Offer { id, .. }] => *id,
        other => panic!("no offer: {other:?}"),
    }
}

fn outcome(actions: Vec<Action<u64>>) -> Outcome<u64> {
    match actions.into_iter().next() {
        Some(Action::Finish(outcome)) => outcome,
        other => panic!("no outcome: {other:?}"),
    }
}

fn at(ms: u64) -> Moment {
    SIGNAL + ms * MILLISECOND
}

/// Guards against a request that is offered although its run would be cut.
#[test]
fn request_is_offered_that_cannot_end_before_the_stop() {
    let mut entry = stopping_entry();
    offered(&call(false).step(at(3_200), Event::Begin, &mut entry));
    let actions = call(false).step(at(3_201), Event::Begin, &mut entry);
    let refusal = Refusal {
        reason: Reason::Leaving,
        retry_after_ms: shutdown::RETRY_AFTER_MS,
    };
    assert_eq!(outcome(actions), Outcome::NotRun(refusal));
}

/// Guards against a second offer that is made too late, and against an answer that calls a request
/// not run although its first attempt may have run.
#[test]
fn second_offer_is_made_that_cannot_end_before_the_stop() {
    for (refused, repeatable) in [(true, false), (false, true)] {
        let mut entry = stopping_entry();
        let mut call = call(repeatable);
        let id = offered(&call.step(at(100), Event::Begin, &mut entry));
        let event = match refused {
            true => Event::Revoked(id),
            false => Event::Broken(id),
        };
        let outcome = outcome(call.step(at(3_300), event, &mut entry));
        match refused {
            true => assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}"),
            false => assert_eq!(outcome, Outcome::Unknown(Reason::Leaving)),
        }
    }
}

/// Guards against an upstream that is given more time than its caller's node has.
#[test]
fn upstream_gets_a_deadline_beyond_the_stop() {
    let entry = stopping_entry();
    assert_eq!(entry.work_deadline(SIGNAL + 9 * SECOND), SIGNAL + WORK_US);
    assert_eq!(entry.work_deadline(at(4_000)), at(4_000));
}

/// Guards against a hedged attempt that the stop would cut.
#[test]
fn hedged_attempt_is_made_that_cannot_end_before_the_stop() {
    for (now, is_made) in [(at(2_000), true), (at(4_000), false)] {
        let mut entry = stopping_entry();
        let mut call = call(true);
        let id = offered(&call.step(at(0), Event::Begin, &mut entry));
        let actions = call.step(now, Event::Straggles(id), &mut entry);
        assert_eq!(!actions.is_empty(), is_made, "{actions:?}");
    }
}
