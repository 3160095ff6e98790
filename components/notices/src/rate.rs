//! Requests a second.

use serde::{Deserialize, Serialize};
use std::fmt;

const MILLI_PER_UNIT: u64 = 1_000;
/// Digits behind the point that count.
const MILLI_DIGITS: usize = 3;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// A rate of requests, kept in thousandths of a request a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// So many thousandths of a request a second.
    pub const fn from_milli(milli_per_s: u64) -> RequestRate {
        RequestRate { milli_per_s }
    }

    /// Reads a decimal number without sign or exponent. A larger one than can be kept counts as the largest.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) {
            return None;
        }
        let counted = &fraction[..fraction.len().min(MILLI_DIGITS)];
        let fraction: u64 = format!("{counted:0<MILLI_DIGITS$}").parse().ok()?;
        // Only its length can keep a row of digits from being read.
        let whole = whole.parse::<u64>().unwrap_or(u64::MAX);
        let milli_per_s = whole
            .saturating_mul(MILLI_PER_UNIT)
            .saturating_add(fraction);
        Some(RequestRate { milli_per_s })
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI_PER_UNIT as f64
    }

    /// Whole requests that the rate makes in `us` microseconds.
    pub fn requests_in_us(self, us: u64) -> u64 {
        let requests = u128::from(self.milli_per_s) * u128::from(us)
            / u128::from(MILLI_PER_UNIT)
            / MICROS_PER_SECOND;
        u64::try_from(requests).unwrap_or(u64::MAX)
    }

    /// Time in which the rate makes `count` requests, in microseconds, rounded up; the longest there is for a rate of 0.
    pub fn time_for_us(self, count: u64) -> u64 {
        let micros = u128::from(count) * u128::from(MILLI_PER_UNIT) * MICROS_PER_SECOND;
        match u128::from(self.milli_per_s) {
            0 => u64::MAX,
            rate => u64::try_from(micros.div_ceil(rate)).unwrap_or(u64::MAX),
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}
