//! The only clock of the node.

use names::Moment;
use std::time::{Duration, Instant};

/// Monotonic time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The present moment; never 0, so that 0 can stand for "never".
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64 + 1)
    }

    /// The time from now until `moment`; zero when it has passed.
    pub fn until(&self, moment: Moment) -> Duration {
        Duration::from_micros(moment.since(self.now()))
    }
}
