//! A panic while reading external input must not end the process: it would read the same input again
//! after each restart.

use errors::{catch_panic, Step};

#[test]
fn panic_becomes_an_error_that_names_the_step_and_the_peer() {
    let read = |text: &str| text.parse::<u8>().expect("a number");
    let read_7 = catch_panic(Step::Platform, "config/main", || read("7"));
    assert_eq!(read_7.expect("no panic"), 7);
    let panicked = catch_panic(Step::Platform, "config/main", || read("x"));
    let text = panicked.expect_err("a panic").to_string();
    assert!(
        text.starts_with("platform with config/main: a panic: a number"),
        "{text}"
    );
}
