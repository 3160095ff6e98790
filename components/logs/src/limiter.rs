//! A rate limit on log lines of one kind.

/// Allows a fixed number of lines in each second and counts the others.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_second: u32,
    second: u64,
    allowed: u32,
    dropped: u64,
}

impl Limiter {
    /// A limiter that allows `per_second` lines in each second.
    pub const fn new(per_second: u32) -> Limiter {
        Limiter {
            per_second,
            second: 0,
            allowed: 0,
            dropped: 0,
        }
    }

    /// Returns `None` if the line must be dropped. Otherwise returns the number of lines dropped
    /// since the last report, which is 0 except at the first line of a new second. `now_us` is the
    /// time of any monotonic clock.
    pub fn pass(&mut self, now_us: u64) -> Option<u64> {
        let second = now_us / 1_000_000;
        let mut reported = 0;
        if second != self.second {
            self.second = second;
            self.allowed = 0;
            reported = std::mem::take(&mut self.dropped);
        }
        if self.allowed >= self.per_second {
            self.dropped += 1;
            return None;
        }
        self.allowed += 1;
        Some(reported)
    }
}
