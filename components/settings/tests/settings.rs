//! Settings, good and bad.

use settings::Settings;

const GOOD: &str = "\
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
fn good_settings_are_read_with_their_defaults() {
    insta::assert_debug_snapshot!(Settings::parse("node.ini", GOOD).expect("good settings"));
}

#[test]
fn every_problem_is_reported_at_once_with_file_line_section_key_and_value() {
    let bad = GOOD
        .replace("hall = north\n", "")
        .replace("slots = 6", "slots = 0\nslot = 6")
        .replace("127.0.0.1:8081", "localhost")
        .replace("127.0.0.1:7001", "here")
        .replace("a shared key of the fleet", "short")
        + "\n[choice]\nrule = best\n\n[extra]\na = b\n";
    let problems = Settings::parse("node.ini", &bad).expect_err("bad settings");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn a_file_that_is_no_ini_is_refused_with_its_line() {
    let problems = Settings::parse("node.ini", "[node\nvm = a\n").expect_err("no INI");
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn a_key_given_twice_is_refused() {
    let twice = GOOD.replace("slots = 6", "slots = 6\nslots = 7");
    let problems = Settings::parse("node.ini", &twice).expect_err("a doubled key");
    insta::assert_snapshot!(problems.to_string());
}
