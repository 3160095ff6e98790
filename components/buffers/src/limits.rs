//! The limits that follow from the memory of the VM.

/// Memory that the program itself needs, in bytes: code, stack, threads.
const PROGRAM_BYTES: usize = 12 * 1024 * 1024;
/// Fraction of the memory that the allocator may lose between blocks.
const FRAGMENTATION_DIVISOR: usize = 10;
/// Bytes that the buffers of one caller's socket may hold unread or unsent.
const SOCKET_BYTES: usize = 32 * 1024;
/// The heap gets this fraction of the memory at most: a message that is passed on exists in two copies
/// for a moment.
const HEAP_DIVISOR: usize = 2;
/// The heap gets this fraction of the memory at least, however many connections are open.
const MIN_HEAP_DIVISOR: usize = 8;
/// Part of the heap that messages of other nodes may use beyond the limit: they also carry what ends
/// requests, and so frees memory.
const PEER_DIVISOR: usize = 8;
/// Part of the heap that is freed beyond the excess, so that not every read evicts a connection.
const HEADROOM_DIVISOR: usize = 16;
/// Part of the heap that the answers waiting on one connection may use before no further request is
/// read there.
const SHARE_DIVISOR: usize = 8;
/// Part of the heap for answers that are kept for replay, in each of their two tables.
const REPLAY_DIVISOR: usize = 16;
/// The largest message may use this fraction of the memory.
const MESSAGE_DIVISOR: usize = 10;

/// Limits on the memory that a node holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    memory_bytes: usize,
}

impl Limits {
    /// What a connection may always hold, in bytes: an ordinary request is read whatever the others
    /// hold.
    pub const ALLOWANCE_BYTES: usize = 16 * 1024;

    /// The limits of a node on a VM with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> Limits {
        Limits { memory_bytes }
    }

    /// Maximum size of the heap with this many connections of callers, in bytes.
    pub fn heap_bytes(&self, connections: usize) -> usize {
        let sockets = connections * SOCKET_BYTES;
        let lost = PROGRAM_BYTES + self.memory_bytes / FRAGMENTATION_DIVISOR + sockets;
        let rest = self.memory_bytes.saturating_sub(lost);
        rest.min(self.memory_bytes / HEAP_DIVISOR)
            .max(self.memory_bytes / MIN_HEAP_DIVISOR)
    }

    /// What messages of other nodes may use beyond a heap limit, in bytes.
    pub fn peer_bytes(&self) -> usize {
        self.memory_bytes / HEAP_DIVISOR / PEER_DIVISOR
    }

    /// What is freed beyond the excess, in bytes.
    pub fn headroom_bytes(&self) -> usize {
        self.memory_bytes / HEAP_DIVISOR / HEADROOM_DIVISOR
    }

    /// Answers that may wait on one connection before no further request is read there, in bytes.
    pub fn share_bytes(&self) -> usize {
        self.memory_bytes / HEAP_DIVISOR / SHARE_DIVISOR
    }

    /// Maximum size of the answers that one table keeps for replay, in bytes.
    pub fn replay_bytes(&self) -> usize {
        self.memory_bytes / HEAP_DIVISOR / REPLAY_DIVISOR
    }

    /// Maximum size of one body, in bytes.
    pub fn message_bytes(&self) -> usize {
        self.memory_bytes / MESSAGE_DIVISOR
    }
}
