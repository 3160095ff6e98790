//! Log lines about connections and requests for which there was no room.

use crate::limit::{allowed, Kind as Line};
use crate::stats;
use buffers::Closed;
use names::{Moment, MILLISECOND};
use std::net::SocketAddr;

/// A connection is closed because of `cause`: `memory`, or `connections` in favour of a new one.
pub fn connection_closed(cause: &'static str, closed: &Closed, now: Moment) {
    let holding = closed.holding;
    let (kind, activity) = (closed.kind.as_str(), holding.activity.as_str());
    stats::connection_closed(cause, kind, activity);
    if allowed(Line::Closed) {
        tracing::warn!(
            cause,
            kind,
            peer = %closed.peer,
            activity,
            bytes = holding.bytes,
            held_ms = now.since(holding.since) / MILLISECOND,
            "a connection is closed"
        );
    }
}

/// The oldest connection at `port` is closed in favour of a new one.
pub fn port_connection_closed(port: &'static str, peer: SocketAddr) {
    stats::connection_closed("connections", port, "-");
    if allowed(Line::Closed) {
        tracing::warn!(cause = "connections", kind = port, %peer, "a connection is closed");
    }
}

/// A request of `caller` is refused because there is no memory for its body.
pub fn request_refused_for_memory(caller: &str) {
    stats::memory_refused();
    if allowed(Line::Closed) {
        tracing::warn!(caller, "a request is refused: no memory for its body");
    }
}
