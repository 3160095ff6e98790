//! Revisions on their way to the check.

use crate::head::{split_sections, Change, Head};
use crate::node::Configuration;
use declarations::Bundle;
use era::Position;

/// A revision that was not checked yet.
#[derive(Debug)]
pub struct UncheckedRevision {
    pub(crate) configuration: Configuration,
    /// The files, where this node made the content objects of them: those need not be digested again and put together.
    pub(crate) bundle: Option<Bundle>,
}

impl UncheckedRevision {
    /// The revision that this node makes of files which it read at `read`. Every node makes the same of the same.
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

    /// The revision with its content.
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
