//! Routes: requests of a host below a path go to one service, or to several by weight, and are
//! treated in a fixed way.

use names::Name;
use policy::Treatment;

/// One service of a route, with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its part of the requests, relative to the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// Host without port, in lower case.
    pub host: String,
    /// Prefix of the path.
    pub path: String,
    /// Where requests go; one share at least.
    pub shares: Vec<Share>,
    /// How they are treated.
    pub treatment: Treatment,
    /// Time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Whether requests need no key of a client account.
    pub open: bool,
}

/// A service whose upstreams register themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredService {
    /// Its name.
    pub name: Name,
    /// Path of the upstreams' health check.
    pub health_path: String,
    /// Connections that an upstream accepts from all callers together.
    pub max_connections: u32,
    /// What its upstreams bear while they are cold; none: as much as at other times.
    pub cold: Option<ColdStart>,
}

/// What an upstream bears after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Requests a second.
    pub starts_per_s: u32,
    /// How long, in milliseconds.
    pub duration_ms: u64,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
    pub idle_ms: u64,
}
