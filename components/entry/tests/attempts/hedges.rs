//! Random walks on which many second attempts are made, with lost frames, dead homes and callers that hang up.

use crate::world::World;
use entry::Outcome;
use home::Verdict;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WALKS: u64 = 800;
const STEPS: usize = 120;
/// Second attempts of all walks at least, and those among them that bring the answer.
const LEAST_HEDGES: (u32, u32) = (1_000, 100);

/// One step of a walk: mostly calls that straggle, with an upstream that ends some of them.
fn step(world: &mut World, rng: &mut SmallRng) {
    let pick = rng.random_range(0..64);
    match rng.random_range(0..100) {
        0..9 => world.call(pick, rng.random_bool(0.2)),
        9..55 => world.deliver(pick),
        55..58 => world.duplicate(pick),
        58..76 => world.advance(rng.random_range(1..80)),
        76..88 => {
            let verdict = match rng.random_range(0..10) {
                0 => Verdict::Error,
                1 => Verdict::Broken,
                2 => Verdict::Shed,
                3 => Verdict::NotSent,
                4 => Verdict::Ended,
                _ => Verdict::Good,
            };
            world.finish(pick, rng.random_range(0..4), verdict);
        }
        88..91 => world.cut(pick, rng.random_range(0..3)),
        91..93 => world.silent(pick, rng.random_range(0..3)),
        93..95 => world.hang_up(pick, rng.random_range(0..8)),
        95 => world.kill(pick),
        96 => world.pause(pick, true),
        97 => world.pause(pick, false),
        98 => world.leave(pick),
        _ => world.stay(pick),
    }
}

/// Guards against a second start of what may run once, an untrue "not run", a second offer to an upstream that the request ended, an answer of another request, repeats beyond
/// the budget and callers that are told nothing, where second attempts are frequent.
#[test]
fn with_many_second_attempts_callers_hear_the_truth_and_the_budget_holds() {
    let (mut hedges, mut won_by_second) = (0, 0);
    for seed in 0..WALKS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = rng.random_range(1..=3);
        let mut world = World::with_looks(entries, 3, seed % 4 == 0, Some(1.0));
        for _ in 0..STEPS {
            step(&mut world, &mut rng);
            world.check();
        }
        world.settle();
        world.check();
        world.check_settled();
        hedges += world.oracle.hedges;
        won_by_second += world.oracle.won_by_second;
    }
    assert!(
        hedges >= LEAST_HEDGES.0 && won_by_second >= LEAST_HEDGES.1,
        "{hedges} second attempts, {won_by_second} of which brought the answer"
    );
}

/// A world in which a call straggles and its second attempt is on its way.
fn hedged() -> World {
    let mut world = World::with_looks(1, 3, false, Some(1.0));
    world.call(0, false);
    world.deliver(0);
    world.advance(60);
    // The report arrives.
    world.deliver(0);
    assert_eq!(world.oracle.hedges, 1);
    world
}

#[test]
fn the_answer_of_a_second_attempt_is_told_and_the_first_run_changes_nothing_any_more() {
    let mut world = hedged();
    world.deliver(0);
    assert_eq!(world.oracle.runs[&1], 2);
    world.settle();
    world.check();
    world.check_settled();
    assert_eq!(world.oracle.told[&1], Outcome::Answered(1));
}

#[test]
fn when_the_home_nodes_of_one_attempt_die_the_other_brings_the_answer() {
    for home in 0..3 {
        let mut world = hedged();
        world.deliver(0);
        world.kill(home);
        world.settle();
        world.check();
        world.check_settled();
        assert_eq!(world.oracle.told[&1], Outcome::Answered(1));
    }
}
