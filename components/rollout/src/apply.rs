//! Applies one change of an operator to the platform's store, from the plan to a definite outcome.
//!
//! Content objects are written first, then the head as an immutable object of its own. One conditional
//! update of the head object follows. After a lost answer the chain of heads is read back: it contains
//! the change's id exactly when the change took effect.

use crate::head::{digest, split, Change, Digest, Head};
use declarations::Bundle;

/// Maximum number of earlier heads that are read in search of a change.
const MAX_CHAIN: usize = 64;

/// A change that an operator has reviewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Revision that the plan is based on; 0 if there was none.
    pub base: u64,
    /// The new declarations.
    pub bundle: Bundle,
    /// The audit record.
    pub change: Change,
    /// The new revision is above this number. Needed after the store lost revisions that nodes have in
    /// force.
    pub floor: u64,
}

/// The platform's answer to the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// Starts the change; no action was carried out yet.
    Begin,
    /// An object was read, with its version; `None` if it does not exist.
    Read(Option<(u64, Vec<u8>)>),
    /// An object was written.
    Written,
    /// The condition of a write did not hold.
    Conflict,
    /// No answer arrived. The call may have taken effect.
    NoAnswer,
}

/// The next call to the platform, or the outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyAction {
    /// Read the head object.
    ReadHead,
    /// Read an immutable object.
    ReadContent(Digest),
    /// Write an immutable object. One that already exists counts as written.
    WriteContent(Digest, Vec<u8>),
    /// Write the head object if it still has this version; `None` if it must not exist yet.
    WriteHead(Option<u64>, Vec<u8>),
    Done(ApplyOutcome),
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The platform's store holds it as this revision.
    Accepted(Box<Head>),
    /// Another change was applied first; it was not overwritten.
    Conflict {
        /// Revision in the store now.
        revision: u64,
        /// The other change.
        theirs: Option<Change>,
    },
    /// The platform did not answer. Applying the plan again with the same id shows whether the change
    /// took effect.
    Unknown,
    /// The store holds an invalid head, or a head of the chain is missing.
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
        unwritten: Vec<(Digest, Vec<u8>)>,
        version: Option<u64>,
        head: Box<Head>,
    },
    WritingHead {
        head: Box<Head>,
    },
    Done,
}

/// One change that is being applied.
#[derive(Debug, Clone)]
pub struct Apply {
    plan: Plan,
    state: State,
    tries_left: u32,
}

impl Apply {
    /// A change that tolerates `tries` calls without an answer; one more ends it with
    /// [`ApplyOutcome::Unknown`].
    pub fn new(plan: Plan, tries: u32) -> Apply {
        Apply {
            plan,
            state: State::New,
            tries_left: tries,
        }
    }

    /// Handles an event and returns the next action.
    pub fn step(&mut self, event: ApplyEvent) -> ApplyAction {
        match (self.state.clone(), event) {
            (_, ApplyEvent::Begin) => self.read_head(),
            (_, ApplyEvent::NoAnswer) => self.on_no_answer(),
            (State::ReadingHead, ApplyEvent::Read(None)) => self.on_no_head(),
            (State::ReadingHead, ApplyEvent::Read(Some((version, bytes)))) => {
                self.on_head_read(version, &bytes)
            }
            (State::Chain { seen, top, version }, ApplyEvent::Read(object)) => {
                self.on_chain_read(seen, top, version, object)
            }
            (
                State::Writing {
                    unwritten,
                    version,
                    head,
                },
                ApplyEvent::Written | ApplyEvent::Conflict,
            ) => self.write_next(unwritten, version, head),
            (State::WritingHead { head }, ApplyEvent::Written) => {
                self.finish(ApplyOutcome::Accepted(head))
            }
            (State::WritingHead { .. }, ApplyEvent::Conflict) => self.read_head(),
            (state, event) => {
                let text = format!("unexpected event {event:?} in state {state:?}");
                self.finish(ApplyOutcome::Damaged(text))
            }
        }
    }

    fn read_head(&mut self) -> ApplyAction {
        self.state = State::ReadingHead;
        ApplyAction::ReadHead
    }

    /// Starts again with the head, as long as tries are left: the call may have taken effect.
    fn on_no_answer(&mut self) -> ApplyAction {
        if self.tries_left == 0 {
            return self.finish(ApplyOutcome::Unknown);
        }
        self.tries_left -= 1;
        self.read_head()
    }

    fn on_no_head(&mut self) -> ApplyAction {
        if self.plan.base != 0 {
            return self.finish(ApplyOutcome::Conflict {
                revision: 0,
                theirs: None,
            });
        }
        self.build(None, None)
    }

    fn on_head_read(&mut self, version: u64, bytes: &[u8]) -> ApplyAction {
        let head = match Head::from_bytes(bytes) {
            Ok(head) => head,
            Err(error) => return self.finish(ApplyOutcome::Damaged(error)),
        };
        if head.change.id == self.plan.change.id {
            return self.finish(ApplyOutcome::Accepted(Box::new(head)));
        }
        if head.revision == self.plan.base {
            return self.build(Some(version), Some(head));
        }
        self.search_chain(0, head.clone(), head, version)
    }

    /// Searches for this change before `head`, which is of another change.
    fn search_chain(&mut self, seen: usize, head: Head, top: Head, version: u64) -> ApplyAction {
        let Some(previous) = head.previous else {
            return self.conflict(top);
        };
        if head.revision <= self.plan.base || seen >= MAX_CHAIN {
            return self.conflict(top);
        }
        self.state = State::Chain {
            seen: seen + 1,
            top,
            version,
        };
        ApplyAction::ReadContent(previous)
    }

    fn on_chain_read(
        &mut self,
        seen: usize,
        top: Head,
        version: u64,
        object: Option<(u64, Vec<u8>)>,
    ) -> ApplyAction {
        let Some((_, bytes)) = object else {
            let text = "a head of the chain is missing".to_string();
            return self.finish(ApplyOutcome::Damaged(text));
        };
        match Head::from_bytes(&bytes) {
            Ok(head) if head.change.id == self.plan.change.id => {
                self.finish(ApplyOutcome::Accepted(Box::new(head)))
            }
            Ok(head) => self.search_chain(seen, head, top, version),
            Err(error) => self.finish(ApplyOutcome::Damaged(error)),
        }
    }

    /// Builds the new head on the one that was read, and starts writing its objects.
    fn build(&mut self, version: Option<u64>, previous: Option<Head>) -> ApplyAction {
        let (files, objects) = split(&self.plan.bundle);
        let base = previous.as_ref().map_or(0, |head| head.revision);
        let head = Head {
            revision: base.max(self.plan.floor) + 1,
            previous: previous.as_ref().map(Head::digest),
            change: self.plan.change.clone(),
            files,
        };
        let mut unwritten: Vec<(Digest, Vec<u8>)> = objects
            .into_iter()
            .map(|(digest, bytes)| (digest, bytes.into_vec()))
            .collect();
        let bytes = head.to_bytes();
        unwritten.push((digest(&bytes), bytes));
        unwritten.reverse();
        self.write_next(unwritten, version, Box::new(head))
    }

    fn write_next(
        &mut self,
        mut unwritten: Vec<(Digest, Vec<u8>)>,
        version: Option<u64>,
        head: Box<Head>,
    ) -> ApplyAction {
        let Some((digest, bytes)) = unwritten.pop() else {
            let bytes = head.to_bytes();
            self.state = State::WritingHead { head };
            return ApplyAction::WriteHead(version, bytes);
        };
        self.state = State::Writing {
            unwritten,
            version,
            head,
        };
        ApplyAction::WriteContent(digest, bytes)
    }

    fn conflict(&mut self, top: Head) -> ApplyAction {
        self.finish(ApplyOutcome::Conflict {
            revision: top.revision,
            theirs: Some(top.change),
        })
    }

    fn finish(&mut self, outcome: ApplyOutcome) -> ApplyAction {
        self.state = State::Done;
        ApplyAction::Done(outcome)
    }
}
