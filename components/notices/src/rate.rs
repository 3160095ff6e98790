//! Request rates.

use serde::{Deserialize, Serialize};
use std::fmt;

const MILLI_PER_UNIT: u64 = 1_000;
/// Number of digits after the decimal point that are parsed; further ones are ignored.
const MILLI_DIGITS: usize = 3;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// A request rate, stored in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_milli(milli_per_s: u64) -> RequestRate {
        RequestRate { milli_per_s }
    }

    /// Parses a decimal number without sign or exponent. Larger values saturate.
    pub fn parse(text: &str) -> Option<RequestRate> {
        let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(integer) || !is_digits(fraction) {
            return None;
        }
        let significant = &fraction[..fraction.len().min(MILLI_DIGITS)];
        let fraction: u64 = format!("{significant:0<MILLI_DIGITS$}").parse().ok()?;
        // A string of digits can fail to parse only because it is too long.
        let integer = integer.parse::<u64>().unwrap_or(u64::MAX);
        let milli_per_s = integer
            .saturating_mul(MILLI_PER_UNIT)
            .saturating_add(fraction);
        Some(RequestRate { milli_per_s })
    }

    /// The rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI_PER_UNIT as f64
    }

    /// Number of requests within `us` microseconds at this rate, rounded down.
    pub fn requests_in_us(self, us: u64) -> u64 {
        let requests = u128::from(self.milli_per_s) * u128::from(us)
            / u128::from(MILLI_PER_UNIT)
            / MICROS_PER_SECOND;
        u64::try_from(requests).unwrap_or(u64::MAX)
    }

    /// Time for `count` requests at this rate, in microseconds, rounded up. `u64::MAX` for a rate of 0.
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
