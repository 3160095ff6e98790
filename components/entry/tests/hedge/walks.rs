//! Random sequences of events.

use crate::site::{
    answered, cancels, entry, failed, offer, outcome, refusal, treatment, Site, NEAR,
};
use entry::{Action, Event, Outcome, Treatment};
use home::{Reason, Suspicion};
use names::{AttemptId, Name, MILLISECOND};
use proptest::prelude::*;

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
        Step::Lost(pick) => Event::ConnectionLost(id(pick)),
        Step::Silent(pick) => Event::NodeUnresponsive(id(pick)),
        Step::NotSent(pick) => Event::NotSent(id(pick)),
        Step::Ended(pick, held) => {
            let order = if *held { &[][..] } else { &NEAR[..] };
            let order = order.iter().map(|vm| Name::from(*vm)).collect();
            Event::UpstreamTerminated {
                id: id(pick),
                order,
            }
        }
        Step::Expired => Event::Expired,
        Step::HungUp => Event::CallerDisconnected,
        Step::Wait(_) => return None,
    })
}

/// What becomes of a request that is seen from outside.
#[derive(Debug, Default)]
struct Seen {
    /// Attempts that an upstream may have seen.
    arrivals: u32,
    may_have_run: bool,
    has_answer: bool,
}

impl Seen {
    /// Takes in how an attempt that was open has ended.
    fn ended(&mut self, event: &Event<u64>) {
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

    /// Whether an outcome is true.
    fn allows(&self, outcome: &Outcome<u64>) -> bool {
        match outcome {
            Outcome::Answered(_) => self.has_answer,
            Outcome::NotRun(_) => !self.may_have_run,
            Outcome::Unknown(_) => self.may_have_run,
        }
    }
}

/// Repeats that the service has earned at the start.
const EARNED: u32 = 3;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against attempts that nobody knows of any more, a second copy of what may run once or is under suspicion,
    /// more than two at a time, an untrue outcome, a repeat that was not paid for, and one that was paid for and lost though
    /// it reached no upstream.
    #[test]
    fn whatever_comes_at_most_two_attempts_are_at_work_the_outcome_is_true_and_repeats_are_paid_for(
        steps in prop::collection::vec(step(), 1..25),
        repeatable in any::<bool>(),
        max_runs in 1..4u32,
    ) {
        let treatment = Treatment { repeatable, max_runs, max_arrivals: max_runs.max(2), ..treatment() };
        let mut site = Site::of(treatment, &NEAR, entry(EARNED));
        let mut ids = vec![site.first.0];
        let mut open = ids.clone();
        let mut seen = Seen::default();
        for step in steps.into_iter().chain([Step::HungUp]) {
            if let Step::Wait(ms) = step {
                site.now = site.now + ms * MILLISECOND;
            }
            let Some(event) = event(&step, &ids) else {
                continue;
            };
            let was_done = site.call.is_done();
            let straggles = matches!(event, Event::Straggles(_));
            let ended = match &event {
                Event::Straggles(_) | Event::Expired | Event::CallerDisconnected => None,
                Event::NodeUnresponsive(_) if !site.call.may_hedge() && site.outstanding() == 1 => None,
                Event::Answered { id, .. } | Event::UpstreamTerminated { id, .. } | Event::Refused(id, _) => Some(*id),
                Event::Revoked(id) | Event::Broken(id) | Event::ConnectionLost(id) | Event::NotSent(id) => Some(*id),
                _ => None,
            };
            let was_open = |id: &AttemptId| open.contains(id);
            let closes = ended.filter(was_open);
            let actions = site.step(event.clone());
            prop_assert!(!was_done || actions.is_empty());
            // A request that may not be repeated is asked after before it is given up.
            let asks = actions.iter().any(|action| matches!(action, Action::Query { .. }));
            if !asks {
                if closes.is_some() {
                    seen.ended(&event);
                }
                open.retain(|id| Some(*id) != ended);
            }
            for id in cancels(&actions) {
                prop_assert!(open.contains(&id));
                seen.arrivals += 1;
                seen.may_have_run = true;
                open.retain(|other| *other != id);
            }
            if let Some(outcome) = outcome(&actions) {
                prop_assert!(seen.allows(&outcome), "{:?} after {:?}", outcome, seen);
            }
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
        // A second attempt stays paid for where the first has reached no upstream.
        let spent = EARNED - site.drain_budget();
        prop_assert!(spent <= seen.arrivals && spent + 1 >= seen.arrivals, "{} for {:?}", spent, seen);
    }
}
