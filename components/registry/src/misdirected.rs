//! Whether an offer reaches the upstream that its sender chose.
//!
//! Records of other nodes are acted on while they are out of date: a node that has just started reads
//! them from the store, and announcements take time. Another upstream, even of another service, may
//! be on the VM by then. Only its local node knows, and compares.

use crate::incarnation::Incarnation;
use crate::local::LocalUpstream;
use names::Name;

/// The part of an offer that contradicts the local upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misdirection {
    /// The local upstream is of another service.
    Service,
    /// The local upstream is of the service, but another incarnation was chosen.
    Instance,
}

impl Misdirection {
    /// Fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Misdirection::Service => "service",
            Misdirection::Instance => "instance",
        }
    }
}

impl LocalUpstream {
    /// The incarnation at which an offer for `service` runs; none while no upstream is known.
    /// `chosen` is the incarnation that the sender chose; none if the sender is a node of a version
    /// that did not name it.
    pub fn receive_offer(
        &self,
        service: &Name,
        chosen: Option<&Incarnation>,
    ) -> Result<Option<Incarnation>, Misdirection> {
        let Some(current) = self.current() else {
            return Ok(None);
        };
        if current.service != *service {
            return Err(Misdirection::Service);
        }
        let current = current.incarnation();
        if chosen.is_some_and(|chosen| !chosen.matches(&current)) {
            return Err(Misdirection::Instance);
        }
        Ok(Some(current))
    }
}
