//! Stateful fuzzing of entry and home duties, checked against the oracle in `world`.
//!
//! The seed is fixed. `FUZZ_SEED` and `FUZZ_CASES` replace the seed and the number of cases; for
//! long runs with other seeds see `docs/PROOFS.md`.

use crate::world::World;
use home::{ProbeResult, Verdict};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 1_500;

/// One step of the world. Indexes are taken modulo the number of items.
#[derive(Debug, Clone)]
enum Step {
    Call {
        entry: usize,
        non_repeatable: bool,
    },
    Deliver(usize),
    Duplicate(usize),
    CutLink {
        entry: usize,
        home: usize,
    },
    Unresponsive {
        entry: usize,
        home: usize,
    },
    FinishRun {
        home: usize,
        pick: usize,
        verdict: Verdict,
    },
    Advance(u64),
    ProbeResult {
        home: usize,
        result: ProbeResult,
    },
    Restart(usize),
    Pause {
        home: usize,
        paused: bool,
    },
    StartDrain(usize),
    EndDrain(usize),
    Disconnect {
        entry: usize,
        pick: usize,
    },
}

/// Configuration of a world. The steps need no other reference state.
#[derive(Debug, Clone)]
struct Size {
    entries: usize,
    homes: usize,
    can_probe: bool,
    /// Share of a repeat that each request deposits in the retry budget.
    deposit: Option<f64>,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Size;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Size> {
        let deposit = prop_oneof![Just(None), Just(Some(0.5)), Just(Some(1.0))];
        (1..=3usize, 2..=3usize, any::<bool>(), deposit)
            .prop_map(|(entries, homes, can_probe, deposit)| Size {
                entries,
                homes,
                can_probe,
                deposit,
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
            6 => (0..3usize, any::<bool>()).prop_map(|(entry, non_repeatable)| Step::Call { entry, non_repeatable }),
            14 => (0..64usize).prop_map(Step::Deliver),
            2 => (0..64usize).prop_map(Step::Duplicate),
            2 => (0..3usize, 0..3usize).prop_map(|(entry, home)| Step::CutLink { entry, home }),
            1 => (0..3usize, 0..3usize).prop_map(|(entry, home)| Step::Unresponsive { entry, home }),
            6 => (0..3usize, 0..4usize, verdict)
                .prop_map(|(home, pick, verdict)| Step::FinishRun { home, pick, verdict }),
            3 => (1..1500u64).prop_map(Step::Advance),
            4 => (0..3usize, probe_result()).prop_map(|(home, result)| Step::ProbeResult { home, result }),
            1 => (0..3usize).prop_map(Step::Restart),
            2 => (0..3usize, any::<bool>())
                .prop_map(|(home, paused)| Step::Pause { home, paused }),
            1 => (0..6usize).prop_map(Step::StartDrain),
            2 => (0..6usize).prop_map(Step::EndDrain),
            1 => (0..3usize, 0..8usize).prop_map(|(entry, pick)| Step::Disconnect { entry, pick }),
        ]
        .boxed()
    }

    fn apply(state: Size, _: &Step) -> Size {
        state
    }
}

/// Results of a probe for the upstream's slowdown.
fn probe_result() -> impl Strategy<Value = ProbeResult> {
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
        World::with_options(size.entries, size.homes, size.can_probe, size.deposit)
    }

    fn apply(mut world: World, _: &Size, step: Step) -> World {
        match step {
            Step::Call {
                entry,
                non_repeatable,
            } => world.call(entry, non_repeatable),
            Step::Deliver(pick) => world.deliver(pick),
            Step::Duplicate(pick) => world.duplicate(pick),
            Step::CutLink { entry, home } => world.cut_link(entry, home),
            Step::Unresponsive { entry, home } => world.node_unresponsive(entry, home),
            Step::FinishRun {
                home,
                pick,
                verdict,
            } => world.finish_run(home, pick, verdict),
            Step::Advance(ms) => world.advance(ms),
            Step::ProbeResult { home, result } => world.probe_finished(home, result),
            Step::Restart(home) => world.restart_home(home),
            Step::Pause { home, paused } => world.set_paused(home, paused),
            Step::StartDrain(home) => world.start_drain(home),
            Step::EndDrain(home) => world.end_drain(home),
            Step::Disconnect { entry, pick } => world.disconnect_caller(entry, pick),
        }
        world
    }

    fn check_invariants(world: &World, _: &Size) {
        world.check_invariants();
    }

    fn teardown(mut world: World, _: Size) {
        world.settle();
        world.check_invariants();
        world.check_all_have_outcome();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn outcomes_are_true_under_message_and_node_faults(sequential 1..150 => Attempts);
}
