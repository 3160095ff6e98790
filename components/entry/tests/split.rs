//! Requests of a route are spread over its services by weight.

use entry::WeightedRoundRobin;
use rand::rngs::SmallRng;
use rand::SeedableRng;

#[test]
fn shares_follow_their_weights_after_any_number_of_turns() {
    for seed in 0..50 {
        check_shares(seed);
    }
}

fn check_shares(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weights = [90, 10, 0, 25];
    let total: u32 = weights.iter().sum();
    let mut round_robin = WeightedRoundRobin::default();
    let mut turns = [0_f64; 4];
    for turn in 1..=500 {
        let share = round_robin
            .next(weights.iter().copied(), &mut rng)
            .expect("a share has a weight");
        turns[share] += 1.0;
        for (share, weight) in weights.iter().enumerate() {
            let expected = f64::from(turn) * f64::from(*weight) / f64::from(total);
            assert!(
                (turns[share] - expected).abs() < 1.5,
                "turn {turn}, share {share}"
            );
        }
    }
    assert_eq!(turns[2], 0.0);
}

#[test]
fn zero_weights_give_no_turn() {
    let mut rng = SmallRng::seed_from_u64(1);
    let turn = WeightedRoundRobin::default().next([0, 0].into_iter(), &mut rng);
    assert_eq!(turn, None);
}

/// Each node spreads only its own requests. If a route has one request per node, the first turns of
/// all nodes together must follow the weights, with an error that does not grow with the fleet.
#[test]
fn first_turns_of_all_nodes_follow_the_weights_in_fleets_of_any_size() {
    for nodes in [50, 100, 200, 1_000, 2_000] {
        let mut rng = SmallRng::seed_from_u64(nodes);
        let count_light =
            |weights: [u32; 2], round_robins: &mut [WeightedRoundRobin], rng: &mut SmallRng| {
                let turns = round_robins
                    .iter_mut()
                    .map(|round_robin| round_robin.next(weights.into_iter(), rng));
                turns.filter(|turn| *turn == Some(1)).count() as f64
            };
        let mut round_robins = vec![WeightedRoundRobin::default(); nodes as usize];
        // The second pass changes the weights.
        for (weights, expected) in [([90, 10], 0.1), ([75, 25], 0.25)] {
            let share = count_light(weights, &mut round_robins, &mut rng) / nodes as f64;
            let deviation = (expected * (1.0 - expected) / nodes as f64).sqrt();
            assert!(
                (share - expected).abs() < 4.0 * deviation,
                "{share} at {nodes}"
            );
        }
    }
}
