//! A large set is checked with little work, and with the outcome of the check of the whole by the INI reader.
//!
//! *Symptom.* Nodes that had all lost power had declarations in force only after 0.67 s, with a set of 1,500 routes on a
//! tenth of a core. *Cause.* Each step of the check read all other sections anew, each route went through the INI reader,
//! and the check of the whole compared the paths of a host pair by pair.

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

fn in_steps(text: &str) -> (Result<Declarations, Problems>, BytesRead) {
    let mut steps = IncrementalCheck::new(bundle(text), None);
    loop {
        if let Some(checked) = steps.step() {
            return (checked, steps.bytes_read());
        }
    }
}

/// Everything that a set declares, as text.
fn shown(declarations: &Declarations) -> String {
    let routes = declarations.routes.values().flatten();
    let routes: BTreeMap<_, _> = routes.map(|route| (route.name.clone(), route)).collect();
    let sections: BTreeMap<_, _> = declarations.route_sections.iter().collect();
    let registered = &declarations.registered;
    format!("{routes:#?}\n{sections:#?}\n{registered:#?}")
}

/// What stands behind a key: mostly what is good there, and now and then what may mean something to the INI reader.
fn value(good: &'static [&'static str]) -> impl Strategy<Value = String> {
    let odd = prop::sample::select(vec![
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
    let good = prop::sample::select(good);
    prop_oneof![24 => good.prop_map(String::from), 1 => odd.prop_map(String::from)]
}

fn line() -> impl Strategy<Value = String> {
    let key = |key: &'static str, good: &'static [&'static str]| {
        let between = prop::sample::select(vec!["=", " = ", "= ", " =", ":", "  =  "]);
        (between, value(good)).prop_map(move |(between, value)| format!("{key}{between}{value}\n"))
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
    let odd = prop::sample::select(vec![
        "",
        "[limits]\nheader_bytes=1\n",
        "[registered s1]\nhealth_path=/again\n",
        "[registered s4]\nhealth_path=/\nalone\n",
        "[unknown]\n",
        "[registered s5]\n",
    ]);
    let odd = prop_oneof![6 => Just(""), 1 => odd];
    odd.prop_map(|odd| {
        let services = "[registered s1]\nhealth_path=/\n\n[registered s2]\nhealth_path=/h\n\n";
        format!("{services}[registered s3]\nhealth_path=/\n\n{odd}\n")
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
    fn plain_sections_are_read_as_the_ini_reader_reads_them(
        common in common(),
        routes in prop::collection::vec(route(), 0..8),
        is_first in any::<bool>(),
    ) {
        let routes = routes.join("\n");
        let text = if is_first { format!("{routes}\n{common}") } else { format!("{common}{routes}") };
        match (check(&bundle(&text)), in_steps(&text).0) {
            (Ok(whole), Ok(steps)) => prop_assert_eq!(shown(&whole), shown(&steps)),
            (Err(whole), Err(steps)) => prop_assert_eq!(whole.to_string(), steps.to_string()),
            (whole, steps) => prop_assert!(false, "{text:?}: {whole:?} and {steps:?}"),
        }
    }

    #[test]
    fn paths_that_stand_twice_are_told_as_when_all_pairs_were_compared(
        places in prop::collection::vec((0..3u8, 0..6u8), 0..12),
    ) {
        let mut text = "[registered s]\nhealth_path=/\n".to_string();
        let mut kept: Vec<(u8, u8)> = Vec::new();
        let mut problems = Vec::new();
        for (i, (host, path)) in places.iter().enumerate() {
            text += &format!("[route r{i}]\nhost=h{host}\npath=/{path}\nservices=s:1\n");
            // As the check was made before: each path beside all that were kept of its host.
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
                let all_are_paths = found.0.iter().all(|it| it.key == "path" && it.allowed == "the path of another route");
                prop_assert!(all_are_paths);
                let found = found.0.into_iter().map(|it| (it.line, it.section, it.value));
                prop_assert_eq!(found.collect::<Vec<_>>(), problems);
            }
        }
    }
}

/// A set in the form in which the users' platform's objects are translated.
fn large(routes: usize) -> String {
    let mut text = "[registered one]\nhealth_path=/health\nmax_connections=60\n".to_string();
    for i in 0..routes {
        text += &format!("\n[route r-{i}]\nhost=one.example\npath=/{i}/\nservices=one:1\n");
        text += "repeatable=true\ndeadline_ms=900\nobjective_ms=300\npriority=9\nattempts=2\n";
    }
    text
}

#[test]
fn the_ini_reader_reads_as_much_of_a_set_of_8_000_routes_as_of_one_of_500() {
    let work = [500, 2_000, 8_000].map(|routes| {
        let text = large(routes);
        let (checked, work) = in_steps(&text);
        let checked = checked.expect("a good set");
        assert_eq!(checked.routes["one.example"].len(), routes);
        assert_eq!(work.plain_bytes + work.ini_bytes, text.len());
        work
    });
    assert!(
        work.iter().all(|it| it.ini_bytes == work[0].ini_bytes),
        "{work:?}"
    );
}

/// A key that counts how often it is compared.
struct Counted<'a>(u32, &'a Cell<u64>);

impl Hash for Counted<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialEq for Counted<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.1.set(self.1.get() + 1);
        self.0 == other.0
    }
}

impl Eq for Counted<'_> {}

#[test]
fn comparisons_of_paths_grow_with_their_number_and_not_with_that_of_their_pairs() {
    for count in [500, 2_000, 8_000] {
        let compared = Cell::new(0);
        let keys = (0..count).map(|i| Counted(i, &compared));
        assert!(first_occurrences(keys).into_iter().all(|is_first| is_first));
        // Of different keys hardly any falls on the place of another.
        let most = u64::from(count);
        assert!(compared.get() < most, "{} for {count}", compared.get());
    }
}
