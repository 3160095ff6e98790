//! Valid and invalid settings.

use settings::Settings;

const VALID: &str = "\
[node]
vm = prices-1
hall = north

[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
operators = 127.0.0.1:8082

[upstream]
address = 127.0.0.1:9000
slots = 6

[platform]
addresses = 127.0.0.1:7000 127.0.0.1:7001

[peers]
key = a shared key of the fleet
";

#[test]
fn valid_settings_are_read_with_defaults() {
    insta::assert_debug_snapshot!(Settings::parse("node.ini", VALID).expect("valid settings"));
}

#[test]
fn all_problems_are_reported_with_file_line_section_key_and_value() {
    let invalid = VALID
        .replace("hall = north\n", "")
        .replace("slots = 6", "slots = 0\nslot = 6")
        .replace("127.0.0.1:8081", "localhost")
        .replace("127.0.0.1:7001", "here")
        .replace("a shared key of the fleet", "short")
        + "\n[choice]\nrule = best\n\n[extra]\na = b\n";
    let problems = Settings::parse("node.ini", &invalid).expect_err("invalid settings");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn malformed_file_is_rejected_with_the_line() {
    let problems = Settings::parse("node.ini", "[node\nvm = a\n").expect_err("a malformed file");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn duplicate_key_is_rejected() {
    let with_duplicate = VALID.replace("slots = 6", "slots = 6\nslots = 7");
    let problems = Settings::parse("node.ini", &with_duplicate).expect_err("a duplicate key");
    insta::assert_snapshot!(problems.to_string());
}

/// Guards against a node that confirms its declarations too rarely for the bound on withdrawn keys
/// and rejects every key in between.
#[test]
fn declarations_are_confirmed_less_often_than_withdrawn_keys_require() {
    let bound_ms = |accounts: &str| {
        let platform = "[platform]\nin_force_within = 12s\n";
        let text = VALID.replace("[platform]\n", platform) + "\n[accounts]\n" + accounts;
        let cfg = Settings::parse("node.ini", &text).expect("valid settings");
        cfg.declarations_age_bound_ms()
    };
    assert_eq!(bound_ms(""), 12_000);
    assert_eq!(bound_ms("withdrawn_within = 3s\n"), 3_000);
    assert_eq!(bound_ms("withdrawn_within = 20s\n"), 12_000);
}

/// Guards against bodies that exceed the memory of a small VM, and a memory too small to run in.
#[test]
fn body_limit_exceeds_the_memory() {
    let parse = |limits: &str| {
        let text = format!("{VALID}\n[limits]\n{limits}");
        Settings::parse("node.ini", &text)
    };
    let body_bytes = |limits| parse(limits).expect("valid settings").max_body_bytes;
    assert_eq!(body_bytes("body_bytes = 16777216\n"), 16_777_216);
    assert_eq!(
        body_bytes("body_bytes = 16777216\nmemory_mb = 80\n"),
        8_388_608
    );
    let problems = parse("memory_mb = 20\n").expect_err("invalid settings");
    insta::assert_snapshot!(problems.to_string());
}
