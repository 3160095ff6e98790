//! A node's side: taking in revisions.

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

/// What a node tells its peers of its knowledge.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Revision in force; 0 for none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Bytes of its content.
    #[serde(rename = "b")]
    pub bytes: u64,
    /// Bytes of it that a node lacks which holds the revision before it.
    #[serde(rename = "d", default)]
    pub change_bytes: u64,
    /// Version of the platform's list; 0 for none.
    #[serde(rename = "l")]
    pub list_version: u64,
    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it never was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_us_ago: Option<u64>,
    /// Highest era of the platform's store that is known, to which that time belongs; none where it tells none.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// Tells contents of one revision apart; 0 for none.
    #[serde(rename = "c", default)]
    pub content_id: u64,
    /// Where the content was last read in the store.
    #[serde(rename = "w", default, skip_serializing_if = "Position::is_none")]
    pub read_at: Position,
    /// Halls that are evacuated; none when nothing is known of that.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<Evacuated>,
}

impl Summary {
    /// Whether the same is known here as there.
    pub fn is_in_sync_with(&self, other: &Summary) -> bool {
        let same_list = self.list_version == other.list_version;
        self.has_same_content_as(other) && same_list && self.halls() == other.halls()
    }

    fn halls(&self) -> Option<&BTreeSet<Name>> {
        let evacuated = self.evacuated.as_ref();
        evacuated.map(|evacuated| &evacuated.halls)
    }

    /// Whether something here is newer than `other` knows.
    pub fn is_newer_than(&self, other: &Summary) -> bool {
        self.has_newer_content_than(other) || self.list_version > other.list_version
    }

    /// Bytes that `other` has to be sent for what is in force here.
    pub fn bytes_for(&self, other: &Summary) -> u64 {
        if other.revision == 0 {
            self.bytes
        } else {
            self.change_bytes
        }
    }

    /// Whether the content here is newer than that of `other`: its revision is higher, or it is another content of the
    /// same one and was read later.
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

/// A revision with all its content, as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The head.
    pub head: Head,
    /// The content objects that it names.
    pub objects: BTreeMap<Digest, ByteBuf>,
    /// Where it was read in the platform's store.
    #[serde(rename = "read", default, skip_serializing_if = "Position::is_none")]
    pub read_at: Position,
}

impl Configuration {
    /// Takes over what it names and lacks from another one.
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

    /// The files of the revision.
    pub fn bundle(&self) -> Result<Bundle, String> {
        join(&self.head, &self.objects)
    }

    /// Bytes of its content that another one lacks.
    fn size_beside(&self, other: Option<&Configuration>) -> u64 {
        let is_new = |digest: &Digest| other.is_none_or(|it| !it.objects.contains_key(digest));
        let new = self.objects.iter().filter(|(digest, _)| is_new(digest));
        new.map(|(_, bytes)| bytes.len() as u64).sum()
    }

    /// Bytes of its content.
    pub fn size(&self) -> usize {
        self.objects.values().map(|object| object.len()).sum()
    }
}

/// The revision by which requests are served; one request sees one value of this.
#[derive(Debug)]
pub struct InForce {
    /// The revision with its content.
    pub configuration: Configuration,
    /// The checked declarations.
    pub declarations: Declarations,
}

/// What became of an offered revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offered {
    /// Taken: it is in force now.
    Taken,
    /// In force already.
    Same,
    /// Lower than the one in force: not taken.
    Older,
    /// The same number with other content: not taken; the store went back or was forged.
    Differs,
    /// Being checked already.
    UnderWay,
    /// It does not pass the check: not taken.
    Bad(String),
}

/// Events counted for the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RolloutCounters {
    /// Revisions taken.
    pub applied: u64,
    /// Offers of a lower revision.
    pub older: u64,
    /// Offers of the same number with other content.
    pub differs: u64,
    /// Offers that did not pass the check.
    pub invalid: u64,
}

/// The revision a node has in force.
#[derive(Debug, Default)]
pub struct Rollout {
    in_force: Option<Arc<InForce>>,
    /// Tells the content in force from others of its revision; 0 for none.
    content_id: u64,
    /// Bytes of the content in force that the revision before it lacked.
    change_bytes: u64,
    recent: Recent,
    /// Where the content in force was last read.
    read_at: Position,
    /// Revision that is being checked, and where it was read; the newest if there are several.
    checking: Option<(u64, Position)>,
    counters: RolloutCounters,
}

/// A revision that is being checked, in steps.
#[derive(Debug)]
pub struct RevisionCheck {
    configuration: Configuration,
    steps: IncrementalCheck,
    digested: usize,
}

impl RevisionCheck {
    /// Bytes of content whose digests were compared with their names.
    pub fn digested_bytes(&self) -> usize {
        self.digested
    }

    /// What the check has read so far.
    pub fn work(&self) -> declarations::BytesRead {
        self.steps.bytes_read()
    }

    /// Goes on; the outcome once it is known. An error says what is wrong with the revision.
    pub fn step(&mut self) -> Option<Result<Declarations, String>> {
        let checked = self.steps.step()?;
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

    /// Bytes of the content in force; 0 for none.
    pub fn bytes(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.size() as u64)
    }

    /// Bytes of the content in force that a node lacks which holds the revision before it.
    pub fn change_bytes(&self) -> u64 {
        self.change_bytes
    }

    /// What is in force, without what a node has that holds `content`; the whole for any node of which that is not
    /// known.
    pub fn delta_for(&self, content_id: u64) -> Option<Configuration> {
        let configuration = &self.in_force.as_ref()?.configuration;
        let lacking = self.recent.delta_for(content_id, configuration);
        Some(lacking.unwrap_or_else(|| configuration.clone()))
    }

    /// Highest revision in force or being checked: what this node need not be sent.
    pub fn newest_revision(&self) -> u64 {
        let checking = self.checking.map_or(0, |(revision, _)| revision);
        self.revision().max(checking)
    }

    /// Tells the content in force from others of its revision; 0 for none.
    pub fn content_id(&self) -> u64 {
        self.content_id
    }

    /// Where the content in force was last read.
    pub fn read_at(&self) -> Position {
        self.read_at
    }

    /// The content in force was read at `at` as well, here or by another node.
    pub fn advance_read_at(&mut self, at: Position) {
        if at.supersedes(&self.read_at) {
            self.read_at = at;
        }
    }

    /// The revision in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    /// Counted events.
    pub fn counters(&self) -> RolloutCounters {
        self.counters
    }

    /// Whether a head that was read at `read` is worth fetching content for. Counts heads that are not.
    pub fn precheck(&mut self, head: &Head, read_at: Position) -> Result<(), Offered> {
        let Some(in_force) = &self.in_force else {
            return Ok(());
        };
        let mine = &in_force.configuration.head;
        if head.revision > mine.revision {
            return Ok(());
        }
        if head.revision < mine.revision {
            self.counters.older += 1;
            return Err(Offered::Older);
        }
        if head == mine {
            self.advance_read_at(read_at);
            return Err(Offered::Same);
        }
        if read_at.supersedes(&self.read_at) {
            // The store lost what is in force, and the operators gave its number to something else.
            return Ok(());
        }
        self.counters.differs += 1;
        Err(Offered::Differs)
    }

    /// Takes in a revision, from the platform, a peer or an operator's tool alike.
    pub fn offer(&mut self, offered: impl Into<UncheckedRevision>) -> Offered {
        let mut checking = match self.begin_check(offered) {
            Ok(checking) => checking,
            Err(offered) => return offered,
        };
        loop {
            if let Some(checked) = checking.step() {
                return self.end_check(checking, checked);
            }
        }
    }

    /// Begins to take a revision in. Its check is carried out by the caller, step by step, and ended with
    /// [`Rollout::end_check`].
    ///
    /// A configuration may leave out what is in force here already.
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
        if self.is_under_way(revision, configuration.read_at) {
            return Err(Offered::UnderWay);
        }
        let digested = if bundle.is_some() {
            0
        } else {
            configuration.size()
        };
        let bundle = match bundle {
            Some(bundle) => bundle,
            None => configuration.bundle().map_err(|error| self.bad(error))?,
        };
        let before = self.in_force.as_ref().map(|before| &before.declarations);
        let steps = IncrementalCheck::new(bundle, before);
        self.checking = Some((revision, configuration.read_at));
        Ok(RevisionCheck {
            configuration,
            steps,
            digested,
        })
    }

    /// Ends the check of a revision. It is in force from now on, unless a higher one is, or it is bad.
    pub fn end_check(
        &mut self,
        checking: RevisionCheck,
        checked: Result<Declarations, String>,
    ) -> Offered {
        let configuration = checking.configuration;
        let after = configuration.head.revision;
        if self.checking == Some((after, configuration.read_at)) {
            self.checking = None;
        }
        let declarations = match checked {
            Ok(declarations) => declarations,
            Err(error) => return self.bad(error),
        };
        if let Err(offered) = self.precheck(&configuration.head, configuration.read_at) {
            return offered;
        }
        let before = self.revision();
        assert!(after >= before, "revision {after} follows {before}");
        self.content_id = configuration.head.short_digest();
        self.read_at = configuration.read_at;
        let before = self.in_force.as_ref();
        self.change_bytes = configuration.size_beside(before.map(|it| &it.configuration));
        self.recent.put(self.content_id, &configuration);
        self.in_force = Some(Arc::new(InForce {
            configuration,
            declarations,
        }));
        self.counters.applied += 1;
        Offered::Taken
    }

    fn is_under_way(&self, revision: u64, read_at: Position) -> bool {
        match self.checking {
            Some((checked, at)) if checked == revision => !read_at.supersedes(&at),
            Some((checked, _)) => revision < checked,
            None => false,
        }
    }

    fn bad(&mut self, error: String) -> Offered {
        self.counters.invalid += 1;
        Offered::Bad(error)
    }
}
