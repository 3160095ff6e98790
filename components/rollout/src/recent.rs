//! The revisions that were in force lately, as far as it matters what a node lacks that still has one of them.

use crate::head::Digest;
use crate::node::Configuration;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Revisions that are remembered: changes in quick succession come faster than nodes take them in.
const MOST: usize = 8;

/// One revision.
#[derive(Debug)]
struct Known {
    /// Tells its content from all others.
    content_id: u64,
    objects: BTreeSet<Digest>,
}

/// What each of them consisted of.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    known: VecDeque<Known>,
}

impl Recent {
    /// A revision is in force from now on.
    pub(crate) fn put(&mut self, content_id: u64, configuration: &Configuration) {
        if self.known.len() == MOST {
            self.known.pop_front();
        }
        let objects = configuration.objects.keys().cloned().collect();
        self.known.push_back(Known {
            content_id,
            objects,
        });
    }

    /// What a node lacks of `configuration` that has the revision of this `content`; none if that is not remembered.
    pub(crate) fn delta_for(
        &self,
        content_id: u64,
        configuration: &Configuration,
    ) -> Option<Configuration> {
        let known = self
            .known
            .iter()
            .find(|known| known.content_id == content_id)?;
        let objects = configuration.objects.iter();
        let objects: BTreeMap<Digest, ByteBuf> = objects
            .filter(|(digest, _)| !known.objects.contains(*digest))
            .map(|(digest, bytes)| (digest.clone(), bytes.clone()))
            .collect();
        Some(Configuration {
            head: configuration.head.clone(),
            objects,
            read_at: configuration.read_at,
        })
    }
}
