//! How long a frame waited between two processes whose clocks are not compared.

use names::Moment;

/// Estimates the extra time a frame spent on the way, from send times on the sender's clock.
///
/// The smallest difference seen between arrival and sending is the offset of the clocks plus the
/// shortest way. Whatever a frame took beyond it, it spent waiting: in a socket's buffer while
/// this process was paused, for example. The estimate needs no message of its own.
#[derive(Debug, Clone, Default)]
pub struct DelayEstimator {
    least: Option<i64>,
}

impl DelayEstimator {
    /// Takes in one frame; returns its extra delay in microseconds.
    pub fn observe(&mut self, sent_us: u64, arrived: Moment) -> u64 {
        let difference = arrived.0 as i64 - sent_us as i64;
        let least = self.least.map_or(difference, |least| least.min(difference));
        self.least = Some(least);
        (difference - least) as u64
    }
}
