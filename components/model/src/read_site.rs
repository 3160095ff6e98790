//! Parser of site files.

use crate::reading::Section;
use crate::site::{Account, Callers, Calls, Class, Service, Site, SpeedModel, Tail, Vm};
use errors::Problems;
use names::{Moment, Name};
use sections::Reader;

/// Sections of a site file.
const SECTIONS: [&str; 6] = ["site", "callers", "pace", "accounts", "service", "class"];
/// Prefix of account names; a number follows.
const ACCOUNT_PREFIX: &str = "account-";

/// A site and the behaviour of the callers of its classes.
#[derive(Debug, Clone)]
pub(crate) struct SiteFile {
    pub(crate) site: Site,
    /// Share of each class in the callers' requests.
    pub(crate) shares: Vec<f64>,
    /// By class: number of connections per node on which requests are pipelined.
    pub(crate) connections: Vec<usize>,
    pub(crate) deadline_spread: f64,
    pub(crate) contents: u64,
}

impl SiteFile {
    pub(crate) fn read(file: &str, text: &str) -> Result<SiteFile, Problems> {
        let mut reader = Reader::new(file, text)?;
        let mut site = Section::new(&mut reader, "site");
        let halls = site.integer("halls", 1..=99) as usize;
        let usable_fraction = site.number("usable", 0.01..=1.0);
        let latency_us = (site.ms("within_hall_ms"), site.ms("between_halls_ms"));
        let speed = speed(&mut reader);
        let (services, vms) = services(&mut reader, halls);
        let names: Vec<Name> = services.iter().map(|one| one.name.clone()).collect();
        let sections = reader.sections_of_kind("class");
        let class_names: Vec<Name> = sections.iter().map(|(_, name)| name_of(name)).collect();
        let mut classes = Vec::new();
        let mut shares = Vec::new();
        let mut connections = Vec::new();
        for (section, name) in &sections {
            let mut section = Section::new(&mut reader, section);
            classes.push(class(&mut section, name, &names, &class_names));
            shares.push(section.number_or("share", 0.0..=1_000.0, 0.0));
            connections.push(pipelined_connections(&mut section));
        }
        let mut callers = Section::new(&mut reader, "callers");
        let caller_config = Callers {
            max_tries: callers.integer("tries", 1..=9),
            shortens_long_waits: callers.either("long_wait", "a-third", "gives-up", true),
            latency_us: callers.ms("way_ms"),
        };
        let deadline_spread = callers.number_or("deadline_spread", 0.0..=0.9, 0.0);
        let contents = callers.integer("contents", 1..=1_000_000).into();
        let accounts = accounts(&mut reader);
        if sections.is_empty() {
            reader.problem(
                "class",
                "",
                "",
                "missing; there must be a section for each class",
            );
        }
        reader.finish(&SECTIONS)?;
        let site = Site {
            services,
            classes,
            vms,
            speed,
            usable_fraction,
            latency_us,
            callers: caller_config,
            accounts,
        };
        Ok(SiteFile {
            site,
            shares,
            connections,
            deadline_spread,
            contents,
        })
    }
}

/// Number of connections per node on which requests of a class are pipelined. Must be 0 for
/// requests that are not repeatable: nodes process those one at a time.
fn pipelined_connections(section: &mut Section<'_>) -> usize {
    let connections = section.integer_or("connections", 0..=99, 0);
    if connections > 0 && !section.either("repeatable", "true", "false", false) {
        let value = connections.to_string();
        section.problem("connections", &value, "must be 0 where repeatable is false");
    }
    connections as usize
}

fn name_of(name: &str) -> Name {
    Name::from(name)
}

fn speed(reader: &mut Reader) -> SpeedModel {
    let mut speed = Section::new(reader, "pace");
    SpeedModel {
        slow_share: speed.number_or("slow_share", 0.0..=1.0, 0.0),
        slow_factor: speed.number_or("slow_factor", 1.0..=100.0, 1.0),
        phase_us: speed.ms_or("phase_ms", 300.0).max(1),
        cold_us: speed.ms_or("cold_ms", 0.0),
        cold_factor: speed.number_or("cold_factor", 1.0..=100.0, 1.0),
    }
}

fn services(reader: &mut Reader, halls: usize) -> (Vec<Service>, Vec<Vm>) {
    let sections = reader.sections_of_kind("service");
    if sections.is_empty() {
        reader.problem(
            "service",
            "",
            "",
            "missing; there must be a section for each service",
        );
    }
    let mut services = Vec::new();
    let mut vms = Vec::new();
    for (index, (section, name)) in sections.iter().enumerate() {
        let mut section = Section::new(reader, section);
        let slots = section.integer("slots", 1..=1_000);
        let sustained_concurrency = section.integer_or("bears", 1..=1_000, slots);
        services.push(Service {
            name: name_of(name),
            slots,
            cold: None,
            sustained_concurrency: Some(sustained_concurrency),
        });
        let upstreams = section.integers("upstreams", halls);
        if upstreams.iter().sum::<usize>() == 0 {
            section.problem("upstreams", "", "there must be at least one");
        }
        for (hall, count) in upstreams.into_iter().enumerate() {
            let vm = Vm {
                hall,
                service: index,
                up_at: Moment(0),
            };
            vms.extend(std::iter::repeat_n(vm, count));
        }
    }
    (services, vms)
}

fn class(section: &mut Section<'_>, name: &str, services: &[Name], classes: &[Name]) -> Class {
    if !section.has("service") {
        section.problem("service", "", "missing; must be the name of a service");
    }
    let deadline_us = section.ms("deadline_ms");
    let value = section.number_or("worth", 0.0..=1_000.0, 0.0);
    Class {
        name: name_of(name),
        service: section.index("service", services).unwrap_or(0),
        priority: section.integer("priority", 0..=9) as u8,
        repeatable: section.either("repeatable", "true", "false", false),
        max_attempts: section.integer_or("attempts", 1..=9, 2),
        objective_us: section.ms("objective_ms"),
        deadline_us,
        timeout_us: deadline_us * 2,
        work_us: section.number("work_ms", 0.1..=60_000.0) * 1_000.0,
        spread: section.number_or("spread", 0.01..=5.0, 0.3),
        tail: tail(section),
        calls: calls(section, name, classes),
        value: (
            value,
            value * section.number_or("late_part", 0.0..=1.0, 0.0),
        ),
    }
}

fn tail(section: &mut Section<'_>) -> Option<Tail> {
    let share = section.number_or("tail_share", 0.0..=1.0, 0.0);
    let factor = section.number_or("tail_factor", 1.0..=100.0, 1.0);
    (share > 0.0).then_some(Tail { share, factor })
}

/// Calls may only go to classes further down in the file, which excludes cycles.
fn calls(section: &mut Section<'_>, name: &str, classes: &[Name]) -> Option<Calls> {
    let own = classes.iter().position(|class| class.as_str() == name)?;
    let below = &classes[own + 1..];
    let class = own + 1 + section.index("calls", below)?;
    Some(Calls {
        class,
        count: section.integer_or("calls_times", 1..=99, 1),
        sequential: section.either("calls_made", "in-turn", "at-once", false),
        share: section.number_or("calls_share", 0.0..=1.0, 1.0),
    })
}

/// Accounts of two weights, the large ones first.
fn accounts(reader: &mut Reader) -> Vec<Account> {
    let mut section = Section::new(reader, "accounts");
    let count = section.integer_or("count", 0..=10_000, 0);
    let large = section.integer_or("large", 0..=10_000, 0);
    let large_weight = section.number_or("large_weight", 1.0..=10_000.0, 1.0);
    if large > count {
        section.problem("large", &large.to_string(), "must not be more than count");
    }
    let account = |index| Account {
        name: Name::from(format!("{ACCOUNT_PREFIX}{}", index + 1)),
        weight: if index < large { large_weight } else { 1.0 },
    };
    (0..count).map(account).collect()
}
