//! What copies of a request have in common.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of the digest that are kept: two different requests share them with a chance of 1 in 10^19 even where
/// a billion are compared.
const BYTES: usize = 16;

/// Digest of method, host, target and body. The identity of a try, its deadline and the VM at which it arrives
/// differ between copies of one request and don't enter. A body can't be read from it, but a guess can be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request to `target` on `host`.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut kept = [0; BYTES];
        kept.copy_from_slice(&digest[..BYTES]);
        Fingerprint(kept)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> String {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = String;

    /// Reads the hexadecimal form; the error names the text.
    fn try_from(text: String) -> Result<Fingerprint, String> {
        let is_hex = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(&text, 16);
        match number {
            Ok(number) if is_hex => Ok(Fingerprint(number.to_be_bytes())),
            _ => Err(format!("{text:?} is no fingerprint of a request")),
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
