//! Spreading the requests of one route over services by weight.

/// Hands out turns in proportion to weights, as evenly as they can be spread: after any number of
/// turns no share is off by more than one.
#[derive(Debug, Clone, Default)]
pub struct Split {
    credit: Vec<i64>,
}

impl Split {
    /// The share whose turn it is; none when there is no weight at all.
    pub fn next(&mut self, weights: impl Iterator<Item = u32>) -> Option<usize> {
        let weights: Vec<i64> = weights.map(i64::from).collect();
        if self.credit.len() != weights.len() {
            self.credit = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().sum();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credit.iter_mut().zip(&weights) {
            *credit += weight;
        }
        let most = (0..weights.len())
            .filter(|share| weights[*share] > 0)
            .max_by_key(|share| self.credit[*share])?;
        self.credit[most] -= total;
        Some(most)
    }
}
