//! The purposes of calls to the platform.

/// The purpose of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Reads the operators' declarations, at the start or after a change.
    Declarations,
    /// Reads which data halls are evacuated.
    Evacuations,
    /// Waits for changes.
    Watch,
    /// Reads the nodes' records, or the list of VMs.
    Fleet,
    /// Writes or removes this node's own record.
    OwnRecord,
}

impl Purpose {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Declarations => "declarations",
            Purpose::Evacuations => "evacuations",
            Purpose::Watch => "watch",
            Purpose::Fleet => "fleet",
            Purpose::OwnRecord => "own-record",
        }
    }
}
