//! Reads the headers.

use crate::rate::RequestRate;
use std::fmt;

/// The value by which an upstream says that it leaves.
const LEAVES: &str = "1";
/// Part of a value that a problem shows, in characters.
const SHOWN: usize = 40;

/// Names of the headers; none where upstreams say nothing of the kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeaderNames<'a> {
    /// Requests a second that the upstream takes from all nodes together, as a decimal number.
    pub request_limit: Option<&'a str>,
    /// Says that the upstream leaves.
    pub leaving: Option<&'a str>,
}

/// What an answer says of how many requests its upstream takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateNotice {
    /// Nothing.
    #[default]
    None,
    /// So many.
    Limit(RequestRate),
    /// Something that can't be read.
    Unreadable,
}

/// What an answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// How many requests it takes.
    pub rate: RateNotice,
    /// Whether it leaves.
    pub leaving: bool,
}

/// A header that does not say what it should.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The header.
    pub header: String,
    /// Its value, or the first characters of it.
    pub value: String,
    /// What is wrong.
    pub cause: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.header, self.value, self.cause)
    }
}

/// Reads what an answer with these headers says, and what of it can't be read.
pub fn read(headers: &[(String, String)], names: &HeaderNames<'_>) -> (Notice, Vec<Problem>) {
    let mut problems = Vec::new();
    let notice = Notice {
        rate: request_limit(headers, names.request_limit, &mut problems),
        leaving: leaving(headers, names.leaving, &mut problems),
    };
    (notice, problems)
}

/// Of several limits the least holds: whichever was meant, the upstream gets no more than it takes.
fn request_limit(
    headers: &[(String, String)],
    name: Option<&str>,
    problems: &mut Vec<Problem>,
) -> RateNotice {
    let Some(name) = name else {
        return RateNotice::None;
    };
    let values = values(headers, name, problems);
    let mut least = None;
    for value in &values {
        match RequestRate::parse(value) {
            Some(rate) => least = Some(least.map_or(rate, |least: RequestRate| least.min(rate))),
            None => problems.push(problem(
                name,
                value,
                "not a decimal number of requests a second",
            )),
        }
    }
    match least {
        Some(least) => RateNotice::Limit(least),
        None if values.is_empty() => RateNotice::None,
        None => RateNotice::Unreadable,
    }
}

fn leaving(headers: &[(String, String)], name: Option<&str>, problems: &mut Vec<Problem>) -> bool {
    let Some(name) = name else {
        return false;
    };
    let values = values(headers, name, problems);
    for value in values.iter().filter(|value| **value != LEAVES) {
        problems.push(problem(name, value, "only 1 is known"));
    }
    values.contains(&LEAVES)
}

/// All values of a header.
fn values<'a>(
    headers: &'a [(String, String)],
    name: &str,
    problems: &mut Vec<Problem>,
) -> Vec<&'a str> {
    let values: Vec<&str> = headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
        .collect();
    if values.len() > 1 {
        problems.push(problem(name, &values.join(", "), "given more than once"));
    }
    values
}

fn problem(header: &str, value: &str, cause: &'static str) -> Problem {
    Problem {
        header: header.to_string(),
        value: value.chars().take(SHOWN).collect(),
        cause,
    }
}
