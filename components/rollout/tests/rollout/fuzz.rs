//! Stateful fuzzing of rollout against the oracle in `world`. `FUZZ_SEED` and `FUZZ_CASES` replace
//! the fixed seed and the number of cases.

use crate::world::{Fate, World};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 200;

/// One step of the world; numbers pick by remainder.
#[derive(Debug, Clone)]
enum Step {
    Plan(usize),
    Call { operator: usize, fate: Fate },
    LateWrite(usize),
    Read(usize),
    ReadOld { node: usize, back: usize },
    PassOn { from: usize, to: usize },
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
        let fate = prop_oneof![
            12 => Just(Fate::Answered),
            2 => Just(Fate::AnswerLost),
            1 => Just(Fate::Lost),
            2 => Just(Fate::Late),
        ];
        prop_oneof![
            4 => (0..2usize).prop_map(Step::Plan),
            20 => (0..2usize, fate).prop_map(|(operator, fate)| Step::Call { operator, fate }),
            2 => (0..4usize).prop_map(Step::LateWrite),
            3 => (0..4usize).prop_map(Step::Read),
            2 => (0..4usize, 0..4usize).prop_map(|(node, back)| Step::ReadOld { node, back }),
            3 => (0..4usize, 0..4usize).prop_map(|(from, to)| Step::PassOn { from, to }),
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
            Step::Call { operator, fate } => world.step(operator, fate),
            Step::LateWrite(pick) => world.late_write(pick),
            Step::Read(node) => world.read(node),
            Step::ReadOld { node, back } => world.read_old(node, back),
            Step::PassOn { from, to } => world.pass_on(from, to),
            Step::Restart(node) => world.restart(node),
        }
        world
    }

    fn check_invariants(world: &World, _: &usize) {
        world.check();
    }

    fn teardown(mut world: World, _: usize) {
        world.settle();
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn what_was_accepted_is_never_lost_and_no_node_goes_back(sequential 1..150 => Rollouts);
}
