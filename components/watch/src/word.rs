//! Notices that the nodes of a hall send each other about their calls to the platform.

use serde::{Deserialize, Serialize};

/// A notice of a node about its own calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchNotice {
    /// The node is about to query the platform; others need not do so at the same time.
    #[serde(rename = "Asks")]
    Querying,
    /// The platform has answered the node, which now waits there for changes.
    #[serde(rename = "Watches")]
    Watching,
    /// The platform did not answer the node; another one should try, after a pause.
    Failed,
}

impl WatchNotice {
    /// Fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WatchNotice::Querying => "asks",
            WatchNotice::Watching => "watches",
            WatchNotice::Failed => "failed",
        }
    }
}
