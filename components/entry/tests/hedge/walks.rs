//! Random sequences of events.

use crate::site::{
    cancelled_attempts, entry_with_repeats, error_answer, find_offer, find_outcome, good_answer,
    refusal, treatment, Scenario, SAME_HALL,
};
use entry::{Action, Event, Outcome, Treatment};
use home::{Reason, Suspicion};
use names::{AttemptId, Name, MILLISECOND};
use proptest::prelude::*;

/// Next event of a call. Indexes of attempts are taken modulo their number.
#[derive(Debug, Clone)]
enum Step {
    Straggles(usize),
    Answered(usize, bool),
    Refused(usize, Reason),
    Revoked(usize),
    Broken(usize),
    ConnectionLost(usize),
    NodeUnresponsive(usize),
    NotSent(usize),
    UpstreamTerminated(usize, bool),
    Wait(u64),
    Expired,
    CallerDisconnected,
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
        1 => pick().prop_map(Step::ConnectionLost),
        1 => pick().prop_map(Step::NodeUnresponsive),
        1 => pick().prop_map(Step::NotSent),
        1 => (pick(), any::<bool>()).prop_map(|(pick, quarantined)| Step::UpstreamTerminated(pick, quarantined)),
        2 => (1..300u64).prop_map(Step::Wait),
        1 => Just(Step::Expired),
        1 => Just(Step::CallerDisconnected),
    ]
}

fn event(step: &Step, ids: &[AttemptId]) -> Option<Event<u64>> {
    let id = |pick: &usize| ids[pick % ids.len()];
    Some(match step {
        Step::Straggles(pick) => Event::Straggles(id(pick)),
        Step::Answered(pick, true) => error_answer(id(pick), 1),
        Step::Answered(pick, false) => good_answer(id(pick), 1),
        Step::Refused(pick, reason) => Event::Refused(id(pick), refusal(*reason)),
        Step::Revoked(pick) => Event::Revoked(id(pick)),
        Step::Broken(pick) => Event::Broken(id(pick)),
        Step::ConnectionLost(pick) => Event::ConnectionLost(id(pick)),
        Step::NodeUnresponsive(pick) => Event::NodeUnresponsive(id(pick)),
        Step::NotSent(pick) => Event::NotSent(id(pick)),
        Step::UpstreamTerminated(pick, quarantined) => {
            let order = if *quarantined {
                &[][..]
            } else {
                &SAME_HALL[..]
            };
            let order = order.iter().map(|vm| Name::from(*vm)).collect();
            Event::UpstreamTerminated {
                id: id(pick),
                order,
            }
        }
        Step::Expired => Event::Expired,
        Step::CallerDisconnected => Event::CallerDisconnected,
        Step::Wait(_) => return None,
    })
}

/// What has happened to a request, as observed from outside the call.
#[derive(Debug, Default)]
struct Observed {
    /// Number of attempts that an upstream may have received.
    arrivals: u32,
    may_have_run: bool,
    has_answer: bool,
}

impl Observed {
    /// Records how an open attempt has ended.
    fn attempt_ended(&mut self, event: &Event<u64>) {
        let not_run = match event {
            Event::NotSent(_) | Event::Revoked(_) => return,
            Event::Refused(_, refusal) if refusal.reason != Reason::Shed => return,
            Event::Refused(..) => true,
            _ => false,
        };
        self.arrivals += 1;
        self.may_have_run |= !not_run;
        self.has_answer |= matches!(event, Event::Answered { .. });
    }

    /// Whether an outcome is consistent with the observations.
    fn allows(&self, outcome: &Outcome<u64>) -> bool {
        match outcome {
            Outcome::Answered(_) => self.has_answer,
            Outcome::NotRun(_) => !self.may_have_run,
            Outcome::Unknown(_) => self.may_have_run,
        }
    }
}

/// Repeats in the retry budget at the start.
const INITIAL_REPEATS: u32 = 3;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against attempts that are neither ended nor cancelled, hedges of non-repeatable
    /// requests and suspects, more than two attempts at a time, a false outcome, a repeat that was
    /// not charged, and a repeat that was charged and not refunded although it reached no upstream.
    #[test]
    fn at_most_two_attempts_are_in_flight_outcomes_are_true_and_repeats_are_charged(
        steps in prop::collection::vec(step(), 1..25),
        repeatable in any::<bool>(),
        max_runs in 1..4u32,
    ) {
        let treatment = Treatment { repeatable, max_runs, max_arrivals: max_runs.max(2), ..treatment() };
        let mut scenario = Scenario::of(treatment, &SAME_HALL, entry_with_repeats(INITIAL_REPEATS));
        let mut ids = vec![scenario.first.0];
        let mut open = ids.clone();
        let mut observed = Observed::default();
        for step in steps.into_iter().chain([Step::CallerDisconnected]) {
            if let Step::Wait(ms) = step {
                scenario.now = scenario.now + ms * MILLISECOND;
            }
            let Some(event) = event(&step, &ids) else {
                continue;
            };
            let was_done = scenario.call.is_done();
            let straggles = matches!(event, Event::Straggles(_));
            let ended = match &event {
                Event::Straggles(_) | Event::Expired | Event::CallerDisconnected => None,
                Event::NodeUnresponsive(_) if !scenario.call.may_hedge() && scenario.outstanding() == 1 => None,
                Event::Answered { id, .. } | Event::UpstreamTerminated { id, .. } | Event::Refused(id, _) => Some(*id),
                Event::Revoked(id) | Event::Broken(id) | Event::ConnectionLost(id) | Event::NotSent(id) => Some(*id),
                _ => None,
            };
            let was_open = |id: &AttemptId| open.contains(id);
            let closes = ended.filter(was_open);
            let actions = scenario.step(event.clone());
            prop_assert!(!was_done || actions.is_empty());
            // A request that may not be repeated is queried before its call ends.
            let queries = actions.iter().any(|action| matches!(action, Action::Query { .. }));
            if !queries {
                if closes.is_some() {
                    observed.attempt_ended(&event);
                }
                open.retain(|id| Some(*id) != ended);
            }
            for id in cancelled_attempts(&actions) {
                prop_assert!(open.contains(&id));
                observed.arrivals += 1;
                observed.may_have_run = true;
                open.retain(|other| *other != id);
            }
            if let Some(outcome) = find_outcome(&actions) {
                prop_assert!(observed.allows(&outcome), "{:?} after {:?}", outcome, observed);
            }
            if let Some((id, ..)) = find_offer(&actions) {
                prop_assert!(repeatable || !straggles, "a second copy of a request that may not be repeated");
                ids.push(id);
                open.push(id);
            }
            if let Some(Action::Offer { suspicion, .. }) = actions.iter().find(|action| {
                matches!(action, Action::Offer { .. })
            }) {
                prop_assert!(!straggles || *suspicion == Suspicion::None);
            }
            prop_assert!(open.len() <= if repeatable { 2 } else { 1 }, "{:?}", open);
            prop_assert_eq!(scenario.outstanding() as usize, open.len());
            if scenario.call.is_done() {
                prop_assert!(open.is_empty(), "{:?} were forgotten", open);
            }
        }
        // The repeat of a hedged attempt is not refunded if the first attempt reached no upstream.
        let spent = INITIAL_REPEATS - scenario.spend_budget();
        prop_assert!(spent <= observed.arrivals && spent + 1 >= observed.arrivals, "{} for {:?}", spent, observed);
    }
}
