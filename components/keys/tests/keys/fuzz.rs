//! Stateful fuzzing of idempotency keys against the oracle in `world`. `FUZZ_SEED` and
//! `FUZZ_CASES` replace the fixed seed and the number of cases.

use crate::world::World;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 1_500;

/// One step of the simulation; indexes are taken modulo the number of choices.
#[derive(Debug, Clone)]
enum Step {
    Request {
        fresh: bool,
        pick: usize,
        rank: usize,
    },
    Deliver {
        pick: usize,
        busy: bool,
    },
    TimeOut(usize),
    Kill(usize),
    ReplacePaused(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Confirm(usize),
    Recover(usize),
    Advance(u64),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (2..=4usize).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        let request = (
            any::<bool>(),
            0..8usize,
            prop_oneof![3 => Just(0usize), 2 => 1..3usize],
        );
        prop_oneof![
            6 => request.prop_map(|(fresh, pick, rank)| Step::Request {
                fresh: fresh && pick % 2 == 0,
                pick,
                rank,
            }),
            24 => (0..64usize, prop::bool::weighted(0.2))
                .prop_map(|(pick, busy)| Step::Deliver { pick, busy }),
            2 => (0..64usize).prop_map(Step::TimeOut),
            2 => (0..4usize).prop_map(Step::Kill),
            1 => (0..4usize).prop_map(Step::ReplacePaused),
            2 => (0..4usize).prop_map(Step::Restart),
            2 => (0..4usize).prop_map(Step::Pause),
            2 => (0..4usize).prop_map(Step::Resume),
            2 => (0..4usize).prop_map(Step::Confirm),
            3 => (0..4usize).prop_map(Step::Recover),
            2 => (1..80u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &Step) -> usize {
        state
    }
}

struct Keys;

impl StateMachineTest for Keys {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(vms: &usize) -> World {
        World::new(*vms)
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        match step {
            Step::Request { fresh, pick, rank } => world.request(fresh, pick, rank),
            Step::Deliver { pick, busy } => world.deliver(pick, busy),
            Step::TimeOut(pick) => world.time_out(pick),
            Step::Kill(vm) => world.kill(vm),
            Step::ReplacePaused(vm) => world.replace_paused(vm),
            Step::Restart(vm) => world.restart(vm),
            Step::Pause(vm) => world.pause(vm),
            Step::Resume(pick) => world.resume(pick),
            Step::Confirm(vm) => world.confirm(vm),
            Step::Recover(vm) => world.recover(vm),
            Step::Advance(seconds) => world.advance(seconds),
        }
        world
    }

    fn check_invariants(world: &World, _: &usize) {
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn key_runs_at_most_once_under_message_and_node_faults(sequential 1..200 => Keys);
}
