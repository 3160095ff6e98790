//! Check of a complete set of declarations.

use crate::bundle::{Bundle, SERVICES_FILE};
use crate::check_accounts;
use crate::check_routes;
use crate::examples;
use crate::model::{Declarations, Group, MeasuringBudget, Service};
use crate::steps;
use errors::{Problem, Problems};
use names::Name;
use policy::{Input, Policy};
use sections::Reader;
use std::collections::HashSet;

/// Maximum measuring budget of a data hall, in messages or in microseconds of slot time per second.
const MAX_BUDGET: f64 = 1e9;

/// Kinds of sections in `services.ini`.
const SECTION_KINDS: [&str; 7] = [
    "service",
    "group",
    "hall",
    "registered",
    "route",
    "limits",
    "account",
];

/// Checks all files of `bundle` and returns its declarations, or all problems found.
pub fn check(bundle: &Bundle) -> Result<Declarations, Problems> {
    let Some(text) = bundle.files.get(SERVICES_FILE) else {
        return Err(Problems(vec![Problem {
            file: SERVICES_FILE.to_string(),
            line: 0,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            allowed: "missing; a set of declarations needs this file".to_string(),
        }]));
    };
    let mut reader = Reader::new(SERVICES_FILE, text)?;
    let mut problems = Vec::new();
    let mut declarations = Declarations::default();
    read_groups(&mut reader, &mut declarations);
    read_halls(&mut reader, &mut declarations);
    read_services(&mut reader, bundle, &mut declarations, &mut problems);
    check_accounts::read(&mut reader, &mut declarations);
    check_routes::read(&mut reader, &mut declarations);
    declarations
        .prefixes
        .sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
    if let Err(found) = reader.finish(&SECTION_KINDS) {
        problems.splice(0..0, found.0);
    }
    if problems.is_empty() {
        declarations.route_sections = steps::route_sections(text, &declarations);
        Ok(declarations)
    } else {
        Err(Problems(problems))
    }
}

fn read_groups(reader: &mut Reader, declarations: &mut Declarations) {
    for (section, name) in reader.sections_of_kind("group") {
        let allowed = "names of VMs, separated by spaces";
        let Some(list) = reader.required(&section, "upstreams", allowed) else {
            continue;
        };
        let upstreams: Vec<Name> = list.split_whitespace().map(Name::from).collect();
        let mut seen = HashSet::new();
        for vm in &upstreams {
            if !seen.insert(vm.clone()) {
                reader.problem(&section, "upstreams", vm.as_str(), "listed twice");
            }
        }
        let name = Name::from(name);
        let group = Group {
            name: name.clone(),
            upstreams,
        };
        declarations.groups.insert(name, group);
    }
}

fn read_halls(reader: &mut Reader, declarations: &mut Declarations) {
    for (section, name) in reader.sections_of_kind("hall") {
        let messages_per_s = read_budget(reader, &section, "measuring_messages_per_s");
        let slot_us_per_s = read_budget(reader, &section, "measuring_slot_us_per_s");
        let measuring = MeasuringBudget {
            messages_per_s,
            slot_us_per_s,
        };
        declarations.halls.insert(Name::from(name), measuring);
    }
}

fn read_budget(reader: &mut Reader, section: &str, key: &str) -> f64 {
    let allowed = "a number from 0 to 1000000000";
    let value: f64 = reader.value_or(section, key, allowed, 0.0);
    if !(0.0..=MAX_BUDGET).contains(&value) {
        reader.problem(
            section,
            key,
            &value.to_string(),
            &format!("must be {allowed}"),
        );
        return 0.0;
    }
    value
}

fn read_services(
    reader: &mut Reader,
    bundle: &Bundle,
    declarations: &mut Declarations,
    problems: &mut Vec<Problem>,
) {
    for (section, name) in reader.sections_of_kind("service") {
        let service = read_service(reader, bundle, declarations, &section, &name, problems);
        if let Some(service) = service {
            declarations.services.insert(service.name.clone(), service);
        }
    }
}

fn read_service(
    reader: &mut Reader,
    bundle: &Bundle,
    declarations: &mut Declarations,
    section: &str,
    name: &str,
    problems: &mut Vec<Problem>,
) -> Option<Service> {
    let name = Name::from(name);
    read_host_and_path(reader, declarations, section, &name);
    let inputs = lower_case_words(reader.text(section, "inputs"));
    let drain_header = reader.text(section, "drain_header");
    let shed_header = reader.text(section, "shed_header");
    let open = reader.value_or(section, "open", "true or false", false);
    let group = read_group_name(reader, declarations, section);
    let policy = read_policy(reader, bundle, section, problems);
    Some(Service {
        name,
        group: group?,
        policy: policy?,
        inputs,
        drain_header: drain_header.map(|header| header.to_lowercase()),
        shed_header: shed_header.map(|header| header.to_lowercase()),
        open,
    })
}

fn lower_case_words(text: Option<String>) -> Vec<String> {
    text.unwrap_or_default()
        .split_whitespace()
        .map(str::to_lowercase)
        .collect()
}

fn read_host_and_path(
    reader: &mut Reader,
    declarations: &mut Declarations,
    section: &str,
    service: &Name,
) {
    let host = reader.text(section, "host");
    let path = reader.text(section, "path");
    if host.is_none() && path.is_none() {
        reader.problem(section, "host", "", "a service needs host, path or both");
    }
    if let Some(host) = host {
        let host = host.to_lowercase();
        if let Some(other) = declarations.hosts.insert(host.clone(), service.clone()) {
            let allowed = format!("already the host of service {other}");
            reader.problem(section, "host", &host, &allowed);
        }
    }
    if let Some(path) = path {
        if !path.starts_with('/') {
            reader.problem(section, "path", &path, "must begin with /");
        }
        if declarations
            .prefixes
            .iter()
            .any(|(prefix, _)| *prefix == path)
        {
            reader.problem(
                section,
                "path",
                &path,
                "already the path of another service",
            );
        }
        declarations.prefixes.push((path, service.clone()));
    }
}

fn read_group_name(
    reader: &mut Reader,
    declarations: &Declarations,
    section: &str,
) -> Option<Name> {
    let group = reader.required(section, "group", "the name of a [group ...] section")?;
    let group = Name::from(group);
    if declarations.groups.contains_key(&group) {
        return Some(group);
    }
    let known: Vec<&str> = declarations.groups.keys().map(Name::as_str).collect();
    let allowed = format!("no such group; known groups: {}", known.join(", "));
    reader.problem(section, "group", group.as_str(), &allowed);
    None
}

fn read_policy(
    reader: &mut Reader,
    bundle: &Bundle,
    section: &str,
    problems: &mut Vec<Problem>,
) -> Option<Policy> {
    let file = reader.required(
        section,
        "policy",
        "the name of a .rhai file in the same directory",
    )?;
    let Some(source) = bundle.files.get(&file) else {
        reader.problem(
            section,
            "policy",
            &file,
            "no such file in the same directory",
        );
        return None;
    };
    let policy = match Policy::compile(&file, source) {
        Ok(policy) => policy,
        Err(found) => {
            problems.extend(found.0);
            return None;
        }
    };
    dry_run(&file, &policy, problems);
    run_examples(bundle, &file, &policy, problems);
    Some(policy)
}

/// Evaluates the policy on `GET /` without headers, so that a policy that always fails is rejected
/// by the check.
fn dry_run(file: &str, policy: &Policy, problems: &mut Vec<Problem>) {
    let input = Input {
        method: "GET".to_string(),
        path: "/".to_string(),
        ..Input::default()
    };
    if let Err(error) = policy.evaluate(&input) {
        problems.push(Problem {
            file: file.to_string(),
            line: 0,
            section: String::new(),
            key: String::new(),
            value: String::new(),
            allowed: format!("fails on a plain GET /: {error}"),
        });
    }
}

fn run_examples(bundle: &Bundle, file: &str, policy: &Policy, problems: &mut Vec<Problem>) {
    let examples_file = file.replace(".rhai", ".examples.ini");
    let Some(text) = bundle.files.get(&examples_file) else {
        return;
    };
    if let Err(found) = examples::run(&examples_file, text, policy) {
        problems.extend(found.0);
    }
}
