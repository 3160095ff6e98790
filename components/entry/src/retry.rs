//! The retry budget of one service.

/// Share of a retry earned by each answered call.
const EARNED_PER_ANSWER: f64 = 0.1;
/// Retries that may be saved up.
const MOST_SAVED: f64 = 10.0;

/// How retries are earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRate {
    /// Share of a retry earned by each answered call.
    pub per_answer: f64,
    /// Retries that may be saved up; also what a budget starts with.
    pub most_saved: f64,
}

impl Default for RetryRate {
    fn default() -> RetryRate {
        RetryRate {
            per_answer: EARNED_PER_ANSWER,
            most_saved: MOST_SAVED,
        }
    }
}

impl RetryRate {
    /// A node's share of a bound that holds for the whole fleet: within a window no more than
    /// `ratio` of the calls and `slack` beyond that. Half of both is left to nodes that start anew
    /// with a full budget and to calls of which no answer tells.
    pub fn share(ratio: f64, slack: f64, nodes: usize) -> RetryRate {
        RetryRate {
            per_answer: ratio / 2.0,
            most_saved: slack / 2.0 / nodes.max(1) as f64,
        }
    }
}

/// Allows retries as a fraction of successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(rate: RetryRate) -> RetryBudget {
        RetryBudget {
            saved: rate.most_saved,
        }
    }

    /// Takes in an answered call.
    pub fn earn(&mut self, rate: RetryRate) {
        self.saved = (self.saved + rate.per_answer).min(rate.most_saved);
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
