//! A second attempt of a call whose first takes much longer than usual.
//!
//! The load that this answers: 3% of the runs take seven times as long as usual, and a second run of the same request
//! takes the usual time. While a service is short of slots no second attempt is made: it would take a slot from a
//! request that has had none.
//!
//! While both attempts are at work, the events of each come here. The failure of one leaves the other to go on alone as
//! the call's only attempt.

use super::{Call, State};
use crate::choice::Candidate;
use crate::event::{Action, Event};
use crate::hedging::{Hedge, HedgeDecision, HedgeRefusal, RETURN_TIME_US};
use crate::shared::Entry;
use crate::suspect::Suspect;
use home::{Load, Reason, Refusal, Suspicion};
use names::{AttemptId, Moment, Name, SECOND};

/// A service counts as short for so long after a refusal as busy where no objective is known, in microseconds.
const SHORT_KEPT_US: u64 = SECOND;

/// The second attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) enum Second {
    /// None was made.
    #[default]
    None,
    /// It is at work beside the first.
    Beside {
        first: AttemptId,
        id: AttemptId,
        to: Name,
    },
    /// One of the two has ended; the other may go on as the call's only attempt.
    Parted { first: AttemptId, id: AttemptId },
}

impl Second {
    pub(super) fn is_beside(&self) -> bool {
        matches!(self, Second::Beside { .. })
    }

    /// Which attempt brought the answer, where there were two.
    fn won(&self, by: AttemptId) -> Option<(HedgeDecision, AttemptId, AttemptId)> {
        let (Second::Beside { first, id, .. } | Second::Parted { first, id }) = self else {
            return None;
        };
        let decision = if by == *id {
            HedgeDecision::WonByHedge
        } else if by == *first {
            HedgeDecision::WonByFirst
        } else {
            return None;
        };
        Some((decision, *first, *id))
    }
}

/// How one of two attempts failed.
enum Failure {
    /// It reached no upstream.
    NotRun,
    /// An upstream turned it away.
    Shed,
    /// It ran.
    Ran,
}

/// How long a second run is expected to take, in microseconds.
///
/// The home duty reports a run that has taken longer than usual, so the time since its offer is an upper bound. What an
/// upstream reports is a mean over all its classes, which short requests lower, so it counts down to half of that time
/// only. Zero means that the upstream has reported none.
fn expected_us(since_offer_us: u64, load: Option<Load>) -> u64 {
    let reported_us = load.map(|load| load.service_us).filter(|us| *us > 0);
    reported_us.map_or(since_offer_us, |us| {
        us.clamp(since_offer_us / 2, since_offer_us)
    })
}

impl<A: Clone> Call<A> {
    /// Whether a straggling attempt of this call may get a second one as far as the call itself goes.
    pub fn may_hedge(&self) -> bool {
        self.treatment.repeatable
            && self.suspect.is_none()
            && !self.hedge_forbidden
            && self.second == Second::None
            && self.runs + 1 < self.treatment.max_runs
            && self.arrivals + 1 < self.treatment.max_arrivals
    }

    /// Forbids a second attempt: an upstream ended under another copy of the request since the call began.
    pub fn forbid_hedge(&mut self) {
        self.hedge_forbidden = true;
    }

    /// Takes out the decision about a second attempt that was made in the last step.
    pub fn take_hedge(&mut self) -> Option<Hedge> {
        self.hedge.take()
    }

    /// The first attempt takes much longer than usual.
    pub(super) fn straggles(
        &mut self,
        now: Moment,
        id: AttemptId,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        let Some(first) = self.current(id) else {
            return self.dropped();
        };
        let mut hedge = Hedge {
            decision: HedgeDecision::Made,
            first: id,
            hedged: None,
            to: None,
            since_offer_us: now.since(self.offered_at),
            remaining_us: self.deadline.since(now),
            expected_us: None,
            load_age_us: None,
            since_busy_us: entry.since_busy_us(now, &self.service),
        };
        let mut actions = Vec::new();
        match self.second_upstream(now, &first, &mut hedge, entry) {
            Ok(to) => {
                let second = entry.next_attempt();
                hedge.hedged = Some(second);
                actions.push(self.start_second(id, second, to, entry));
            }
            Err(refusal) => hedge.decision = HedgeDecision::Refused(refusal),
        }
        self.hedge = Some(hedge);
        actions
    }

    /// Where a second attempt goes; its cost is taken out of the budget.
    fn second_upstream(
        &self,
        now: Moment,
        first: &Name,
        hedge: &mut Hedge,
        entry: &mut Entry,
    ) -> Result<Name, HedgeRefusal> {
        if !self.may_hedge() {
            return Err(HedgeRefusal::NotAllowed);
        }
        let short_us = self.price.objective_us.unwrap_or(SHORT_KEPT_US);
        if hedge.since_busy_us.is_some_and(|us| us <= short_us) {
            return Err(HedgeRefusal::ShortOfSlots);
        }
        let to = self.pick_second(now, first, entry);
        let to = to.ok_or(HedgeRefusal::NoUpstream)?;
        let view = entry.view(&to);
        let expected_us = expected_us(hedge.since_offer_us, view.load);
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

    /// One of the own hall's other upstreams that may have a free slot.
    fn pick_second(&self, now: Moment, first: &Name, entry: &mut Entry) -> Option<Name> {
        let open = self.open(false, now, entry);
        let fits = |candidate: &&Candidate| {
            let vm = &candidate.vm;
            candidate.same_hall && vm != first && !entry.is_unresponsive(now, vm)
        };
        let open: Vec<&Candidate> = open.into_iter().filter(fits).collect();
        entry.choose(now, &open, self.price, false)
    }

    fn start_second(
        &mut self,
        first: AttemptId,
        id: AttemptId,
        to: Name,
        entry: &mut Entry,
    ) -> Action<A> {
        entry.attempt_offered(&to);
        self.offers += 1;
        self.second = Second::Beside {
            first,
            id,
            to: to.clone(),
        };
        Action::Offer {
            id,
            to,
            may_queue: false,
            repeat: true,
            suspicion: Suspicion::None,
        }
    }

    /// Takes in an event while two attempts are at work.
    pub(super) fn step_both(
        &mut self,
        now: Moment,
        event: Event<A>,
        entry: &mut Entry,
    ) -> Vec<Action<A>> {
        match event {
            Event::Begin | Event::Straggles(_) => Vec::new(),
            Event::Expired => {
                let mut actions = self.cancel_second(entry);
                actions.extend(self.expired(entry));
                actions
            }
            Event::CallerDisconnected => {
                let mut actions = self.cancel_second(entry);
                actions.extend(self.hung_up(entry));
                actions
            }
            Event::Answered { id, answer, error } if error => {
                if let Some(vm) = self.failed(id, Failure::Ran, entry) {
                    self.fallback = Some(answer);
                    self.leave(now, vm, entry);
                }
                Vec::new()
            }
            Event::Answered { id, answer, error } => {
                let mut actions = self.cancel_other(id, entry);
                actions.extend(self.answered(now, id, answer, error, entry));
                actions
            }
            Event::Refused(id, refusal) => {
                self.one_refused(now, id, refusal, entry);
                Vec::new()
            }
            Event::Revoked(id) => {
                if let Some(vm) = self.failed(id, Failure::NotRun, entry) {
                    self.close_revoked(vm);
                }
                Vec::new()
            }
            Event::NotSent(id) => {
                if let Some(vm) = self.failed(id, Failure::NotRun, entry) {
                    entry.mark_unresponsive(now, &vm);
                    self.close(vm);
                }
                Vec::new()
            }
            Event::Broken(id) | Event::NodeGone(id) => {
                self.one_broken(now, id, entry);
                Vec::new()
            }
            Event::ConnectionLost(id) => {
                if let Some(vm) = self.one_broken(now, id, entry) {
                    entry.mark_unresponsive(now, &vm);
                }
                Vec::new()
            }
            Event::NodeUnresponsive(id) => {
                let Some(vm) = self.one_broken(now, id, entry) else {
                    return Vec::new();
                };
                entry.mark_unresponsive(now, &vm);
                vec![Action::Cancel { id, to: vm }]
            }
            Event::UpstreamTerminated { id, order } => {
                // The other attempt is the one more run that such a request may have.
                if let Some(vm) = self.failed(id, Failure::Ran, entry) {
                    self.maybe_ran = true;
                    self.suspect = Some(Suspect::new(order));
                    self.close(vm);
                }
                Vec::new()
            }
            // Only requests that may not be repeated are asked after.
            Event::QueryReplied(..) => self.dropped(),
        }
    }

    fn one_refused(&mut self, now: Moment, id: AttemptId, refusal: Refusal, entry: &mut Entry) {
        let failure = match refusal.reason {
            Reason::Shed => Failure::Shed,
            _ => Failure::NotRun,
        };
        // A second attempt only asks for a free slot at once.
        let might_queue = self.might_queue() && self.current(id).is_some();
        let Some(vm) = self.failed(id, failure, entry) else {
            entry.on_late_refusal(now, id, &refusal);
            return;
        };
        self.contacted |= refusal.reason != Reason::Uncertain;
        match refusal.reason {
            Reason::Busy => {
                if might_queue {
                    entry.on_busy_refusal(now, &self.service);
                }
                self.refused_by.push(vm);
            }
            Reason::Leaving => {
                entry.set_draining(now, &vm, true);
                self.close(vm);
            }
            _ => self.close(vm),
        }
    }

    fn one_broken(&mut self, now: Moment, id: AttemptId, entry: &mut Entry) -> Option<Name> {
        let vm = self.failed(id, Failure::Ran, entry)?;
        self.maybe_ran = true;
        self.leave(now, vm.clone(), entry);
        Some(vm)
    }

    /// One of two attempts failed: the other goes on as the call's only one. Returns where it failed.
    fn failed(&mut self, id: AttemptId, failure: Failure, entry: &mut Entry) -> Option<Name> {
        let (first, second, second_to) = self.both()?;
        let vm = if id == second {
            match failure {
                Failure::NotRun => entry.refund_retry(&self.service),
                Failure::Shed | Failure::Ran => self.arrivals += 1,
            }
            second_to
        } else {
            let Some(vm) = self.current(id) else {
                self.late += 1;
                return None;
            };
            match failure {
                Failure::NotRun => self.refund(entry),
                Failure::Shed | Failure::Ran => self.arrived(),
            }
            self.asked_to_queue = false;
            // The second attempt has been paid for, and it is not known yet whether it reaches an upstream.
            self.repeat_paid = true;
            self.state = State::Waiting {
                id: second,
                to: second_to,
            };
            vm
        };
        self.runs += u32::from(matches!(failure, Failure::Ran));
        self.second = Second::Parted { first, id: second };
        entry.attempt_ended(&vm);
        Some(vm)
    }

    /// Cancels the attempt other than `winner`. It stays paid for: it may have reached an upstream.
    fn cancel_other(&mut self, winner: AttemptId, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((first, second, second_to)) = self.both() else {
            return Vec::new();
        };
        if winner != second {
            return match self.current(winner) {
                Some(_) => self.cancel_second(entry),
                None => Vec::new(),
            };
        }
        let Some(first_to) = self.current(first) else {
            return Vec::new();
        };
        entry.attempt_ended(&first_to);
        self.second = Second::Parted { first, id: second };
        self.state = State::Waiting {
            id: second,
            to: second_to,
        };
        vec![Action::Cancel {
            id: first,
            to: first_to,
        }]
    }

    fn cancel_second(&mut self, entry: &mut Entry) -> Vec<Action<A>> {
        let Some((first, id, to)) = self.both() else {
            return Vec::new();
        };
        entry.attempt_ended(&to);
        self.second = Second::Parted { first, id };
        vec![Action::Cancel { id, to }]
    }

    fn both(&self) -> Option<(AttemptId, AttemptId, Name)> {
        match &self.second {
            Second::Beside { first, id, to } => Some((*first, *id, to.clone())),
            Second::None | Second::Parted { .. } => None,
        }
    }

    /// Takes in that the answer of an attempt is the call's outcome.
    pub(super) fn note_winner(&mut self, now: Moment, by: AttemptId) {
        let Some((decision, first, second)) = self.second.won(by) else {
            return;
        };
        self.hedge = Some(Hedge {
            decision,
            first,
            hedged: Some(second),
            to: None,
            since_offer_us: now.since(self.offered_at),
            remaining_us: self.deadline.since(now),
            expected_us: None,
            load_age_us: None,
            since_busy_us: None,
        });
    }
}
