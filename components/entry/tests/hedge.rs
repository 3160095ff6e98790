//! Second attempts beside straggling ones: when they are made, which of two answers counts, and what they cost.

use entry::{
    Action, Call, Candidate, Entry, Event, HedgeDecision, HedgeRefusal, Origin, Outcome, Price,
    Rule, Treatment, WAY_BACK_US,
};
use home::{Load, Reason, Refusal, Suspicion};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};
use proptest::prelude::*;

const START: Moment = Moment(10 * SECOND);
const OBJECTIVE_US: u64 = 200 * MILLISECOND;
const DEADLINE_US: u64 = 600 * MILLISECOND;
const NEAR: [&str; 3] = ["a", "b", "c"];
const FAR: &str = "far";

fn treatment() -> Treatment {
    Treatment {
        repeatable: true,
        priority: 5,
        attempts: 2,
        arrivals: 2,
        origin: Origin::Client,
    }
}

fn call_of(treatment: Treatment, vms: &[&str]) -> Call<u64> {
    let candidates = vms.iter().map(|vm| Candidate {
        vm: Name::from(*vm),
        same_hall: *vm != FAR,
        own: false,
    });
    let deadline = START + DEADLINE_US;
    Call::new("s".into(), treatment, deadline, candidates.collect()).with_price(Price::of(
        5,
        OBJECTIVE_US / MILLISECOND * MILLISECOND,
        false,
    ))
}

/// An entry duty whose service has earned `repeats`.
fn entry(repeats: u32) -> Entry {
    let mut entry = Entry::new(BootId(1), Rule::Expected, 3);
    for _ in 0..repeats * 10 {
        let mut call = call_of(treatment(), &NEAR);
        call.step(Moment(1), Event::Begin, &mut entry);
        call.step(Moment(1), Event::HungUp, &mut entry);
    }
    entry
}

/// A call on its way, with its clock.
struct Site {
    entry: Entry,
    call: Call<u64>,
    now: Moment,
    first: (AttemptId, Name),
}

/// An offer: the attempt, where it goes, whether it may queue, whether it is a repeat.
type Offered = (AttemptId, Name, bool, bool);

fn offer(actions: &[Action<u64>]) -> Option<Offered> {
    actions.iter().find_map(|action| match action {
        Action::Offer {
            id,
            to,
            may_queue,
            repeat,
            ..
        } => Some((*id, to.clone(), *may_queue, *repeat)),
        _ => None,
    })
}

fn outcome(actions: &[Action<u64>]) -> Option<Outcome<u64>> {
    actions.iter().find_map(|action| match action {
        Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

fn cancels(actions: &[Action<u64>]) -> Vec<AttemptId> {
    let cancelled = |action: &Action<u64>| match action {
        Action::Cancel { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: 50,
    }
}

fn answered(id: AttemptId, answer: u64) -> Event<u64> {
    let error = false;
    Event::Answered { id, answer, error }
}

fn failed(id: AttemptId, answer: u64) -> Event<u64> {
    let error = true;
    Event::Answered { id, answer, error }
}

impl Site {
    fn of(treatment: Treatment, vms: &[&str], mut entry: Entry) -> Site {
        let mut call = call_of(treatment, vms);
        let actions = call.step(START, Event::Begin, &mut entry);
        let (id, to, ..) = offer(&actions).expect("the first offer");
        Site {
            entry,
            call,
            now: START + 60 * MILLISECOND,
            first: (id, to),
        }
    }

    fn new() -> Site {
        Site::of(treatment(), &NEAR, entry(1))
    }

    fn step(&mut self, event: Event<u64>) -> Vec<Action<u64>> {
        self.call.step(self.now, event, &mut self.entry)
    }

    /// The first attempt straggles.
    fn straggle(&mut self) -> Result<Offered, HedgeRefusal> {
        let actions = self.step(Event::Straggles(self.first.0));
        let hedge = self.call.take_hedge().expect("something is decided");
        match (offer(&actions), hedge.decision) {
            (Some(offer), HedgeDecision::Made) => Ok(offer),
            (None, HedgeDecision::Refused(refusal)) => Err(refusal),
            other => panic!("{other:?}"),
        }
    }

    /// The first and the second attempt.
    fn hedged(&mut self) -> (AttemptId, AttemptId) {
        let (second, ..) = self.straggle().expect("a second attempt");
        (self.first.0, second)
    }

    fn decision(&mut self) -> Option<HedgeDecision> {
        self.call.take_hedge().map(|hedge| hedge.decision)
    }

    fn report(&mut self, vm: &str, load: Load) {
        self.entry.reported(self.now, &Name::from(vm), load);
    }

    /// Whether the service's budget has room for one repeat.
    fn has_budget(&mut self) -> bool {
        let once = Treatment {
            repeatable: false,
            origin: Origin::Run,
            ..treatment()
        };
        let mut probe = call_of(once, &NEAR);
        let actions = probe.step(self.now, Event::Begin, &mut self.entry);
        let (id, ..) = offer(&actions).expect("an offer");
        let shed = Event::Refused(id, refusal(Reason::Shed));
        let actions = probe.step(self.now, shed, &mut self.entry);
        let has = offer(&actions).is_some();
        if let Some((id, ..)) = offer(&actions) {
            // Gives the repeat back.
            let late = Event::Refused(id, refusal(Reason::Deadline));
            probe.step(self.now, late, &mut self.entry);
        }
        has
    }

    fn outstanding(&self) -> u32 {
        let vms = NEAR.iter().chain([&FAR]);
        vms.map(|vm| self.entry.view(&Name::from(*vm)).outstanding)
            .sum()
    }
}

/// Guards against a second attempt that waits in a queue, goes to the same upstream, or isn't known to be a repeat.
#[test]
fn a_straggling_request_is_offered_once_more_to_another_upstream_without_queueing() {
    let mut site = Site::new();
    let (_, to, may_queue, repeat) = site.straggle().expect("a second attempt");
    assert_ne!(to, site.first.1);
    assert!(!may_queue && repeat);
    assert!(offer(&site.step(Event::Straggles(site.first.0))).is_none());
    assert_eq!(site.call.take_hedge(), None);
}

/// Guards against a second start of what may run only once, whatever a home node reports.
#[test]
fn a_request_that_may_run_once_gets_no_second_attempt() {
    let once = Treatment {
        repeatable: false,
        ..treatment()
    };
    let mut site = Site::of(once, &NEAR, entry(3));
    assert!(!site.call.may_hedge());
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against more runs than the policy allows.
#[test]
fn a_request_whose_policy_allows_one_run_gets_no_second_attempt() {
    for (attempts, arrivals) in [(1, 2), (2, 1)] {
        let few = Treatment {
            attempts,
            arrivals,
            ..treatment()
        };
        let mut site = Site::of(few, &NEAR, entry(3));
        assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
    }
}

/// Guards against risking a second upstream for a request that may end upstreams.
#[test]
fn a_request_under_suspicion_gets_no_second_attempt() {
    let three = Treatment {
        attempts: 3,
        arrivals: 3,
        ..treatment()
    };
    let mut site = Site::of(three, &NEAR, entry(3));
    let order = vec![Name::from("b"), Name::from("c")];
    let id = site.first.0;
    let actions = site.step(Event::Ended { id, order });
    let (id, to, ..) = offer(&actions).expect("it runs once more");
    site.first = (id, to);
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against a second upstream for a request that came under suspicion while it ran: an upstream ended under a copy.
#[test]
fn a_request_that_came_under_suspicion_while_it_ran_gets_no_second_attempt() {
    let mut site = Site::of(treatment(), &NEAR, entry(3));
    assert!(site.call.may_hedge());
    site.call.forbid_hedge();
    assert!(!site.call.may_hedge());
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

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
    assert_eq!(site.straggle(), Err(HedgeRefusal::Short));
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
        entry.reported(START, &Name::from(vm), full());
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
    let leaves: [fn(AttemptId) -> Event<u64>; 3] =
        [|_| Event::HungUp, |_| Event::Expired, Event::Silent];
    for leave in leaves {
        let mut site = Site::of(treatment(), &NEAR, entry(3));
        let (mut other, id) = queueing(&mut site);
        other.step(START, leave(id), &mut site.entry);
        assert!(site.entry.refused_late(START, id, &refusal(Reason::Busy)));
        let later = START + SECOND;
        assert!(!site.entry.refused_late(later, id, &refusal(Reason::Busy)));
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
        site.entry.trust(&Name::from(vm));
    }
}

/// Guards against late refusals that say nothing of slots, and offers that might not queue, being taken for a shortage.
#[test]
fn only_a_late_refusal_as_busy_of_an_offer_that_might_queue_counts() {
    let mut site = Site::new();
    let (mut other, id) = queueing(&mut site);
    other.step(START, Event::HungUp, &mut site.entry);
    let entry = &mut site.entry;
    assert!(!entry.refused_late(START, id, &refusal(Reason::Leaving)));
    let mut other = call_of(treatment(), &NEAR);
    let actions = other.step(START, Event::Begin, entry);
    let (id, _, may_queue, _) = offer(&actions).expect("an offer");
    assert!(!may_queue);
    other.step(START, Event::HungUp, entry);
    assert!(!entry.refused_late(START, id, &refusal(Reason::Busy)));
    assert!(site.straggle().is_ok());
}

/// Guards against a second attempt that crosses to another hall, or goes where there is no free slot.
#[test]
fn a_second_attempt_goes_to_no_other_hall_and_to_no_full_leaving_or_suspected_upstream() {
    let mut site = Site::of(treatment(), &["a", FAR], entry(1));
    if site.first.1.as_str() == FAR {
        // The first attempt is in the other hall: the upstream of the own hall may get the second.
        site.report("a", full());
    }
    assert_eq!(site.straggle(), Err(HedgeRefusal::NoUpstream));
    for harm in ["full", "leaving", "suspected"] {
        let mut site = Site::new();
        for vm in NEAR {
            let name = Name::from(vm);
            match harm {
                "full" => site.report(vm, full()),
                "leaving" => site.entry.leaving(site.now, &name, true),
                _ => site.entry.suspect(site.now, &name),
            }
        }
        assert_eq!(site.straggle(), Err(HedgeRefusal::NoUpstream), "{harm}");
    }
}

fn full() -> Load {
    Load {
        in_flight: 6,
        limit: 6,
        service_us: 40 * MILLISECOND,
        ..Load::default()
    }
}

/// Guards against second runs whose answer nobody waits for.
#[test]
fn a_second_attempt_that_would_end_after_the_deadline_is_not_made() {
    let mut site = Site::new();
    site.now = START + DEADLINE_US - 20 * MILLISECOND;
    for vm in NEAR {
        let load = Load {
            in_flight: 0,
            ..full()
        };
        site.report(vm, load);
    }
    assert_eq!(site.straggle(), Err(HedgeRefusal::TooLate));
}

/// What is decided `left_ms` before the deadline where the other upstreams report this service time.
fn decided_with(service_us: u64, left_ms: u64) -> Result<(), HedgeRefusal> {
    let mut site = Site::new();
    site.now = START + DEADLINE_US - left_ms * MILLISECOND;
    for vm in NEAR {
        let load = Load {
            in_flight: 0,
            service_us,
            ..full()
        };
        site.report(vm, load);
    }
    site.straggle().map(|_| ())
}

/// Guards against an expected time of nothing where an upstream has reported no service time.
#[test]
fn a_service_time_of_zero_is_unknown_and_the_time_since_the_offer_counts() {
    // 400 ms have passed and 200 ms are left.
    assert_eq!(decided_with(0, 200), Err(HedgeRefusal::TooLate));
}

/// Guards against an expected time that short requests of other classes have lowered: the mean at an upstream is one over
/// all classes.
#[test]
fn a_second_run_is_expected_to_take_at_least_half_of_the_time_since_the_offer() {
    // 420 ms have passed: 210 ms are expected at least, beside the way back.
    assert_eq!(decided_with(MILLISECOND, 180), Err(HedgeRefusal::TooLate));
    assert_eq!(decided_with(MILLISECOND, 260), Ok(()));
    // A reported time that is longer holds up to the time since the offer.
    assert_eq!(
        decided_with(300 * MILLISECOND, 260),
        Err(HedgeRefusal::TooLate)
    );
    assert_eq!(decided_with(900 * MILLISECOND, 400), Ok(()));
}

/// Guards against a second answer that arrives just after the deadline.
#[test]
fn the_way_back_is_taken_off_the_time_that_is_left() {
    // 400 ms have passed: 200 ms are expected, and exactly as much is left without the way back.
    let way_ms = WAY_BACK_US / MILLISECOND;
    assert_eq!(decided_with(1, 201), Err(HedgeRefusal::TooLate));
    assert_eq!(decided_with(1, 200 + way_ms), Ok(()));
}

/// Guards against second attempts beyond the fleet's bound on repeats.
#[test]
fn without_a_repeat_in_the_budget_no_second_attempt_is_made() {
    let mut site = Site::of(treatment(), &NEAR, entry(0));
    assert_eq!(site.straggle(), Err(HedgeRefusal::Budget));
    let mut site = Site::new();
    assert!(site.straggle().is_ok());
    assert!(!site.has_budget());
}

/// Guards against runs that go on though nobody waits for them, and against a second answer.
#[test]
fn the_first_good_answer_wins_and_the_other_attempt_is_cancelled() {
    for second_wins in [false, true] {
        let mut site = Site::new();
        let (first, second) = site.hedged();
        let (winner, loser) = if second_wins {
            (second, first)
        } else {
            (first, second)
        };
        let actions = site.step(answered(winner, 7));
        assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
        assert_eq!(cancels(&actions), [loser]);
        let decision = if second_wins {
            HedgeDecision::WonBySecond
        } else {
            HedgeDecision::WonByFirst
        };
        assert_eq!(site.decision(), Some(decision));
        assert_eq!(site.outstanding(), 0);
        assert_eq!(site.call.late(), 0);
        for event in [answered(loser, 8), Event::Broken(loser)] {
            assert!(site.step(event).is_empty());
        }
        assert_eq!(site.call.late(), 2);
        assert!(!site.has_budget(), "the loser may have arrived");
    }
}

/// Guards against giving up a request whose other attempt still runs.
#[test]
fn when_one_of_two_attempts_fails_the_other_goes_on_alone() {
    let failures: [fn(AttemptId) -> Event<u64>; 9] = [
        |id| failed(id, 1),
        Event::Broken,
        Event::Gone,
        Event::Lost,
        Event::Silent,
        Event::NotSent,
        Event::Revoked,
        |id| Event::Refused(id, refusal(Reason::Shed)),
        |id| Event::Refused(id, refusal(Reason::Leaving)),
    ];
    for (i, failure) in failures.iter().enumerate() {
        for second_fails in [false, true] {
            let mut site = Site::new();
            let (first, second) = site.hedged();
            let (fails, goes_on) = if second_fails {
                (second, first)
            } else {
                (first, second)
            };
            let actions = site.step(failure(fails));
            assert!(outcome(&actions).is_none() && offer(&actions).is_none());
            let was_silent = matches!(failure(fails), Event::Silent(_));
            assert_eq!(cancels(&actions).len(), usize::from(was_silent), "{i}");
            assert_eq!(site.outstanding(), 1);
            let actions = site.step(answered(goes_on, 7));
            assert_eq!(outcome(&actions), Some(Outcome::Answered(7)), "{i}");
            assert!(cancels(&actions).is_empty());
            let decision = site.decision().expect("somebody won");
            assert_eq!(decision == HedgeDecision::WonByFirst, second_fails);
            assert_eq!(site.outstanding(), 0);
        }
    }
}

/// Guards against an outcome that says "not run" after a run, and against a third run.
#[test]
fn when_both_attempts_fail_the_call_ends_as_after_its_last_run() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(failed(first, 3));
    let actions = site.step(Event::Broken(second));
    assert_eq!(outcome(&actions), Some(Outcome::Answered(3)));
    assert_eq!(actions.len(), 1);
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(second));
    let actions = site.step(Event::Lost(first));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Shed)));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Shed)));
}

/// Guards against a second attempt that found no slot and ends the call, or leaves the budget short.
#[test]
fn a_second_attempt_that_was_refused_unrun_costs_nothing() {
    for reason in [Reason::Busy, Reason::Leaving, Reason::Down, Reason::KeyUsed] {
        let mut site = Site::new();
        let (first, second) = site.hedged();
        let actions = site.step(Event::Refused(second, refusal(reason)));
        assert!(actions.is_empty());
        assert!(site.has_budget(), "{reason:?}");
        let actions = site.step(answered(first, 7));
        assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
    }
    let mut site = Site::new();
    let (_, second) = site.hedged();
    site.step(Event::Refused(second, refusal(Reason::Shed)));
    assert!(!site.has_budget(), "an upstream has seen it");
    let mut site = Site::new();
    let (_, second) = site.hedged();
    site.step(Event::Lost(second));
    assert!(!site.has_budget(), "it may have arrived");
}

/// Guards against a retry at the upstream that broke while another only handed the request back unrun.
#[test]
fn after_one_upstream_handed_it_back_and_the_other_broke_a_request_goes_to_the_first() {
    for is_hedged in [true, false] {
        let mut site = Site::of(treatment(), &["a", "b"], entry(3));
        let (first, first_to) = site.first.clone();
        let mut actions = Vec::new();
        if is_hedged {
            actions.extend(site.step(Event::Straggles(first)));
        }
        actions.extend(site.step(Event::Revoked(first)));
        let (second, second_to, ..) = offer(&actions).expect("a second offer");
        assert_ne!(first_to, second_to);
        let actions = site.step(Event::Broken(second));
        let (_, to, ..) = offer(&actions).expect("a retry");
        assert_eq!(to, first_to, "hedged: {is_hedged}");
    }
}

/// Guards against giving up a request because the only other upstream handed it back as it leaves.
#[test]
fn after_one_upstream_handed_it_back_to_leave_and_the_other_broke_a_request_goes_to_the_one_that_stays(
) {
    let mut site = Site::of(treatment(), &["a", "b"], entry(3));
    let (first, first_to) = site.first.clone();
    let (second, second_to, ..) = site.straggle().expect("a second attempt");
    site.entry.leaving(site.now, &first_to, true);
    site.step(Event::Revoked(first));
    let actions = site.step(Event::Broken(second));
    let (_, to, ..) = offer(&actions).expect("a retry");
    assert_eq!(to, second_to);
}

/// Guards against paying twice: the second attempt's repeat is used for the next offer if it reached no upstream.
#[test]
fn a_second_attempt_that_went_on_alone_and_was_refused_goes_elsewhere_for_the_same_price() {
    let three = Treatment {
        attempts: 3,
        arrivals: 3,
        ..treatment()
    };
    let mut site = Site::of(three, &NEAR, entry(1));
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Busy)));
    let (third, _, _, repeat) = offer(&actions).expect("the next offer");
    assert!(repeat);
    let actions = site.step(answered(third, 7));
    assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
    assert_eq!(site.decision(), None, "neither of the two won");
    assert!(!site.has_budget());
}

/// Guards against a repeat that is lost to the budget though it reached no upstream.
#[test]
fn a_second_attempt_that_went_on_alone_and_ran_nowhere_costs_nothing() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Deadline)));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Deadline)));
    assert!(site.has_budget());
}

/// Guards against a refund for a repeat that ran: the attempt that straggles may be one itself.
#[test]
fn a_repeat_that_straggles_and_loses_stays_paid_for() {
    let four = Treatment {
        attempts: 4,
        arrivals: 4,
        ..treatment()
    };
    let mut site = Site::of(four, &NEAR, entry(2));
    let id = site.first.0;
    let actions = site.step(failed(id, 1));
    let (id, to, ..) = offer(&actions).expect("a repeat");
    site.first = (id, to);
    let (_, second) = site.hedged();
    assert!(!site.has_budget());
    site.step(answered(second, 7));
    assert!(!site.has_budget());
}

/// Guards against upstreams that work for a caller who has gone.
#[test]
fn a_caller_that_hangs_up_and_a_deadline_that_passes_cancel_both_attempts() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    let actions = site.step(Event::HungUp);
    assert_eq!(outcome(&actions), None);
    let mut cancelled = cancels(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, second]);
    assert!(site.call.is_done() && site.outstanding() == 0);
    assert!(!site.has_budget(), "the second attempt may have arrived");
    let mut site = Site::new();
    let (first, second) = site.hedged();
    let actions = site.step(Event::Expired);
    let mut cancelled = cancels(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, second]);
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Deadline)));
    assert!(!site.has_budget() && site.outstanding() == 0);
}

/// Guards against a third upstream for a request that ended two.
#[test]
fn when_an_upstream_ends_under_one_of_two_attempts_the_other_is_the_last() {
    for second_ends in [false, true] {
        let many = Treatment {
            attempts: 4,
            arrivals: 4,
            ..treatment()
        };
        let mut site = Site::of(many, &NEAR, entry(3));
        let (first, second) = site.hedged();
        let (ends, goes_on) = if second_ends {
            (second, first)
        } else {
            (first, second)
        };
        let order = vec![Name::from("a"), Name::from("b"), Name::from("c")];
        let ended = |id| Event::Ended {
            id,
            order: order.clone(),
        };
        assert!(site.step(ended(ends)).is_empty());
        let actions = site.step(ended(goes_on));
        assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
        assert!(offer(&actions).is_none());
    }
}

/// What happens to a call next; numbers pick among the attempts by remainder.
#[derive(Debug, Clone)]
enum Step {
    Straggles(usize),
    Answered(usize, bool),
    Refused(usize, Reason),
    Revoked(usize),
    Broken(usize),
    Lost(usize),
    Silent(usize),
    NotSent(usize),
    Ended(usize, bool),
    Wait(u64),
    Expired,
    HungUp,
}

fn step() -> impl Strategy<Value = Step> {
    let pick = || 0..6usize;
    let reason = prop_oneof![
        Just(Reason::Busy),
        Just(Reason::Shed),
        Just(Reason::Leaving),
        Just(Reason::Down),
    ];
    prop_oneof![
        5 => pick().prop_map(Step::Straggles),
        2 => (pick(), any::<bool>()).prop_map(|(pick, error)| Step::Answered(pick, error)),
        2 => (pick(), reason).prop_map(|(pick, reason)| Step::Refused(pick, reason)),
        1 => pick().prop_map(Step::Revoked),
        1 => pick().prop_map(Step::Broken),
        1 => pick().prop_map(Step::Lost),
        1 => pick().prop_map(Step::Silent),
        1 => pick().prop_map(Step::NotSent),
        1 => (pick(), any::<bool>()).prop_map(|(pick, held)| Step::Ended(pick, held)),
        2 => (1..300u64).prop_map(Step::Wait),
        1 => Just(Step::Expired),
        1 => Just(Step::HungUp),
    ]
}

fn event(step: &Step, ids: &[AttemptId]) -> Option<Event<u64>> {
    let id = |pick: &usize| ids[pick % ids.len()];
    Some(match step {
        Step::Straggles(pick) => Event::Straggles(id(pick)),
        Step::Answered(pick, true) => failed(id(pick), 1),
        Step::Answered(pick, false) => answered(id(pick), 1),
        Step::Refused(pick, reason) => Event::Refused(id(pick), refusal(*reason)),
        Step::Revoked(pick) => Event::Revoked(id(pick)),
        Step::Broken(pick) => Event::Broken(id(pick)),
        Step::Lost(pick) => Event::Lost(id(pick)),
        Step::Silent(pick) => Event::Silent(id(pick)),
        Step::NotSent(pick) => Event::NotSent(id(pick)),
        Step::Ended(pick, held) => {
            let order = if *held { &[][..] } else { &NEAR[..] };
            let order = order.iter().map(|vm| Name::from(*vm)).collect();
            Event::Ended {
                id: id(pick),
                order,
            }
        }
        Step::Expired => Event::Expired,
        Step::HungUp => Event::HungUp,
        Step::Wait(_) => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against attempts that nobody knows of any more, a second copy of what may run once or is under suspicion,
    /// more than two at a time, and books that do not balance at the end.
    #[test]
    fn whatever_comes_at_most_two_attempts_are_at_work_and_none_is_forgotten(
        steps in prop::collection::vec(step(), 1..25),
        repeatable in any::<bool>(),
        attempts in 1..4u32,
    ) {
        let treatment = Treatment { repeatable, attempts, arrivals: attempts.max(2), ..treatment() };
        let mut site = Site::of(treatment, &NEAR, entry(3));
        let mut ids = vec![site.first.0];
        let mut open = ids.clone();
        for step in steps {
            if let Step::Wait(ms) = step {
                site.now = site.now + ms * MILLISECOND;
            }
            let Some(event) = event(&step, &ids) else {
                continue;
            };
            let was_done = site.call.is_done();
            let straggles = matches!(event, Event::Straggles(_));
            let ended = match &event {
                Event::Straggles(_) | Event::Expired | Event::HungUp => None,
                Event::Silent(_) if !site.call.may_hedge() && site.outstanding() == 1 => None,
                Event::Answered { id, .. } | Event::Ended { id, .. } | Event::Refused(id, _) => Some(*id),
                Event::Revoked(id) | Event::Broken(id) | Event::Lost(id) | Event::NotSent(id) => Some(*id),
                _ => None,
            };
            let actions = site.step(event);
            prop_assert!(!was_done || actions.is_empty());
            // A request that may not be repeated is asked after before it is given up.
            let asks = actions.iter().any(|action| matches!(action, Action::Ask { .. }));
            if !asks {
                open.retain(|id| Some(*id) != ended);
            }
            open.retain(|id| !cancels(&actions).contains(id));
            if let Some((id, ..)) = offer(&actions) {
                prop_assert!(repeatable || !straggles, "a second copy of what may run once");
                ids.push(id);
                open.push(id);
            }
            if let Some(Action::Offer { suspicion, .. }) = actions.iter().find(|action| {
                matches!(action, Action::Offer { .. })
            }) {
                prop_assert!(!straggles || *suspicion == Suspicion::None);
            }
            prop_assert!(open.len() <= if repeatable { 2 } else { 1 }, "{:?}", open);
            prop_assert_eq!(site.outstanding() as usize, open.len());
            if site.call.is_done() {
                prop_assert!(open.is_empty(), "{:?} were forgotten", open);
            }
        }
    }
}
