//! Requests of a route are spread by weight.

use entry::WeightedRoundRobin;
use rand::rngs::SmallRng;
use rand::SeedableRng;

#[test]
fn after_any_number_of_turns_every_share_is_near_its_weight() {
    for seed in 0..50 {
        turns_are_near_their_weights(seed);
    }
}

fn turns_are_near_their_weights(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weights = [90, 10, 0, 25];
    let total: u32 = weights.iter().sum();
    let mut split = WeightedRoundRobin::default();
    let mut turns = [0_f64; 4];
    for turn in 1..=500 {
        let share = split
            .next(weights.iter().copied(), &mut rng)
            .expect("a share");
        turns[share] += 1.0;
        for (share, weight) in weights.iter().enumerate() {
            let due = f64::from(turn) * f64::from(*weight) / f64::from(total);
            assert!(
                (turns[share] - due).abs() < 1.5,
                "turn {turn}, share {share}"
            );
        }
    }
    assert_eq!(turns[2], 0.0);
}

#[test]
fn without_any_weight_there_is_no_turn() {
    let mut rng = SmallRng::seed_from_u64(1);
    let turn = WeightedRoundRobin::default().next([0, 0].into_iter(), &mut rng);
    assert_eq!(turn, None);
}

/// Each node spreads only its own requests: where a route has one request a node, the first turns of all nodes must
/// have the shares that the weights say, and the error may not grow with the fleet.
#[test]
fn first_turns_of_all_nodes_together_follow_the_weights_at_any_size() {
    for nodes in [50, 100, 200, 1_000, 2_000] {
        let mut rng = SmallRng::seed_from_u64(nodes);
        let light = |weights: [u32; 2], splits: &mut [WeightedRoundRobin], rng: &mut SmallRng| {
            let turns = splits
                .iter_mut()
                .map(|split| split.next(weights.into_iter(), rng));
            turns.filter(|turn| *turn == Some(1)).count() as f64
        };
        let mut splits = vec![WeightedRoundRobin::default(); nodes as usize];
        // The second round follows a change of the weights.
        for (weights, part) in [([90, 10], 0.1), ([75, 25], 0.25)] {
            let share = light(weights, &mut splits, &mut rng) / nodes as f64;
            let deviation = (part * (1.0 - part) / nodes as f64).sqrt();
            assert!((share - part).abs() < 4.0 * deviation, "{share} at {nodes}");
        }
    }
}
