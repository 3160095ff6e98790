//! Loads are read from files, and mistakes in them are refused.

use model::{Policy, Scenario};
use std::fmt::Write;

const SITE: &str = include_str!("../../loads/site-s.ini");
const GOOD: &str = "[load]\nsite = site-s.ini\nwarm_s = 1\nfor_s = 2\n[demand]\nbase = 0.5\n";
const BAD: &str = include_str!("bad.ini");
const BAD_SITE: &str = include_str!("bad-site.ini");

/// Opens a load whose site is at hand under any name.
fn parse(text: &str, site: &str) -> String {
    match Scenario::parse("load.ini", text, |_| Ok(site.to_string())) {
        Ok(scenario) => format!("read {}", scenario.name),
        Err(problems) => problems.to_string(),
    }
}

/// Guards against a load of the model that can't be read, and against figures of a site changed by mistake.
#[test]
fn the_loads_of_the_model_are_read() {
    let mut read = String::new();
    for name in model::names() {
        let scenario = Scenario::open(name).expect("a load");
        let site = &scenario.site;
        let capacity = site.capacity(&scenario.demand.shares);
        let callers = scenario.demand.draw(site, 0).arrivals.len();
        let _ = writeln!(
            read,
            "{name}: {} VMs, {} services, {} classes, {} accounts, capacity {capacity:.0}/s, {callers} callers",
            site.vms.len(),
            site.services.len(),
            site.classes.len(),
            site.accounts.len(),
        );
    }
    insta::assert_snapshot!(read);
}

/// Guards against mistakes that are passed over, and against reports without file, line or value.
#[test]
fn mistakes_in_a_load_are_refused_with_their_lines() {
    insta::assert_snapshot!(parse(BAD, SITE));
}

/// The same for sites.
#[test]
fn mistakes_in_a_site_are_refused_with_their_lines() {
    insta::assert_snapshot!(parse(GOOD, BAD_SITE));
}

/// Guards against a syntax error, a missing site, an unknown load or policy that ends in anything but a report.
#[test]
fn what_is_not_there_is_named() {
    let unknown_load = Scenario::open("wave-9").expect_err("no load");
    let no_file = Scenario::parse("load.ini", GOOD, |_| Err("no such file".to_string()));
    let unknown_policy = Policy::by_name("best").expect_err("no policy");
    let said = [
        unknown_load.to_string(),
        no_file.expect_err("no site").to_string(),
        unknown_policy.to_string(),
        parse("[load]\n", SITE),
        parse("[load\n", SITE),
        parse(GOOD, ""),
    ];
    insta::assert_snapshot!(said.join("\n"));
}

/// Guards against a recording whose callers are not played, and against lines that don't fit the site.
#[test]
fn recorded_callers_come_in_place_of_drawn_ones() {
    let text = "[load]\nsite = site-s.ini\nrecorded = callers.csv\nwarm_s = 1\nfor_s = 2\n";
    let open = |callers: &str| {
        Scenario::parse("load.ini", text, |name| match name {
            "callers.csv" => Ok(callers.to_string()),
            _ => Ok(SITE.to_string()),
        })
    };
    let scenario = open("# ms, VM, class\n1000,0,0\n1500,84,3\n5000,3,1\n").expect("a load");
    let tally = scenario.simulate(Policy::default(), 0);
    assert_eq!(tally.all().in_time, 2.0);
    let wrong = ["1000,0,0\n1000,85,0\n", "1000,0,99\n", "1000,x,0\n"];
    let said = wrong.map(|callers| open(callers).expect_err("a mistake").to_string());
    insta::assert_snapshot!(said.join("\n"));
}
