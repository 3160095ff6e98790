//! An operator's side: one change, from the plan to a definite outcome.
//!
//! Content objects are written first, then the head as an immutable object of its own, then one
//! conditional update of the head object. After a lost answer the chain of heads is read back: it
//! holds the change's id exactly when the change took effect.

use crate::head::{digest, split, Change, Digest, Head};
use declarations::Bundle;

/// Heads that are read back at most when a change is looked for.
const MOST_CHAIN: usize = 64;

/// What an operator reviewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Revision the plan was made on; 0 when there was none.
    pub base: u64,
    /// The new declarations.
    pub bundle: Bundle,
    /// The audit record.
    pub change: Change,
    /// The new revision is above this number; for a store that lost revisions nodes have in force.
    pub floor: u64,
}

/// What the platform answered to the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// Start.
    Begin,
    /// An object that was read, with its version.
    Read(Option<(u64, Vec<u8>)>),
    /// An object was written.
    Written,
    /// The condition of a write did not hold.
    Conflict,
    /// No answer: the call may have taken effect.
    NoAnswer,
}

/// What has to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyAction {
    /// Read the head object.
    ReadHead,
    /// Read an immutable object.
    ReadContent(Digest),
    /// Write an immutable object; one that exists already counts as written.
    WriteContent(Digest, Vec<u8>),
    /// Write the head object if it still has this version; `None`: if it does not exist.
    WriteHead(Option<u64>, Vec<u8>),
    /// The outcome.
    Done(ApplyOutcome),
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in the platform's store as this revision.
    Accepted(Box<Head>),
    /// Another change came first; nothing was written over.
    Conflict {
        /// Revision now in force.
        revision: u64,
        /// The other change.
        theirs: Option<Change>,
    },
    /// The platform gave no answer for too long: ask again with the change's id.
    Unknown,
    /// The store holds something that is not a head, or a head with an object missing.
    Damaged(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    New,
    ReadingHead,
    Chain {
        seen: usize,
        top: Head,
        version: u64,
    },
    Writing {
        left: Vec<(Digest, Vec<u8>)>,
        version: Option<u64>,
        head: Box<Head>,
    },
    WritingHead {
        head: Box<Head>,
    },
    Done,
}

/// One change on its way.
#[derive(Debug, Clone)]
pub struct Apply {
    plan: Plan,
    state: State,
    tries_left: u32,
}

impl Apply {
    /// A change that gives up with [`ApplyOutcome::Unknown`] after `tries` calls without an answer.
    pub fn new(plan: Plan, tries: u32) -> Apply {
        Apply {
            plan,
            state: State::New,
            tries_left: tries,
        }
    }

    /// Takes in an event and returns the next action.
    pub fn step(&mut self, event: ApplyEvent) -> ApplyAction {
        match (self.state.clone(), event) {
            (_, ApplyEvent::Begin) => self.read_head(),
            (_, ApplyEvent::NoAnswer) => self.no_answer(),
            (State::ReadingHead, ApplyEvent::Read(None)) => self.first(),
            (State::ReadingHead, ApplyEvent::Read(Some((version, bytes)))) => {
                self.head_read(version, &bytes)
            }
            (State::Chain { seen, top, version }, ApplyEvent::Read(object)) => {
                self.chain_read(seen, top, version, object)
            }
            (
                State::Writing {
                    left,
                    version,
                    head,
                },
                ApplyEvent::Written | ApplyEvent::Conflict,
            ) => self.write_next(left, version, head),
            (State::WritingHead { head }, ApplyEvent::Written) => {
                self.done(ApplyOutcome::Accepted(head))
            }
            (State::WritingHead { .. }, ApplyEvent::Conflict) => self.read_head(),
            (state, event) => {
                let text = format!("{event:?} does not answer {state:?}");
                self.done(ApplyOutcome::Damaged(text))
            }
        }
    }

    fn read_head(&mut self) -> ApplyAction {
        self.state = State::ReadingHead;
        ApplyAction::ReadHead
    }

    /// Reads back after a call without an answer, as long as tries are left.
    fn no_answer(&mut self) -> ApplyAction {
        if self.tries_left == 0 {
            return self.done(ApplyOutcome::Unknown);
        }
        self.tries_left -= 1;
        self.read_head()
    }

    fn first(&mut self) -> ApplyAction {
        if self.plan.base != 0 {
            return self.done(ApplyOutcome::Conflict {
                revision: 0,
                theirs: None,
            });
        }
        self.build(None, None)
    }

    fn head_read(&mut self, version: u64, bytes: &[u8]) -> ApplyAction {
        let head = match Head::from_bytes(bytes) {
            Ok(head) => head,
            Err(error) => return self.done(ApplyOutcome::Damaged(error)),
        };
        if head.change.id == self.plan.change.id {
            return self.done(ApplyOutcome::Accepted(Box::new(head)));
        }
        if head.revision == self.plan.base {
            return self.build(Some(version), Some(head));
        }
        self.look_back(0, head.clone(), head, version)
    }

    /// Looks for this change below a head that somebody else wrote.
    fn look_back(&mut self, seen: usize, below: Head, top: Head, version: u64) -> ApplyAction {
        let Some(previous) = below.previous else {
            return self.conflict(top);
        };
        if below.revision <= self.plan.base || seen >= MOST_CHAIN {
            return self.conflict(top);
        }
        self.state = State::Chain {
            seen: seen + 1,
            top,
            version,
        };
        ApplyAction::ReadContent(previous)
    }

    fn chain_read(
        &mut self,
        seen: usize,
        top: Head,
        version: u64,
        object: Option<(u64, Vec<u8>)>,
    ) -> ApplyAction {
        let Some((_, bytes)) = object else {
            let text = "a head of the chain is missing".to_string();
            return self.done(ApplyOutcome::Damaged(text));
        };
        match Head::from_bytes(&bytes) {
            Ok(head) if head.change.id == self.plan.change.id => {
                self.done(ApplyOutcome::Accepted(Box::new(head)))
            }
            Ok(head) => self.look_back(seen, head, top, version),
            Err(error) => self.done(ApplyOutcome::Damaged(error)),
        }
    }

    /// Builds the new head on the one that was read, and starts to write.
    fn build(&mut self, version: Option<u64>, before: Option<Head>) -> ApplyAction {
        let (files, objects) = split(&self.plan.bundle);
        let base = before.as_ref().map_or(0, |head| head.revision);
        let head = Head {
            revision: base.max(self.plan.floor) + 1,
            previous: before.as_ref().map(Head::digest),
            change: self.plan.change.clone(),
            files,
        };
        let mut left: Vec<(Digest, Vec<u8>)> = objects
            .into_iter()
            .map(|(digest, bytes)| (digest, bytes.into_vec()))
            .collect();
        let bytes = head.to_bytes();
        left.push((digest(&bytes), bytes));
        left.reverse();
        self.write_next(left, version, Box::new(head))
    }

    fn write_next(
        &mut self,
        mut left: Vec<(Digest, Vec<u8>)>,
        version: Option<u64>,
        head: Box<Head>,
    ) -> ApplyAction {
        let Some((digest, bytes)) = left.pop() else {
            let bytes = head.to_bytes();
            self.state = State::WritingHead { head };
            return ApplyAction::WriteHead(version, bytes);
        };
        self.state = State::Writing {
            left,
            version,
            head,
        };
        ApplyAction::WriteContent(digest, bytes)
    }

    fn conflict(&mut self, top: Head) -> ApplyAction {
        self.done(ApplyOutcome::Conflict {
            revision: top.revision,
            theirs: Some(top.change),
        })
    }

    fn done(&mut self, outcome: ApplyOutcome) -> ApplyAction {
        self.state = State::Done;
        ApplyAction::Done(outcome)
    }
}
