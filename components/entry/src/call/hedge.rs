//! The hedged attempt of a call whose first attempt takes much longer than is typical.
//!
//! Hedging is meant for a load where 3% of the runs take seven times their typical time, and a
//! second run of the same request takes the typical time. No hedge is made while the service is
//! short of slots, because it would take a slot from a request that has not had one yet.
//!
//! While both attempts are in flight, this module handles the events of both. When one fails, the
//! other continues as the call's only attempt.

use super::{Call, State};
use crate::choice::Candidate;
use crate::event::{Action, Event};
use crate::hedging::{Hedge, HedgeDecision, HedgeRefusal, RETURN_TIME_US};
use crate::shared::Entry;
use crate::suspect::Suspect;
use home::{Load, Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name, SECOND};

/// Time for which a service counts as short of slots after a refusal as busy, if the request has no
/// objective, in microseconds.
const DEFAULT_SHORTAGE_US: u64 = SECOND;

/// State of a call's hedged attempt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) enum HedgeState {
    /// No hedge was made.
    #[default]
    None,
    /// Both attempts are in flight.
    InFlight {
        first: AttemptId,
        hedged: AttemptId,
        to: Name,
    },
    /// One of the two attempts has ended; the other may continue as the call's only attempt.
    Resolved { first: AttemptId, hedged: AttemptId },
}

impl HedgeState {
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(self, HedgeState::InFlight { .. })
    }

    /// Which attempt the answer comes from, if a hedge was made, with the ids of the first and the
    /// hedged attempt.
    fn won(&self, by: AttemptId) -> Option<(HedgeDecision, AttemptId, AttemptId)> {
        let (HedgeState::InFlight { first, hedged, .. } | HedgeState::Resolved { first, hedged }) =
            self
        else {
            return None;
        };
        let decision = if by == *hedged {
            HedgeDecision::WonByHedge
        } else if by == *first {
            HedgeDecision::WonByFirst
        } else {
            return None;
        };
        Some((decision, *first, *hedged))
    }
}

/// How one of two attempts failed.
enum Failure {
    /// No upstream received it.
    NotReceived,
    /// An upstream rejected it.
    Shed,
    /// It ran.
    Ran,
}

/// Expected duration of a second run, in microseconds.
///
/// The home duty reports a run that has taken longer than is typical, so the time since the offer
/// is an upper bound. The service time that an upstream reports is a mean over all its classes,
/// which short requests lower, so half of the time since the offer is a lower bound. A reported
/// service time of zero means that it is unknown.
fn expected_run_us(since_offer_us: u64, load: Option<Load>) -> u64 {
    let reported_us = load.map(|load| load.service_us).filter(|us| *us > 0);
    reported_us.map_or(since_offer_us, |us| {
        us.clamp(since_offer_us / 2, since_offer_us)
    })
}

impl<A: Clone> Call<A> {
    /// Whether the state of the call and its treatment allow a hedged attempt.
    pub fn may_hedge(&self) -> bool {
        self.treatment.repeatable
            && self.suspect.is_none()
            && !self.hedge_forbidden
            && self.hedge_state == HedgeState::None
            && self.runs + 1 < self.treatment.max_runs
            && self.arrivals + 1 < self.treatment.max_arrivals
    }

    /// Forbids a hedged attempt, because an upstream has terminated while running another copy of
    /// the request since the call began.
    pub fn forbid_hedge(&mut self) {
        self.hedge_forbidden = true;
    }

    /// Takes the decision about a hedged attempt that was made in the last step.
    pub fn take_hedge(&mut self) -> Option<Hedge> {
        self.last_hedge.take()
    }

    /// Handles a report that the first attempt takes much longer than is typical.
    pub(super) fn straggles(
        &mut self,
        now: Moment,
        id: AttemptId,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(first) = self.vm_if_current(id) else {
            return self.drop_late_event();
        };
        let mut hedge = Hedge {
            decision: HedgeDecision::Made,
            first: id,
            hedged: None,
            to: None,
            since_offer_us: now.since(self.offered_at),
            remaining_us: entry.work_deadline(self.deadline).since(now),
            expected_us: None,
            load_age_us: None,
            since_busy_us: entry.since_busy_us(now, &self.service),
        };
        let mut actions = Vec::new();
        match self.choose_hedge_upstream(now, &first, &mut hedge, entry) {
            Ok(to) => {
                let hedged = entry.next_attempt();
                hedge.hedged = Some(hedged);
                actions.push(self.start_hedge(id, hedged, to, entry));
            }
            Err(refusal) => hedge.decision = HedgeDecision::Refused(refusal),
        }
        self.last_hedge = Some(hedge);
        actions
    }

    /// Selects the upstream for a hedged attempt, and spends its repeat from the retry budget.
    fn choose_hedge_upstream(
        &self,
        now: Moment,
        first: &Name,
        hedge: &mut Hedge,
        entry: &mut Entry,
    ) -> Result<Name, HedgeRefusal> {
        if !self.may_hedge() {
            return Err(HedgeRefusal::NotAllowed);
        }
        let shortage_us = self.price.objective_us.unwrap_or(DEFAULT_SHORTAGE_US);
        if hedge.since_busy_us.is_some_and(|us| us <= shortage_us) {
            return Err(HedgeRefusal::ShortOfSlots);
        }
        let to = self.pick_hedge_upstream(now, first, entry);
        let to = to.ok_or(HedgeRefusal::NoUpstream)?;
        let view = entry.view(&to);
        let expected_us = expected_run_us(hedge.since_offer_us, view.load);
        hedge.to = Some(to.clone());
        hedge.expected_us = Some(expected_us);
        hedge.load_age_us = view.load.map(|_| now.since(view.reported_at));
        if expected_us + RETURN_TIME_US > hedge.remaining_us {
            return Err(HedgeRefusal::TooLate);
        }
        if !entry.spend_retry(&self.service) {
            return Err(HedgeRefusal::BudgetExhausted);
        }
        Ok(to)
    }

    /// Picks another upstream of the same hall that may have a free slot.
    fn pick_hedge_upstream(&self, now: Moment, first: &Name, entry: &mut Entry) -> Option<Name> {
        let eligible = self.eligible(false, now, entry);
        let fits = |candidate: &&Candidate| {
            let vm = &candidate.vm;
            candidate.same_hall && vm != first && !entry.is_unresponsive(now, vm)
        };
        let eligible: Vec<&Candidate> = eligible.into_iter().filter(fits).collect();
        entry.choose(now, &eligible, self.price, false)
    }

    fn start_hedge(
        &mut self,
        first: AttemptId,
        hedged: AttemptId,
        to: Name,
        entry: &mut Entry,
    ) -> Action<A> {
        entry.attempt_offered(&to);
        self.offers += 1;
        self.hedge_state = HedgeState::InFlight {
            first,
            hedged,
            to: to.clone(),
        };
        Action::Offer {
            id: hedged,
            to,
            may_queue: false,
            repeat: true,
            suspicion: Suspicion::None,
        }
    }

    /// Handles an event while both attempts are in flight.
    pub(super) fn step_hedged(
        &mut self,
        now: Moment,
        event: Event<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        match event {
            Event::Begin | Event::Straggles(_) => Vec::new(),
            Event::Expired => {
                let mut actions = self.cancel_hedge(entry);
                actions.extend(self.expired(entry));
                actions
            }
            Event::CallerDisconnected => {
                let mut actions = self.cancel_hedge(entry);
                actions.extend(self.caller_disconnected(entry));
                actions
            }
            Event::Answered { id, answer, error } if error => {
                if let Some(vm) = self.attempt_failed(id, Failure::Ran, entry) {
                    self.fallback = Some(answer);
                    self.exclude_failed(now, vm, entry);
                }
                Vec::new()
            }
            Event::Answered { id, answer, error } => {
                let mut actions = self.cancel_other(id, entry);
                actions.extend(self.answered(now, id, answer, error, entry));
                actions
            }
            Event::Refused(id, refusal) => {
                self.attempt_refused(now, id, refusal, entry);
                Vec::new()
            }
            Event::Revoked(id) => {
                if let Some(vm) = self.attempt_failed(id, Failure::NotReceived, entry) {
                    self.exclude_revoked(vm);
                }
                Vec::new()
            }
            Event::NotSent(id) => {
                if let Some(vm) = self.attempt_failed(id, Failure::NotReceived, entry) {
                    entry.mark_unresponsive(now, &vm);
                    self.exclude(vm);
                }
                Vec::new()
            }
            Event::Broken(id) | Event::NodeGone(id) => {
                self.attempt_broken(now, id, entry);
                Vec::new()
            }
            Event::ConnectionLost(id) => {
                if let Some(vm) = self.attempt_broken(now, id, entry) {
                    entry.mark_unresponsive(now, &vm);
                }
                Vec::new()
            }
            Event::NodeUnresponsive(id) => {
                let Some(vm) = self.attempt_broken(now, id, entry) else {
                    return Vec::new();
                };
                entry.mark_unresponsive(now, &vm);
                vec![Action::Cancel { id, to: vm }]
            }
            Event::UpstreamTerminated { id, order } => {
                // A suspect may run once more; the other attempt is that run.
                if let Some(vm) = self.attempt_failed(id, Failure::Ran, entry) {
                    self.may_have_run = true;
                    self.suspect = Some(Suspect::new(order));
                    self.exclude(vm);
                }
                Vec::new()
            }
            // Queries are sent only for requests that may not be repeated, which are never hedged.
            Event::QueryReplied(..) => self.drop_late_event(),
        }
    }

    fn attempt_refused(&mut self, now: Moment, id: AttemptId, refusal: Refusal, entry: &mut Entry) {
        let failure = match refusal.reason {
            Reason::Shed => Failure::Shed,
            _ => Failure::NotReceived,
        };
        // A hedged attempt may not queue.
        let could_queue = self.could_queue() && self.vm_if_current(id).is_some();
        let Some(vm) = self.attempt_failed(id, failure, entry) else {
            entry.on_late_refusal(now, id, &refusal);
            return;
        };
        self.has_certain_refusal |= refusal.reason != Reason::Uncertain;
        match refusal.reason {
            Reason::Busy => {
                if could_queue {
                    entry.on_busy_refusal(now, &self.service);
                }
                self.refused_by.push(vm);
            }
            Reason::Leaving => {
                entry.set_draining(now, &vm, true);
                self.exclude(vm);
            }
            _ => self.exclude(vm),
        }
    }

    fn attempt_broken(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Option<Name> {
        let vm = self.attempt_failed(id, Failure::Ran, entry)?;
        self.may_have_run = true;
        self.exclude_failed(now, vm.clone(), entry);
        Some(vm)
    }

    /// Handles the failure of one of two attempts: the other continues as the call's only one.
    /// Returns the VM of the failed one.
    fn attempt_failed(
        &mut self,
        id: AttemptId,
        failure: Failure,
        entry: &mut Entry,
    ) -> Option<Name> {
        let (first, hedged, hedged_to) = self.both_attempts()?;
        let vm = if id == hedged {
            match failure {
                Failure::NotReceived => entry.refund_retry(&self.service),
                Failure::Shed | Failure::Ran => self.arrivals += 1,
            }
            hedged_to
        } else {
            let Some(vm) = self.vm_if_current(id) else {
                self.late_events += 1;
                return None;
            };
            match failure {
                Failure::NotReceived => self.refund(entry),
                Failure::Shed | Failure::Ran => self.record_arrival(),
            }
            self.offer_may_queue = false;
            // The repeat of the hedged attempt is spent, and whether it reaches an upstream is not
            // known yet.
            self.repeat_pending = true;
            self.state = State::Waiting {
                id: hedged,
                to: hedged_to,
            };
            vm
        };
        self.runs += u32::from(matches!(failure, Failure::Ran));
        self.hedge_state = HedgeState::Resolved { first, hedged };
        entry.attempt_ended(&vm);
        Some(vm)
    }

    /// Cancels the attempt other than `winner`, without a refund: it may have reached an upstream.
    fn cancel_other(&mut self, winner: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((first, hedged, hedged_to)) = self.both_attempts() else {
            return Vec::new();
        };
        if winner != hedged {
            return match self.vm_if_current(winner) {
                Some(_) => self.cancel_hedge(entry),
                None => Vec::new(),
            };
        }
        let Some(first_to) = self.vm_if_current(first) else {
            return Vec::new();
        };
        entry.attempt_ended(&first_to);
        self.hedge_state = HedgeState::Resolved { first, hedged };
        self.state = State::Waiting {
            id: hedged,
            to: hedged_to,
        };
        vec![Action::Cancel {
            id: first,
            to: first_to,
        }]
    }

    fn cancel_hedge(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((first, hedged, to)) = self.both_attempts() else {
            return Vec::new();
        };
        entry.attempt_ended(&to);
        self.hedge_state = HedgeState::Resolved { first, hedged };
        vec![Action::Cancel { id: hedged, to }]
    }

    fn both_attempts(&self) -> Option<(AttemptId, AttemptId, Name)> {
        match &self.hedge_state {
            HedgeState::InFlight { first, hedged, to } => Some((*first, *hedged, to.clone())),
            HedgeState::None | HedgeState::Resolved { .. } => None,
        }
    }

    /// Records that the answer of attempt `by` is the call's outcome.
    pub(super) fn record_winner(&mut self, now: Moment, by: AttemptId) {
        let Some((decision, first, hedged)) = self.hedge_state.won(by) else {
            return;
        };
        self.last_hedge = Some(Hedge {
            decision,
            first,
            hedged: Some(hedged),
            to: None,
            since_offer_us: now.since(self.offered_at),
            remaining_us: self.deadline.since(now),
            expected_us: None,
            load_age_us: None,
            since_busy_us: None,
        });
    }
}
