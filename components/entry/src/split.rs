//! Spreading the requests of one route over services by weight.

use rand::Rng;

/// Most turns that are passed over to begin at a random one.
const MOST_PASSED: i64 = 10_000;

/// Hands out turns in proportion to weights, as evenly as they can be spread: after any number of
/// turns no share is off by more than one.
///
/// Each node hands out its own turns, so they begin at a random one. Were all nodes to begin with the heaviest share,
/// the lightest would get nothing in a fleet where each node has one request for the route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<i64>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The share whose turn it is; none when there is no weight at all.
    pub fn next(
        &mut self,
        weights: impl Iterator<Item = u32>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let weights: Vec<i64> = weights.map(i64::from).collect();
        if weights.iter().all(|weight| *weight == 0) {
            return None;
        }
        if self.weights != weights {
            self.begin(weights, rng);
        }
        Some(self.turn())
    }

    /// Begins at a random turn of the sequence for these weights.
    fn begin(&mut self, weights: Vec<i64>, rng: &mut impl Rng) {
        self.credit = vec![0; weights.len()];
        self.weights = weights;
        let passed = rng.random_range(0..self.period().min(MOST_PASSED));
        for _ in 0..passed {
            self.turn();
        }
    }

    /// Turns after which the sequence repeats.
    fn period(&self) -> i64 {
        let total: i64 = self.weights.iter().sum();
        let common = self.weights.iter().copied().fold(0, gcd);
        total / common
    }

    fn turn(&mut self) -> usize {
        let total: i64 = self.weights.iter().sum();
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let shares = 0..self.weights.len();
        let most = shares
            .filter(|share| self.weights[*share] > 0)
            .max_by_key(|share| self.credit[*share])
            .unwrap_or(0);
        self.credit[most] -= total;
        most
    }
}

fn gcd(a: i64, b: i64) -> i64 {
    if b == 0 {
        return a;
    }
    gcd(b, a % b)
}
