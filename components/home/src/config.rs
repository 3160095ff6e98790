//! Fixed limits of a home duty, what the daemon has to do for it, and what it counts.

use crate::message::Refusal;
use names::{AttemptId, SECOND};

/// Fixed limits of a home duty.
#[derive(Debug, Clone)]
pub struct Config {
    /// Requests the upstream serves at once.
    pub slots: u32,
    /// Ends of attempts kept.
    pub max_records: usize,
    /// Whole answers kept for replay.
    pub max_answers: usize,
    /// How long an end is kept, in microseconds.
    pub keep_us: u64,
    /// Part of the slots that is used: many upstreams slow down when they are nearly full.
    pub usable_fraction: f64,
    /// Whether slowness that is measured here lowers the limit, and a cold upstream is opened slowly.
    pub adaptive: bool,
    /// Whether the upstream can be asked for its pace before work starts there.
    pub can_probe: bool,
    /// Seed of the generator that spreads returning callers.
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

/// What a look at the upstream's pace brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Reported {
        /// How long work takes there, in hundredths of the usual; none if it doesn't say.
        percent: Option<u32>,
        /// How much longer it is cold, in microseconds; 0 when it is warm, none if it doesn't say.
        cold_us: Option<u64>,
    },
    /// No word: the upstream did not answer in time, or does not say.
    NoAnswer,
    /// The measuring budget allowed no look; it will soon.
    NoBudget,
}

impl ProbeResult {
    /// An answer that tells the pace alone.
    pub fn percent(percent: u32) -> ProbeResult {
        ProbeResult::Reported {
            percent: Some(percent),
            cold_us: None,
        }
    }
}

/// Something the daemon has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the upstream now.
    Start(AttemptId),
    /// Tell the entry duty that the attempt was not run and never will be.
    Refuse(AttemptId, Refusal),
    /// Ask the upstream for its pace and call [`crate::Home::probe_finished`] with what it says; offers wait.
    Probe,
    /// Tell the entry duty that the run takes much longer than usual.
    Straggles(AttemptId),
    /// Hand a queued attempt back, not run, to be moved elsewhere.
    Revoke(AttemptId),
}

/// What one account has at a home duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AccountLoad {
    /// Attempts running.
    pub running: u32,
    /// Attempts queued.
    pub queued: u32,
}

/// Events counted for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Offers taken in.
    pub offers: u64,
    /// Attempts started.
    pub started: u64,
    /// Attempts that waited in the queue.
    pub queued: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Queued attempts handed back.
    pub revoked: u64,
    /// Attempts fenced by a question before they were offered.
    pub fenced: u64,
    /// Offers dropped because the attempt was known already.
    pub late_offers: u64,
    /// Looks at the upstream's pace that were asked for.
    pub probes: u64,
    /// Attempts refused because the upstream is cold and bears no more for now.
    pub refused_cold: u64,
    /// Attempts refused because the upstream takes no more within the limit that it names.
    pub refused_limited: u64,
    /// Queued attempts refused in favour of another account's of their rank.
    pub refused_for_account: u64,
    /// Starts on a word that was fresh already.
    pub probes_saved: u64,
    /// Runs reported because they took much longer than usual.
    pub stragglers: u64,
    /// Completions dropped because the attempt was not running.
    pub late_completions: u64,
}
