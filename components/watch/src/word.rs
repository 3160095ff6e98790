//! What nodes of a hall tell each other of their calls to the platform.

use serde::{Deserialize, Serialize};

/// What a node says of its own calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchNotice {
    /// It is about to ask: others need not ask at the same moment.
    #[serde(rename = "Asks")]
    Querying,
    /// The platform has answered it, and it waits there for changes.
    #[serde(rename = "Watches")]
    Watching,
    /// The platform gave it no answer: another node should try, after a pause.
    Failed,
}

impl WatchNotice {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WatchNotice::Querying => "asks",
            WatchNotice::Watching => "watches",
            WatchNotice::Failed => "failed",
        }
    }
}
