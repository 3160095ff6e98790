//! Error types shared by all components.
//!
//! [`Error`] is for failures at run time: it carries the step and the peer at which it arose.
//! [`Problem`] is for input written by people: it names file, line, section, key and value.

mod contained;
mod problem;

pub use contained::catch_panic;
pub use problem::{Problem, Problems};

use std::fmt;

/// The step of the work during which a failure arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading or checking settings.
    Settings,
    /// Opening a connection.
    Connect,
    /// Proving to a peer that this process belongs to the fleet, or checking such a proof.
    Handshake,
    /// Encoding or decoding a frame between nodes.
    Frame,
    /// Reading a request of a caller.
    CallerRequest,
    /// Exchanging a request and its answer with an upstream.
    Upstream,
    /// Calling the platform's object API.
    Platform,
    /// Reading or checking declarations.
    Declarations,
    /// Serving the operators' address.
    Operators,
    /// Reading what an upstream sends to the node beside it.
    Registration,
}

impl Step {
    /// A fixed lower-case name, used in logs and as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Step::Settings => "settings",
            Step::Connect => "connect",
            Step::Handshake => "handshake",
            Step::Frame => "frame",
            Step::CallerRequest => "caller request",
            Step::Upstream => "upstream",
            Step::Platform => "platform",
            Step::Declarations => "declarations",
            Step::Operators => "operators",
            Step::Registration => "registration",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failure, with the step and the peer (address or name) at which it arose.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{step} with {peer}: {cause}")]
pub struct Error {
    /// What was being done.
    pub step: Step,
    /// The other side: an address, a VM's name, or `-` where there is none.
    pub peer: String,
    /// What went wrong, in the words of the library that noticed.
    pub cause: String,
}

impl Error {
    /// Builds an error from anything printable.
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl fmt::Display) -> Error {
        Error {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}

/// A result whose error carries step and peer.
pub type Result<T> = std::result::Result<T, Error>;
