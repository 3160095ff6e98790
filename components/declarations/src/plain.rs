//! A parser for route sections in the plain form that programs write.
//!
//! The INI reader takes about 20 us per route (one core, release build, 1,500 routes). That was
//! most of the time for which a node could not serve requests after its start. A section is plain
//! only if the INI reader is certain to read the same route from it. All other sections, those with
//! problems included, are left to the INI reader.

use crate::check_routes::{MAX_ATTEMPTS, MAX_MS};
use crate::route::{Route, Share};
use names::Name;
use policy::Treatment;
use std::ops::RangeInclusive;

/// Start of the heading of a route section.
pub(crate) const ROUTE_HEADING: &str = "[route ";
/// Characters besides letters and digits that have no special meaning to the INI reader within a
/// value.
const PLAIN_SYMBOLS: &[u8] = b"/._-:~%*,+@ ";
const MAX_PRIORITY: u64 = 9;

/// Unparsed values of a section by key.
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
    fn parse(lines: impl Iterator<Item = &'a str>) -> Option<Values<'a>> {
        let mut values = Values::default();
        for line in lines.filter(|line| !line.is_empty()) {
            let (key, value) = line.split_once('=')?;
            let value = value.trim_matches(' ');
            if value.is_empty() || !value.bytes().all(is_plain) {
                return None;
            }
            let field = match key.trim_end_matches(' ') {
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
            if field.replace(value).is_some() {
                return None;
            }
        }
        Some(values)
    }
}

/// Parses a plain section; `None`: the section is not plain, so the INI reader has to read it. Does
/// not check whether the services are declared.
pub(crate) fn parse_route(section: &str) -> Option<Route> {
    let (heading, rest) = section.split_once('\n')?;
    let name = heading.strip_prefix(ROUTE_HEADING)?.strip_suffix(']')?;
    if name.is_empty() || name.contains(' ') || !name.bytes().all(is_plain) {
        return None;
    }
    let values = Values::parse(rest.split('\n'))?;
    let deadline_ms = parse_number(values.deadline_ms, 1..=MAX_MS, 5_000)?;
    Some(Route {
        name: Name::from(name),
        host: values.host?.to_lowercase(),
        path: values.path?.to_string(),
        shares: parse_shares(values.services?)?,
        treatment: Treatment {
            repeatable: parse_bool(values.repeatable)?,
            deadline_ms,
            priority: parse_number(values.priority, 0..=MAX_PRIORITY, 0)? as u8,
            attempts: parse_number(values.attempts, 1..=MAX_ATTEMPTS, 1)? as u32,
            refuse: None,
        },
        objective_ms: parse_number(values.objective_ms, 1..=MAX_MS, deadline_ms)?,
        open: parse_bool(values.open)?,
    })
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || PLAIN_SYMBOLS.contains(&byte)
}

fn parse_number(text: Option<&str>, range: RangeInclusive<u64>, default: u64) -> Option<u64> {
    let Some(text) = text else {
        return Some(default);
    };
    let number = text.parse().ok();
    number.filter(|number| range.contains(number))
}

fn parse_bool(text: Option<&str>) -> Option<bool> {
    text.map_or(Some(false), |text| text.parse().ok())
}

fn parse_shares(text: &str) -> Option<Vec<Share>> {
    let share = |word: &str| {
        let (service, weight) = word.rsplit_once(':').unwrap_or((word, "1"));
        Some(Share {
            service: Name::from(service),
            weight: weight.parse().ok()?,
        })
    };
    text.split_whitespace().map(share).collect()
}
