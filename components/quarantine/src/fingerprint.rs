//! Identification of copies of a request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a fingerprint, a prefix of the digest. The chance that any two of a billion different
/// requests have the same prefix is below 1 in 10^19.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of method, host, target and body. The request ID, the deadline and the VM at which a request
/// arrives differ between copies of it and are not included. The body can't be recovered from the
/// digest, but a guess of it can be verified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request to `target` on `host`.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut prefix = [0; FINGERPRINT_BYTES];
        prefix.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(prefix)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> String {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = String;

    /// Parses the hexadecimal form. The error contains the text.
    fn try_from(text: String) -> Result<Fingerprint, String> {
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(&text, 16);
        match number {
            Ok(number) if is_hex => Ok(Fingerprint(number.to_be_bytes())),
            _ => Err(format!("{text:?} is not a request fingerprint")),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
