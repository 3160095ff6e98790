//! Retry budget of one service.
//!
//! The bound applies to the entire fleet and to every window: the requests that reach an upstream
//! again are at most a ratio of the service's requests, plus a slack. Each node deposits a fraction
//! of a repeat for each request that it accepts from a client, and its balance is limited to its
//! share of the slack. A new budget is empty; otherwise each restart of a node would add slack.

/// Fraction of a repeat deposited for each request where no bound is set.
const DEFAULT_DEPOSIT: f64 = 0.1;
/// Maximum balance where no bound is set, in repeats.
const DEFAULT_MAX_BALANCE: f64 = 10.0;
/// Fraction of the fleet's bound that is allocated to nodes. The rest covers calls made for
/// repeats, which are charged only after they were made, and requests that no node accepted.
const ALLOCATED_FRACTION: f64 = 0.75;
/// Minimum number of nodes by which the slack is divided: a node that has just started or lost its
/// connections knows only a few.
const MIN_NODES: usize = 8;

/// Deposits and maximum balance of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Fraction of a repeat deposited for each request of a client.
    pub deposit_per_request: f64,
    /// Maximum balance, in repeats.
    pub max_balance: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig {
            deposit_per_request: DEFAULT_DEPOSIT,
            max_balance: DEFAULT_MAX_BALANCE,
        }
    }
}

impl RetryBudgetConfig {
    /// One node's share of a bound on the entire fleet: repeats within a window are at most `ratio`
    /// of the requests, plus `slack`.
    pub fn node_share(ratio: f64, slack: f64, nodes: usize) -> RetryBudgetConfig {
        RetryBudgetConfig {
            deposit_per_request: ratio * ALLOCATED_FRACTION,
            max_balance: slack * ALLOCATED_FRACTION / nodes.max(MIN_NODES) as f64,
        }
    }
}

/// Permits repeats as a fraction of requests.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// Repeats that may be made. Negative after calls made for repeats, which are charged without a
    /// check.
    balance: f64,
}

impl RetryBudget {
    /// Makes the deposit for one request of a client.
    pub fn deposit(&mut self, config: RetryBudgetConfig) {
        self.balance = (self.balance + config.deposit_per_request).min(config.max_balance.max(1.0));
    }

    /// Withdraws one repeat; false when the balance is too low.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Withdraws one repeat whatever the balance: a call made for a repeat is itself a repeat.
    pub fn charge(&mut self) {
        self.balance -= 1.0;
    }

    /// Returns a repeat that reached no upstream.
    pub fn refund(&mut self) {
        self.balance += 1.0;
    }

    pub fn can_spend(&self) -> bool {
        self.balance >= 1.0
    }
}
