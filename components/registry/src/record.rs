//! What a node says of itself and of the upstream beside it.
//!
//! The names of fields are short on the way and in the store: records are most of what nodes of different
//! halls tell one another. The long ones are read as well, since earlier versions wrote them.

use crate::incarnation::Incarnation;
use names::{BootId, Name};
use quarantine::Fingerprint;
use serde::{Deserialize, Serialize};

/// Life of one run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Has ended, or is about to; never comes back under this identity.
    Gone,
}

impl State {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// One start of an upstream, with what it says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its identity, which a later start may have again.
    #[serde(rename = "i", alias = "id")]
    pub id: Name,
    /// When it started, in ms since 1970 by its own clock; none if its platform doesn't say.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
    /// Service that it belongs to.
    #[serde(rename = "s", alias = "service")]
    pub service: Name,
    /// Where it serves, as address and port.
    #[serde(rename = "a", alias = "address")]
    pub address: String,
    /// Requests it works on at once.
    #[serde(rename = "t", alias = "slots")]
    pub slots: u32,
    /// Its state.
    #[serde(rename = "z", alias = "state")]
    pub state: State,
}

impl Instance {
    /// Which start this is.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born_ms: self.born_ms,
        }
    }
}

/// Orders the records of one VM: the generation rises with each start of its node, the change with
/// each change of the record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Version {
    /// Start of the node.
    #[serde(rename = "g", alias = "generation")]
    pub generation: u64,
    /// Change within that start.
    #[serde(rename = "c", alias = "change")]
    pub change: u64,
}

/// Highest number of starts, or of changes within one, that a version may have: with one a second it is reached after
/// 136 years. Nothing could be told over a record with the largest number there is, and its VM would be lost to all.
const MOST_COUNTED: u64 = u32::MAX as u64;

impl Version {
    /// Whether a node can have come so far.
    pub fn is_plausible(self) -> bool {
        self.generation <= MOST_COUNTED && self.change <= MOST_COUNTED
    }
}

/// What a node tells the others of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The VM.
    #[serde(rename = "v", alias = "vm")]
    pub vm: Name,
    /// Its data hall.
    #[serde(rename = "h", alias = "hall")]
    pub hall: Name,
    /// Where its node serves peers, as address and port.
    #[serde(rename = "p", alias = "peers")]
    pub peers: String,
    /// The run of its node.
    #[serde(rename = "b", alias = "boot")]
    pub boot: BootId,
    /// Which record of the VM is the newer one.
    #[serde(rename = "n", alias = "version")]
    pub version: Version,
    /// Whether the node takes work for its upstream; false during a planned stop.
    #[serde(rename = "s", alias = "serving")]
    pub serving: bool,
    /// The upstream beside the node, once one has registered.
    #[serde(rename = "u", alias = "upstream")]
    pub upstream: Option<Instance>,
    /// Requests that no upstream may see, because upstreams ended while they ran them; those of which this node
    /// saw an end. They stand here since every node reads the records when it starts.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<Fingerprint>,
}

impl Record {
    /// Whether its upstream has said that it is gone: the VM goes with it, or another one is started there.
    pub fn is_gone(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_some_and(|upstream| upstream.state == State::Gone)
    }

    /// Whether the upstream takes new work through its node.
    pub fn is_ready(&self) -> bool {
        let ready = |upstream: &Instance| upstream.state == State::Ready;
        self.serving && self.upstream.as_ref().is_some_and(ready)
    }
}
