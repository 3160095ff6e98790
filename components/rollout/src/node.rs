//! The revisions of one node: which one is in force and which offered ones are accepted.

use crate::head::{join, Digest, Head};
use crate::made::UncheckedRevision;
use crate::recent::Recent;
use declarations::{Bundle, Declarations, IncrementalCheck};
use era::{Era, Position};
use evacuation::Evacuated;
use names::Name;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a node reports to its peers about the state that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Revision in force; 0 for none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Size of its content, in bytes.
    #[serde(rename = "b")]
    pub bytes: u64,
    /// Bytes of that content that a node with the previous revision lacks.
    #[serde(rename = "d", default)]
    pub change_bytes: u64,
    /// Version of the platform's list of VMs; 0 for none.
    #[serde(rename = "l")]
    pub list_version: u64,
    /// Time since the platform was last confirmed to hold nothing newer, in microseconds; none if it
    /// never was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_us_ago: Option<u64>,
    /// Highest known era of the platform's store, to which that time belongs; none if the store
    /// reports no eras.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// Distinguishes different contents of the same revision; 0 for none.
    #[serde(rename = "c", default)]
    pub content_id: u64,
    /// Position in the store at which the content was last read.
    #[serde(rename = "w", default, skip_serializing_if = "Position::is_none")]
    pub read_at: Position,
    /// Halls that are evacuated; none if that is not known.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<Evacuated>,
}

impl Summary {
    /// Whether both nodes hold the same content, list of VMs and evacuated halls.
    pub fn is_in_sync_with(&self, other: &Summary) -> bool {
        let same_list = self.list_version == other.list_version;
        self.has_same_content_as(other) && same_list && self.halls() == other.halls()
    }

    fn halls(&self) -> Option<&BTreeSet<Name>> {
        let evacuated = self.evacuated.as_ref();
        evacuated.map(|evacuated| &evacuated.halls)
    }

    /// Whether this node has newer content or a newer list of VMs than `other`.
    pub fn is_newer_than(&self, other: &Summary) -> bool {
        self.has_newer_content_than(other) || self.list_version > other.list_version
    }

    /// Bytes to send to `other` for the revision in force here.
    pub fn bytes_for(&self, other: &Summary) -> u64 {
        if other.revision == 0 {
            self.bytes
        } else {
            self.change_bytes
        }
    }

    /// Whether the content here is newer than that of `other`: its revision is higher, or the same
    /// revision has different content here that was read at a later position.
    pub fn has_newer_content_than(&self, other: &Summary) -> bool {
        if self.revision != other.revision {
            return self.revision > other.revision;
        }
        self.content_id != other.content_id && self.read_at.supersedes(&other.read_at)
    }

    fn has_same_content_as(&self, other: &Summary) -> bool {
        self.revision == other.revision && self.content_id == other.content_id
    }
}

/// A revision with its content, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    pub head: Head,
    /// Content objects that the head names.
    pub objects: BTreeMap<Digest, ByteBuf>,
    /// Position in the platform's store at which it was read.
    #[serde(rename = "read", default, skip_serializing_if = "Position::is_none")]
    pub read_at: Position,
}

impl Configuration {
    /// Copies the content objects that its head names and it lacks from `other`.
    pub fn complete_from(&mut self, other: &Configuration) {
        for part in self.head.files.iter().flat_map(|file| &file.parts) {
            if self.objects.contains_key(part) {
                continue;
            }
            if let Some(bytes) = other.objects.get(part) {
                self.objects.insert(part.clone(), bytes.clone());
            }
        }
    }

    /// Joins the content objects into the files of the revision.
    pub fn bundle(&self) -> Result<Bundle, String> {
        join(&self.head, &self.objects)
    }

    /// Bytes of its content that `other` lacks.
    fn new_bytes(&self, other: Option<&Configuration>) -> u64 {
        let is_new =
            |digest: &Digest| other.is_none_or(|other| !other.objects.contains_key(digest));
        let new = self.objects.iter().filter(|(digest, _)| is_new(digest));
        new.map(|(_, bytes)| bytes.len() as u64).sum()
    }

    /// Size of its content, in bytes.
    pub fn size(&self) -> usize {
        self.objects.values().map(|object| object.len()).sum()
    }
}

/// The revision by which requests are served. A request uses one value of this throughout.
#[derive(Debug)]
pub struct InForce {
    /// The revision with its content.
    pub configuration: Configuration,
    /// The checked declarations.
    pub declarations: Declarations,
}

/// Result of offering a revision to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offered {
    /// Accepted: it is in force now.
    Taken,
    /// Already in force.
    Same,
    /// Rejected: lower than the revision in force.
    Older,
    /// Rejected: the revision in force has the same number and different content. The store returned
    /// to an older copy or was forged.
    Differs,
    /// Already being checked.
    UnderWay,
    /// Rejected: it failed the check.
    Bad(String),
}

/// Counters for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RolloutCounters {
    /// Revisions that were put in force.
    pub applied: u64,
    /// Offers of a lower revision.
    pub older: u64,
    /// Offers of the revision in force with different content.
    pub differs: u64,
    /// Offers that failed the check.
    pub invalid: u64,
}

/// The revision in force on a node, and the ones being checked.
#[derive(Debug, Default)]
pub struct Rollout {
    in_force: Option<Arc<InForce>>,
    /// Distinguishes the content in force from others of the same revision; 0 for none.
    content_id: u64,
    /// Bytes of the content in force that the previous revision lacked.
    change_bytes: u64,
    recent: Recent,
    /// Position in the store at which the content in force was last read.
    read_at: Position,
    /// Newest revision that is being checked, and the position at which it was read.
    checking: Option<(u64, Position)>,
    counters: RolloutCounters,
}

/// The check of one revision, carried out in steps.
#[derive(Debug)]
pub struct RevisionCheck {
    configuration: Configuration,
    check: IncrementalCheck,
    digested_bytes: usize,
}

impl RevisionCheck {
    /// Bytes of content whose digests were computed and compared with the head.
    pub fn digested_bytes(&self) -> usize {
        self.digested_bytes
    }

    /// Bytes of the declarations that the check has read so far.
    pub fn bytes_read(&self) -> declarations::BytesRead {
        self.check.bytes_read()
    }

    /// Runs one step and returns the outcome once it is known.
    pub fn step(&mut self) -> Option<Result<Declarations, String>> {
        let checked = self.check.step()?;
        Some(checked.map_err(|problems| problems.to_string()))
    }
}

impl Rollout {
    /// Revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.head.revision)
    }

    /// Size of the content in force, in bytes; 0 for none.
    pub fn bytes(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.size() as u64)
    }

    /// Bytes of the content in force that a node with the previous revision lacks.
    pub fn change_bytes(&self) -> u64 {
        self.change_bytes
    }

    /// The revision in force without the content objects that a node with `content_id` already has.
    /// The full revision if `content_id` is not one of the recent ones.
    pub fn delta_for(&self, content_id: u64) -> Option<Configuration> {
        let configuration = &self.in_force.as_ref()?.configuration;
        let delta = self.recent.delta_for(content_id, configuration);
        Some(delta.unwrap_or_else(|| configuration.clone()))
    }

    /// Highest revision in force or being checked. This node need not be sent it or any lower one.
    pub fn newest_revision(&self) -> u64 {
        let checking = self.checking.map_or(0, |(revision, _)| revision);
        self.revision().max(checking)
    }

    /// Distinguishes the content in force from others of the same revision; 0 for none.
    pub fn content_id(&self) -> u64 {
        self.content_id
    }

    /// Position in the store at which the content in force was last read.
    pub fn read_at(&self) -> Position {
        self.read_at
    }

    /// Records that this node or another one read the content in force at `position` as well.
    pub fn advance_read_at(&mut self, position: Position) {
        if position.supersedes(&self.read_at) {
            self.read_at = position;
        }
    }

    /// The revision in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    pub fn counters(&self) -> RolloutCounters {
        self.counters
    }

    /// Checks from the head alone whether a revision that was read at `read_at` can be accepted, before
    /// its content is fetched. Counts rejected heads.
    pub fn precheck(&mut self, head: &Head, read_at: Position) -> Result<(), Offered> {
        let Some(in_force) = &self.in_force else {
            return Ok(());
        };
        let current = &in_force.configuration.head;
        if head.revision > current.revision {
            return Ok(());
        }
        if head.revision < current.revision {
            self.counters.older += 1;
            return Err(Offered::Older);
        }
        if head == current {
            self.advance_read_at(read_at);
            return Err(Offered::Same);
        }
        if read_at.supersedes(&self.read_at) {
            // The store lost the revision in force, and its number was used again for other content.
            return Ok(());
        }
        self.counters.differs += 1;
        Err(Offered::Differs)
    }

    /// Checks a revision to the end and puts it in force if it is accepted. The rules are the same for
    /// revisions from the platform, a peer or an operator's tool.
    pub fn offer(&mut self, offered: impl Into<UncheckedRevision>) -> Offered {
        let mut check = match self.begin_check(offered) {
            Ok(check) => check,
            Err(offered) => return offered,
        };
        loop {
            if let Some(checked) = check.step() {
                return self.end_check(check, checked);
            }
        }
    }

    /// Begins the check of a revision. The caller runs its steps and passes the result to
    /// [`Rollout::end_check`].
    ///
    /// The configuration may leave out content objects of the revision in force.
    pub fn begin_check(
        &mut self,
        offered: impl Into<UncheckedRevision>,
    ) -> Result<RevisionCheck, Offered> {
        let UncheckedRevision {
            mut configuration,
            bundle,
        } = offered.into();
        if let Some(in_force) = &self.in_force {
            configuration.complete_from(&in_force.configuration);
        }
        self.precheck(&configuration.head, configuration.read_at)?;
        let revision = configuration.head.revision;
        if self.is_being_checked(revision, configuration.read_at) {
            return Err(Offered::UnderWay);
        }
        let digested_bytes = if bundle.is_some() {
            0
        } else {
            configuration.size()
        };
        let bundle = match bundle {
            Some(bundle) => bundle,
            None => configuration.bundle().map_err(|error| self.reject(error))?,
        };
        let current = self
            .in_force
            .as_ref()
            .map(|in_force| &in_force.declarations);
        let check = IncrementalCheck::new(bundle, current);
        self.checking = Some((revision, configuration.read_at));
        Ok(RevisionCheck {
            configuration,
            check,
            digested_bytes,
        })
    }

    /// Ends the check of a revision and puts it in force, unless the check failed or a higher revision
    /// is in force by now.
    pub fn end_check(
        &mut self,
        check: RevisionCheck,
        checked: Result<Declarations, String>,
    ) -> Offered {
        let configuration = check.configuration;
        let revision = configuration.head.revision;
        if self.checking == Some((revision, configuration.read_at)) {
            self.checking = None;
        }
        let declarations = match checked {
            Ok(declarations) => declarations,
            Err(error) => return self.reject(error),
        };
        if let Err(offered) = self.precheck(&configuration.head, configuration.read_at) {
            return offered;
        }
        let previous = self.revision();
        assert!(
            revision >= previous,
            "revision {revision} may not replace {previous}"
        );
        self.content_id = configuration.head.short_digest();
        self.read_at = configuration.read_at;
        let previous = self.in_force.as_ref();
        self.change_bytes =
            configuration.new_bytes(previous.map(|in_force| &in_force.configuration));
        self.recent.add(self.content_id, &configuration);
        self.in_force = Some(Arc::new(InForce {
            configuration,
            declarations,
        }));
        self.counters.applied += 1;
        Offered::Taken
    }

    /// Whether this revision, a newer reading of it or a higher one is being checked.
    fn is_being_checked(&self, revision: u64, read_at: Position) -> bool {
        match self.checking {
            Some((checked, position)) if checked == revision => !read_at.supersedes(&position),
            Some((checked, _)) => revision < checked,
            None => false,
        }
    }

    fn reject(&mut self, error: String) -> Offered {
        self.counters.invalid += 1;
        Offered::Bad(error)
    }
}
