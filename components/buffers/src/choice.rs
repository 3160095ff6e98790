//! Which connections are closed when memory or connections run out.

use names::{Moment, SECOND};

/// A connection whose caller reads an answer is not closed in favour of a new connection before this
/// time, in microseconds.
const SLOW_READER_AFTER_US: u64 = SECOND;

/// What a connection is occupied with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Nothing; `has_served`: it has carried a complete request before.
    Idle { has_served: bool },
    /// A head or a body has begun to arrive.
    Receiving,
    /// A request is being served.
    Serving,
    /// An answer is ready, and the peer has not read all of it.
    Sending,
}

impl Activity {
    /// Fixed lower-case name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Activity::Idle { .. } => "idle",
            Activity::Receiving => "receiving",
            Activity::Serving => "serving",
            Activity::Sending => "sending",
        }
    }
}

/// What one connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    pub id: u64,
    pub activity: Activity,
    /// Since when it has this activity.
    pub since: Moment,
    /// Bytes that closing it frees.
    pub bytes: usize,
}

impl Holding {
    /// Bytes times microseconds. A peer that makes progress has a low cost, since it holds few bytes or
    /// holds them briefly.
    fn cost(&self, now: Moment) -> u128 {
        self.bytes as u128 * u128::from(now.since(self.since).max(1))
    }

    /// How readily the connection is closed for a new one; the lowest goes first, none if it is kept.
    fn displacement_rank(&self, now: Moment) -> Option<u8> {
        match self.activity {
            Activity::Idle { has_served: false } => Some(0),
            Activity::Idle { has_served: true } => Some(1),
            Activity::Receiving => Some(2),
            Activity::Sending if now.since(self.since) > SLOW_READER_AFTER_US => Some(3),
            Activity::Sending | Activity::Serving => None,
        }
    }
}

/// The connections to close until `excess` bytes are free: those that hold the most for the longest.
/// Connections that hold `allowance` bytes or less are kept, and those whose request is being served.
pub fn choose_evicted(
    now: Moment,
    excess: usize,
    allowance: usize,
    holdings: &[Holding],
) -> Vec<u64> {
    let is_evictable = |holding: &&Holding| {
        matches!(holding.activity, Activity::Receiving | Activity::Sending)
            && holding.bytes > allowance
    };
    let mut candidates: Vec<&Holding> = holdings.iter().filter(is_evictable).collect();
    candidates.sort_unstable_by_key(|holding| std::cmp::Reverse(holding.cost(now)));
    let mut freed = 0;
    let needed = candidates.into_iter().take_while(|holding| {
        let is_needed = freed < excess;
        freed += holding.bytes;
        is_needed
    });
    needed.map(|holding| holding.id).collect()
}

/// The connection to close in favour of a new one: an idle one, else one whose request does not
/// arrive, else one whose answer is read slowly; among these the one that has been so for the longest.
/// None if every connection has a request that is being served.
pub fn choose_displaced(now: Moment, holdings: &[Holding]) -> Option<u64> {
    let ranked = holdings.iter().filter_map(|holding| {
        let rank = holding.displacement_rank(now)?;
        Some(((rank, holding.since, holding.id), holding.id))
    });
    ranked.min().map(|(_, id)| id)
}
