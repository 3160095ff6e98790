//! Entry duty: makes attempts for a caller's request until it has one outcome.
//!
//! [`Call`] is the state machine of one request. [`Entry`] is the state that all calls of a node
//! share: views of the upstreams, the retry budgets and the counter of attempts. Neither does any
//! I/O or reads a clock: time is passed in, and each step returns the actions for the daemon to
//! carry out.

mod call;
mod choice;
mod event;
mod hedging;
mod price;
mod retry;
mod shared;
mod shortage;
mod split;
mod suspect;

pub use call::Call;
pub use choice::{Candidate, SelectionRule, UpstreamView};
pub use event::{Action, Event, Origin, Outcome, Treatment};
pub use hedging::{Hedge, HedgeDecision, HedgeRefusal, RETURN_TIME_US};
pub use price::Price;
pub use retry::{RetryBudget, RetryBudgetConfig};
pub use shared::Entry;
pub use split::WeightedRoundRobin;
