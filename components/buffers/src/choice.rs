//! Which connections are closed when memory runs out.

use names::Moment;

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
