//! Tests that the incremental check of a large set reads little, and that its outcome is that of
//! the full check by the INI reader.
//!
//! After a power failure of all nodes, declarations came into force only after 0.67 s (1,500
//! routes, a tenth of a core): each step of the check read all other sections again, each route
//! went through the INI reader, and the full check compared the paths of a host pair by pair.

use declarations::{
    check, first_occurrences, Bundle, BytesRead, Declarations, IncrementalCheck, SERVICES_FILE,
};
use errors::Problems;
use proptest::prelude::*;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

fn bundle(text: &str) -> Bundle {
    let files = BTreeMap::from([(SERVICES_FILE.to_string(), text.to_string())]);
    Bundle { files }
}

fn check_in_steps(text: &str) -> (Result<Declarations, Problems>, BytesRead) {
    let mut incremental = IncrementalCheck::new(bundle(text), None);
    loop {
        if let Some(outcome) = incremental.step() {
            return (outcome, incremental.bytes_read());
        }
    }
}

/// The routes and registered services of a set, as text for comparison.
fn to_text(declarations: &Declarations) -> String {
    let routes = declarations.routes.values().flatten();
    let routes: BTreeMap<_, _> = routes.map(|route| (route.name.clone(), route)).collect();
    let sections: BTreeMap<_, _> = declarations.route_sections.iter().collect();
    let registered = &declarations.registered;
    format!("{routes:#?}\n{sections:#?}\n{registered:#?}")
}

/// A value: mostly a valid one of the key, sometimes one that may have a special meaning to the INI
/// reader.
fn value(valid: &'static [&'static str]) -> impl Strategy<Value = String> {
    let special = prop::sample::select(vec![
        "",
        " ",
        "\"quoted\"",
        "'1'",
        "a\\tb",
        "1 ; comment",
        "1 # comment",
        "#1",
        ";1",
        "a=b",
        "é",
        "-1",
        "+1",
        "0",
        "99999999999",
        "TRUE",
        "[route x]",
        "a:b:c",
        "1\r",
        "\t1",
        "1\n 2",
    ]);
    let valid = prop::sample::select(valid);
    prop_oneof![24 => valid.prop_map(String::from), 1 => special.prop_map(String::from)]
}

fn line() -> impl Strategy<Value = String> {
    let key = |key: &'static str, valid: &'static [&'static str]| {
        let separator = prop::sample::select(vec!["=", " = ", "= ", " =", ":", "  =  "]);
        (separator, value(valid))
            .prop_map(move |(separator, value)| format!("{key}{separator}{value}\n"))
    };
    prop_oneof![
        4 => key("repeatable", &["true", "false"]),
        4 => key("deadline_ms", &["900", "1", "86400000"]),
        4 => key("objective_ms", &["300"]),
        4 => key("priority", &["0", "9"]),
        4 => key("attempts", &["2", "100"]),
        4 => key("open", &["true", "false"]),
        1 => prop::sample::select(vec![
            "unknown=1\n", "alone\n", "# comment\n", "; comment\n", "\n", " indented=1\n", "=1\n", "host=h\n",
        ]).prop_map(String::from),
    ]
}

fn route() -> impl Strategy<Value = String> {
    let heading = prop_oneof![
        20 => "[a-z]{1,2}[0-9]{1,3}".prop_map(|name| format!("[route {name}]")),
        1 => prop::sample::select(vec![
            "[route a b]", "[route  a]", "[route a ]", "[route a] ", " [route a]", "[route a]x=1", "[route é]",
            "[route]", "[route ]", "[route a", "[route a\\x0041]", "[route a]]",
        ]).prop_map(String::from),
    ];
    let host = value(&["one.example", "Two.Example"]);
    let path = "/[a-z0-9]{1,2}/";
    let services = value(&["s1:1", "s1:90 s2:10", "s2", "s3:1", "s1:x"]);
    let extra = prop::collection::vec(line(), 0..3);
    (heading, host, path, services, extra).prop_map(|(heading, host, path, services, extra)| {
        let extra = extra.concat();
        format!("{heading}\nhost={host}\npath={path}\nservices={services}\n{extra}")
    })
}

fn common() -> impl Strategy<Value = String> {
    let extra = prop::sample::select(vec![
        "",
        "[limits]\nheader_bytes=1\n",
        "[registered s1]\nhealth_path=/again\n",
        "[registered s4]\nhealth_path=/\nalone\n",
        "[unknown]\n",
        "[registered s5]\n",
    ]);
    let extra = prop_oneof![6 => Just(""), 1 => extra];
    extra.prop_map(|extra| {
        let services = "[registered s1]\nhealth_path=/\n\n[registered s2]\nhealth_path=/h\n\n";
        format!("{services}[registered s3]\nhealth_path=/\n\n{extra}\n")
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plain_sections_are_read_as_by_the_ini_reader(
        common in common(),
        routes in prop::collection::vec(route(), 0..8),
        routes_first in any::<bool>(),
    ) {
        let routes = routes.join("\n");
        let text = if routes_first {
            format!("{routes}\n{common}")
        } else {
            format!("{common}{routes}")
        };
        match (check(&bundle(&text)), check_in_steps(&text).0) {
            (Ok(full), Ok(incremental)) => prop_assert_eq!(to_text(&full), to_text(&incremental)),
            (Err(full), Err(incremental)) => prop_assert_eq!(
                full.to_string(),
                incremental.to_string()
            ),
            (full, incremental) => prop_assert!(false, "{text:?}: {full:?} and {incremental:?}"),
        }
    }

    #[test]
    fn duplicate_paths_are_reported_as_by_pairwise_comparison(
        host_paths in prop::collection::vec((0..3u8, 0..6u8), 0..12),
    ) {
        let mut text = "[registered s]\nhealth_path=/\n".to_string();
        let mut kept: Vec<(u8, u8)> = Vec::new();
        let mut problems = Vec::new();
        for (i, (host, path)) in host_paths.iter().enumerate() {
            text += &format!("[route r{i}]\nhost=h{host}\npath=/{path}\nservices=s:1\n");
            // Reference: compares each path with all earlier paths of its host that had no problem.
            if kept.iter().any(|other| other == &(*host, *path)) {
                let line = text.lines().count() - 1;
                problems.push((line, format!("route r{i}"), format!("/{path}")));
            } else {
                kept.push((*host, *path));
            }
        }
        match check(&bundle(&text)) {
            Ok(declarations) => {
                prop_assert!(problems.is_empty());
                prop_assert_eq!(declarations.routes.values().flatten().count(), kept.len());
            }
            Err(found) => {
                let all_are_duplicate_paths = found
                    .0
                    .iter()
                    .all(|problem| problem.key == "path"
                        && problem.allowed == "already the path of another route of this host");
                prop_assert!(all_are_duplicate_paths);
                let found = found
                    .0
                    .into_iter()
                    .map(|problem| (problem.line, problem.section, problem.value));
                prop_assert_eq!(found.collect::<Vec<_>>(), problems);
            }
        }
    }
}

/// A set in the form to which the objects of the platform are translated.
fn large_set(routes: usize) -> String {
    let mut text = "[registered one]\nhealth_path=/health\nmax_connections=60\n".to_string();
    for i in 0..routes {
        text += &format!("\n[route r-{i}]\nhost=one.example\npath=/{i}/\nservices=one:1\n");
        text += "repeatable=true\ndeadline_ms=900\nobjective_ms=300\npriority=9\nattempts=2\n";
    }
    text
}

#[test]
fn ini_reader_reads_as_much_for_8_000_routes_as_for_500() {
    let bytes_read = [500, 2_000, 8_000].map(|routes| {
        let text = large_set(routes);
        let (outcome, bytes_read) = check_in_steps(&text);
        let checked = outcome.expect("a valid set");
        assert_eq!(checked.routes["one.example"].len(), routes);
        assert_eq!(bytes_read.plain_bytes + bytes_read.ini_bytes, text.len());
        bytes_read
    });
    assert!(
        bytes_read
            .iter()
            .all(|read| read.ini_bytes == bytes_read[0].ini_bytes),
        "{bytes_read:?}"
    );
}

/// A key that counts its comparisons.
struct CountingKey<'a>(u32, &'a Cell<u64>);

impl Hash for CountingKey<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialEq for CountingKey<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.1.set(self.1.get() + 1);
        self.0 == other.0
    }
}

impl Eq for CountingKey<'_> {}

#[test]
fn path_comparisons_stay_below_the_number_of_paths() {
    for count in [500, 2_000, 8_000] {
        let compared = Cell::new(0);
        let keys = (0..count).map(|i| CountingKey(i, &compared));
        assert!(first_occurrences(keys).into_iter().all(|is_first| is_first));
        // Distinct keys rarely collide in the hash set.
        let bound = u64::from(count);
        assert!(compared.get() < bound, "{} for {count}", compared.get());
    }
}
