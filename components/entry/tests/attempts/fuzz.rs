//! Stateful fuzzing of entry and home duties against the oracle in `world`.
//!
//! The seed is fixed. For long runs with other seeds see `docs/PROOFS.md`: `FUZZ_SEED` and
//! `FUZZ_CASES` replace the seed and the number of cases.

use crate::world::World;
use home::{ProbeResult, Verdict};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 1_500;

/// One step of the world; numbers pick by remainder.
#[derive(Debug, Clone)]
enum Step {
    Call {
        entry: usize,
        once: bool,
    },
    Deliver(usize),
    Duplicate(usize),
    Cut {
        entry: usize,
        home: usize,
    },
    Silent {
        entry: usize,
        home: usize,
    },
    Finish {
        home: usize,
        pick: usize,
        verdict: Verdict,
    },
    Advance(u64),
    ProbeResult {
        home: usize,
        probed: ProbeResult,
    },
    Kill(usize),
    Pause {
        home: usize,
        paused: bool,
    },
    Leave(usize),
    Stay(usize),
    HangUp {
        entry: usize,
        pick: usize,
    },
}

/// Size of a world; the steps need no other reference state.
#[derive(Debug, Clone)]
struct Size {
    entries: usize,
    homes: usize,
    looks: bool,
    /// Repeats earned by each request.
    earned: Option<f64>,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Size;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Size> {
        let earned = prop_oneof![Just(None), Just(Some(0.5)), Just(Some(1.0))];
        (1..=3usize, 2..=3usize, any::<bool>(), earned)
            .prop_map(|(entries, homes, looks, earned)| Size {
                entries,
                homes,
                looks,
                earned,
            })
            .boxed()
    }

    fn transitions(_: &Size) -> BoxedStrategy<Step> {
        let verdict = prop_oneof![
            6 => Just(Verdict::Good),
            1 => Just(Verdict::Error),
            1 => Just(Verdict::Broken),
            1 => Just(Verdict::Shed),
            1 => Just(Verdict::NotSent),
        ];
        prop_oneof![
            6 => (0..3usize, any::<bool>()).prop_map(|(entry, once)| Step::Call { entry, once }),
            14 => (0..64usize).prop_map(Step::Deliver),
            2 => (0..64usize).prop_map(Step::Duplicate),
            2 => (0..3usize, 0..3usize).prop_map(|(entry, home)| Step::Cut { entry, home }),
            1 => (0..3usize, 0..3usize).prop_map(|(entry, home)| Step::Silent { entry, home }),
            6 => (0..3usize, 0..4usize, verdict)
                .prop_map(|(home, pick, verdict)| Step::Finish { home, pick, verdict }),
            3 => (1..1500u64).prop_map(Step::Advance),
            4 => (0..3usize, pace()).prop_map(|(home, probed)| Step::ProbeResult { home, probed }),
            1 => (0..3usize).prop_map(Step::Kill),
            2 => (0..3usize, any::<bool>())
                .prop_map(|(home, paused)| Step::Pause { home, paused }),
            1 => (0..6usize).prop_map(Step::Leave),
            2 => (0..6usize).prop_map(Step::Stay),
            1 => (0..3usize, 0..8usize).prop_map(|(entry, pick)| Step::HangUp { entry, pick }),
        ]
        .boxed()
    }

    fn apply(state: Size, _: &Step) -> Size {
        state
    }
}

/// What an upstream may say of its pace.
fn pace() -> impl Strategy<Value = ProbeResult> {
    prop_oneof![
        4 => Just(ProbeResult::percent(100)),
        2 => Just(ProbeResult::percent(500)),
        1 => Just(ProbeResult::percent(200)),
        1 => Just(ProbeResult::NoAnswer),
        1 => Just(ProbeResult::NoBudget),
    ]
}

struct Attempts;

impl StateMachineTest for Attempts {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(size: &Size) -> World {
        World::with_looks(size.entries, size.homes, size.looks, size.earned)
    }

    fn apply(mut world: World, _: &Size, step: Step) -> World {
        match step {
            Step::Call { entry, once } => world.call(entry, once),
            Step::Deliver(pick) => world.deliver(pick),
            Step::Duplicate(pick) => world.duplicate(pick),
            Step::Cut { entry, home } => world.cut(entry, home),
            Step::Silent { entry, home } => world.silent(entry, home),
            Step::Finish {
                home,
                pick,
                verdict,
            } => world.finish(home, pick, verdict),
            Step::Advance(ms) => world.advance(ms),
            Step::ProbeResult { home, probed } => world.probed(home, probed),
            Step::Kill(home) => world.kill(home),
            Step::Pause { home, paused } => world.pause(home, paused),
            Step::Leave(home) => world.leave(home),
            Step::Stay(home) => world.stay(home),
            Step::HangUp { entry, pick } => world.hang_up(entry, pick),
        }
        world
    }

    fn check_invariants(world: &World, _: &Size) {
        world.check();
    }

    fn teardown(mut world: World, _: Size) {
        world.settle();
        world.check();
        world.check_settled();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn a_caller_hears_the_truth_whatever_happens_to_messages_and_nodes(sequential 1..150 => Attempts);
}
