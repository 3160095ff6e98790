//! Times that follow from the bound on how soon a change must be in force.

/// A node that has heard of no watcher for this part of the bound asks for itself. The rest is for its own
/// call, for one that fails first, and for checking what comes.
const QUIET_PART: u64 = 3;
/// A watcher speaks this many times within the time after which it counts as silent, so that one word that
/// comes late changes nothing.
const WORDS_IN_QUIET: u64 = 2;
/// A watcher asks anew when what it holds was not confirmed for this part of the bound, whatever its open watch
/// says: a connection that has fallen silent looks like one without news.
const CONFIRM_PART: u64 = 3;
/// The watchers of a hall are spread over this part of the bound, so that mostly one of them asks.
const CONFIRM_SPREAD_PART: u64 = 12;
/// What a node holds counts as stale when it was not confirmed for this part of the bound: the watchers have
/// had their turn by then. The rest is for a call that fails, and for one that brings the change.
const STALE_PART: u64 = 2;

/// The times of one fleet, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two words of a watcher.
    pub notice_interval_us: u64,
    /// A watcher that has said nothing for so long doesn't count.
    pub notice_timeout_us: u64,
    /// Over which the nodes that find no watcher are spread, and for which they leave a try to another.
    pub jitter_us: u64,
    /// A watcher asks anew once what it holds was not confirmed for so long.
    pub confirm_after_us: u64,
    /// Over which the watchers are spread then.
    pub confirm_jitter_us: u64,
    /// What was not confirmed for so long counts as stale.
    pub stale_after_us: u64,
    /// A node that starts waits for connections to its hall for so long at most. Its callers' changes bind it only
    /// after that.
    pub connect_timeout_us: u64,
}

impl Timing {
    /// The times for a fleet in which a change must be in force within `bound_us`.
    pub fn for_bound(bound_us: u64) -> Timing {
        let notice_timeout_us = bound_us / QUIET_PART;
        Timing {
            notice_interval_us: notice_timeout_us / WORDS_IN_QUIET,
            notice_timeout_us,
            jitter_us: notice_timeout_us / WORDS_IN_QUIET,
            confirm_after_us: bound_us / CONFIRM_PART,
            confirm_jitter_us: bound_us / CONFIRM_SPREAD_PART,
            stale_after_us: bound_us / STALE_PART,
            connect_timeout_us: bound_us,
        }
    }
}
