//! The moments of a planned stop.

use names::{Moment, MILLISECOND, SECOND};

/// After the upstream gets no new work, callers that have not noticed the stop are still served for
/// this long, in microseconds; each answer asks them to close the connection.
const CLOSE_GRACE_US: u64 = SECOND;
/// The last steps of a stop begin after this fraction of the grace period, also beside work that is
/// still in progress.
const CLEANUP_FRACTION: f64 = 0.9;
/// Time before the end of the grace period at which the process exits at the latest.
const EXIT_MARGIN: Margin = Margin {
    fraction: 0.03,
    min_us: 100 * MILLISECOND,
};
/// Time before that exit at which accepted work must have ended. Answers that upstreams give at the
/// end of their time are still passed on.
const RETURN_MARGIN: Margin = Margin {
    fraction: 0.02,
    min_us: 50 * MILLISECOND,
};
/// Maximum of a margin, as a fraction of the grace period.
const MAX_MARGIN_FRACTION: f64 = 0.25;

/// A margin that grows with the grace period.
struct Margin {
    fraction: f64,
    min_us: u64,
}

impl Margin {
    fn us(&self, grace_us: u64) -> u64 {
        let part = |fraction: f64| (grace_us as f64 * fraction) as u64;
        part(self.fraction).max(self.min_us.min(part(MAX_MARGIN_FRACTION)))
    }
}

/// Settings of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time from the stop signal until the process is killed, in microseconds.
    pub grace_us: u64,
    /// Time from the stop signal for which the upstream gets new work, in microseconds.
    pub linger_us: u64,
}

/// The moments of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    signal: Moment,
    drain: Moment,
    intake_end: Moment,
    cleanup: Moment,
    work_end: Moment,
    exit: Moment,
}

impl Plan {
    /// The plan of a stop whose signal arrived at `signal`. No moment lies beyond the grace period,
    /// whatever the limits.
    pub fn new(signal: Moment, limits: Limits) -> Plan {
        let grace_us = limits.grace_us;
        let exit = signal + (grace_us - EXIT_MARGIN.us(grace_us));
        let work_end = exit - RETURN_MARGIN.us(grace_us);
        let cleanup_us = (grace_us as f64 * CLEANUP_FRACTION) as u64;
        let cleanup = (signal + cleanup_us).min(work_end);
        let after = |us: u64| Moment(signal.0.saturating_add(us)).min(cleanup);
        Plan {
            signal,
            drain: after(limits.linger_us),
            intake_end: after(limits.linger_us.saturating_add(CLOSE_GRACE_US)),
            cleanup,
            work_end,
            exit,
        }
    }

    /// When the stop signal arrived.
    pub fn signal(&self) -> Moment {
        self.signal
    }

    /// From when the upstream gets no new work.
    pub fn drain(&self) -> Moment {
        self.drain
    }

    /// From when only requests are accepted that don't prolong the stop.
    pub fn intake_end(&self) -> Moment {
        self.intake_end
    }

    /// When the last steps of the stop begin at the latest.
    pub fn cleanup(&self) -> Moment {
        self.cleanup
    }

    /// When accepted work has to have ended.
    pub fn work_end(&self) -> Moment {
        self.work_end
    }

    /// When the process exits at the latest.
    pub fn exit(&self) -> Moment {
        self.exit
    }

    /// Whether work that begins now and takes `need_us` ends in time.
    pub fn fits(&self, now: Moment, need_us: u64) -> bool {
        need_us <= self.work_end.since(now)
    }

    /// The deadline of work whose caller waits until `deadline`.
    pub fn limit(&self, deadline: Moment) -> Moment {
        deadline.min(self.work_end)
    }
}
