//! Whole requests and answers, as nodes pass them on.

use names::Name;
use quarantine::Fingerprint;
use serde::{Deserialize, Serialize};

/// A whole request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Service it is for.
    #[serde(rename = "s")]
    pub service: Name,
    /// HTTP method, as it came.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query.
    #[serde(rename = "t")]
    pub target: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(rename = "b")]
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// How many services the call has passed, 0 for an outside caller.
    #[serde(rename = "l")]
    pub level: u32,
    /// Identity that the caller gave its try; `-` for none.
    pub id: String,
    /// Client account in whose name it runs; none where none is needed.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
}

impl Request {
    /// What copies of this request have in common.
    pub fn fingerprint(&self) -> Fingerprint {
        let is_host = |name: &str| name.eq_ignore_ascii_case("host");
        let host = self.headers.iter().find(|(name, _)| is_host(name));
        let host = host.map_or("", |(_, value)| value.as_str());
        Fingerprint::of(&self.method, host, &self.target, &self.body)
    }
}

/// A whole answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Reason phrase, as the upstream gave it.
    #[serde(rename = "r")]
    pub reason: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(rename = "b")]
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Length that a `HEAD` answer declares for the body it leaves out.
    #[serde(rename = "l")]
    pub head_length: Option<u64>,
}

impl Answer {
    /// Whether the upstream reports an error of its own.
    pub fn is_error(&self) -> bool {
        self.status >= 500
    }
}
