//! What was decided of second attempts, for logs and counters.

use names::{AttemptId, Name, MILLISECOND};

/// Time an entry node leaves for the way back, so that a refusal at the deadline still arrives in
/// time: two crossings and some slack, in microseconds.
pub const RETURN_TIME_US: u64 = 3 * MILLISECOND;

/// What was decided of a second attempt, or came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// A second attempt was made.
    Made,
    /// The second attempt brought the answer.
    WonByHedge,
    /// The first attempt brought the answer.
    WonByFirst,
    /// No second attempt was made.
    Refused(HedgeRefusal),
}

/// Why no second attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The request may not run once more, or an upstream ended while it ran the request or a copy of it.
    NotAllowed,
    /// The service is short of slots.
    ShortOfSlots,
    /// No other upstream of the hall may have a free slot.
    NoUpstream,
    /// A run of usual length would not end before the deadline.
    TooLate,
    /// The service's retry budget has no room.
    BudgetExhausted,
}

impl HedgeDecision {
    /// A fixed lower-case name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            HedgeDecision::Made => "made",
            HedgeDecision::WonByHedge => "won-by-second",
            HedgeDecision::WonByFirst => "won-by-first",
            HedgeDecision::Refused(_) => "refused",
        }
    }

    /// Why it was refused, in the same form; a dash where it was not.
    pub fn reason(self) -> &'static str {
        match self {
            HedgeDecision::Refused(HedgeRefusal::NotAllowed) => "not-allowed",
            HedgeDecision::Refused(HedgeRefusal::ShortOfSlots) => "short",
            HedgeDecision::Refused(HedgeRefusal::NoUpstream) => "no-upstream",
            HedgeDecision::Refused(HedgeRefusal::TooLate) => "too-late",
            HedgeDecision::Refused(HedgeRefusal::BudgetExhausted) => "budget",
            _ => "-",
        }
    }
}

/// A decision with what it was made from, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hedge {
    /// What was decided.
    pub decision: HedgeDecision,
    /// The attempt that straggled.
    pub first: AttemptId,
    /// The attempt made beside it.
    pub hedged: Option<AttemptId>,
    /// Where the second attempt goes, or would have gone.
    pub to: Option<Name>,
    /// Time since the first attempt was offered, in microseconds.
    pub since_offer_us: u64,
    /// Time left until the caller's deadline, in microseconds.
    pub remaining_us: u64,
    /// Expected time of a second run, in microseconds; none where no upstream was chosen.
    pub expected_us: Option<u64>,
    /// Age of what was known of the chosen upstream, in microseconds.
    pub load_age_us: Option<u64>,
    /// Time since the last refusal as busy of an offer of this service that might queue, in microseconds; none when
    /// there was none.
    pub since_busy_us: Option<u64>,
}
