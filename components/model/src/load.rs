//! Recorded or drawn arrivals of requests.

use crate::site::Site;
use errors::{Problem, Problems};
use names::{Moment, MILLISECOND};

/// Expected form of a line of a recorded load.
const LINE_FORMAT: &str =
    "must be milliseconds,vm,class or milliseconds,vm,class,milliseconds left";

/// First try of a caller, or its second try if the first one was before the recording.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Moment,
    pub vm: usize,
    pub class: usize,
    /// Second tries only: remaining time of the caller in microseconds.
    pub remaining_us: Option<u64>,
    /// Deadline in microseconds from the first try; `None` uses the deadline of the class.
    pub deadline_us: Option<u64>,
    /// Identifies the request: requests of one class with the same number are equal.
    pub content: u64,
    /// Index of the client account.
    pub account: Option<usize>,
    /// Index of the connection on which requests are pipelined; `None`: a connection of its own.
    pub connection: Option<usize>,
}

/// A load, recorded or drawn.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// First tries in order of time.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Parses lines of `milliseconds,vm,class` or `milliseconds,vm,class,milliseconds left`; skips
    /// empty lines and lines that begin with `#`. Errors name the line.
    pub fn parse(text: &str) -> Result<Load, String> {
        let read = read(text, |_| None);
        read.map_err(|(line, text, _)| format!("line {line}: {text:?}"))
    }

    /// Parses as [`Load::parse`] does and checks the indexes against the site. Errors name file,
    /// line and value.
    pub(crate) fn parse_for(site: &Site, file: &str, text: &str) -> Result<Load, Problems> {
        let check = |arrival: &Arrival| {
            if arrival.vm >= site.vms.len() {
                Some("the site has no such VM")
            } else if arrival.class >= site.classes.len() {
                Some("the site has no such class")
            } else {
                None
            }
        };
        read(text, check).map_err(|(line, value, cause)| {
            Problems(vec![Problem {
                file: file.to_string(),
                line,
                section: String::new(),
                key: String::new(),
                value: value.to_string(),
                allowed: cause.to_string(),
            }])
        })
    }

    /// Duplicates a fraction of the arrivals, evenly spread over time.
    pub fn with_duplicates(&self, fraction: f64) -> Load {
        let is_doubled = |index: usize| {
            let before = (index as f64 * fraction) as usize;
            ((index + 1) as f64 * fraction) as usize > before
        };
        let mut arrivals = Vec::new();
        for (index, arrival) in self.arrivals.iter().enumerate() {
            arrivals.push(*arrival);
            if is_doubled(index) {
                arrivals.push(*arrival);
            }
        }
        Load { arrivals }
    }
}

/// An invalid line: its number, its text and the reason.
type InvalidLine<'a> = (usize, &'a str, &'static str);

fn read(
    text: &str,
    check: impl Fn(&Arrival) -> Option<&'static str>,
) -> Result<Load, InvalidLine<'_>> {
    let mut arrivals = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.starts_with('#') || line.is_empty() {
            continue;
        }
        let arrival = arrival(line).ok_or((index + 1, line, LINE_FORMAT))?;
        if let Some(cause) = check(&arrival) {
            return Err((index + 1, line, cause));
        }
        arrivals.push(Arrival {
            content: index as u64,
            ..arrival
        });
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    Ok(Load { arrivals })
}

fn arrival(line: &str) -> Option<Arrival> {
    let fields: Option<Vec<u64>> = line.split(',').map(|field| field.parse().ok()).collect();
    let fields = fields.filter(|fields| fields.len() == 3 || fields.len() == 4)?;
    Some(Arrival {
        at: Moment(fields[0] * MILLISECOND),
        vm: fields[1] as usize,
        class: fields[2] as usize,
        remaining_us: fields.get(3).map(|ms| ms * MILLISECOND),
        ..Arrival::default()
    })
}
