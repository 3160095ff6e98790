//! The only clock of the node. It counts suspensions of the VM.
//!
//! Ages, deadlines and leases are measured by the time since the VM started, including suspensions.
//! The monotonic clock of the standard library stops while a VM is suspended, as do the timers of the
//! runtime: data would appear younger than it is, and a deadline would pass too late by the
//! duration of the suspension.

use async_std::future::{timeout, TimeoutError};
use names::{Moment, SECOND};
use rustix::time::{clock_gettime, ClockId, Timespec};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

const NANOS_PER_MICRO: u64 = 1_000;
/// Interval at which a wait compares its deadline with the clock. After a suspension, a wait may end
/// this much later than its deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Measures the time since the start of the process, including suspensions of the VM.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time from the start of the VM to the start of the process.
    start_us: u64,
    /// The part of that time for which the VM was suspended.
    suspended_at_start_us: u64,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            start_us: vm_uptime_us(),
            suspended_at_start_us: suspended_us(),
        }
    }

    /// The current time; never 0, so that 0 can mean "never".
    pub fn now(&self) -> Moment {
        Moment(vm_uptime_us().saturating_sub(self.start_us) + 1)
    }

    /// For how long the VM was suspended since the start of the process.
    pub fn suspended_us(&self) -> u64 {
        suspended_us().saturating_sub(self.suspended_at_start_us)
    }

    /// Time from now to `moment`; zero if it has passed.
    pub fn time_until(&self, moment: Moment) -> Duration {
        Duration::from_micros(moment.since(self.now()))
    }

    /// Waits for `future` until `deadline`, which also passes while the VM is suspended.
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

/// Time that the monotonic clock did not count because the VM was suspended.
fn suspended_us() -> u64 {
    let monotonic = micros(clock_gettime(ClockId::Monotonic));
    vm_uptime_us().saturating_sub(monotonic)
}

fn micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * SECOND + nanos / NANOS_PER_MICRO
}
