//! Load and site files, and the errors of invalid ones.

use model::{Policy, Scenario};
use std::fmt::Write;

const SITE: &str = include_str!("../../loads/site-s.ini");
const VALID: &str = "[load]\nsite = site-s.ini\nwarm_s = 1\nfor_s = 2\n[demand]\nbase = 0.5\n";
const INVALID: &str = include_str!("bad.ini");
const INVALID_SITE: &str = include_str!("bad-site.ini");

/// Parses a load; any site name gives `site`.
fn parse(text: &str, site: &str) -> String {
    match Scenario::parse("load.ini", text, |_| Ok(site.to_string())) {
        Ok(scenario) => format!("read {}", scenario.name),
        Err(problems) => problems.to_string(),
    }
}

/// Guards against a built-in load that can't be read, and against unintended changes to a site.
#[test]
fn built_in_loads_are_read() {
    let mut summary = String::new();
    for name in model::names() {
        let scenario = Scenario::open(name).expect("a load");
        let site = &scenario.site;
        let capacity = site.capacity(&scenario.demand.shares);
        let callers = scenario.demand.draw(site, 0).arrivals.len();
        let _ = writeln!(
            summary,
            "{name}: {} VMs, {} services, {} classes, {} accounts, capacity {capacity:.0}/s, {callers} callers",
            site.vms.len(),
            site.services.len(),
            site.classes.len(),
            site.accounts.len(),
        );
    }
    insta::assert_snapshot!(summary);
}

/// Guards against errors that are not reported, or reported without file, line or value.
#[test]
fn errors_in_a_load_are_reported_with_their_lines() {
    insta::assert_snapshot!(parse(INVALID, SITE));
}

/// The same for sites.
#[test]
fn errors_in_a_site_are_reported_with_their_lines() {
    insta::assert_snapshot!(parse(VALID, INVALID_SITE));
}

/// Guards against a syntax error, a missing site, or an unknown load or policy without a clear
/// message.
#[test]
fn missing_and_unknown_names_are_reported() {
    let unknown_load = Scenario::open("wave-9").expect_err("no load");
    let missing_site = Scenario::parse("load.ini", VALID, |_| Err("no such file".to_string()));
    let unknown_policy = Policy::by_name("best").expect_err("no policy");
    let messages = [
        unknown_load.to_string(),
        missing_site.expect_err("no site").to_string(),
        unknown_policy.to_string(),
        parse("[load]\n", SITE),
        parse("[load\n", SITE),
        parse(VALID, ""),
    ];
    insta::assert_snapshot!(messages.join("\n"));
}

/// Guards against recorded callers that are not simulated, and against lines that don't fit the
/// site.
#[test]
fn recorded_callers_replace_drawn_ones() {
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
    let invalid = ["1000,0,0\n1000,85,0\n", "1000,0,99\n", "1000,x,0\n"];
    let messages = invalid.map(|callers| open(callers).expect_err("an invalid line").to_string());
    insta::assert_snapshot!(messages.join("\n"));
}
