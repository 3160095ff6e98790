//! Decides from whom a node fetches a newer revision: the store or one peer at a time.

use names::{Moment, Name, MILLISECOND};

/// Time that a node waits for the store's answer before it requests a small revision from a peer, in
/// microseconds. A sixth of the shortest time within which a change has to be in force (2 s). A watch at
/// the store delivers a small revision within milliseconds of the first report of it, unless its
/// connection is unresponsive.
pub const SMALL_STORE_WAIT_US: u64 = 333 * MILLISECOND;
/// The same time for a large revision, in microseconds. On a link of 10 Mbit/s the store's answer of
/// 0.74 MB takes 0.6 s, and a second copy at the same time would double that.
pub const STORE_WAIT_US: u64 = 1_000 * MILLISECOND;
/// Timeout of a small copy, in microseconds, after which another peer is tried. A sixth of the same
/// 2 s; 32 KB take 26 ms on a link of 10 Mbit/s.
pub const SMALL_FETCH_TIMEOUT_US: u64 = 333 * MILLISECOND;
/// After this many small copies that timed out the store is read: two thirds of the 2 s are left then.
const MAX_SMALL_COPIES: u32 = 2;
/// Timeout of a large copy or of a read of the store, in microseconds: 2.5 MB on a link of 10 Mbit/s. It
/// doubles with each fetch that timed out, so that larger revisions arrive as well.
pub const FETCH_TIMEOUT_US: u64 = 2_000 * MILLISECOND;
/// A revision larger than this, in bytes, is read from the store instead of copied from another node.
/// Two watchers send 30 copies of this size each to a hall of 60 nodes within 0.4 s over links of
/// 20 Mbit/s. A copy of 0.6 MB would take 0.24 s of a watcher's link, and there would be 30 of them.
pub const LARGE_BYTES: u64 = 32 * 1024;
/// Maximum number of doublings of the timeout.
const MAX_DOUBLINGS: u32 = 4;

/// State of this node when a peer reports something newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// Revision in force here; 0 for none.
    pub revision: u64,
    /// Whether a call to the store is waiting for its answer.
    pub awaits_store: bool,
    /// Whether one call to the store returns a complete revision.
    pub can_read_store: bool,
}

impl LocalState {
    /// Whether this node waits for the store before it requests a copy from a peer. A node
    /// without a revision can't serve requests and doesn't wait: when half of 13 nodes restart while
    /// the store is unresponsive, waiting would cost 0.05 of the value of all requests.
    fn waits_for_store(self) -> bool {
        self.awaits_store && self.revision > 0
    }
}

/// What to do after a peer reported something newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Request it from this peer.
    Ask,
    /// Read it from the store: it is large, or peers did not send it in time.
    Read,
    /// Check again at this time. The store may have answered by then.
    Hold(Moment),
    /// Do nothing: it is being fetched, or the store still has time to answer.
    Wait,
}

#[derive(Debug)]
struct PendingFetch {
    /// The peer from which a copy was requested; none for the store.
    peer: Option<Name>,
    times_out_at: Moment,
}

/// Fetches of newer content. Peers send content only on request, and a node requests it from one
/// peer at a time: when each of the 20 nodes of a hall sent its copy to a joining node, the 8 MB kept
/// that node's link busy for up to 20 s. A fetch has a timeout within the time that a change may take,
/// since the peer may be paused or its answers may be lost.
#[derive(Debug, Default)]
pub struct Fetch {
    pending: Option<PendingFetch>,
    /// Until when this node waits for the store; none if it has not waited for this update.
    store_wait_until: Option<Moment>,
    failures: u32,
    /// Whether a read of the store has failed.
    store_failed: bool,
}

impl Fetch {
    /// `peer` reported something newer than `local`, of which this node lacks `bytes`.
    pub fn on_newer(&mut self, now: Moment, peer: &Name, local: LocalState, bytes: u64) -> Advice {
        if let Some(pending) = &self.pending {
            if now < pending.times_out_at {
                return Advice::Wait;
            }
            self.failures += 1;
            self.pending = None;
        }
        if local.waits_for_store() {
            match self.store_wait_until {
                None => {
                    let wait_us = if bytes > LARGE_BYTES {
                        STORE_WAIT_US
                    } else {
                        SMALL_STORE_WAIT_US
                    };
                    let until = now + wait_us;
                    self.store_wait_until = Some(until);
                    return Advice::Hold(until);
                }
                Some(until) if now < until => return Advice::Wait,
                Some(_) => {}
            }
        }
        let is_large = bytes > LARGE_BYTES;
        let needs_store = is_large || self.failures >= MAX_SMALL_COPIES;
        let reads_store = local.can_read_store && needs_store && !self.store_failed;
        let timeout_us = if is_large || reads_store {
            FETCH_TIMEOUT_US << self.failures.min(MAX_DOUBLINGS)
        } else {
            SMALL_FETCH_TIMEOUT_US
        };
        self.pending = Some(PendingFetch {
            peer: (!reads_store).then(|| peer.clone()),
            times_out_at: now + timeout_us,
        });
        if reads_store {
            Advice::Read
        } else {
            Advice::Ask
        }
    }

    /// Records that a read of the store failed: copies are requested from peers from now on.
    pub fn store_failed(&mut self) {
        self.store_failed = true;
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.peer.is_none())
        {
            self.pending = None;
        }
    }

    /// Fetches that timed out since newer content was last applied.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Newer content was applied: the pending fetch is complete or no longer needed.
    pub fn on_applied(&mut self) {
        *self = Fetch::default();
    }

    /// The connection to `peer` was lost, and with it a pending copy from there.
    pub fn on_connection_lost(&mut self, peer: &Name) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.peer.as_ref() == Some(peer))
        {
            self.pending = None;
        }
    }
}
