//! Settings of a home duty, the actions that it asks of the daemon, and its counters.

use crate::message::Refusal;
use names::{AttemptId, SECOND};

/// Settings of a home duty.
#[derive(Debug, Clone)]
pub struct Config {
    /// Requests that the upstream serves concurrently.
    pub slots: u32,
    /// Maximum number of records of ended attempts.
    pub max_records: usize,
    /// Maximum number of complete answers kept for replay.
    pub max_answers: usize,
    /// How long a record is kept, in microseconds.
    pub keep_us: u64,
    /// Fraction of the slots that is used: many upstreams slow down when nearly all are taken.
    pub usable_fraction: f64,
    /// Whether measured service times lower the concurrency limit, and the limit of a cold upstream
    /// rises gradually.
    pub adaptive: bool,
    /// Whether the upstream's reported slowdown can be probed before work starts there.
    pub can_probe: bool,
    /// Seed of the generator that spreads retry times.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            slots: 6,
            max_records: 65_536,
            max_answers: 64,
            keep_us: 60 * SECOND,
            usable_fraction: 1.0,
            adaptive: true,
            can_probe: false,
            seed: 1,
        }
    }
}

/// Result of a probe of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream reported its state.
    Reported {
        /// Service time in percent of the typical one; none if not reported.
        percent: Option<u32>,
        /// How much longer it is cold, in microseconds; 0 when warm, none if not reported.
        cold_us: Option<u64>,
    },
    /// The upstream did not answer in time, or its answer reports neither value.
    NoAnswer,
    /// The measuring budget allowed no probe; it will soon.
    NoBudget,
}

impl ProbeResult {
    /// A result that reports the slowdown alone.
    pub fn percent(percent: u32) -> ProbeResult {
        ProbeResult::Reported {
            percent: Some(percent),
            cold_us: None,
        }
    }
}

/// Something that the daemon has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the upstream now.
    Start(AttemptId),
    /// Report to the entry duty that the attempt was not run and never will be.
    Refuse(AttemptId, Refusal),
    /// Probe the upstream and pass the result to [`crate::Home::probe_finished`]; offers wait for it.
    Probe,
    /// Report to the entry duty that the run takes much longer than typical.
    Straggles(AttemptId),
    /// Return a queued attempt, not run, so that it can be offered elsewhere.
    Revoke(AttemptId),
}

/// Attempts of one client account at a home duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AccountLoad {
    pub running: u32,
    pub queued: u32,
}

/// Events counted for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Offers received.
    pub offers: u64,
    /// Attempts started.
    pub started: u64,
    /// Attempts admitted to the queue.
    pub queued: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Queued attempts revoked.
    pub revoked: u64,
    /// Attempts fenced by a query before they were offered.
    pub fenced: u64,
    /// Offers dropped because the attempt was already active, on record or too old.
    pub late_offers: u64,
    /// Probes of the upstream that were requested.
    pub probes: u64,
    /// Attempts refused because the upstream is cold and sustains no more starts for now.
    pub refused_cold: u64,
    /// Attempts refused because the upstream's advertised request limit is used up.
    pub refused_limited: u64,
    /// Queued attempts refused in favour of another account's attempt of the same rank.
    pub refused_for_account: u64,
    /// Starts without a probe because the last report was recent enough.
    pub probes_saved: u64,
    /// Runs reported as stragglers.
    pub stragglers: u64,
    /// Completions ignored because the attempt was not running.
    pub late_completions: u64,
}
