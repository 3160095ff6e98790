//! Typed values from one section of a file.

use names::{Moment, Name, MILLISECOND, SECOND};
use sections::Reader;
use std::ops::RangeInclusive;

/// One section. Invalid values are recorded as problems in the reader and replaced by a valid
/// value.
pub(crate) struct Section<'a> {
    reader: &'a mut Reader,
    name: String,
}

impl<'a> Section<'a> {
    pub(crate) fn new(reader: &'a mut Reader, name: &str) -> Section<'a> {
        Section {
            reader,
            name: name.to_string(),
        }
    }

    /// A required string.
    pub(crate) fn text(&mut self, key: &str, allowed: &str) -> Option<String> {
        self.reader.required(&self.name, key, allowed)
    }

    /// A required number.
    pub(crate) fn number(&mut self, key: &str, range: RangeInclusive<f64>) -> f64 {
        let allowed = range_text(&range);
        let value = self.text(key, &allowed);
        value.map_or(*range.start(), |value| self.parse(key, &value, range))
    }

    /// A number with a default.
    pub(crate) fn number_or(&mut self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        match self.reader.text(&self.name, key) {
            Some(value) => self.parse(key, &value, range),
            None => default,
        }
    }

    /// A required integer.
    pub(crate) fn integer(&mut self, key: &str, range: RangeInclusive<u32>) -> u32 {
        let (min, max) = (*range.start(), *range.end());
        let allowed = format!("a whole number from {min} to {max}");
        match self.text(key, &allowed) {
            Some(_) => self.integer_or(key, range, min),
            None => min,
        }
    }

    /// An integer with a default.
    pub(crate) fn integer_or(
        &mut self,
        key: &str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        self.reader
            .number_or(&self.name, key, range, default.into()) as u32
    }

    /// A required list of integers, separated by spaces.
    pub(crate) fn integers(&mut self, key: &str, count: usize) -> Vec<usize> {
        let allowed = format!("{count} whole numbers from 0 to 999, one for each hall");
        let Some(value) = self.text(key, &allowed) else {
            return vec![1; count];
        };
        let numbers: Option<Vec<usize>> = value
            .split_whitespace()
            .map(|number| number.parse().ok().filter(|number| *number <= 999))
            .collect();
        match numbers.filter(|numbers| numbers.len() == count) {
            Some(numbers) => numbers,
            None => {
                self.problem(key, &value, &format!("must be {allowed}"));
                vec![1; count]
            }
        }
    }

    /// True for `first`, false for `second`.
    pub(crate) fn either(&mut self, key: &str, first: &str, second: &str, default: bool) -> bool {
        match self.reader.text(&self.name, key) {
            None => default,
            Some(value) if value == first => true,
            Some(value) if value == second => false,
            Some(value) => {
                self.problem(key, &value, &format!("must be {first} or {second}"));
                default
            }
        }
    }

    /// A required time, given in milliseconds, in microseconds.
    pub(crate) fn ms(&mut self, key: &str) -> u64 {
        (self.number(key, 0.0..=60_000.0) * MILLISECOND as f64) as u64
    }

    /// A time given in milliseconds, with a default, in microseconds.
    pub(crate) fn ms_or(&mut self, key: &str, default_ms: f64) -> u64 {
        (self.number_or(key, 0.0..=60_000.0, default_ms) * MILLISECOND as f64) as u64
    }

    /// A required time, given in seconds, in microseconds.
    pub(crate) fn seconds(&mut self, key: &str) -> u64 {
        (self.number(key, 0.0..=600.0) * SECOND as f64) as u64
    }

    /// A time given in seconds, with a default, in microseconds.
    pub(crate) fn seconds_or(&mut self, key: &str, default_s: f64) -> u64 {
        (self.number_or(key, 0.0..=600.0, default_s) * SECOND as f64) as u64
    }

    /// Start and end of a period given by `from_s` and `for_s`.
    pub(crate) fn span(&mut self) -> (Moment, Moment) {
        let from = Moment(self.seconds("from_s"));
        (from, from + self.seconds("for_s"))
    }

    /// Index of a name in `among`; `None` if the key is missing or its value unknown.
    pub(crate) fn index(&mut self, key: &str, among: &[Name]) -> Option<usize> {
        let value = self.reader.text(&self.name, key)?;
        let position = among.iter().position(|name| name.as_str() == value);
        if position.is_none() {
            let known: Vec<&str> = among.iter().map(Name::as_str).collect();
            let allowed = match known.as_slice() {
                [] => "there are none to choose from".to_string(),
                [first, .., last] if known.len() > 9 => format!("must be {first} to {last}"),
                _ => format!("must be one of {}", known.join(", ")),
            };
            self.problem(key, &value, &allowed);
        }
        position
    }

    pub(crate) fn has(&mut self, key: &str) -> bool {
        self.reader.text(&self.name, key).is_some()
    }

    /// Records a problem with a key.
    pub(crate) fn problem(&mut self, key: &str, value: &str, allowed: &str) {
        self.reader.problem(&self.name, key, value, allowed);
    }

    fn parse(&mut self, key: &str, value: &str, range: RangeInclusive<f64>) -> f64 {
        let number = value.parse().ok();
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        self.problem(key, value, &format!("must be {}", range_text(&range)));
        *range.start()
    }
}

fn range_text(range: &RangeInclusive<f64>) -> String {
    format!("a number from {} to {}", range.start(), range.end())
}
