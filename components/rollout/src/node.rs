//! A node's side: taking in revisions.

use crate::head::{join, Digest, Head};
use declarations::{Bundle, CheckSteps, Declarations};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
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
    /// Version of the platform's list; 0 for none.
    #[serde(rename = "l")]
    pub list_version: u64,
    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it never was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_us_ago: Option<u64>,
}

impl Summary {
    /// Whether the same is known here as there.
    pub fn is_level_with(&self, other: &Summary) -> bool {
        self.revision == other.revision && self.list_version == other.list_version
    }

    /// Whether something here is newer than `other` knows.
    pub fn is_newer_than(&self, other: &Summary) -> bool {
        self.revision > other.revision || self.list_version > other.list_version
    }
}

/// A revision with all its content, as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The head.
    pub head: Head,
    /// The content objects that it names.
    pub objects: BTreeMap<Digest, ByteBuf>,
}

impl Configuration {
    /// The files of the revision.
    pub fn bundle(&self) -> Result<Bundle, String> {
        join(&self.head, &self.objects)
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
    pub taken: u64,
    /// Offers of a lower revision.
    pub older: u64,
    /// Offers of the same number with other content.
    pub differs: u64,
    /// Offers that did not pass the check.
    pub bad: u64,
}

/// The revision a node has in force.
#[derive(Debug, Default)]
pub struct Rollout {
    in_force: Option<Arc<InForce>>,
    /// Highest revision that is being checked; 0 for none.
    checking: u64,
    counters: RolloutCounters,
}

/// A revision that is being checked, in steps.
#[derive(Debug)]
pub struct Checking {
    configuration: Configuration,
    steps: CheckSteps,
}

impl Checking {
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

    /// Highest revision in force or being checked: what this node need not be sent.
    pub fn newest(&self) -> u64 {
        self.revision().max(self.checking)
    }

    /// The revision in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    /// Counted events.
    pub fn counters(&self) -> RolloutCounters {
        self.counters
    }

    /// Whether a head is worth fetching content for. Counts heads that are not.
    pub fn wants(&mut self, head: &Head) -> Result<(), Offered> {
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
            return Err(Offered::Same);
        }
        self.counters.differs += 1;
        Err(Offered::Differs)
    }

    /// Takes in a revision, from the platform, a peer or an operator's tool alike.
    pub fn offer(&mut self, configuration: Configuration) -> Offered {
        let mut checking = match self.begin(configuration) {
            Ok(checking) => checking,
            Err(offered) => return offered,
        };
        loop {
            if let Some(checked) = checking.step() {
                return self.end(checking, checked);
            }
        }
    }

    /// Begins to take a revision in. Its check is carried out by the caller, step by step, and ended with
    /// [`Rollout::end`].
    pub fn begin(&mut self, configuration: Configuration) -> Result<Checking, Offered> {
        self.wants(&configuration.head)?;
        let revision = configuration.head.revision;
        if revision <= self.checking {
            return Err(Offered::UnderWay);
        }
        let bundle = configuration.bundle().map_err(|error| self.bad(error))?;
        let before = self.in_force.as_ref().map(|before| &before.declarations);
        let steps = CheckSteps::begin(bundle, before);
        self.checking = revision;
        Ok(Checking {
            configuration,
            steps,
        })
    }

    /// Ends the check of a revision. It is in force from now on, unless a higher one is, or it is bad.
    pub fn end(&mut self, checking: Checking, checked: Result<Declarations, String>) -> Offered {
        let configuration = checking.configuration;
        let after = configuration.head.revision;
        if self.checking == after {
            self.checking = 0;
        }
        let declarations = match checked {
            Ok(declarations) => declarations,
            Err(error) => return self.bad(error),
        };
        if let Err(offered) = self.wants(&configuration.head) {
            return offered;
        }
        let before = self.revision();
        assert!(after > before, "revision {after} follows {before}");
        self.in_force = Some(Arc::new(InForce {
            configuration,
            declarations,
        }));
        self.counters.taken += 1;
        Offered::Taken
    }

    fn bad(&mut self, error: String) -> Offered {
        self.counters.bad += 1;
        Offered::Bad(error)
    }
}
