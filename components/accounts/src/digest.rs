//! What stands for a key once it was read.

use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Bytes of the SHA-256 digest that are kept: enough that nobody finds a second key for a digest, and half of what
/// declarations with thousands of keys would take otherwise.
const BYTES: usize = 16;

/// The digest of a key. Keys are random and long, so a digest doesn't lead back to its key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// The digest of a key, byte for byte as it was sent.
    pub fn of(key: &[u8]) -> KeyDigest {
        let digest = Sha256::digest(key);
        let mut kept = [0; BYTES];
        kept.copy_from_slice(&digest[..BYTES]);
        KeyDigest(kept)
    }

    /// The part by which a table finds the few digests that may be equal.
    pub(crate) fn bucket(&self) -> [u8; 8] {
        let mut bucket = [0; 8];
        bucket.copy_from_slice(&self.0[..8]);
        bucket
    }
}

/// Takes the same time wherever two digests differ.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl FromStr for KeyDigest {
    type Err = ();

    /// Reads the hexadecimal form.
    fn from_str(text: &str) -> Result<KeyDigest, ()> {
        let is_hex = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(number) if is_hex => Ok(KeyDigest(number.to_be_bytes())),
            _ => Err(()),
        }
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Says nothing: digests don't belong into lines.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
