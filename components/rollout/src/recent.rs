//! Recent revisions, from which a node computes what a peer that has one of them lacks.

use crate::head::Digest;
use crate::node::Configuration;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Revisions that are remembered. Several are needed because changes in quick succession arrive faster
/// than nodes apply them.
const MAX_REVISIONS: usize = 8;

#[derive(Debug)]
struct RecentRevision {
    content_id: u64,
    objects: BTreeSet<Digest>,
}

/// Digests of the content objects of recent revisions, oldest revision first.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    revisions: VecDeque<RecentRevision>,
}

impl Recent {
    /// Adds a revision that was put in force.
    pub(crate) fn add(&mut self, content_id: u64, configuration: &Configuration) {
        if self.revisions.len() == MAX_REVISIONS {
            self.revisions.pop_front();
        }
        let objects = configuration.objects.keys().cloned().collect();
        self.revisions.push_back(RecentRevision {
            content_id,
            objects,
        });
    }

    /// `configuration` without the content objects that a node with `content_id` already has; none if
    /// that revision is not remembered.
    pub(crate) fn delta_for(
        &self,
        content_id: u64,
        configuration: &Configuration,
    ) -> Option<Configuration> {
        let recent = self
            .revisions
            .iter()
            .find(|recent| recent.content_id == content_id)?;
        let objects = configuration.objects.iter();
        let objects: BTreeMap<Digest, ByteBuf> = objects
            .filter(|(digest, _)| !recent.objects.contains(*digest))
            .map(|(digest, bytes)| (digest.clone(), bytes.clone()))
            .collect();
        Some(Configuration {
            head: configuration.head.clone(),
            objects,
            read_at: configuration.read_at,
        })
    }
}
