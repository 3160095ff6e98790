//! Calls to nodes at their operators' addresses.

use async_std::future::timeout;
use async_std::net::ToSocketAddrs;
use errors::{Error, Result, Step};
use http1::ResponseTimeouts;
use rollout::Configuration;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;
/// Timeout of a call to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a node's state that operators' tools read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// VM.
    pub vm: String,
    /// Data hall.
    pub hall: String,
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// Version of the platform's list.
    pub list_version: u64,
    /// The store's era; none where the store reports none.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// The store's revision up to which the node has read the declarations in that era; none when
    /// it is not known.
    #[serde(default)]
    pub store_revision: Option<u64>,
    /// Whether the platform answered the node's last call.
    pub platform_reachable: bool,
    /// Whether the upstream is draining: it gets no new work.
    pub leaving: bool,
    /// Attempts running.
    pub in_flight: u32,
    /// Attempts queued.
    pub queued: u32,
    /// Maximum of concurrent attempts.
    pub limit: u32,
    /// Quarantined requests, which no upstream receives.
    #[serde(default)]
    pub held: Vec<QuarantinedRequest>,
}

/// The release of a request from quarantine by an operator, with the data for the audit trail.
#[derive(Debug, Clone, Serialize)]
pub struct Release {
    /// The request's fingerprint, as log lines name it.
    pub fingerprint: String,
    /// Who releases it.
    pub who: String,
    /// Why.
    pub why: String,
}

/// A quarantined request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request's fingerprint.
    pub fingerprint: String,
    /// Number of known terminations of upstreams that were processing it.
    pub ends: u32,
}

/// The state of the node at `address`.
pub async fn status(address: &str) -> Result<NodeStatus> {
    let bytes = call(address, "GET", "/status", None, Vec::new()).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::new(Step::Operators, address, error))
}

/// Drains the upstream of the node at `address`, or ends the drain.
pub async fn drain(address: &str, fleet_key: &str, drained: bool) -> Result<()> {
    let path = if drained { "/drain" } else { "/undrain" };
    call(address, "POST", path, Some(fleet_key), Vec::new()).await?;
    Ok(())
}

/// Releases a request from quarantine through the node at `address`; returns the node's answer.
pub async fn release(address: &str, fleet_key: &str, release: &Release) -> Result<String> {
    let body =
        serde_json::to_vec(release).map_err(|error| Error::new(Step::Operators, address, error))?;
    let bytes = call(address, "POST", "/release", Some(fleet_key), body).await?;
    Ok(String::from_utf8_lossy(&bytes).trim().to_string())
}

/// Sends a node a revision that the platform has accepted; returns the node's answer.
pub async fn push(address: &str, fleet_key: &str, configuration: &Configuration) -> Result<String> {
    let body = wire::encode_message(configuration);
    let bytes = call(address, "POST", "/configuration", Some(fleet_key), body).await?;
    Ok(String::from_utf8_lossy(&bytes).trim().to_string())
}

async fn call(
    address: &str,
    method: &str,
    path: &str,
    fleet_key: Option<&str>,
    body: Vec<u8>,
) -> Result<Vec<u8>> {
    let call_error = |error: String| Error::new(Step::Operators, address, error);
    let authorization = fleet_key.map(|key| format!("Bearer {key}"));
    let headers: Vec<(&str, &str)> = authorization
        .iter()
        .map(|value| ("Authorization", value.as_str()))
        .collect();
    let exchange = async {
        let resolved = address.to_socket_addrs().await;
        let resolved = resolved
            .map_err(|error| call_error(error.to_string()))?
            .next();
        let resolved = resolved.ok_or_else(|| call_error("no address is known".to_string()))?;
        let timeouts = ResponseTimeouts::uniform(NODE_TIMEOUT);
        let max_bytes = MAX_ANSWER_BYTES;
        let answer =
            http1::call(resolved, method, path, &headers, &body, max_bytes, timeouts).await;
        answer.map_err(|fault| call_error(fault.to_string()))
    };
    let (head, bytes) = timeout(NODE_TIMEOUT, exchange)
        .await
        .map_err(|_| call_error("no answer within the timeout".to_string()))??;
    if !(200..300).contains(&head.status) {
        return Err(call_error(format!("status {}", head.status)));
    }
    Ok(bytes)
}
