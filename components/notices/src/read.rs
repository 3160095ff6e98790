//! Parses the notices in the headers of an answer.

use crate::rate::RequestRate;
use std::fmt;

/// Value of the header by which an upstream reports that it is draining.
const DRAINING: &str = "1";
/// Maximum length of the value in a problem, in characters.
const MAX_SHOWN_CHARS: usize = 40;

/// Names of the headers. None if upstreams do not send such a notice.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeaderNames<'a> {
    /// Requests per second that the upstream accepts from all nodes together, as a decimal number.
    pub request_limit: Option<&'a str>,
    /// Reports that the upstream is draining.
    pub leaving: Option<&'a str>,
}

/// The request limit that an answer advertises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateNotice {
    /// The answer has no such header.
    #[default]
    None,
    Limit(RequestRate),
    /// The header has no valid value.
    Unreadable,
}

/// Notices in the headers of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// The request limit of the upstream.
    pub rate: RateNotice,
    /// Whether the upstream is draining.
    pub leaving: bool,
}

/// A problem with a header, such as an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the header.
    pub header: String,
    /// Its value, truncated if it is long.
    pub value: String,
    /// What is wrong with it.
    pub cause: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.header, self.value, self.cause)
    }
}

/// Parses the notices in the headers of an answer, and reports invalid values.
pub fn read(headers: &[(String, String)], names: &HeaderNames<'_>) -> (Notice, Vec<Problem>) {
    let mut problems = Vec::new();
    let notice = Notice {
        rate: request_limit(headers, names.request_limit, &mut problems),
        leaving: leaving(headers, names.leaving, &mut problems),
    };
    (notice, problems)
}

/// Of several limits the lowest applies: whichever is the right one, the upstream gets no more than it
/// accepts.
fn request_limit(
    headers: &[(String, String)],
    name: Option<&str>,
    problems: &mut Vec<Problem>,
) -> RateNotice {
    let Some(name) = name else {
        return RateNotice::None;
    };
    let values = values(headers, name, problems);
    let mut lowest = None;
    for value in &values {
        match RequestRate::parse(value) {
            Some(rate) => {
                lowest = Some(lowest.map_or(rate, |lowest: RequestRate| lowest.min(rate)))
            }
            None => problems.push(problem(
                name,
                value,
                "not a decimal number of requests per second",
            )),
        }
    }
    match lowest {
        Some(lowest) => RateNotice::Limit(lowest),
        None if values.is_empty() => RateNotice::None,
        None => RateNotice::Unreadable,
    }
}

fn leaving(headers: &[(String, String)], name: Option<&str>, problems: &mut Vec<Problem>) -> bool {
    let Some(name) = name else {
        return false;
    };
    let values = values(headers, name, problems);
    for value in values.iter().filter(|value| **value != DRAINING) {
        problems.push(problem(name, value, "the only valid value is 1"));
    }
    values.contains(&DRAINING)
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
        value: value.chars().take(MAX_SHOWN_CHARS).collect(),
        cause,
    }
}
