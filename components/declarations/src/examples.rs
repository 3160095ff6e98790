//! Examples for a policy: requests with the treatment that each should get.

use errors::Problems;
use policy::{Input, Policy, Treatment};
use sections::Reader;

/// Evaluates `policy` on every example in `text`. A treatment that differs is reported as a problem
/// of the example.
pub(crate) fn run(file: &str, text: &str, policy: &Policy) -> Result<(), Problems> {
    let mut reader = Reader::new(file, text)?;
    for (section, _) in reader.sections_of_kind("example") {
        run_one(&mut reader, &section, policy);
    }
    reader.finish(&["example"])
}

fn run_one(reader: &mut Reader, section: &str, policy: &Policy) {
    let Some(input) = read_input(reader, section) else {
        return;
    };
    match policy.evaluate(&input) {
        Ok(treatment) => compare(reader, section, &treatment),
        Err(error) => reader.problem(section, "", "", &format!("the policy fails: {error}")),
    }
}

fn read_input(reader: &mut Reader, section: &str) -> Option<Input> {
    let method = reader.required(section, "method", "an HTTP method")?;
    let path = reader.required(section, "path", "a path that begins with /")?;
    let headers = reader.text(section, "headers").unwrap_or_default();
    let caller = reader.text(section, "caller").unwrap_or_default();
    let hall = reader.text(section, "hall").unwrap_or_default();
    let level = reader.number_or(section, "level", 0..=64, 0) as i64;
    Some(Input {
        method,
        path,
        headers: parse_headers(&headers),
        caller,
        hall,
        level,
    })
}

/// Reads `name: value; name: value`.
fn parse_headers(text: &str) -> Vec<(String, String)> {
    text.split(';')
        .filter_map(|part| part.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_string()))
        .collect()
}

fn compare(reader: &mut Reader, section: &str, treatment: &Treatment) {
    let actual = [
        ("expect.repeatable", treatment.repeatable.to_string()),
        ("expect.deadline_ms", treatment.deadline_ms.to_string()),
        ("expect.priority", treatment.priority.to_string()),
        ("expect.attempts", treatment.attempts.to_string()),
        (
            "expect.refuse",
            treatment.refuse.clone().unwrap_or_default(),
        ),
    ];
    let mut has_expectation = false;
    for (key, actual) in actual {
        let Some(expected) = reader.text(section, key) else {
            continue;
        };
        has_expectation = true;
        if expected != actual {
            reader.problem(
                section,
                key,
                &expected,
                &format!("the policy returns {actual:?}"),
            );
        }
    }
    if !has_expectation {
        reader.problem(
            section,
            "",
            "",
            "an example needs at least one expect.* key",
        );
    }
}
