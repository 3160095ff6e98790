//! What the node beside an upstream learns from its registrations.
//!
//! Registrations may come late and out of order, also from a start that has ended. A start that was
//! told as gone never comes back; a later one may have its identity. One that another one followed comes back only
//! if it goes on and the other one doesn't: then the other one was none.

use crate::incarnation::Incarnation;
use crate::record::{Instance, State};
use names::{Moment, SECOND};
use std::collections::VecDeque;

/// Ended starts that are remembered.
const MAX_ENDED: usize = 64;
/// A start that says it came before the present one is taken for its successor, with a clock that was set back,
/// when it has gone on for so long while the present one said nothing, in microseconds: twice the users' time
/// between two registrations (1.5 s), and a second for one that is late.
pub const CONFIRMATION_US: u64 = 4 * SECOND;

/// One registration of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The start, with what it says of itself.
    pub instance: Instance,
    /// Rises with each registration of the start.
    pub sequence: u64,
    /// How much longer the upstream is slow from its start, in milliseconds.
    pub cold_ms: u64,
}

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The state or the slots of the start that was known.
    Updated,
    /// Another start stands beside the node now.
    Replaced,
}

/// What a registration was taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// News.
    Taken(Change),
    /// Older than a registration of the same start that came before.
    Late,
    /// From a start that has ended. One whose place another took without a word from it is taken again once it has
    /// gone on for [`CONFIRMATION_US`] while the other one said nothing.
    Ended,
    /// From a start that says it came before the present one. It is taken once it has gone on for [`CONFIRMATION_US`]
    /// while the present one said nothing: its clock was set back. Until then it must not be acknowledged.
    Doubted,
}

/// What became of a start's word that it ends soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureOutcome {
    /// It gets no new work from now on.
    Taken,
    /// It got none before.
    Known,
    /// From a start that says it came before the present one of the same identity, and may be the one that
    /// runs: it must not be acknowledged.
    Doubted,
}

/// A start that says it came before the present one.
#[derive(Debug, Clone)]
struct Doubted {
    incarnation: Incarnation,
    since: Moment,
    sequence: u64,
}

/// A start that takes no work any more.
#[derive(Debug, Clone)]
struct Ended {
    incarnation: Incarnation,
    /// The state that it had reached.
    state: State,
    /// Whether it or somebody else said so; otherwise another start took its place.
    was_told: bool,
}

/// The upstream beside this node.
#[derive(Debug, Clone, Default)]
pub struct LocalUpstream {
    current: Option<Instance>,
    sequence: u64,
    ended: VecDeque<Ended>,
    doubted: Option<Doubted>,
}

impl LocalUpstream {
    /// The start beside this node, in whatever state.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref()
    }

    /// Whether `told` names the present start as it is known: its identity, service and address.
    pub fn is_current(&self, told: &Instance) -> bool {
        self.current.as_ref().is_some_and(|current| {
            let is_same_start = current.incarnation().matches(&told.incarnation());
            is_same_start && current.service == told.service && current.address == told.address
        })
    }

    /// The start that takes work, if `told` is of another one at its address.
    pub fn replaced_by(&self, told: &Instance) -> Option<&Instance> {
        let incarnation = told.incarnation();
        let current = self.current.as_ref()?;
        let is_another = current.id != incarnation.id && self.ended(&incarnation).is_none();
        let is_here = current.state == State::Ready && current.address == told.address;
        (is_another && is_here).then_some(current)
    }

    /// Takes in a registration.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        let current = self.current.as_ref().map(Instance::incarnation);
        if let Some(ended) = self.ended(&incarnation) {
            if ended.was_told {
                return HeartbeatOutcome::Ended;
            }
            return self.goes_on(now, heartbeat, current);
        }
        match current {
            Some(current) if current.matches(&incarnation) => self.again(heartbeat),
            Some(current) if incarnation.claims_to_precede(&current) => {
                self.precedes(now, heartbeat)
            }
            _ => self.follows(heartbeat),
        }
    }

    /// Takes in that a start will end soon: it gets no new work from now on.
    pub fn on_departure(&mut self, incarnation: &Incarnation) -> DepartureOutcome {
        let is_known = self.ended(incarnation).is_some();
        match self.current.as_mut() {
            Some(current) if current.incarnation().matches(incarnation) => {
                let before = current.state;
                current.state = State::Gone;
                if before == State::Ready {
                    return DepartureOutcome::Taken;
                }
                DepartureOutcome::Known
            }
            Some(current)
                if !is_known
                    && current.id == incarnation.id
                    && incarnation.claims_to_precede(&current.incarnation()) =>
            {
                DepartureOutcome::Doubted
            }
            _ => {
                self.end(incarnation.clone(), State::Gone, true);
                DepartureOutcome::Known
            }
        }
    }

    /// Takes in that a start leaves, by an answer that it gave: it gets no new work from now on, whatever its registrations
    /// say. Returns whether that changed anything.
    pub fn on_drain(&mut self, incarnation: &Incarnation) -> bool {
        match self.current.as_mut() {
            Some(current) if current.incarnation().matches(incarnation) => {
                let was_ready = current.state == State::Ready;
                current.state = current.state.max(State::Draining);
                was_ready
            }
            _ => {
                self.end(incarnation.clone(), State::Draining, false);
                false
            }
        }
    }

    /// Takes in a start that was found by a look at its address or told by another node, unless
    /// something is known already. Returns whether it was taken.
    pub fn adopt(&mut self, instance: Instance) -> bool {
        if self.current.is_some() || self.ended(&instance.incarnation()).is_some() {
            return false;
        }
        self.replace(instance, 0);
        true
    }

    /// Takes in what another node remembers of a start: a state that was reached is never left.
    /// Returns whether that changed anything.
    pub fn restore_state(&mut self, instance: &Instance) -> bool {
        if instance.state == State::Ready {
            return false;
        }
        let incarnation = instance.incarnation();
        match self.current.as_mut() {
            Some(current)
                if current.incarnation().matches(&incarnation)
                    && current.state < instance.state =>
            {
                current.state = instance.state;
                true
            }
            Some(_) => false,
            None => {
                if instance.state == State::Gone {
                    self.end(incarnation, State::Gone, true);
                    return false;
                }
                self.replace(instance.clone(), 0);
                true
            }
        }
    }

    /// Takes in that something else answers at the address of `incarnation`. Returns whether that changed
    /// anything.
    pub fn mark_absent(&mut self, incarnation: &Incarnation) -> bool {
        let matches = self
            .current
            .as_ref()
            .is_some_and(|current| current.incarnation().matches(incarnation));
        if matches {
            self.current = None;
        }
        self.end(incarnation.clone(), State::Gone, true);
        matches
    }

    /// A registration of a start whose place another one took without a word from it. It may be a late one; but if
    /// whoever took the place isn't there any more, says nothing while this one goes on, or says that it is the
    /// earlier one, then it was no start at all. An upstream that counted as ended got no work for as long as it ran.
    fn goes_on(
        &mut self,
        now: Moment,
        heartbeat: Heartbeat,
        current: Option<Incarnation>,
    ) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        match current {
            Some(current) if !current.claims_to_precede(&incarnation) => {
                match self.precedes(now, heartbeat) {
                    // It gets no work, so there is nothing that an acknowledgement could promise wrongly.
                    HeartbeatOutcome::Doubted => HeartbeatOutcome::Ended,
                    taken => taken,
                }
            }
            _ => self.follows(heartbeat),
        }
    }

    /// A late registration: only that the start drains is news whenever it comes, since it never takes work again.
    fn late(&mut self, state: State) -> HeartbeatOutcome {
        match self.current.as_mut() {
            Some(known) if known.state < state => {
                known.state = state;
                HeartbeatOutcome::Taken(Change::Updated)
            }
            _ => HeartbeatOutcome::Late,
        }
    }

    /// A further registration of the present start.
    fn again(&mut self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        if heartbeat.sequence < self.sequence {
            return self.late(heartbeat.instance.state);
        }
        self.sequence = heartbeat.sequence;
        self.doubted = None;
        let Some(known) = self.current.as_ref() else {
            return HeartbeatOutcome::Late;
        };
        let next = Instance {
            // A start that drains never takes work again.
            state: known.state.max(heartbeat.instance.state),
            born_ms: known.born_ms.or(heartbeat.instance.born_ms),
            ..heartbeat.instance
        };
        let change = if *known == next {
            Change::None
        } else {
            Change::Updated
        };
        self.current = Some(next);
        HeartbeatOutcome::Taken(change)
    }

    /// A registration of a start that says it came before the present one. A word of an earlier start that was
    /// held back comes alone; one whose clock was set back goes on, and the present one says nothing any more.
    fn precedes(&mut self, now: Moment, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        let before = self.doubted.as_mut();
        match before.filter(|doubted| doubted.incarnation == incarnation) {
            Some(doubted) if doubted.sequence >= heartbeat.sequence => HeartbeatOutcome::Doubted,
            Some(doubted) if now.since(doubted.since) >= CONFIRMATION_US => self.follows(heartbeat),
            Some(doubted) => {
                doubted.sequence = heartbeat.sequence;
                HeartbeatOutcome::Doubted
            }
            None => {
                self.doubted = Some(Doubted {
                    incarnation,
                    since: now,
                    sequence: heartbeat.sequence,
                });
                HeartbeatOutcome::Doubted
            }
        }
    }

    /// The first registration of a start that takes the place of the present one.
    fn follows(&mut self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let mut instance = heartbeat.instance;
        if let Some(ended) = self.ended(&instance.incarnation()) {
            instance.state = instance.state.max(ended.state);
        }
        self.replace(instance, heartbeat.sequence);
        HeartbeatOutcome::Taken(Change::Replaced)
    }

    fn replace(&mut self, instance: Instance, sequence: u64) {
        let incarnation = instance.incarnation();
        self.ended.retain(|ended| ended.incarnation != incarnation);
        if let Some(before) = self.current.replace(instance) {
            self.end(before.incarnation(), before.state, false);
        }
        self.sequence = sequence;
        self.doubted = None;
    }

    fn ended(&self, incarnation: &Incarnation) -> Option<&Ended> {
        let mut ended = self.ended.iter();
        ended.find(|ended| ended.incarnation == *incarnation)
    }

    fn end(&mut self, incarnation: Incarnation, state: State, was_told: bool) {
        let mut ended = self.ended.iter_mut();
        if let Some(known) = ended.find(|known| known.incarnation == incarnation) {
            known.was_told |= was_told;
            known.state = known.state.max(state);
            return;
        }
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended {
            incarnation,
            state,
            was_told,
        });
    }
}
