//! A call with its first attempt in flight, its clock, and the state of its entry duty.

use entry::{
    Action, Call, Candidate, Entry, Event, HedgeDecision, HedgeRefusal, Origin, Outcome, Price,
    SelectionRule, Treatment,
};
use home::{Load, Reason, Refusal};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};

pub const START: Moment = Moment(10 * SECOND);
pub const OBJECTIVE_US: u64 = 200 * MILLISECOND;
pub const DEADLINE_US: u64 = 600 * MILLISECOND;
pub const SAME_HALL: [&str; 3] = ["a", "b", "c"];
pub const OTHER_HALL: &str = "far";

pub fn treatment() -> Treatment {
    Treatment {
        repeatable: true,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    }
}

pub fn new_call(treatment: Treatment, vms: &[&str]) -> Call<u64> {
    let candidates = vms.iter().map(|vm| Candidate {
        vm: Name::from(*vm),
        same_hall: *vm != OTHER_HALL,
        local: false,
    });
    let deadline = START + DEADLINE_US;
    Call::new("s".into(), treatment, deadline, candidates.collect()).with_price(Price::of(
        5,
        OBJECTIVE_US / MILLISECOND * MILLISECOND,
        false,
    ))
}

/// An entry duty with `repeats` in the retry budget of its service.
pub fn entry_with_repeats(repeats: u32) -> Entry {
    let mut entry = Entry::new(BootId(1), SelectionRule::Expected, 3);
    for _ in 0..repeats * 10 {
        let mut call = new_call(treatment(), &SAME_HALL);
        call.step(Moment(1), Event::Begin, &mut entry);
        call.step(Moment(1), Event::CallerDisconnected, &mut entry);
    }
    entry
}

/// A call with its first attempt in flight, and its clock.
pub struct Scenario {
    pub entry: Entry,
    pub call: Call<u64>,
    pub now: Moment,
    pub first: (AttemptId, Name),
}

/// An offer: the attempt, its VM, whether it may queue, whether it is a repeat.
pub type Offered = (AttemptId, Name, bool, bool);

pub fn find_offer(actions: &[Action<u64>]) -> Option<Offered> {
    actions.iter().find_map(|action| match action {
        Action::Offer {
            id,
            to,
            may_queue,
            repeat,
            ..
        } => Some((*id, to.clone(), *may_queue, *repeat)),
        _ => None,
    })
}

pub fn find_outcome(actions: &[Action<u64>]) -> Option<Outcome<u64>> {
    actions.iter().find_map(|action| match action {
        Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

pub fn cancelled_attempts(actions: &[Action<u64>]) -> Vec<AttemptId> {
    let cancelled = |action: &Action<u64>| match action {
        Action::Cancel { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

pub fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: 50,
    }
}

pub fn good_answer(id: AttemptId, answer: u64) -> Event<u64> {
    let error = false;
    Event::Answered { id, answer, error }
}

pub fn error_answer(id: AttemptId, answer: u64) -> Event<u64> {
    let error = true;
    Event::Answered { id, answer, error }
}

impl Scenario {
    pub fn of(treatment: Treatment, vms: &[&str], mut entry: Entry) -> Scenario {
        let mut call = new_call(treatment, vms);
        let actions = call.step(START, Event::Begin, &mut entry);
        let (id, to, ..) = find_offer(&actions).expect("the first offer");
        Scenario {
            entry,
            call,
            now: START + 60 * MILLISECOND,
            first: (id, to),
        }
    }

    pub fn new() -> Scenario {
        Scenario::of(treatment(), &SAME_HALL, entry_with_repeats(1))
    }

    pub fn step(&mut self, event: Event<u64>) -> Vec<Action<u64>> {
        self.call.step(self.now, event, &mut self.entry)
    }

    /// Reports the first attempt as a straggler. Returns the hedged offer, or why none was made.
    pub fn report_straggler(&mut self) -> Result<Offered, HedgeRefusal> {
        let actions = self.step(Event::Straggles(self.first.0));
        let hedge = self.call.take_hedge().expect("a decision");
        match (find_offer(&actions), hedge.decision) {
            (Some(offer), HedgeDecision::Made) => Ok(offer),
            (None, HedgeDecision::Refused(refusal)) => Err(refusal),
            other => panic!("{other:?}"),
        }
    }

    /// Makes a hedged attempt. Returns the first and the hedged attempt.
    pub fn make_hedge(&mut self) -> (AttemptId, AttemptId) {
        let (hedged, ..) = self.report_straggler().expect("a hedged attempt");
        (self.first.0, hedged)
    }

    pub fn take_decision(&mut self) -> Option<HedgeDecision> {
        self.call.take_hedge().map(|hedge| hedge.decision)
    }

    pub fn report(&mut self, vm: &str, load: Load) {
        self.entry.on_report(self.now, &Name::from(vm), load);
    }

    /// Whether the service's retry budget has a repeat left.
    pub fn has_budget(&mut self) -> bool {
        let non_repeatable = Treatment {
            repeatable: false,
            origin: Origin::Upstream,
            ..treatment()
        };
        let mut test_call = new_call(non_repeatable, &SAME_HALL);
        let actions = test_call.step(self.now, Event::Begin, &mut self.entry);
        let (id, ..) = find_offer(&actions).expect("an offer");
        let shed = Event::Refused(id, refusal(Reason::Shed));
        let actions = test_call.step(self.now, shed, &mut self.entry);
        let has_repeat = find_offer(&actions).is_some();
        if let Some((id, ..)) = find_offer(&actions) {
            // Refunds the repeat.
            let late = Event::Refused(id, refusal(Reason::Deadline));
            test_call.step(self.now, late, &mut self.entry);
        }
        has_repeat
    }

    /// Spends all repeats in the service's retry budget and returns their number.
    pub fn spend_budget(&mut self) -> u32 {
        self.now = START;
        for vm in SAME_HALL {
            self.entry.set_draining(START, &Name::from(vm), false);
            self.entry.mark_responsive(&Name::from(vm));
        }
        let non_repeatable = Treatment {
            repeatable: false,
            origin: Origin::Upstream,
            ..treatment()
        };
        let mut repeats = 0;
        loop {
            let mut test_call = new_call(non_repeatable.clone(), &SAME_HALL);
            let actions = test_call.step(self.now, Event::Begin, &mut self.entry);
            let (id, ..) = find_offer(&actions).expect("an offer");
            let shed = Event::Refused(id, refusal(Reason::Shed));
            if find_offer(&test_call.step(self.now, shed, &mut self.entry)).is_none() {
                return repeats;
            }
            repeats += 1;
        }
    }

    pub fn outstanding(&self) -> u32 {
        let vms = SAME_HALL.iter().chain([&OTHER_HALL]);
        vms.map(|vm| self.entry.view(&Name::from(*vm)).outstanding)
            .sum()
    }
}

pub fn full_load() -> Load {
    Load {
        in_flight: 6,
        limit: 6,
        service_us: 40 * MILLISECOND,
        ..Load::default()
    }
}
