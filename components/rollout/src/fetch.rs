//! Which other node is asked for what this one lacks: one at a time.

use names::{Moment, Name, MILLISECOND};

/// A node that asks the store itself leaves it so long to answer, in microseconds, where the revision is small: a sixth of the shortest time
/// within which users' changes have to be in force (2 s). Its watch brings a small revision within milliseconds
/// of the first word of it, or its connection has fallen silent.
pub const SMALL_STORE_WAIT_US: u64 = 333 * MILLISECOND;
/// The same for a large revision: on a link of 10 Mbit/s the store's answer of 0.74 MB takes 0.6 s, and a second
/// copy beside it would double that.
pub const STORE_WAIT_US: u64 = 1_000 * MILLISECOND;
/// A small copy that was asked for is waited for so long, in microseconds, before another node is asked: a sixth
/// of the same time. 32 KB take 26 ms on a link of 10 Mbit/s.
pub const SMALL_FETCH_TIMEOUT_US: u64 = 333 * MILLISECOND;
/// After so many small copies that did not come the store is asked: two thirds of the time are left then.
const SMALL_COPIES: u32 = 2;
/// The same for a large copy: 2.5 MB on a link of 10 Mbit/s. It doubles with each copy that does not come, so
/// that the larger ones come as well.
pub const FETCH_TIMEOUT_US: u64 = 2_000 * MILLISECOND;
/// A revision larger than this is read from the store rather than copied from another node, in bytes. Two
/// watchers give 30 copies of this size each to a hall of 60 nodes within 0.4 s over links of 20 Mbit/s; each
/// copy of 0.6 MB would take 0.24 s of one watcher's link, and there would be 30 of them.
pub const LARGE_BYTES: u64 = 32 * 1024;
/// Doublings of the patience at most.
const MOST_DOUBLINGS: u32 = 4;

/// How this node stands while another one knows something newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalState {
    /// Revision in force here; 0 for none.
    pub revision: u64,
    /// Whether it waits for the store's own answer.
    pub awaits_store: bool,
    /// Whether one call to the store brings a whole revision.
    pub can_read_store: bool,
}

impl LocalState {
    /// Whether the store is given time. A node without a revision serves nobody and asks at once: when half
    /// of 13 nodes restart while the store is silent, waiting would cost 0.05 of the worth of all requests
    /// (mean of three seeds).
    fn waits_for_store(self) -> bool {
        self.awaits_store && self.revision > 0
    }
}

/// What to do when another node was found to know something newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// Ask it for what is newer.
    Ask,
    /// Read what is newer from the store: it is large.
    Read,
    /// Look again after this moment: the store may have answered by then.
    Hold(Moment),
    /// It is on its way already.
    Wait,
}

#[derive(Debug)]
struct Asked {
    /// The node; none for the store.
    peer: Option<Name>,
    until: Moment,
}

/// Copies that were asked for. A node that was asked may be paused, and the connection to it may take no answer
/// back, so that none is waited for longer than a change can wait. Only what is asked for is sent, and only one node is asked at a time: in a
/// hall of 20 nodes each sent its own copy to a node that joined, 8 MB in all, which kept its link busy for
/// up to 20 s.
#[derive(Debug, Default)]
pub struct Fetch {
    asked: Option<Asked>,
    hold: Option<Moment>,
    failures: u32,
    /// Whether the store gave no answer to a read of what is newer.
    store_failed: bool,
}

impl Fetch {
    /// `peer` knows something newer, of `bytes`, than this node, which stands like this.
    pub fn on_newer(
        &mut self,
        now: Moment,
        peer: &Name,
        standing: LocalState,
        bytes: u64,
    ) -> Advice {
        if let Some(asked) = &self.asked {
            if now < asked.until {
                return Advice::Wait;
            }
            self.failures += 1;
            self.asked = None;
        }
        if standing.waits_for_store() {
            match self.hold {
                None => {
                    let hold_us = if bytes > LARGE_BYTES {
                        STORE_WAIT_US
                    } else {
                        SMALL_STORE_WAIT_US
                    };
                    let hold = now + hold_us;
                    self.hold = Some(hold);
                    return Advice::Hold(hold);
                }
                Some(hold) if now < hold => return Advice::Wait,
                Some(_) => {}
            }
        }
        let is_large = bytes > LARGE_BYTES;
        let needs_store = is_large || self.failures >= SMALL_COPIES;
        let reads = standing.can_read_store && needs_store && !self.store_failed;
        let patience_us = if is_large || reads {
            FETCH_TIMEOUT_US << self.failures.min(MOST_DOUBLINGS)
        } else {
            SMALL_FETCH_TIMEOUT_US
        };
        self.asked = Some(Asked {
            peer: (!reads).then(|| peer.clone()),
            until: now + patience_us,
        });
        if reads {
            Advice::Read
        } else {
            Advice::Ask
        }
    }

    /// The store gave no answer: other nodes are asked for what is newer.
    pub fn store_failed(&mut self) {
        self.store_failed = true;
        if self
            .asked
            .as_ref()
            .is_some_and(|asked| asked.peer.is_none())
        {
            self.asked = None;
        }
    }

    /// Copies that were asked for in vain since something newer was in force.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Something newer is in force: what was asked for is here, or is not needed any more.
    pub fn on_applied(&mut self) {
        *self = Fetch::default();
    }

    /// A connection to `peer` ended, and with it the copy that was asked for there.
    pub fn on_connection_lost(&mut self, peer: &Name) {
        if self
            .asked
            .as_ref()
            .is_some_and(|asked| asked.peer.as_ref() == Some(peer))
        {
            self.asked = None;
        }
    }
}
