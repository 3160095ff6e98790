//! Digests of the records, by which nodes find records that differ between them.
//!
//! Records are distributed over buckets by VM. Nodes first compare one combined digest, then the
//! digests of the buckets if it differs, and record versions only for the buckets that differ. With
//! 295 nodes, the versions of all records took three quarters of the traffic between halls: 10 KB
//! for each comparison that found a difference.

use crate::record::Record;
use names::Name;
use sha2::{Digest, Sha256};

/// Number of buckets: about five records per bucket with 300 nodes, 24 in the largest target
/// deployment.
pub const BUCKETS: usize = 64;
/// Size of the digest of one bucket.
const DIGEST_BYTES: usize = 4;

/// A set of buckets, one bit per bucket.
pub type BucketSet = u64;

/// Digests of all buckets. The digest of a bucket is the XOR of the digests of its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digests([u32; BUCKETS]);

impl Default for Digests {
    fn default() -> Digests {
        Digests([0; BUCKETS])
    }
}

impl Digests {
    /// Adds a record, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, record: &Record) {
        self.0[bucket(&record.vm)] ^= record_digest(record);
    }

    /// One digest of all records; equal on nodes that have the same records.
    pub fn combined(&self) -> u64 {
        let hash = Sha256::digest(self.to_bytes());
        u64::from(first_u32(&hash)) << 32 | u64::from(first_u32(&hash[DIGEST_BYTES..]))
    }

    /// The form that is sent to other nodes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let digests = self.0.iter();
        digests.flat_map(|digest| digest.to_le_bytes()).collect()
    }

    /// Reads the form that [`Digests::to_bytes`] writes; `None` if the length is wrong.
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

    /// The buckets whose digests differ between `self` and `other`.
    pub fn differing(&self, other: &Digests) -> BucketSet {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .fold(0, |set, (index, _)| set | 1 << index)
    }
}

/// Whether the record of a VM belongs to one of the buckets in `set`.
pub(crate) fn is_in(set: BucketSet, vm: &Name) -> bool {
    set >> bucket(vm) & 1 == 1
}

fn bucket(vm: &Name) -> usize {
    let hash = Sha256::digest(vm.as_str().as_bytes());
    first_u32(&hash) as usize % BUCKETS
}

/// Digest of a record. It covers all fields, since another writer may have changed the record without
/// changing its version.
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
    for fingerprint in &record.quarantined {
        hasher.update(fingerprint.to_string().as_bytes());
    }
    first_u32(&hasher.finalize())
}

fn first_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
