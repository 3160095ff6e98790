//! Stateful fuzzing of rollout against the simulation in `world`. `FUZZ_SEED` and `FUZZ_CASES` replace
//! the fixed seed and the number of cases.

use crate::world::{CallResult, World};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 200;

/// One step of the simulation. Numbers select an operator, node or write modulo the count.
#[derive(Debug, Clone)]
enum Step {
    Plan(usize),
    Call { operator: usize, result: CallResult },
    LateWrite(usize),
    Read(usize),
    ReadOlder { node: usize, back: usize },
    Forward { from: usize, to: usize },
    Restart(usize),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (1..=4usize).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        let result = prop_oneof![
            12 => Just(CallResult::Answered),
            2 => Just(CallResult::AnswerLost),
            1 => Just(CallResult::Lost),
            2 => Just(CallResult::Late),
        ];
        prop_oneof![
            4 => (0..2usize).prop_map(Step::Plan),
            20 => (0..2usize, result).prop_map(|(operator, result)| Step::Call { operator, result }),
            2 => (0..4usize).prop_map(Step::LateWrite),
            3 => (0..4usize).prop_map(Step::Read),
            2 => (0..4usize, 0..4usize).prop_map(|(node, back)| Step::ReadOlder { node, back }),
            3 => (0..4usize, 0..4usize).prop_map(|(from, to)| Step::Forward { from, to }),
            1 => (0..4usize).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &Step) -> usize {
        state
    }
}

struct Rollouts;

impl StateMachineTest for Rollouts {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(nodes: &usize) -> World {
        World::new(*nodes)
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        match step {
            Step::Plan(operator) => world.plan(operator),
            Step::Call { operator, result } => world.call_store(operator, result),
            Step::LateWrite(pick) => world.apply_late_write(pick),
            Step::Read(node) => world.read_store(node),
            Step::ReadOlder { node, back } => world.read_older(node, back),
            Step::Forward { from, to } => world.forward(from, to),
            Step::Restart(node) => world.restart(node),
        }
        world
    }

    fn check_invariants(world: &World, _: &usize) {
        world.check();
    }

    fn teardown(mut world: World, _: usize) {
        world.converge();
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn accepted_changes_are_never_lost_and_no_node_goes_back(sequential 1..150 => Rollouts);
}
