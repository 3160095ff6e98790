//! Route sections that can be read without the INI reader.
//!
//! The reader costs some 20 us a route (one core, release build, 1,500 routes), which was most of the time in which a node
//! that had just started could serve nobody. A section in the plain form that programs write is read here instead. Only
//! what the reader would surely take in the same way is plain: anything else, every problem included, is left to it.

use crate::check_routes::{MOST_ATTEMPTS, MOST_MS};
use crate::route::{Route, Share};
use names::Name;
use policy::Treatment;
use std::ops::RangeInclusive;

/// Beginning of a route's section.
pub(crate) const ROUTE: &str = "[route ";
/// Signs beside letters and digits that mean nothing to the INI reader within a value.
const PLAIN_SIGNS: &[u8] = b"/._-:~%*,+@ ";
const HIGHEST_PRIORITY: u64 = 9;

/// The values of a section by key, as they were written.
#[derive(Default)]
struct Values<'a> {
    host: Option<&'a str>,
    path: Option<&'a str>,
    services: Option<&'a str>,
    repeatable: Option<&'a str>,
    deadline_ms: Option<&'a str>,
    objective_ms: Option<&'a str>,
    priority: Option<&'a str>,
    attempts: Option<&'a str>,
    open: Option<&'a str>,
}

impl<'a> Values<'a> {
    fn of(lines: impl Iterator<Item = &'a str>) -> Option<Values<'a>> {
        let mut values = Values::default();
        for line in lines.filter(|line| !line.is_empty()) {
            let (key, value) = line.split_once('=')?;
            let value = value.trim_matches(' ');
            if value.is_empty() || !value.bytes().all(is_plain) {
                return None;
            }
            let place = match key.trim_end_matches(' ') {
                "host" => &mut values.host,
                "path" => &mut values.path,
                "services" => &mut values.services,
                "repeatable" => &mut values.repeatable,
                "deadline_ms" => &mut values.deadline_ms,
                "objective_ms" => &mut values.objective_ms,
                "priority" => &mut values.priority,
                "attempts" => &mut values.attempts,
                "open" => &mut values.open,
                _ => return None,
            };
            if place.replace(value).is_some() {
                return None;
            }
        }
        Some(values)
    }
}

/// The route of a plain section; none when the INI reader has to read it. Whether its services are declared is not
/// looked at.
pub(crate) fn route(section: &str) -> Option<Route> {
    let (heading, rest) = section.split_once('\n')?;
    let name = heading.strip_prefix(ROUTE)?.strip_suffix(']')?;
    if name.is_empty() || name.contains(' ') || !name.bytes().all(is_plain) {
        return None;
    }
    let values = Values::of(rest.split('\n'))?;
    let deadline_ms = number(values.deadline_ms, 1..=MOST_MS, 5_000)?;
    Some(Route {
        name: Name::from(name),
        host: values.host?.to_lowercase(),
        path: values.path?.to_string(),
        shares: shares(values.services?)?,
        treatment: Treatment {
            repeatable: flag(values.repeatable)?,
            deadline_ms,
            priority: number(values.priority, 0..=HIGHEST_PRIORITY, 0)? as u8,
            attempts: number(values.attempts, 1..=MOST_ATTEMPTS, 1)? as u32,
            refuse: None,
        },
        objective_ms: number(values.objective_ms, 1..=MOST_MS, deadline_ms)?,
        open: flag(values.open)?,
    })
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || PLAIN_SIGNS.contains(&byte)
}

fn number(text: Option<&str>, range: RangeInclusive<u64>, default: u64) -> Option<u64> {
    let Some(text) = text else {
        return Some(default);
    };
    let number = text.parse().ok();
    number.filter(|number| range.contains(number))
}

fn flag(text: Option<&str>) -> Option<bool> {
    text.map_or(Some(false), |text| text.parse().ok())
}

fn shares(text: &str) -> Option<Vec<Share>> {
    let share = |word: &str| {
        let (service, weight) = word.rsplit_once(':').unwrap_or((word, "1"));
        Some(Share {
            service: Name::from(service),
            weight: weight.parse().ok()?,
        })
    };
    text.split_whitespace().map(share).collect()
}
