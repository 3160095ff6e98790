//! Complete requests and responses, as nodes forward them.

use names::Name;
use quarantine::Fingerprint;
use serde::{Deserialize, Serialize};

/// A complete request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Service that the request is for.
    #[serde(rename = "s")]
    pub service: Name,
    /// HTTP method as received.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query.
    #[serde(rename = "t")]
    pub target: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    #[serde(rename = "b")]
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Call depth: number of services that the call has passed; 0 for an external caller.
    #[serde(rename = "l")]
    pub level: u32,
    /// ID that the caller gave this try; `-` for none.
    pub id: String,
    /// Client account for which the request runs; `None` if no account is needed.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
}

impl Request {
    /// Fingerprint of the request; it is the same for all copies.
    pub fn fingerprint(&self) -> Fingerprint {
        let is_host = |name: &str| name.eq_ignore_ascii_case("host");
        let host = self.headers.iter().find(|(name, _)| is_host(name));
        let host = host.map_or("", |(_, value)| value.as_str());
        Fingerprint::of(&self.method, host, &self.target, &self.body)
    }
}

/// A complete HTTP response of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Reason phrase as received from the upstream.
    #[serde(rename = "r")]
    pub reason: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    #[serde(rename = "b")]
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// `Content-Length` of a response to `HEAD`, which omits the body.
    #[serde(rename = "l")]
    pub head_length: Option<u64>,
}

impl Answer {
    /// Whether the status reports an error of the server.
    pub fn is_error(&self) -> bool {
        self.status >= 500
    }
}
