//! Home duty: the only path to this node's local upstream.
//!
//! The home duty assigns the upstream's slots, keeps a short queue, and records the outcome of each
//! attempt. It performs no I/O and reads no clock: time is passed in, and every call returns the
//! actions that the daemon has to carry out. Invariants are asserted in release builds too.

mod attempt;
mod cold;
mod config;
mod delay;
mod depth;
mod duty;
mod fair;
mod limit;
mod message;
mod pace;
mod queue;
mod record;
mod request_limit;
mod run_times;
mod stragglers;

pub use attempt::{Attempt, Offered, Queued, Started};
pub use cold::{ColdAdmission, ColdCapacity, ColdLimiter, PriorStarts, COLD_WINDOW_US};
pub use config::{AccountLoad, Action, Config, Counters, ProbeResult};
pub use delay::DelayEstimator;
pub use depth::DepthTracker;
pub use duty::Home;
pub use limit::{Class, ConcurrencyLimit, Verdict};
pub use message::{Load, Offer, QueryReply, Reason, Refusal, Suspicion};
pub use pace::Slowdown;
pub use record::{AnswerLimit, Record, RecordLookup, Records};
pub use request_limit::RequestLimit;
pub use run_times::RunTimes;
pub use stragglers::Stragglers;
