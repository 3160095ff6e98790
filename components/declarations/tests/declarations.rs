//! Checks of valid and invalid sets of declarations, with the texts of all problems.

use declarations::{check, Bundle};
use std::collections::BTreeMap;

const SERVICES: &str = "\
[hall north]
measuring_messages_per_s = 10

[group fast]
upstreams = a b

[service prices]
group = fast
host = prices.example
path = /prices
policy = prices.rhai
inputs = X-Urgent
";
const POLICY: &str = "#{ repeatable: method == \"GET\", priority: 3 }\n";

fn bundle(services: &str, policy: &str, examples: &str) -> Bundle {
    let mut files = BTreeMap::from([
        ("services.ini".to_string(), services.to_string()),
        ("prices.rhai".to_string(), policy.to_string()),
    ]);
    if !examples.is_empty() {
        files.insert("prices.examples.ini".to_string(), examples.to_string());
    }
    Bundle { files }
}

fn problems(bundle: &Bundle) -> String {
    check(bundle)
        .expect_err("the declarations have problems")
        .to_string()
}

#[test]
fn request_is_routed_by_host_then_by_longest_path() {
    let services = format!(
        "{SERVICES}\n[service old]\ngroup = fast\npath = /prices/old\npolicy = prices.rhai\n"
    );
    let found = check(&bundle(&services, POLICY, "")).expect("valid declarations");
    let route = |host, path| {
        found
            .find_service(host, path)
            .map(|service| service.name.to_string())
    };
    assert_eq!(route("prices.example", "/x").as_deref(), Some("prices"));
    assert_eq!(route("other", "/prices/a").as_deref(), Some("prices"));
    assert_eq!(route("other", "/prices/old/a").as_deref(), Some("old"));
    assert_eq!(route("other", "/pricesx"), None);
    assert_eq!(route("other", "/"), None);
}

#[test]
fn problems_of_all_files_are_reported_at_once() {
    let services = SERVICES
        .replace("group = fast", "group = slow")
        .replace("upstreams = a b", "upstreams = a a")
        .replace("per_s = 10", "per_s = -1")
        .replace("inputs", "input");
    insta::assert_snapshot!(problems(&bundle(&services, "let x = ;\n", "")));
}

#[test]
fn failed_example_is_reported_with_its_line() {
    let examples = "[example look-up]\nmethod = GET\npath = /\nexpect.repeatable = true\n\
                    expect.priority = 4\n\n[example empty]\nmethod = GET\npath = /\n";
    insta::assert_snapshot!(problems(&bundle(SERVICES, POLICY, examples)));
}

#[test]
fn policy_that_returns_no_valid_treatment_is_rejected() {
    let mut found = Vec::new();
    for policy in [
        "42",
        "#{ repeatible: true }",
        "#{ priority: 11 }",
        "#{ attempts: 2 }",
        "#{ deadline_ms: \"soon\" }",
        "loop { }",
        "fn f(x) { f(x + 1) } f(0)",
        "let s = \"x\"; loop { s += s; }",
        "timestamp()",
        "eval(\"1\")",
        "sleep(1)",
        "unknown_name",
    ] {
        found.push(format!(
            "{policy}\n    {}",
            problems(&bundle(SERVICES, policy, ""))
        ));
    }
    insta::assert_snapshot!(found.join("\n"));
}

#[test]
fn two_services_cannot_have_the_same_host() {
    let services = format!(
        "{SERVICES}\n[service other]\ngroup = fast\nhost = Prices.example\npolicy = prices.rhai\n"
    );
    insta::assert_snapshot!(problems(&bundle(&services, POLICY, "")));
}

#[test]
fn set_without_services_file_is_rejected() {
    insta::assert_snapshot!(problems(&Bundle::default()));
}

#[test]
fn example_declarations_of_the_repository_are_valid() {
    for name in ["windhoek", "anatolia"] {
        let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(name);
        let bundle = Bundle::read(&dir).expect("readable example directory");
        let found = check(&bundle).expect("valid example declarations");
        assert_eq!(found.services.len(), 4);
        let upstreams: usize = found
            .groups
            .values()
            .map(|group| group.upstreams.len())
            .sum();
        assert_eq!(upstreams, 13);
    }
}

const ROUTES: &str = "\
[registered prices]
health_path = /health

[registered bids]
health_path = /health
max_connections = 60

[route split]
host = Market.example
path = /bids/
services = bids:90 prices:10
deadline_ms = 1000
objective_ms = 250
priority = 9
attempts = 2

[route rest]
host = market.example
path = /
services = prices
repeatable = true

[limits]
header_bytes = 4096
";

fn services_file(text: &str) -> Bundle {
    Bundle {
        files: BTreeMap::from([("services.ini".to_string(), text.to_string())]),
    }
}

#[test]
fn request_gets_the_route_with_the_longest_matching_path() {
    let found = check(&services_file(ROUTES)).expect("valid declarations");
    let name = |host, path| {
        let route = found.find_route(host, path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("market.example", "/bids/7").as_deref(), Some("split"));
    assert_eq!(name("market.example", "/bids").as_deref(), Some("rest"));
    assert_eq!(name("other.example", "/bids/7"), None);
}

#[test]
fn routes_to_unknown_services_or_with_invalid_weights_are_rejected() {
    // `split` has no valid service, so its path is not compared with the equal path of `rest`.
    let invalid = ROUTES
        .replace("bids:90 prices:10", "bits:90 prices:many")
        .replace("path = /\n", "path = /bids/\n")
        .replace("services = prices\n", "services = bids\n");
    insta::assert_snapshot!(problems(&services_file(&invalid)));
}

#[test]
fn invalid_accounts_are_rejected_without_showing_a_key() {
    let digest = "5f2b5cdbe5194f10b3241568fe4e2b24";
    let text = format!(
        "[account a]\nkeys = {digest} the-key-itself\npriority = 12\n\n\
         [account b]\nkeys = {digest}\nrequests_per_s = many\n\n[account c]\npriority = 1\n"
    );
    let files = [("services.ini".to_string(), text)].into();
    let problems = check(&Bundle { files })
        .expect_err("invalid accounts")
        .to_string();
    assert!(!problems.contains("the-key-itself") && !problems.contains(digest));
    insta::assert_snapshot!(problems);
}
