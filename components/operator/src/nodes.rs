//! Talking to nodes at their operators' addresses.

use async_std::future::timeout;
use async_std::net::TcpStream;
use errors::{Error, Result, Step};
use http_types::{Method, Request, Url};
use rollout::Configuration;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for a node.
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
    /// The store's era; none where it tells none.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// The store's revision up to which the node read the declarations in that era; none when it is not known.
    #[serde(default)]
    pub store_revision: Option<u64>,
    /// Whether the platform answered the node last time.
    pub platform_reachable: bool,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
    /// Attempts running.
    pub in_flight: u32,
    /// Attempts queued.
    pub queued: u32,
    /// Attempts that may run at once.
    pub limit: u32,
    /// Requests that no upstream sees.
    #[serde(default)]
    pub held: Vec<QuarantinedRequest>,
}

/// A request that an operator frees, and the entry in the audit trail.
#[derive(Debug, Clone, Serialize)]
pub struct Release {
    /// The request's fingerprint, as log lines name it.
    pub fingerprint: String,
    /// Who frees it.
    pub who: String,
    /// Why.
    pub why: String,
}

/// A request that the nodes hold.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request's fingerprint.
    pub fingerprint: String,
    /// Ends of upstreams under it that the node knows of.
    pub ends: u32,
}

/// The state of the node at `address`.
pub async fn status(address: &str) -> Result<NodeStatus> {
    let bytes = call(address, Method::Get, "/status", None, Vec::new()).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::new(Step::Operators, address, error))
}

/// Makes the upstream beside the node take no new work, or take it again.
pub async fn drain(address: &str, fleet_key: &str, drained: bool) -> Result<()> {
    let path = if drained { "/drain" } else { "/undrain" };
    call(address, Method::Post, path, Some(fleet_key), Vec::new()).await?;
    Ok(())
}

/// Frees a request that the nodes hold, through the node at `address`; returns what it made of it.
pub async fn release(address: &str, fleet_key: &str, release: &Release) -> Result<String> {
    let body =
        serde_json::to_vec(release).map_err(|error| Error::new(Step::Operators, address, error))?;
    let bytes = call(address, Method::Post, "/release", Some(fleet_key), body).await?;
    Ok(String::from_utf8_lossy(&bytes).trim().to_string())
}

/// Hands a node a revision that the platform has accepted; returns what the node made of it.
pub async fn push(address: &str, fleet_key: &str, configuration: &Configuration) -> Result<String> {
    let body = wire::encode_message(configuration);
    let bytes = call(
        address,
        Method::Post,
        "/configuration",
        Some(fleet_key),
        body,
    )
    .await?;
    Ok(String::from_utf8_lossy(&bytes).trim().to_string())
}

async fn call(
    address: &str,
    method: Method,
    path: &str,
    fleet_key: Option<&str>,
    body: Vec<u8>,
) -> Result<Vec<u8>> {
    let fail = |error: String| Error::new(Step::Operators, address, error);
    let exchange = async {
        let url = Url::parse(&format!("http://{address}{path}"))
            .map_err(|error| fail(error.to_string()))?;
        let mut req = Request::new(method, url);
        if let Some(key) = fleet_key {
            req.insert_header("authorization", format!("Bearer {key}"));
        }
        req.insert_header("connection", "close");
        req.set_body(body);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| fail(error.to_string()))?;
        let mut res = async_h1::client::connect(stream, req)
            .await
            .map_err(|error| fail(error.to_string()))?;
        let bytes = res
            .body_bytes()
            .await
            .map_err(|error| fail(error.to_string()))?;
        if !res.status().is_success() {
            return Err(fail(format!("status {}", res.status())));
        }
        Ok(bytes)
    };
    timeout(NODE_TIMEOUT, exchange)
        .await
        .map_err(|_| fail("no answer in time".to_string()))?
}
