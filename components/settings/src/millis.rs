//! Durations as they are written in settings.

use std::str::FromStr;

/// Milliseconds, written as `1500`, `1500ms` or `1.5s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Millis(pub u64);

/// Description of the format, for error messages.
pub const MILLIS_FORMAT: &str = "a duration such as 1500, 1500ms or 1.5s";

impl FromStr for Millis {
    type Err = ();
    fn from_str(text: &str) -> Result<Millis, ()> {
        let (number, factor) = if let Some(number) = text.strip_suffix("ms") {
            (number, 1.0)
        } else if let Some(number) = text.strip_suffix('s') {
            (number, 1_000.0)
        } else {
            (text, 1.0)
        };
        let value: f64 = number.trim().parse().map_err(|_| ())?;
        if !value.is_finite() || value < 0.0 {
            return Err(());
        }
        Ok(Millis((value * factor).round() as u64))
    }
}
