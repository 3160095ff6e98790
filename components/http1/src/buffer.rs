//! Bytes that were received and not consumed yet.

/// Memory that an empty buffer keeps, in bytes: connections stay open between messages.
const MAX_IDLE_CAPACITY: usize = 16_384;

/// A queue of bytes. Consuming does not move the rest, so that many small parts cost no more than one
/// large one.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    /// Number of bytes at the beginning that were consumed.
    consumed: usize,
}

impl Buffer {
    /// The bytes that were not consumed yet.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends received bytes.
    pub(crate) fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Consumes the first `length` bytes.
    pub(crate) fn consume(&mut self, length: usize) {
        self.consumed += length;
        assert!(self.consumed <= self.bytes.len(), "consumed too many bytes");
        if self.is_empty() {
            self.consumed = 0;
            self.bytes.clear();
            self.bytes.shrink_to(MAX_IDLE_CAPACITY);
        }
    }

    /// Removes and returns the first `length` bytes.
    pub(crate) fn take(&mut self, length: usize) -> Vec<u8> {
        if self.consumed == 0 && length == self.bytes.len() {
            return std::mem::take(&mut self.bytes);
        }
        let taken = self.bytes()[..length].to_vec();
        self.consume(length);
        taken
    }
}
