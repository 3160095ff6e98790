//! The retry budget of one service.

/// Share of a retry earned by each answered call.
const EARNED_PER_ANSWER: f64 = 0.1;
/// Retries that may be saved up.
const MOST_SAVED: f64 = 10.0;

/// Allows retries as a fraction of successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Takes in an answered call.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_ANSWER).min(MOST_SAVED);
    }

    /// Takes one retry out of the budget; false when there is none left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
