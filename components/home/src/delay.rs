//! Transit delay of frames between two processes whose clocks are not synchronized.

use names::Moment;

/// Estimates the extra transit time of a frame from send times on the sender's clock.
///
/// The smallest difference seen between arrival and send time is the clock offset plus the minimum
/// transit time. Any excess is time that the frame spent waiting, for example in a socket buffer
/// while this process was paused. The estimate needs no message of its own.
#[derive(Debug, Clone, Default)]
pub struct DelayEstimator {
    min_difference: Option<i64>,
}

impl DelayEstimator {
    /// Records the arrival of a frame; returns its extra delay in microseconds.
    pub fn observe(&mut self, sent_us: u64, arrived: Moment) -> u64 {
        let difference = arrived.0 as i64 - sent_us as i64;
        let smallest = self
            .min_difference
            .map_or(difference, |smallest| smallest.min(difference));
        self.min_difference = Some(smallest);
        (difference - smallest) as u64
    }
}
