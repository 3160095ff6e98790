//! The record in which a node describes itself and its local upstream.
//!
//! Field names are short on the wire and in the store, since records make up most of the traffic
//! between halls. The long names are accepted as well, since earlier versions wrote them.

use crate::incarnation::Incarnation;
use names::{BootId, Name};
use quarantine::Fingerprint;
use serde::{Deserialize, Serialize};

/// Life cycle of an incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Accepts new work.
    Ready,
    /// Finishes its current work and accepts no new work.
    Draining,
    /// Has terminated or is about to; final for this incarnation.
    Gone,
}

impl State {
    /// Fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// An incarnation of an upstream, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its identifier. Later incarnations may have the same one.
    #[serde(rename = "i", alias = "id")]
    pub id: Name,
    /// Start time in ms since 1970 by its own clock; none if its platform does not report it.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
    #[serde(rename = "s", alias = "service")]
    pub service: Name,
    /// Address and port on which it serves requests.
    #[serde(rename = "a", alias = "address")]
    pub address: String,
    /// Number of requests that it processes concurrently.
    #[serde(rename = "t", alias = "slots")]
    pub slots: u32,
    #[serde(rename = "z", alias = "state")]
    pub state: State,
}

impl Instance {
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born_ms: self.born_ms,
        }
    }
}

/// An incarnation that accepts no more work, as the store remembers it for later boots of its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    #[serde(rename = "i")]
    pub id: Name,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
    #[serde(rename = "z")]
    pub state: State,
}

impl Departed {
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    /// The departure of an instance; none if it accepts work.
    pub fn of(instance: &Instance) -> Option<Departed> {
        (instance.state != State::Ready).then(|| Departed {
            id: instance.id.clone(),
            born_ms: instance.born_ms,
            state: instance.state,
        })
    }
}

/// Orders the records of one VM: `generation` increases with each boot of its node, `change` with
/// each change of the record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Version {
    /// Number of the boot.
    #[serde(rename = "g", alias = "generation")]
    pub generation: u64,
    /// Number of the change within that boot.
    #[serde(rename = "c", alias = "change")]
    pub change: u64,
}

/// Maximum of both numbers of a version: at one per second it is reached after 136 years. A record
/// with the largest `u64` could never be superseded, and its VM would stay unusable for all nodes.
const MAX_NUMBER: u64 = u32::MAX as u64;

impl Version {
    /// Whether a node can have reached this version.
    pub fn is_plausible(self) -> bool {
        self.generation <= MAX_NUMBER && self.change <= MAX_NUMBER
    }
}

/// Description of a node that it distributes to the other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    #[serde(rename = "v", alias = "vm")]
    pub vm: Name,
    #[serde(rename = "h", alias = "hall")]
    pub hall: Name,
    /// Address and port on which its node accepts connections from peers.
    #[serde(rename = "p", alias = "peers")]
    pub peers: String,
    /// The boot of its node.
    #[serde(rename = "b", alias = "boot")]
    pub boot: BootId,
    /// Determines which of two records of the VM is newer.
    #[serde(rename = "n", alias = "version")]
    pub version: Version,
    /// Whether the node accepts work for its upstream; false during a planned stop.
    #[serde(rename = "s", alias = "serving")]
    pub serving: bool,
    /// The node's local upstream, once one has registered.
    #[serde(rename = "u", alias = "upstream")]
    pub upstream: Option<Instance>,
    /// Requests that may not be sent to any upstream, because upstreams crashed while running them;
    /// only those for which this node observed a crash. They are part of the record because every
    /// node reads the records when it starts.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<Fingerprint>,
}

impl Record {
    /// Whether its upstream is gone. The VM is then removed, or another upstream is started on it.
    pub fn is_gone(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| upstream.state == State::Gone)
    }

    /// Whether the upstream accepts new work through its node.
    pub fn is_ready(&self) -> bool {
        let ready = |upstream: &Instance| upstream.state == State::Ready;
        self.serving && self.upstream.as_ref().is_some_and(ready)
    }
}

/// What the store holds of a node: its record, and what only a later boot of the node needs to know.
/// Nodes do not send the latter to one another. Earlier versions ignore it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    #[serde(flatten)]
    pub record: Record,
    /// Earlier incarnations of the upstream that accept no more work, oldest first. Their
    /// registrations may still arrive.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<Departed>,
    /// Whether an operator has drained the upstream.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub drained_by_operator: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl StoredRecord {
    /// All incarnations that the record lists as accepting no more work.
    pub fn all_departed(&self) -> impl Iterator<Item = Departed> + '_ {
        let current = self.record.upstream.as_ref().and_then(Departed::of);
        self.departed.iter().cloned().chain(current)
    }
}
