//! Parsing of notices in answers, with valid and invalid values.

use notices::{read, HeaderNames, Notice, RateNotice, RequestRate};
use proptest::prelude::*;

const NAMES: HeaderNames<'static> = HeaderNames {
    request_limit: Some("Most"),
    leaving: Some("Leaves"),
};

fn headers(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
    pairs.iter().map(owned).collect()
}

/// One line: the notices, then the problems.
fn line(pairs: &[(&str, &str)]) -> String {
    let (notice, problems) = read(&headers(pairs), &NAMES);
    let rate = match notice.rate {
        RateNotice::None => "-".to_string(),
        RateNotice::Limit(rate) => rate.to_string(),
        RateNotice::Unreadable => "unreadable".to_string(),
    };
    let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let problems = problems.join("; ");
    format!(
        "{pairs:?}: limit {rate}, leaving {}, [{problems}]",
        notice.leaving
    )
}

#[test]
fn invalid_values_are_problems_and_have_no_effect() {
    let long = "9".repeat(400);
    let lines = [
        line(&[]),
        line(&[("most", "7.3")]),
        line(&[("Most", " 12 ")]),
        line(&[("Most", "0")]),
        line(&[("Most", "0.0004")]),
        line(&[("Most", &long)]),
        line(&[("Most", "")]),
        line(&[("Most", "-3")]),
        line(&[("Most", "+3")]),
        line(&[("Most", "x")]),
        line(&[("Most", "NaN")]),
        line(&[("Most", "inf")]),
        line(&[("Most", "1e999")]),
        line(&[("Most", "5,0")]),
        line(&[("Most", "5.")]),
        line(&[("Most", "५")]),
        line(&[("Most", "9"), ("Most", "4.5")]),
        line(&[("Most", "9"), ("Most", "x")]),
        line(&[("Leaves", "1")]),
        line(&[("Leaves", "0")]),
        line(&[("Leaves", "")]),
        line(&[("Leaves", "-1")]),
        line(&[("Leaves", "yes")]),
        line(&[("Leaves", "1"), ("Leaves", "1")]),
        line(&[("Leaves", "0"), ("Leaves", "1")]),
        line(&[("Most", "2"), ("Leaves", "1")]),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn headers_not_named_in_the_settings_are_ignored() {
    let headers = headers(&[("Most", "2"), ("Leaves", "1")]);
    let (notice, problems) = read(&headers, &HeaderNames::default());
    assert_eq!(notice, Notice::default());
    assert_eq!(problems, []);
}

proptest! {
    #[test]
    fn any_value_is_valid_or_a_problem(value in ".{0,60}", other in ".{0,60}") {
        let headers = headers(&[("Most", &value), ("Leaves", &other)]);
        let (notice, problems) = read(&headers, &NAMES);
        let is_valid = matches!(notice.rate, RateNotice::Limit(_));
        prop_assert_eq!(is_valid, !problems.iter().any(|problem| problem.header == "Most"));
        prop_assert_eq!(notice.leaving, !problems.iter().any(|problem| problem.header == "Leaves"));
    }

    #[test]
    fn decimal_numbers_are_parsed_to_thousandths(milli in 0u64..10_000_000) {
        let text = format!("{}.{:03}", milli / 1_000, milli % 1_000);
        prop_assert_eq!(RequestRate::parse(&text), Some(RequestRate::from_milli(milli)));
    }

    #[test]
    fn time_for_a_count_is_the_shortest_that_suffices(milli in 1u64..10_000_000, count in 1u64..1_000) {
        let rate = RequestRate::from_milli(milli);
        let us = rate.time_for_us(count);
        prop_assert!(rate.requests_in_us(us) >= count);
        prop_assert!(rate.requests_in_us(us - 1) < count);
    }
}
