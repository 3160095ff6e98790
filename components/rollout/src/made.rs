//! Revisions that have not been checked yet.

use crate::head::{split_sections, Change, Head};
use crate::node::Configuration;
use declarations::Bundle;
use era::Position;

/// A revision to be checked.
#[derive(Debug)]
pub struct UncheckedRevision {
    pub(crate) configuration: Configuration,
    /// The files, if this node split them into the content objects itself. Then the objects need
    /// not be digested again and joined.
    pub(crate) bundle: Option<Bundle>,
}

impl UncheckedRevision {
    /// Creates a revision from files that this node read at `read_at`. The result depends only on the
    /// arguments, so that all nodes create the same.
    pub fn from_bundle(
        revision: u64,
        change: Change,
        bundle: Bundle,
        read_at: Position,
    ) -> UncheckedRevision {
        let (files, objects) = split_sections(&bundle);
        let head = Head {
            revision,
            previous: None,
            change,
            files,
        };
        let configuration = Configuration {
            head,
            objects,
            read_at,
        };
        UncheckedRevision {
            configuration,
            bundle: Some(bundle),
        }
    }

    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
}

impl From<Configuration> for UncheckedRevision {
    fn from(configuration: Configuration) -> UncheckedRevision {
        UncheckedRevision {
            configuration,
            bundle: None,
        }
    }
}
