//! The check of routes, registered services and limits.

use crate::first::first_occurrences;
use crate::model::Declarations;
use crate::route::{CallerLimits, ColdStart, RegisteredService, Route, Share};
use names::Name;
use policy::Treatment;
use sections::Reader;

/// Longest time that may be set, in milliseconds.
pub(crate) const MOST_MS: u64 = 86_400_000;
/// Largest head that may be set, in bytes.
const MOST_HEADER_BYTES: u64 = 1024 * 1024;
/// Largest body that may be set, in bytes.
const MOST_BODY_BYTES: u64 = 1 << 40;
/// Most upstreams that one request may be sent to.
pub(crate) const MOST_ATTEMPTS: u64 = 100;
/// Most requests a second that may be set for a cold upstream.
const MOST_COLD_STARTS: u64 = 1_000_000;
const SHARES: &str = "names of services, each with a weight, such as a:90 b:10";

pub(crate) fn read(reader: &mut Reader, declarations: &mut Declarations) {
    read_registered(reader, declarations);
    read_routes(reader, declarations);
    read_limits(reader, declarations);
}

fn read_registered(reader: &mut Reader, declarations: &mut Declarations) {
    for (section, name) in reader.sections_of_kind("registered") {
        let name = Name::from(name);
        let allowed = "the path of the health check";
        let health_path = reader.required(&section, "health_path", allowed);
        let most = u64::from(u32::MAX);
        let max_connections = reader.number_or(&section, "max_connections", 1..=most, 200) as u32;
        let cold = read_cold(reader, &section);
        let Some(health_path) = health_path else {
            continue;
        };
        let service = RegisteredService {
            name: name.clone(),
            health_path,
            max_connections,
            cold,
        };
        declarations.registered.insert(name, service);
    }
}

fn read_cold(reader: &mut Reader, section: &str) -> Option<ColdStart> {
    let duration_ms = reader.number_or(section, "cold_ms", 0..=MOST_MS, 0);
    reader.text(section, "cold_starts_per_s")?;
    let starts_per_s = reader.number_or(section, "cold_starts_per_s", 0..=MOST_COLD_STARTS, 0);
    Some(ColdStart {
        starts_per_s: starts_per_s as u32,
        duration_ms,
    })
}

fn read_routes(reader: &mut Reader, declarations: &mut Declarations) {
    let mut read = Vec::new();
    for (section, name) in reader.sections_of_kind("route") {
        if let Some(route) = read_route(reader, declarations, &section, &name) {
            read.push((section, route));
        }
    }
    let places = read.iter().map(|(_, route)| (&route.host, &route.path));
    let firsts = first_occurrences(places);
    for ((section, route), is_first) in read.into_iter().zip(firsts) {
        if !is_first {
            reader.problem(&section, "path", &route.path, "the path of another route");
            continue;
        }
        let routes = declarations.routes.entry(route.host.clone()).or_default();
        routes.push(std::sync::Arc::new(route));
    }
    for routes in declarations.routes.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    }
}

fn read_route(
    reader: &mut Reader,
    declarations: &Declarations,
    section: &str,
    name: &str,
) -> Option<Route> {
    let host = reader.required(section, "host", "a host without port");
    let path = reader.required(section, "path", "a prefix that begins with /");
    let shares = read_shares(reader, declarations, section);
    let repeatable = reader.value_or(section, "repeatable", "true or false", false);
    let deadline_ms = reader.number_or(section, "deadline_ms", 1..=MOST_MS, 5_000);
    let objective_ms = reader.number_or(section, "objective_ms", 1..=MOST_MS, deadline_ms);
    let priority = reader.number_or(section, "priority", 0..=9, 0) as u8;
    let attempts = reader.number_or(section, "attempts", 1..=MOST_ATTEMPTS, 1) as u32;
    let open = reader.value_or(section, "open", "true or false", false);
    Some(Route {
        name: Name::from(name),
        host: host?.to_lowercase(),
        path: path?,
        shares: shares?,
        treatment: Treatment {
            repeatable,
            deadline_ms,
            priority,
            attempts,
            refuse: None,
        },
        objective_ms,
        open,
    })
}

fn read_shares(
    reader: &mut Reader,
    declarations: &Declarations,
    section: &str,
) -> Option<Vec<Share>> {
    let text = reader.required(section, "services", SHARES)?;
    let mut shares = Vec::new();
    for word in text.split_whitespace() {
        let (name, weight) = word.rsplit_once(':').unwrap_or((word, "1"));
        let known = declarations.registered.contains_key(name);
        match weight.parse() {
            Ok(weight) if known => shares.push(Share {
                service: Name::from(name),
                weight,
            }),
            Ok(_) => reader.problem(section, "services", word, "not a [registered ...] service"),
            Err(_) => reader.problem(section, "services", word, SHARES),
        }
    }
    Some(shares).filter(|shares| !shares.is_empty())
}

fn read_limits(reader: &mut Reader, declarations: &mut Declarations) {
    if !reader.sections().iter().any(|section| section == "limits") {
        return;
    }
    let mut number =
        |key: &str, most: u64, default: u64| reader.number_or("limits", key, 1..=most, default);
    declarations.limits = Some(CallerLimits {
        header_bytes: number("header_bytes", MOST_HEADER_BYTES, 8_000) as usize,
        body_bytes: number("body_bytes", MOST_BODY_BYTES, 1 << 20) as usize,
        header_ms: number("header_ms", MOST_MS, 30_000),
        idle_ms: number("idle_ms", MOST_MS, 30_000),
    });
}
