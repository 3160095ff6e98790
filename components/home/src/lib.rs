//! Home duty: the only way to the upstream beside this node.
//!
//! The home duty hands out the upstream's slots, keeps a short queue, and records what became of
//! each attempt. All decisions are pure: time is passed in and every call returns the actions for
//! the daemon to carry out. Invariants are asserted in release builds too.

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
pub use record::{Record, RecordLookup, Records};
pub use request_limit::RequestLimit;
pub use run_times::RunTimes;
pub use stragglers::Stragglers;
