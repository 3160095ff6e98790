//! Which requests come when.

use crate::site::Site;
use errors::{Problem, Problems};
use names::{Moment, MILLISECOND};

/// What a line of a recorded load holds.
const FORM: &str = "must be milliseconds,vm,class or milliseconds,vm,class,milliseconds left";

/// A caller's first try, or a second one whose first came before the recording.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Moment,
    /// Index of the VM.
    pub vm: usize,
    /// Index of the class.
    pub class: usize,
    /// Of a second try: time that the caller has left, in microseconds.
    pub left_us: Option<u64>,
    /// The caller's own deadline, in microseconds from its first try; none: the one of its class.
    pub deadline_us: Option<u64>,
    /// What it asks for: requests of one class with the same number are equal.
    pub content: u64,
    /// Index of the client account.
    pub account: Option<usize>,
    /// Index of the connection on which requests are sent before earlier ones are answered; none: one of its own.
    pub connection: Option<usize>,
}

/// A recorded load.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// First tries, in the order of their time.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Reads lines of `milliseconds,vm,class` or `milliseconds,vm,class,milliseconds left`; lines that begin with `#` are
    /// passed over. Errors name the line.
    pub fn parse(text: &str) -> Result<Load, String> {
        let read = read(text, |_| None);
        read.map_err(|(line, text, _)| format!("line {line}: {text:?}"))
    }

    /// The same for the callers of a site. Mistakes name file, line and value.
    pub(crate) fn parse_for(site: &Site, file: &str, text: &str) -> Result<Load, Problems> {
        let wrong = |arrival: &Arrival| {
            if arrival.vm >= site.vms.len() {
                Some("its VM is not of the site")
            } else if arrival.class >= site.classes.len() {
                Some("its class is not of the site")
            } else {
                None
            }
        };
        read(text, wrong).map_err(|(line, value, cause)| {
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

    /// The same load with a part of its arrivals doubled, evenly over the time.
    pub fn with_more(&self, part: f64) -> Load {
        let is_doubled = |index: usize| {
            let before = (index as f64 * part) as usize;
            ((index + 1) as f64 * part) as usize > before
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

/// A line that is wrong: its number, its text, and why.
type Wrong<'a> = (usize, &'a str, &'static str);

fn read(text: &str, wrong: impl Fn(&Arrival) -> Option<&'static str>) -> Result<Load, Wrong<'_>> {
    let mut arrivals = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.starts_with('#') || line.is_empty() {
            continue;
        }
        let arrival = arrival(line).ok_or((index + 1, line, FORM))?;
        if let Some(cause) = wrong(&arrival) {
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
        left_us: fields.get(3).map(|ms| ms * MILLISECOND),
        ..Arrival::default()
    })
}
