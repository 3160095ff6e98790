//! Error types shared by all components.
//!
//! [`Error`] is for failures at run time: it names the step that failed and the peer.
//! [`Problem`] is for files written by people: it names file, line, section, key and value.

mod contained;
mod problem;

pub use contained::catch_panic;
pub use problem::{Problem, Problems};

use std::fmt;

/// The operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading or checking settings.
    Settings,
    /// Opening a connection.
    Connect,
    /// Authenticating this node to a peer, or a peer to this node.
    Handshake,
    /// Encoding or decoding a frame between nodes.
    Frame,
    /// Reading a caller's request.
    CallerRequest,
    /// Exchanging a request and its response with an upstream.
    Upstream,
    /// Calling the platform's object API.
    Platform,
    /// Reading or checking declarations.
    Declarations,
    /// Serving requests at the operators' address.
    Operators,
    /// Reading a registration that an upstream sends to its local node.
    Registration,
}

impl Step {
    /// Fixed lower-case name for logs and metric labels.
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

/// A failure at run time.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{step} with {peer}: {cause}")]
pub struct Error {
    /// The operation that failed.
    pub step: Step,
    /// The peer: an address, a VM's name, or `-` if there is none.
    pub peer: String,
    /// What went wrong, as reported by the library that detected it.
    pub cause: String,
}

impl Error {
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl fmt::Display) -> Error {
        Error {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}

/// A result with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
