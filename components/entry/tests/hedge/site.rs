//! A call on its way, with its clock and what its node knows.

use entry::{
    Action, Call, Candidate, Entry, Event, HedgeDecision, HedgeRefusal, Origin, Outcome, Price,
    SelectionRule, Treatment,
};
use home::{Load, Reason, Refusal};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND, SECOND};

pub const START: Moment = Moment(10 * SECOND);
pub const OBJECTIVE_US: u64 = 200 * MILLISECOND;
pub const DEADLINE_US: u64 = 600 * MILLISECOND;
pub const NEAR: [&str; 3] = ["a", "b", "c"];
pub const FAR: &str = "far";

pub fn treatment() -> Treatment {
    Treatment {
        repeatable: true,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    }
}

pub fn call_of(treatment: Treatment, vms: &[&str]) -> Call<u64> {
    let candidates = vms.iter().map(|vm| Candidate {
        vm: Name::from(*vm),
        same_hall: *vm != FAR,
        local: false,
    });
    let deadline = START + DEADLINE_US;
    Call::new("s".into(), treatment, deadline, candidates.collect()).with_price(Price::of(
        5,
        OBJECTIVE_US / MILLISECOND * MILLISECOND,
        false,
    ))
}

/// An entry duty whose service has earned `repeats`.
pub fn entry(repeats: u32) -> Entry {
    let mut entry = Entry::new(BootId(1), SelectionRule::Expected, 3);
    for _ in 0..repeats * 10 {
        let mut call = call_of(treatment(), &NEAR);
        call.step(Moment(1), Event::Begin, &mut entry);
        call.step(Moment(1), Event::CallerDisconnected, &mut entry);
    }
    entry
}

/// A call on its way, with its clock.
pub struct Site {
    pub entry: Entry,
    pub call: Call<u64>,
    pub now: Moment,
    pub first: (AttemptId, Name),
}

/// An offer: the attempt, where it goes, whether it may queue, whether it is a repeat.
pub type Offered = (AttemptId, Name, bool, bool);

pub fn offer(actions: &[Action<u64>]) -> Option<Offered> {
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

pub fn outcome(actions: &[Action<u64>]) -> Option<Outcome<u64>> {
    actions.iter().find_map(|action| match action {
        Action::Finish(outcome) => Some(outcome.clone()),
        _ => None,
    })
}

pub fn cancels(actions: &[Action<u64>]) -> Vec<AttemptId> {
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

pub fn answered(id: AttemptId, answer: u64) -> Event<u64> {
    let error = false;
    Event::Answered { id, answer, error }
}

pub fn failed(id: AttemptId, answer: u64) -> Event<u64> {
    let error = true;
    Event::Answered { id, answer, error }
}

impl Site {
    pub fn of(treatment: Treatment, vms: &[&str], mut entry: Entry) -> Site {
        let mut call = call_of(treatment, vms);
        let actions = call.step(START, Event::Begin, &mut entry);
        let (id, to, ..) = offer(&actions).expect("the first offer");
        Site {
            entry,
            call,
            now: START + 60 * MILLISECOND,
            first: (id, to),
        }
    }

    pub fn new() -> Site {
        Site::of(treatment(), &NEAR, entry(1))
    }

    pub fn step(&mut self, event: Event<u64>) -> Vec<Action<u64>> {
        self.call.step(self.now, event, &mut self.entry)
    }

    /// The first attempt straggles.
    pub fn straggle(&mut self) -> Result<Offered, HedgeRefusal> {
        let actions = self.step(Event::Straggles(self.first.0));
        let hedge = self.call.take_hedge().expect("something is decided");
        match (offer(&actions), hedge.decision) {
            (Some(offer), HedgeDecision::Made) => Ok(offer),
            (None, HedgeDecision::Refused(refusal)) => Err(refusal),
            other => panic!("{other:?}"),
        }
    }

    /// The first and the second attempt.
    pub fn hedged(&mut self) -> (AttemptId, AttemptId) {
        let (second, ..) = self.straggle().expect("a second attempt");
        (self.first.0, second)
    }

    pub fn decision(&mut self) -> Option<HedgeDecision> {
        self.call.take_hedge().map(|hedge| hedge.decision)
    }

    pub fn report(&mut self, vm: &str, load: Load) {
        self.entry.on_report(self.now, &Name::from(vm), load);
    }

    /// Whether the service's budget has room for one repeat.
    pub fn has_budget(&mut self) -> bool {
        let once = Treatment {
            repeatable: false,
            origin: Origin::Upstream,
            ..treatment()
        };
        let mut probe = call_of(once, &NEAR);
        let actions = probe.step(self.now, Event::Begin, &mut self.entry);
        let (id, ..) = offer(&actions).expect("an offer");
        let shed = Event::Refused(id, refusal(Reason::Shed));
        let actions = probe.step(self.now, shed, &mut self.entry);
        let has = offer(&actions).is_some();
        if let Some((id, ..)) = offer(&actions) {
            // Gives the repeat back.
            let late = Event::Refused(id, refusal(Reason::Deadline));
            probe.step(self.now, late, &mut self.entry);
        }
        has
    }

    /// Spends the repeats in the service's budget and returns their number.
    pub fn drain_budget(&mut self) -> u32 {
        self.now = START;
        for vm in NEAR {
            self.entry.set_draining(START, &Name::from(vm), false);
            self.entry.mark_responsive(&Name::from(vm));
        }
        let once = Treatment {
            repeatable: false,
            origin: Origin::Upstream,
            ..treatment()
        };
        let mut repeats = 0;
        loop {
            let mut probe = call_of(once.clone(), &NEAR);
            let actions = probe.step(self.now, Event::Begin, &mut self.entry);
            let (id, ..) = offer(&actions).expect("an offer");
            let shed = Event::Refused(id, refusal(Reason::Shed));
            if offer(&probe.step(self.now, shed, &mut self.entry)).is_none() {
                return repeats;
            }
            repeats += 1;
        }
    }

    pub fn outstanding(&self) -> u32 {
        let vms = NEAR.iter().chain([&FAR]);
        vms.map(|vm| self.entry.view(&Name::from(*vm)).outstanding)
            .sum()
    }
}

pub fn full() -> Load {
    Load {
        in_flight: 6,
        limit: 6,
        service_us: 40 * MILLISECOND,
        ..Load::default()
    }
}
