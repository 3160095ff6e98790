//! Services that are short of slots get no second attempts.

use crate::site::{
    call_of, entry, full, offer, refusal, treatment, Site, NEAR, OBJECTIVE_US, START,
};
use entry::{Call, Entry, Event, HedgeRefusal};
use home::Reason;
use names::{AttemptId, Name, MILLISECOND, SECOND};

/// Offers another request until an offer may queue; returns that call and the offer.
fn queueing(site: &mut Site) -> (Call<u64>, AttemptId) {
    let mut other = call_of(treatment(), &NEAR);
    let mut actions = other.step(START, Event::Begin, &mut site.entry);
    loop {
        let (id, _, may_queue, _) = offer(&actions).expect("an offer");
        if may_queue {
            return (other, id);
        }
        let busy = Event::Refused(id, refusal(Reason::Busy));
        actions = other.step(START, busy, &mut site.entry);
    }
}

/// Checks that no second attempt is made within one objective of a refusal at the start, and that one is made then.
fn assert_short_for_one_objective(mut site: Site) {
    site.now = START + OBJECTIVE_US;
    assert_eq!(site.straggle(), Err(HedgeRefusal::ShortOfSlots));
    site.now = START + OBJECTIVE_US + 1;
    assert!(site.straggle().is_ok());
}

/// The load: a service is short of slots and refuses as busy. Guards against second attempts that take slots from
/// requests that have had none.
#[test]
fn while_the_service_is_short_of_slots_no_second_attempt_is_made() {
    let mut site = Site::new();
    let (mut other, id) = queueing(&mut site);
    let busy = Event::Refused(id, refusal(Reason::Busy));
    other.step(START, busy, &mut site.entry);
    assert_short_for_one_objective(site);
}

/// Guards against a service that counts as short whenever one upstream has no free slot: offers that may not queue are
/// refused then as a matter of course.
#[test]
fn a_refusal_of_an_offer_that_may_not_queue_does_not_keep_second_attempts_away() {
    let mut site = Site::new();
    // Offers that may not queue are refused on the way to one that may.
    let (other, _) = queueing(&mut site);
    assert_eq!(other.offers(), 3);
    assert!(site.straggle().is_ok());
}

/// Guards against second attempts that keep others away because they were refused themselves, beside the first attempt or
/// after it failed.
#[test]
fn the_refusal_of_a_second_attempt_does_not_keep_others_away() {
    for first_fails in [false, true] {
        let mut entry = entry(3);
        let (mut call, first) = call_that_may_queue(&mut entry);
        let now = START + 60 * MILLISECOND;
        let actions = call.step(now, Event::Straggles(first), &mut entry);
        let (second, ..) = offer(&actions).expect("a second attempt");
        if first_fails {
            call.step(now, Event::Broken(first), &mut entry);
        }
        let busy = Event::Refused(second, refusal(Reason::Busy));
        call.step(now, busy, &mut entry);
        let mut site = Site::of(treatment(), &NEAR, entry);
        assert!(site.straggle().is_ok(), "first fails: {first_fails}");
    }
}

/// A call whose current offer may queue, since fresh reports said that all upstreams were full.
fn call_that_may_queue(entry: &mut Entry) -> (Call<u64>, AttemptId) {
    for vm in NEAR {
        entry.on_report(START, &Name::from(vm), full());
    }
    let mut call = call_of(treatment(), &NEAR);
    let actions = call.step(START, Event::Begin, entry);
    let (id, _, may_queue, _) = offer(&actions).expect("an offer");
    assert!(may_queue);
    (call, id)
}

/// Guards against a shortage that goes unnoticed because callers give up before the refusals of their requests arrive.
#[test]
fn a_refusal_that_arrives_after_its_call_has_left_the_attempt_counts_once() {
    let leaves: [fn(AttemptId) -> Event<u64>; 3] = [
        |_| Event::CallerDisconnected,
        |_| Event::Expired,
        Event::NodeUnresponsive,
    ];
    for leave in leaves {
        let mut site = Site::of(treatment(), &NEAR, entry(3));
        let (mut other, id) = queueing(&mut site);
        other.step(START, leave(id), &mut site.entry);
        assert!(site
            .entry
            .on_late_refusal(START, id, &refusal(Reason::Busy)));
        let later = START + SECOND;
        assert!(!site
            .entry
            .on_late_refusal(later, id, &refusal(Reason::Busy)));
        // A suspicion against the silent node has no part in this.
        trust_all(&mut site);
        assert_short_for_one_objective(site);
        // The event may also reach the call itself.
        let mut site = Site::of(treatment(), &NEAR, entry(3));
        let (mut other, id) = queueing(&mut site);
        other.step(START, leave(id), &mut site.entry);
        let busy = Event::Refused(id, refusal(Reason::Busy));
        other.step(START, busy, &mut site.entry);
        trust_all(&mut site);
        assert_short_for_one_objective(site);
    }
}

/// Ends all suspicion against nodes.
fn trust_all(site: &mut Site) {
    for vm in NEAR {
        site.entry.mark_responsive(&Name::from(vm));
    }
}

/// Guards against late refusals that say nothing of slots, and offers that might not queue, being taken for a shortage.
#[test]
fn only_a_late_refusal_as_busy_of_an_offer_that_might_queue_counts() {
    let mut site = Site::new();
    let (mut other, id) = queueing(&mut site);
    other.step(START, Event::CallerDisconnected, &mut site.entry);
    let entry = &mut site.entry;
    assert!(!entry.on_late_refusal(START, id, &refusal(Reason::Leaving)));
    let mut other = call_of(treatment(), &NEAR);
    let actions = other.step(START, Event::Begin, entry);
    let (id, _, may_queue, _) = offer(&actions).expect("an offer");
    assert!(!may_queue);
    other.step(START, Event::CallerDisconnected, entry);
    assert!(!entry.on_late_refusal(START, id, &refusal(Reason::Busy)));
    assert!(site.straggle().is_ok());
}
