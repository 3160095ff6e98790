//! The retry budget of one service.
//!
//! The bound holds for the whole fleet and in every window: at most a share of the service's requests,
//! and a slack beyond it, may reach an upstream a second time. Each node deposits a share for each
//! request that it takes from a client and saves a part of the slack. A new budget is empty: nodes that
//! start anew would otherwise bring a slack with them each time.

/// Share of a repeat deposited for each request where no bound is set.
const DEPOSIT: f64 = 0.1;
/// Repeats that may accumulate where no bound is set.
const MOST_SAVED: f64 = 10.0;
/// Part of the fleet's bound that is given out. The rest covers calls made for repeats, which are
/// counted after they were made, and requests that no node took in.
const GIVEN_OUT: f64 = 0.75;
/// A node that knows fewer nodes than this, because it has just started or is cut off, shares the slack
/// as if there were so many.
const LEAST_NODES: usize = 8;

/// How repeats are earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Share of a repeat deposited for each request of a client.
    pub deposit_per_request: f64,
    /// Repeats that may accumulate.
    pub max_balance: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig {
            deposit_per_request: DEPOSIT,
            max_balance: MOST_SAVED,
        }
    }
}

impl RetryBudgetConfig {
    /// A node's share of a bound that holds for the whole fleet: within a window no more than
    /// `ratio` of the requests and `slack` beyond that.
    pub fn node_share(ratio: f64, slack: f64, nodes: usize) -> RetryBudgetConfig {
        RetryBudgetConfig {
            deposit_per_request: ratio * GIVEN_OUT,
            max_balance: slack * GIVEN_OUT / nodes.max(LEAST_NODES) as f64,
        }
    }
}

/// Allows repeats as a fraction of requests.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Repeats that may be made; below zero after calls for repeats, which are not asked.
    balance: f64,
}

impl RetryBudget {
    /// Takes in a request of a client.
    pub fn deposit(&mut self, config: RetryBudgetConfig) {
        self.balance = (self.balance + config.deposit_per_request).min(config.max_balance.max(1.0));
    }

    /// Takes one repeat out of the budget; false when there is none left.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Takes one repeat out in any case: a call made for a repeat is one itself.
    pub fn charge(&mut self) {
        self.balance -= 1.0;
    }

    /// Gives back a repeat that reached no upstream.
    pub fn refund(&mut self) {
        self.balance += 1.0;
    }

    /// Whether a repeat could be made now.
    pub fn can_spend(&self) -> bool {
        self.balance >= 1.0
    }
}
