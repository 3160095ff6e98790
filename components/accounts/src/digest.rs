//! Digests that stand in for API keys after parsing.

use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Length of the kept prefix of the SHA-256 digest. 128 bits make it infeasible to find a second
/// key for a digest, and take half the space of full digests in declarations with thousands of
/// keys.
const BYTES: usize = 16;

/// The digest of a key. Keys are long and random, so that a key can't be recovered from its digest.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// Hashes the bytes of a key exactly as received.
    pub fn of(key: &[u8]) -> KeyDigest {
        let digest = Sha256::digest(key);
        let mut prefix = [0; BYTES];
        prefix.copy_from_slice(&digest[..BYTES]);
        KeyDigest(prefix)
    }

    /// The key under which a hash table stores the digest. Digests with the same key are rare and are
    /// compared in full.
    pub(crate) fn table_key(&self) -> [u8; 8] {
        let mut table_key = [0; 8];
        table_key.copy_from_slice(&self.0[..8]);
        table_key
    }
}

/// Compares in constant time, so that response times reveal nothing about a digest.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl FromStr for KeyDigest {
    type Err = ();

    /// Parses the hexadecimal form.
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

/// Redacted: digests must not appear in logs.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
