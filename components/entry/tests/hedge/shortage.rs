//! Services that are short of slots get no hedged attempts.

use crate::site::{
    entry_with_repeats, find_offer, full_load, new_call, refusal, treatment, Scenario,
    OBJECTIVE_US, SAME_HALL, START,
};
use entry::{Call, Entry, Event, HedgeRefusal};
use home::Reason;
use names::{AttemptId, Name, MILLISECOND, SECOND};

/// Offers another request until an offer may queue. Returns that call and the attempt.
fn offer_that_may_queue(scenario: &mut Scenario) -> (Call<u64>, AttemptId) {
    let mut other = new_call(treatment(), &SAME_HALL);
    let mut actions = other.step(START, Event::Begin, &mut scenario.entry);
    loop {
        let (id, _, may_queue, _) = find_offer(&actions).expect("an offer");
        if may_queue {
            return (other, id);
        }
        let busy = Event::Refused(id, refusal(Reason::Busy));
        actions = other.step(START, busy, &mut scenario.entry);
    }
}

/// Checks that no hedge is made within one objective after a refusal at the start, and that one is
/// made after that.
fn assert_short_for_one_objective(mut scenario: Scenario) {
    scenario.now = START + OBJECTIVE_US;
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::ShortOfSlots));
    scenario.now = START + OBJECTIVE_US + 1;
    assert!(scenario.report_straggler().is_ok());
}

/// Guards against hedged attempts that take slots from requests that have not had one yet, while
/// the service is short of slots and refuses offers as busy.
#[test]
fn no_hedge_while_service_is_short_of_slots() {
    let mut scenario = Scenario::new();
    let (mut other, id) = offer_that_may_queue(&mut scenario);
    let busy = Event::Refused(id, refusal(Reason::Busy));
    other.step(START, busy, &mut scenario.entry);
    assert_short_for_one_objective(scenario);
}

/// Guards against a service that counts as short of slots whenever one upstream has no free slot:
/// offers that may not queue are refused routinely.
#[test]
fn refusal_of_offer_that_may_not_queue_does_not_prevent_hedges() {
    let mut scenario = Scenario::new();
    // Two offers that may not queue are refused before one that may.
    let (other, _) = offer_that_may_queue(&mut scenario);
    assert_eq!(other.offers(), 3);
    assert!(scenario.report_straggler().is_ok());
}

/// Guards against a refused hedged attempt that prevents later ones, whether the first attempt
/// still runs or has failed.
#[test]
fn refusal_of_a_hedge_does_not_prevent_other_hedges() {
    for first_fails in [false, true] {
        let mut entry = entry_with_repeats(3);
        let (mut call, first) = call_whose_offer_may_queue(&mut entry);
        let now = START + 60 * MILLISECOND;
        let actions = call.step(now, Event::Straggles(first), &mut entry);
        let (hedged, ..) = find_offer(&actions).expect("a hedged attempt");
        if first_fails {
            call.step(now, Event::Broken(first), &mut entry);
        }
        let busy = Event::Refused(hedged, refusal(Reason::Busy));
        call.step(now, busy, &mut entry);
        let mut scenario = Scenario::of(treatment(), &SAME_HALL, entry);
        assert!(
            scenario.report_straggler().is_ok(),
            "first fails: {first_fails}"
        );
    }
}

/// A call whose current offer may queue, because recent reports say that all upstreams are full.
fn call_whose_offer_may_queue(entry: &mut Entry) -> (Call<u64>, AttemptId) {
    for vm in SAME_HALL {
        entry.on_report(START, &Name::from(vm), full_load());
    }
    let mut call = new_call(treatment(), &SAME_HALL);
    let actions = call.step(START, Event::Begin, entry);
    let (id, _, may_queue, _) = find_offer(&actions).expect("an offer");
    assert!(may_queue);
    (call, id)
}

/// Guards against a shortage that is not detected because calls end before the refusals of their
/// attempts arrive.
#[test]
fn refusal_of_an_abandoned_attempt_counts_once() {
    let abandonments: [fn(AttemptId) -> Event<u64>; 3] = [
        |_| Event::CallerDisconnected,
        |_| Event::Expired,
        Event::NodeUnresponsive,
    ];
    for abandon in abandonments {
        let mut scenario = Scenario::of(treatment(), &SAME_HALL, entry_with_repeats(3));
        let (mut other, id) = offer_that_may_queue(&mut scenario);
        other.step(START, abandon(id), &mut scenario.entry);
        assert!(scenario
            .entry
            .on_late_refusal(START, id, &refusal(Reason::Busy)));
        let later = START + SECOND;
        assert!(!scenario
            .entry
            .on_late_refusal(later, id, &refusal(Reason::Busy)));
        // The unresponsive node must not affect the result.
        mark_all_responsive(&mut scenario);
        assert_short_for_one_objective(scenario);
        // The refusal may also reach the call itself.
        let mut scenario = Scenario::of(treatment(), &SAME_HALL, entry_with_repeats(3));
        let (mut other, id) = offer_that_may_queue(&mut scenario);
        other.step(START, abandon(id), &mut scenario.entry);
        let busy = Event::Refused(id, refusal(Reason::Busy));
        other.step(START, busy, &mut scenario.entry);
        mark_all_responsive(&mut scenario);
        assert_short_for_one_objective(scenario);
    }
}

/// Marks all nodes as responsive.
fn mark_all_responsive(scenario: &mut Scenario) {
    for vm in SAME_HALL {
        scenario.entry.mark_responsive(&Name::from(vm));
    }
}

/// Guards against a shortage inferred from late refusals for other reasons, or of offers that could
/// not queue.
#[test]
fn only_late_busy_refusal_of_offer_that_may_queue_counts() {
    let mut scenario = Scenario::new();
    let (mut other, id) = offer_that_may_queue(&mut scenario);
    other.step(START, Event::CallerDisconnected, &mut scenario.entry);
    let entry = &mut scenario.entry;
    assert!(!entry.on_late_refusal(START, id, &refusal(Reason::Leaving)));
    let mut other = new_call(treatment(), &SAME_HALL);
    let actions = other.step(START, Event::Begin, entry);
    let (id, _, may_queue, _) = find_offer(&actions).expect("an offer");
    assert!(!may_queue);
    other.step(START, Event::CallerDisconnected, entry);
    assert!(!entry.on_late_refusal(START, id, &refusal(Reason::Busy)));
    assert!(scenario.report_straggler().is_ok());
}
