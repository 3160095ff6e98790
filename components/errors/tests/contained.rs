//! What comes from outside must not end the process that reads it: it would be read again after each start.

use errors::{catch_panic, Step};

#[test]
fn a_panic_is_an_error_that_names_the_step_and_the_peer() {
    let read = |text: &str| text.parse::<u8>().expect("a number");
    let good = catch_panic(Step::Platform, "config/main", || read("7"));
    assert_eq!(good.expect("no panic"), 7);
    let bad = catch_panic(Step::Platform, "config/main", || read("x"));
    let text = bad.expect_err("a panic").to_string();
    assert!(
        text.starts_with("platform with config/main: a panic: a number"),
        "{text}"
    );
}
