//! Short digests of the records, by which nodes find out what they know differently.
//!
//! Records are dealt to buckets by their VM. Nodes compare one digest of all; where it differs, the digests of
//! the buckets; and only for buckets that differ the versions. With 295 nodes, versions of all records were
//! three quarters of the bytes between halls: 10 KB for each comparison that found any difference.

use crate::record::Record;
use names::Name;
use sha2::{Digest, Sha256};

/// Buckets: at 300 nodes about five records in each, at the users' largest target 24.
pub const BUCKETS: usize = 64;
/// Bytes of one bucket's digest.
const DIGEST_BYTES: usize = 4;

/// Which buckets, one bit each.
pub type BucketSet = u64;

/// The digests of all buckets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digests([u32; BUCKETS]);

impl Default for Digests {
    fn default() -> Digests {
        Digests([0; BUCKETS])
    }
}

impl Digests {
    /// Takes a record in, or out again.
    pub(crate) fn toggle(&mut self, record: &Record) {
        self.0[bucket(&record.vm)] ^= record_digest(record);
    }

    /// One digest of all: nodes that know the same have the same.
    pub fn combined(&self) -> u64 {
        let hash = Sha256::digest(self.to_bytes());
        u64::from(first_u32(&hash)) << 32 | u64::from(first_u32(&hash[DIGEST_BYTES..]))
    }

    /// As they are sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let digests = self.0.iter();
        digests.flat_map(|digest| digest.to_le_bytes()).collect()
    }

    /// As they came; none when these are no digests.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digests> {
        if bytes.len() != BUCKETS * DIGEST_BYTES {
            return None;
        }
        let mut digests = Digests::default();
        for (digest, bytes) in digests.0.iter_mut().zip(bytes.chunks_exact(DIGEST_BYTES)) {
            *digest = first_u32(bytes);
        }
        Some(digests)
    }

    /// The buckets in which `other` differs.
    pub fn differing(&self, other: &Digests) -> BucketSet {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .fold(0, |set, (index, _)| set | 1 << index)
    }
}

/// Whether the records of a VM are in one of the buckets.
pub(crate) fn is_in(set: BucketSet, vm: &Name) -> bool {
    set >> bucket(vm) & 1 == 1
}

fn bucket(vm: &Name) -> usize {
    let hash = Sha256::digest(vm.as_str().as_bytes());
    first_u32(&hash) as usize % BUCKETS
}

/// Tells a record from any other: by all that it says, since somebody else may have changed it under its version.
pub(crate) fn record_digest(record: &Record) -> u32 {
    let mut hasher = Sha256::new();
    let mut text = |text: &str| {
        hasher.update(text.as_bytes());
        hasher.update([0]);
    };
    text(record.vm.as_str());
    text(record.hall.as_str());
    text(&record.peers);
    if let Some(upstream) = &record.upstream {
        text(upstream.id.as_str());
        text(upstream.service.as_str());
        text(&upstream.address);
        text(upstream.state.as_str());
        hasher.update(upstream.born_ms.unwrap_or(0).to_le_bytes());
        hasher.update(upstream.slots.to_le_bytes());
    }
    hasher.update(record.boot.0.to_le_bytes());
    hasher.update(record.version.generation.to_le_bytes());
    hasher.update(record.version.change.to_le_bytes());
    hasher.update([u8::from(record.serving)]);
    for held in &record.quarantined {
        hasher.update(held.to_string().as_bytes());
    }
    first_u32(&hasher.finalize())
}

fn first_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
