//! A bound on the lines of one kind.

/// Lets so many lines of a kind through in each second and counts the rest.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_second: u32,
    second: u64,
    passed: u32,
    dropped: u64,
}

impl Limiter {
    /// A limiter of `per_second` lines.
    pub const fn new(per_second: u32) -> Limiter {
        Limiter {
            per_second,
            second: 0,
            passed: 0,
            dropped: 0,
        }
    }

    /// Whether a line may be written now; `now_us` is any clock in microseconds that never goes
    /// back. With the first line of a new second comes the number of those dropped before.
    pub fn pass(&mut self, now_us: u64) -> Option<u64> {
        let second = now_us / 1_000_000;
        let mut missed = 0;
        if second != self.second {
            self.second = second;
            self.passed = 0;
            missed = std::mem::take(&mut self.dropped);
        }
        if self.passed >= self.per_second {
            self.dropped += 1;
            return None;
        }
        self.passed += 1;
        Some(missed)
    }
}
