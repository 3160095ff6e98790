//! The only clock of the node.
//!
//! Ages, deadlines and leases are told by the time since the VM started, suspensions included. The steady clock of
//! the standard library stands still while a VM is suspended, as do the runtime's timers: knowledge would look as
//! young as before, and a deadline would pass late by the whole suspension.

use async_std::future::{timeout, TimeoutError};
use names::{Moment, SECOND};
use rustix::time::{clock_gettime, ClockId, Timespec};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Nanoseconds in a microsecond.
const NANOS: u64 = 1_000;
/// Time between two looks at the clock by who waits for a deadline: so much later than the deadline a wait may end
/// after a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time since the start of the process, suspensions of the VM included.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since the start of the VM, in microseconds, when the process started.
    start_us: u64,
    /// The part of it for which the VM was suspended.
    suspended_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start_us: vm_uptime_us(),
            suspended_us: suspended_us(),
        }
    }

    /// The present moment; never 0, so that 0 can stand for "never".
    pub fn now(&self) -> Moment {
        Moment(vm_uptime_us().saturating_sub(self.start_us) + 1)
    }

    /// For how long the VM was suspended since the start of the process, in microseconds.
    pub fn suspended_us(&self) -> u64 {
        suspended_us().saturating_sub(self.suspended_us)
    }

    /// The time from now until `moment`; zero when it has passed.
    pub fn time_until(&self, moment: Moment) -> Duration {
        Duration::from_micros(moment.since(self.now()))
    }

    /// Waits for `future` until `deadline`, which passes during a suspension too.
    pub async fn timeout_at<T>(
        &self,
        deadline: Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, TimeoutError> {
        let mut future = pin!(future);
        loop {
            let wait = self.time_until(deadline).min(CHECK_INTERVAL);
            match timeout(wait, future.as_mut()).await {
                Ok(value) => return Ok(value),
                Err(error) if self.now() >= deadline => return Err(error),
                Err(_) => {}
            }
        }
    }
}

fn vm_uptime_us() -> u64 {
    micros(clock_gettime(ClockId::Boottime))
}

/// What the steady clock has missed: suspensions.
fn suspended_us() -> u64 {
    let steady = micros(clock_gettime(ClockId::Monotonic));
    vm_uptime_us().saturating_sub(steady)
}

fn micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * SECOND + nanos / NANOS
}
