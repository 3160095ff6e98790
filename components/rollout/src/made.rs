//! Revisions on their way to the check.

use crate::head::{split_sections, Change, Head};
use crate::node::Configuration;
use declarations::Bundle;
use era::Position;

/// A revision that was not checked yet.
#[derive(Debug)]
pub struct Unchecked {
    pub(crate) configuration: Configuration,
    /// The files, where this node made the content objects of them: those need not be digested again and put together.
    pub(crate) bundle: Option<Bundle>,
}

impl Unchecked {
    /// The revision that this node makes of files which it read at `read`. Every node makes the same of the same.
    pub fn make(revision: u64, change: Change, bundle: Bundle, read: Position) -> Unchecked {
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
            read,
        };
        Unchecked {
            configuration,
            bundle: Some(bundle),
        }
    }

    /// The revision with its content.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
}

impl From<Configuration> for Unchecked {
    fn from(configuration: Configuration) -> Unchecked {
        Unchecked {
            configuration,
            bundle: None,
        }
    }
}
