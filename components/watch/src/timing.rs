//! Times derived from the bound on how soon a change must be in force.

/// A node that has received no watcher's notice for the bound divided by this queries the platform
/// itself. The rest of the bound is for its own call, for one that fails first, and for checking
/// the answer.
const NOTICE_TIMEOUT_DIVISOR: u64 = 3;
/// Notices that a watcher sends within the notice timeout: a single late one has no effect.
const NOTICES_PER_TIMEOUT: u64 = 2;
/// A watcher queries again when its state was not confirmed for the bound divided by this, even
/// while its watch is open: an unresponsive connection looks like one without updates.
const CONFIRM_DIVISOR: u64 = 3;
/// The watchers of a hall add a random delay of up to the bound divided by this, so that usually
/// only one of them queries.
const CONFIRM_JITTER_DIVISOR: u64 = 12;
/// A node's state is stale when it was not confirmed for the bound divided by this: by then the
/// watchers should have queried. The rest is for a call that fails, and for one that returns the
/// change.
const STALE_DIVISOR: u64 = 2;

/// Times of one fleet, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two notices of a watcher.
    pub notice_interval_us: u64,
    /// A watcher without a notice for this long is disregarded.
    pub notice_timeout_us: u64,
    /// Longest random delay of nodes that find no watcher, and how long they defer to another
    /// node's try.
    pub jitter_us: u64,
    /// A watcher queries again when its state was not confirmed for this long.
    pub confirm_after_us: u64,
    /// Longest random delay of the watchers in that case.
    pub confirm_jitter_us: u64,
    /// State that was not confirmed for this long is stale.
    pub stale_after_us: u64,
    /// Longest wait of a starting node for connections to its hall. The bound applies to its
    /// callers' changes only after that.
    pub connect_timeout_us: u64,
}

impl Timing {
    /// Times for a fleet in which a change must be in force within `bound_us`.
    pub fn for_bound(bound_us: u64) -> Timing {
        let notice_timeout_us = bound_us / NOTICE_TIMEOUT_DIVISOR;
        Timing {
            notice_interval_us: notice_timeout_us / NOTICES_PER_TIMEOUT,
            notice_timeout_us,
            jitter_us: notice_timeout_us / NOTICES_PER_TIMEOUT,
            confirm_after_us: bound_us / CONFIRM_DIVISOR,
            confirm_jitter_us: bound_us / CONFIRM_JITTER_DIVISOR,
            stale_after_us: bound_us / STALE_DIVISOR,
            connect_timeout_us: bound_us,
        }
    }
}
