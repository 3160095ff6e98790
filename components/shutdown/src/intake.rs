//! Which requests of callers a stopping node accepts.

use crate::plan::Plan;
use names::Moment;

/// A request that arrives at a stopping node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The longest that requests of its class have taken recently, in microseconds; none if that is
    /// unknown.
    pub longest_us: Option<u64>,
    /// How long its caller waits, in microseconds.
    pub limit_us: u64,
    /// Whether the local upstream sends it for a request that it is running. That request fails if
    /// this one is refused.
    pub is_nested: bool,
}

impl Arrival {
    /// The time that the request may need, in microseconds.
    pub fn need_us(&self) -> u64 {
        need_us(self.longest_us, self.limit_us)
    }
}

/// The time that a request may need, in microseconds: the longest that requests of its class have
/// taken recently, but no more than its upstream may work on it. Where the former is unknown, it may
/// need all the time that it has.
pub fn need_us(longest_us: Option<u64>, limit_us: u64) -> u64 {
    longest_us.map_or(limit_us, |us| us.min(limit_us))
}

/// Why a stopping node refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It may not end before the process has to exit.
    NoTime,
    /// It would prolong the stop.
    Closed,
}

impl Refused {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refused::NoTime => "no-time",
            Refused::Closed => "closed",
        }
    }
}

/// The requests that a stopping node accepts.
///
/// Until the end of the intake, these are all requests that end in time. After it, only those that
/// end before the work accepted earlier may: the stop takes no longer because of them.
#[derive(Debug, Clone)]
pub struct Intake {
    plan: Plan,
    /// When the work that was accepted before the end of the intake has ended at the latest.
    busy_until: Moment,
    is_closed: bool,
}

impl Intake {
    /// The intake of a stop that has begun.
    pub fn new(plan: Plan) -> Intake {
        Intake {
            plan,
            busy_until: plan.intake_end(),
            is_closed: false,
        }
    }

    /// The plan of the stop.
    pub fn plan(&self) -> Plan {
        self.plan
    }

    /// Accepts or refuses a request.
    pub fn admit(&mut self, now: Moment, arrival: &Arrival) -> Result<(), Refused> {
        let need_us = arrival.need_us();
        if !self.plan.fits(now, need_us) {
            return Err(Refused::NoTime);
        }
        if arrival.is_nested {
            return Ok(());
        }
        if now < self.plan.intake_end() {
            self.busy_until = self.busy_until.max(now + need_us);
        }
        if self.is_closed || need_us > self.busy_until.since(now) {
            return Err(Refused::Closed);
        }
        Ok(())
    }

    /// Refuses callers' requests from now on: the last steps of the stop have begun.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether callers' requests are refused in any case.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }
}
