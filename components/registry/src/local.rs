//! State of the local upstream, derived from its registrations.
//!
//! Registrations may arrive late and out of order, even from an incarnation that has ended. An
//! incarnation that was reported as gone never becomes current again; a later one may have the same
//! identifier. An incarnation that was replaced by another becomes current again only if it
//! continues to register and the other does not: then the registration of the other was false.

use crate::incarnation::Incarnation;
use crate::record::{Departed, Instance, State};
use names::{Moment, SECOND};
use std::collections::VecDeque;

/// Maximum number of ended incarnations that are remembered.
const MAX_ENDED: usize = 64;
/// Maximum number of departed incarnations that the store remembers. Registrations are late by
/// seconds, and an upstream drains for at least two.
const MAX_STORED: usize = 4;
/// An incarnation that reports an earlier start than the current one becomes current when it has
/// registered for at least this time, in microseconds, without a registration of the current one in
/// between: it is the successor, and its clock was set back.
pub const CONFIRMATION_US: u64 = 4 * SECOND;
/// How late a registration of the current incarnation may be, in microseconds.
const LATE_REGISTRATION_US: u64 = SECOND;

/// One registration of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation, as it describes itself.
    pub instance: Instance,
    /// Increases with each registration of the incarnation.
    pub sequence: u64,
    /// Remaining time in which the upstream is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// The change that a registration caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The description of the current incarnation changed, for example its state or slots.
    Updated,
    /// Another incarnation became current.
    Replaced,
}

/// Result of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Applied.
    Taken(Change),
    /// Older than a registration of the same incarnation that arrived earlier.
    Late,
    /// From an incarnation that has ended. If it was replaced without a departure notice, it
    /// becomes current again once it has registered for [`CONFIRMATION_US`] while the current one
    /// did not.
    Ended,
    /// From an incarnation that reports an earlier start than the current one. It becomes current
    /// once it has registered for [`CONFIRMATION_US`] while the current one did not, since then its
    /// clock was set back. Until then its registrations must not be acknowledged.
    Doubted,
}

/// Result of a departure notice, by which an incarnation announces that it will exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureOutcome {
    /// The incarnation was ready and gets no new work from now on.
    Taken,
    /// The incarnation already got no new work.
    Known,
    /// From an incarnation that has the identifier of the current one, reports an earlier start and
    /// may be the one that runs. The notice must not be acknowledged.
    Doubted,
}

/// An incarnation that reports an earlier start than the current one.
#[derive(Debug, Clone)]
struct Unconfirmed {
    incarnation: Incarnation,
    since: Moment,
    sequence: u64,
}

/// An incarnation that accepts no more work.
#[derive(Debug, Clone)]
struct Ended {
    incarnation: Incarnation,
    /// Its last state.
    state: State,
    /// Whether its end was reported, by itself or by another party. Otherwise it was replaced by
    /// another incarnation.
    was_reported: bool,
}

/// The local upstream of this node.
#[derive(Debug, Clone)]
pub struct LocalUpstream {
    current: Option<Instance>,
    sequence: u64,
    ended: VecDeque<Ended>,
    unconfirmed: Option<Unconfirmed>,
    /// For how long another incarnation has to register before it becomes current, in microseconds.
    confirmation_us: u64,
}

impl Default for LocalUpstream {
    fn default() -> LocalUpstream {
        LocalUpstream::registering_every(0)
    }
}

impl LocalUpstream {
    /// An upstream that has not registered yet. Upstreams register every `interval_us`
    /// microseconds; 0 if that is unknown.
    pub fn registering_every(interval_us: u64) -> LocalUpstream {
        // The current incarnation may miss one registration.
        let silence_us = interval_us
            .saturating_mul(2)
            .saturating_add(LATE_REGISTRATION_US);
        LocalUpstream {
            current: None,
            sequence: 0,
            ended: VecDeque::new(),
            unconfirmed: None,
            confirmation_us: silence_us.max(CONFIRMATION_US),
        }
    }

    /// The current incarnation, in any state.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref()
    }

    /// Whether `incarnation` runs or has run here, as far as is known.
    pub fn knows(&self, incarnation: &Incarnation) -> bool {
        let current = self.current.as_ref().map(Instance::incarnation);
        current.is_some_and(|current| current.matches(incarnation))
            || self.find_ended(incarnation).is_some()
    }

    /// The incarnation that a report means. A report may lack the start time, and an earlier
    /// incarnation may have had the same identifier.
    pub fn identify(&self, reported: &Incarnation) -> Incarnation {
        let current = self.current.as_ref().map(Instance::incarnation);
        let current = current.filter(|current| current.matches(reported));
        current.unwrap_or_else(|| reported.clone())
    }

    /// Whether `other` has the incarnation, service and address of the current one.
    pub fn is_current(&self, other: &Instance) -> bool {
        self.current.as_ref().is_some_and(|current| {
            let is_same_start = current.incarnation().matches(&other.incarnation());
            is_same_start && current.service == other.service && current.address == other.address
        })
    }

    /// The current incarnation, if it is ready and `other` is another one at the same address.
    pub fn replaced_by(&self, other: &Instance) -> Option<&Instance> {
        let incarnation = other.incarnation();
        let current = self.current.as_ref()?;
        let is_another = current.id != incarnation.id && self.find_ended(&incarnation).is_none();
        let is_here = current.state == State::Ready && current.address == other.address;
        (is_another && is_here).then_some(current)
    }

    /// Applies a registration.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        let current = self.current.as_ref().map(Instance::incarnation);
        if let Some(ended) = self.find_ended(&incarnation) {
            if ended.was_reported {
                self.record_end(incarnation, heartbeat.instance.state, true);
                return HeartbeatOutcome::Ended;
            }
            return self.on_resumed(now, heartbeat, current);
        }
        match current {
            Some(current) if current.matches(&incarnation) => self.on_current(heartbeat),
            Some(current) if incarnation.claims_to_precede(&current) => {
                self.on_unconfirmed(now, heartbeat)
            }
            _ => self.on_successor(heartbeat),
        }
    }

    /// Applies the departure notice of an incarnation, which gets no new work from now on.
    pub fn on_departure(&mut self, incarnation: &Incarnation) -> DepartureOutcome {
        let is_known = self.find_ended(incarnation).is_some();
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
                self.record_end(incarnation.clone(), State::Gone, true);
                DepartureOutcome::Known
            }
        }
    }

    /// Records that an incarnation announced in an answer that it is draining. It gets no new work
    /// from now on, whatever its registrations report. Returns whether the state changed.
    pub fn on_drain(&mut self, incarnation: &Incarnation) -> bool {
        match self.current.as_mut() {
            Some(current) if current.incarnation().matches(incarnation) => {
                let was_ready = current.state == State::Ready;
                current.state = current.state.max(State::Draining);
                was_ready
            }
            _ => {
                self.record_end(incarnation.clone(), State::Draining, false);
                false
            }
        }
    }

    /// Makes an incarnation current that was found by a probe of its address or reported by another
    /// node, unless another one is current or this one has ended. Returns whether it became
    /// current.
    pub fn adopt(&mut self, instance: Instance) -> bool {
        if self.current.is_some() || self.find_ended(&instance.incarnation()).is_some() {
            return false;
        }
        self.replace(instance, 0);
        true
    }

    /// Applies the state that another node or the store remembers of an incarnation. A state never
    /// reverts to an earlier one. Returns whether anything changed.
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
            Some(current) if current.incarnation().matches(&incarnation) => false,
            None => {
                self.replace(instance.clone(), 0);
                true
            }
            Some(_) => {
                let was_reported = instance.state == State::Gone;
                self.record_end(incarnation, instance.state, was_reported);
                false
            }
        }
    }

    /// Applies what the store remembers of an incarnation that accepts no more work. Returns
    /// whether the state of the current one changed.
    pub fn restore_departed(&mut self, departed: &Departed) -> bool {
        let incarnation = departed.incarnation();
        match self.current.as_mut() {
            Some(current) if current.incarnation().matches(&incarnation) => {
                let before = current.state;
                current.state = before.max(departed.state);
                current.state != before
            }
            _ => {
                let was_reported = departed.state == State::Gone;
                self.record_end(incarnation, departed.state, was_reported);
                false
            }
        }
    }

    /// The latest earlier incarnations that accept no more work, oldest first, for the store.
    pub fn departed(&self) -> Vec<Departed> {
        let ended = self.ended.iter();
        let departed: Vec<Departed> = ended
            .filter(|ended| ended.state != State::Ready)
            .map(|ended| Departed {
                id: ended.incarnation.id.clone(),
                born_ms: ended.incarnation.born_ms,
                state: ended.state,
            })
            .collect();
        let surplus = departed.len().saturating_sub(MAX_STORED);
        departed.into_iter().skip(surplus).collect()
    }

    /// Records that `incarnation` has ended, because another one answers at its address. Returns
    /// whether it was the current one.
    pub fn mark_absent(&mut self, incarnation: &Incarnation) -> bool {
        let matches = self
            .current
            .as_ref()
            .is_some_and(|current| current.incarnation().matches(incarnation));
        if matches {
            self.current = None;
        }
        self.record_end(incarnation.clone(), State::Gone, true);
        matches
    }

    /// Handles a registration of an incarnation that was replaced without a departure notice. It
    /// may be late. But if the replacement is no longer current, does not register while this one
    /// does, or reports an earlier start, then the replacement was not real and this one resumes.
    /// Otherwise an upstream that was wrongly considered ended would get no work for the rest of
    /// its run.
    fn on_resumed(
        &mut self,
        now: Moment,
        heartbeat: Heartbeat,
        current: Option<Incarnation>,
    ) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        let state = heartbeat.instance.state;
        match current {
            Some(current) if !current.claims_to_precede(&incarnation) => {
                match self.on_unconfirmed(now, heartbeat) {
                    // It may be acknowledged, since it gets no work. If it reports that it is
                    // draining, it must not get any when it resumes either.
                    HeartbeatOutcome::Doubted => {
                        self.record_end(incarnation, state, false);
                        HeartbeatOutcome::Ended
                    }
                    outcome => outcome,
                }
            }
            _ => self.on_successor(heartbeat),
        }
    }

    /// Handles a late registration. It matters only if it reports that the incarnation is draining,
    /// since this is final.
    fn on_late(&mut self, state: State) -> HeartbeatOutcome {
        match self.current.as_mut() {
            Some(known) if known.state < state => {
                known.state = state;
                HeartbeatOutcome::Taken(Change::Updated)
            }
            _ => HeartbeatOutcome::Late,
        }
    }

    /// Handles a registration of the current incarnation.
    fn on_current(&mut self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        if heartbeat.sequence < self.sequence {
            return self.on_late(heartbeat.instance.state);
        }
        self.sequence = heartbeat.sequence;
        self.unconfirmed = None;
        let Some(known) = self.current.as_ref() else {
            return HeartbeatOutcome::Late;
        };
        let next = Instance {
            // A draining incarnation never accepts work again.
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

    /// Handles a registration of an incarnation that reports an earlier start than the current one.
    /// A delayed registration of an earlier incarnation is not followed by more. A successor whose
    /// clock was set back continues to register, and the current one does not.
    fn on_unconfirmed(&mut self, now: Moment, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let incarnation = heartbeat.instance.incarnation();
        let before = self.unconfirmed.as_mut();
        match before.filter(|known| known.incarnation == incarnation) {
            Some(known) if known.sequence >= heartbeat.sequence => HeartbeatOutcome::Doubted,
            Some(known) if now.since(known.since) >= self.confirmation_us => {
                self.on_successor(heartbeat)
            }
            Some(known) => {
                known.sequence = heartbeat.sequence;
                HeartbeatOutcome::Doubted
            }
            None => {
                self.unconfirmed = Some(Unconfirmed {
                    incarnation,
                    since: now,
                    sequence: heartbeat.sequence,
                });
                HeartbeatOutcome::Doubted
            }
        }
    }

    /// Handles the first registration of an incarnation that replaces the current one.
    fn on_successor(&mut self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let mut instance = heartbeat.instance;
        if let Some(ended) = self.find_ended(&instance.incarnation()) {
            instance.state = instance.state.max(ended.state);
        }
        self.replace(instance, heartbeat.sequence);
        HeartbeatOutcome::Taken(Change::Replaced)
    }

    fn replace(&mut self, instance: Instance, sequence: u64) {
        let incarnation = instance.incarnation();
        self.ended.retain(|ended| ended.incarnation != incarnation);
        if let Some(before) = self.current.replace(instance) {
            self.record_end(before.incarnation(), before.state, false);
        }
        self.sequence = sequence;
        self.unconfirmed = None;
    }

    fn find_ended(&self, incarnation: &Incarnation) -> Option<&Ended> {
        let mut ended = self.ended.iter();
        ended.find(|ended| ended.incarnation == *incarnation)
    }

    /// Records an end, as the latest one.
    fn record_end(&mut self, incarnation: Incarnation, state: State, was_reported: bool) {
        let is_known = |ended: &Ended| ended.incarnation == incarnation;
        let known = self.ended.iter().position(is_known);
        let known = known.and_then(|at| self.ended.remove(at));
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        let state = known.as_ref().map_or(state, |known| known.state.max(state));
        let was_reported = was_reported || known.is_some_and(|known| known.was_reported);
        self.ended.push_back(Ended {
            incarnation,
            state,
            was_reported,
        });
    }
}
