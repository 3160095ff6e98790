//! Routes: the requests to a host whose path has a certain prefix go to one service, or to several
//! by weight, with a treatment that the route declares.

use names::Name;
use policy::Treatment;

/// A service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    pub service: Name,
    /// Fraction of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub name: Name,
    /// Host without port, in lower case.
    pub host: String,
    /// Prefix of the path.
    pub path: String,
    /// Services that get the requests; at least one.
    pub shares: Vec<Share>,
    pub treatment: Treatment,
    /// Time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// Whether requests need no key of a client account.
    pub open: bool,
}

/// A service whose upstreams register with their local nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredService {
    pub name: Name,
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Maximum number of connections that an upstream accepts, from all callers together.
    pub max_connections: u32,
    /// Capacity of the upstreams while they are cold; `None`: the same as when warm.
    pub cold: Option<ColdStart>,
}

/// Rate of requests that an upstream sustains after its start, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Request starts per second.
    pub starts_per_s: u32,
    /// How long the upstream is cold, in milliseconds.
    pub duration_ms: u64,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_ms: u64,
    /// Timeout of an idle connection between two requests, in milliseconds.
    pub idle_ms: u64,
}
