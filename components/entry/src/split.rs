//! Smooth weighted round-robin over the services of one route.

use rand::Rng;

/// Maximum number of turns skipped to begin at a random one.
const MAX_SKIPPED: i64 = 10_000;

/// Gives out turns in proportion to weights, spread as evenly as possible: after any number of
/// turns no share deviates from its weight by more than one turn.
///
/// Each node gives out its own turns and begins at a random one. If all nodes began with the
/// heaviest share, the lightest would get nothing in a fleet where each node has one request for
/// the route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<i64>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the share whose turn it is; none when all weights are zero.
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
            self.restart(weights, rng);
        }
        Some(self.turn())
    }

    /// Restarts with these weights, at a random turn of their sequence.
    fn restart(&mut self, weights: Vec<i64>, rng: &mut impl Rng) {
        self.credit = vec![0; weights.len()];
        self.weights = weights;
        let skipped = rng.random_range(0..self.period().min(MAX_SKIPPED));
        for _ in 0..skipped {
            self.turn();
        }
    }

    /// Number of turns after which the sequence repeats.
    fn period(&self) -> i64 {
        let total: i64 = self.weights.iter().sum();
        let divisor = self.weights.iter().copied().fold(0, gcd);
        total / divisor
    }

    fn turn(&mut self) -> usize {
        let total: i64 = self.weights.iter().sum();
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let shares = 0..self.weights.len();
        let selected = shares
            .filter(|share| self.weights[*share] > 0)
            .max_by_key(|share| self.credit[*share])
            .unwrap_or(0);
        self.credit[selected] -= total;
        selected
    }
}

fn gcd(a: i64, b: i64) -> i64 {
    if b == 0 {
        return a;
    }
    gcd(b, a % b)
}
