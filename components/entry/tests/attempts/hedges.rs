//! Random walks with many hedged attempts, lost messages, restarted home nodes and callers that
//! disconnect.

use crate::world::World;
use entry::Outcome;
use home::Verdict;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WALKS: u64 = 800;
const STEPS: usize = 120;
/// Minimum number of hedged attempts in all walks, and of those that produce the answer.
const MIN_HEDGES: (u32, u32) = (1_000, 100);

/// One step of a walk. Most calls straggle, and upstreams terminate while running some of them.
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
            world.finish_run(pick, rng.random_range(0..4), verdict);
        }
        88..91 => world.cut_link(pick, rng.random_range(0..3)),
        91..93 => world.node_unresponsive(pick, rng.random_range(0..3)),
        93..95 => world.disconnect_caller(pick, rng.random_range(0..8)),
        95 => world.restart_home(pick),
        96 => world.set_paused(pick, true),
        97 => world.set_paused(pick, false),
        98 => world.start_drain(pick),
        _ => world.end_drain(pick),
    }
}

/// Guards, with many hedged attempts, against a second run of a request that may not be repeated, a
/// false "not run", a second offer to an upstream that terminated while running the request, the
/// answer of another request, repeats beyond the budget and callers without an outcome.
#[test]
fn outcomes_are_true_and_budget_holds_with_many_hedges() {
    let (mut hedges, mut won_by_hedge) = (0, 0);
    for seed in 0..WALKS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = rng.random_range(1..=3);
        let mut world = World::with_options(entries, 3, seed % 4 == 0, Some(1.0));
        for _ in 0..STEPS {
            step(&mut world, &mut rng);
            world.check_invariants();
        }
        world.settle();
        world.check_invariants();
        world.check_all_have_outcome();
        hedges += world.oracle.hedges;
        won_by_hedge += world.oracle.won_by_hedge;
    }
    assert!(
        hedges >= MIN_HEDGES.0 && won_by_hedge >= MIN_HEDGES.1,
        "{hedges} hedged attempts, {won_by_hedge} of which produced the answer"
    );
}

/// A world in which a call straggles and the offer of its hedged attempt is in transit.
fn hedged() -> World {
    let mut world = World::with_options(1, 3, false, Some(1.0));
    world.call(0, false);
    world.deliver(0);
    world.advance(60);
    // The straggler report arrives.
    world.deliver(0);
    assert_eq!(world.oracle.hedges, 1);
    world
}

#[test]
fn answer_of_hedge_is_the_outcome_and_first_run_is_ignored() {
    let mut world = hedged();
    world.deliver(0);
    assert_eq!(world.oracle.runs[&1], 2);
    world.settle();
    world.check_invariants();
    world.check_all_have_outcome();
    assert_eq!(world.oracle.outcomes[&1], Outcome::Answered(1));
}

#[test]
fn other_attempt_answers_when_a_home_node_restarts() {
    for home in 0..3 {
        let mut world = hedged();
        world.deliver(0);
        world.restart_home(home);
        world.settle();
        world.check_invariants();
        world.check_all_have_outcome();
        assert_eq!(world.oracle.outcomes[&1], Outcome::Answered(1));
    }
}
