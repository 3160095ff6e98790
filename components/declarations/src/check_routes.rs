//! Check of routes, registered services and limits on callers.

use crate::first::first_occurrences;
use crate::model::Declarations;
use crate::route::{CallerLimits, ColdStart, RegisteredService, Route, Share};
use names::Name;
use policy::Treatment;
use sections::Reader;

/// Maximum of every declared time, in milliseconds: one day.
pub(crate) const MAX_MS: u64 = 86_400_000;
/// Maximum of the declared size of a request head, in bytes.
const MAX_HEADER_BYTES: u64 = 1024 * 1024;
/// Maximum of the declared size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 40;
/// Maximum of the declared number of attempts for one request.
pub(crate) const MAX_ATTEMPTS: u64 = 100;
/// Maximum of the declared rate for a cold upstream, in request starts per second.
const MAX_COLD_STARTS: u64 = 1_000_000;
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
        let max_value = u64::from(u32::MAX);
        let max_connections =
            reader.number_or(&section, "max_connections", 1..=max_value, 200) as u32;
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
    let duration_ms = reader.number_or(section, "cold_ms", 0..=MAX_MS, 0);
    reader.text(section, "cold_starts_per_s")?;
    let starts_per_s = reader.number_or(section, "cold_starts_per_s", 0..=MAX_COLD_STARTS, 0);
    Some(ColdStart {
        starts_per_s: starts_per_s as u32,
        duration_ms,
    })
}

fn read_routes(reader: &mut Reader, declarations: &mut Declarations) {
    let mut routes = Vec::new();
    for (section, name) in reader.sections_of_kind("route") {
        if let Some(route) = read_route(reader, declarations, &section, &name) {
            routes.push((section, route));
        }
    }
    let host_paths = routes.iter().map(|(_, route)| (&route.host, &route.path));
    let are_first = first_occurrences(host_paths);
    for ((section, route), is_first) in routes.into_iter().zip(are_first) {
        if !is_first {
            reader.problem(
                &section,
                "path",
                &route.path,
                "already the path of another route of this host",
            );
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
    let deadline_ms = reader.number_or(section, "deadline_ms", 1..=MAX_MS, 5_000);
    let objective_ms = reader.number_or(section, "objective_ms", 1..=MAX_MS, deadline_ms);
    let priority = reader.number_or(section, "priority", 0..=9, 0) as u8;
    let attempts = reader.number_or(section, "attempts", 1..=MAX_ATTEMPTS, 1) as u32;
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
        let is_registered = declarations.registered.contains_key(name);
        match weight.parse() {
            Ok(weight) if is_registered => shares.push(Share {
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
        |key: &str, limit: u64, default: u64| reader.number_or("limits", key, 1..=limit, default);
    declarations.limits = Some(CallerLimits {
        header_bytes: number("header_bytes", MAX_HEADER_BYTES, 8_000) as usize,
        body_bytes: number("body_bytes", MAX_BODY_BYTES, 1 << 20) as usize,
        header_ms: number("header_ms", MAX_MS, 30_000),
        idle_ms: number("idle_ms", MAX_MS, 30_000),
    });
}
