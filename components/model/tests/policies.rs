//! Properties of the built-in loads under each policy that is a setting.

use model::{names, Comparison, Policy, PolicyResult, Row, Scenario, Tally};
use std::sync::LazyLock;

const POLICIES: [&str; 2] = ["baseline", "from-first-try"];
/// Maximum number of avoidable refusals in a thousand refusals.
const MAX_AVOIDABLE_PER_MILLE: f64 = 20.0;

/// Every load under both policies, with one seed.
static COMPARISONS: LazyLock<Vec<Comparison>> = LazyLock::new(|| {
    let compare = |name| {
        let scenario = Scenario::open(name).expect("a load");
        let policies = POLICIES.map(|name| Policy::by_name(name).expect("a policy"));
        Comparison::run(&scenario, &policies, 1)
    };
    names().into_iter().map(compare).collect()
});

fn rows(comparison: &Comparison) -> [Row; 2] {
    let all = |result: &PolicyResult| result.tallies[0].all();
    [all(&comparison.results[0]), all(&comparison.results[1])]
}

fn tallies() -> impl Iterator<Item = (String, &'static Tally)> {
    COMPARISONS.iter().flat_map(|comparison| {
        comparison.results.iter().map(|result| {
            let name = format!("{}, {}", comparison.load, result.policy);
            (name, &result.tallies[0])
        })
    })
}

/// Guards against randomness that doesn't come from the seed, such as the order of a map:
/// differences between policies would be noise.
#[test]
fn one_seed_gives_one_table() {
    for load in ["five-upstreams", "half-gone"] {
        let scenario = Scenario::open(load).expect("a load");
        let policy = [Policy::by_name("from-first-try").expect("a policy")];
        let table = || Comparison::run(&scenario, &policy, 1).to_string();
        assert_eq!(table(), table());
    }
}

/// Guards against retries that take slots from requests that could be in time while a service is
/// short of them.
#[test]
fn counting_from_the_first_try_answers_more_in_time_and_fewer_late() {
    for comparison in COMPARISONS.iter() {
        let [baseline, from_first_try] = rows(comparison);
        let load = &comparison.load;
        assert!(from_first_try.in_time > baseline.in_time, "{load}");
        assert!(from_first_try.late < baseline.late, "{load}");
        assert!(
            from_first_try.value_share() > baseline.value_share(),
            "{load}"
        );
    }
}

/// Guards against callers that a table leaves out or counts twice.
#[test]
fn every_caller_is_counted_once() {
    for (name, tally) in tallies() {
        for row in tally.classes.iter().chain(&tally.accounts) {
            let ended = row.in_time + row.late + row.refused + row.failed;
            assert_eq!(row.callers, ended, "{name}, {}", row.name);
        }
        let accounts: f64 = tally.accounts.iter().map(|row| row.callers).sum();
        assert!(accounts == 0.0 || accounts == tally.all().callers, "{name}");
    }
}

/// Guards against attempts started while another attempt of the request is running; no policy here
/// hedges.
#[test]
fn no_request_has_two_attempts_running() {
    for (name, tally) in tallies() {
        assert_eq!(tally.hedged_starts, 0, "{name}");
    }
}

/// Guards against offers that are refused on arrival while a slot is free in which a run of typical
/// duration would end before the deadline.
#[test]
fn no_offer_is_refused_on_arrival_beside_a_slot_that_it_may_use() {
    for (name, tally) in tallies() {
        assert_eq!(tally.avoidable_refusals.on_arrival, 0, "{name}");
    }
}

/// The same for attempts that waited in the queue.
#[test]
fn no_queued_attempt_is_refused_beside_a_slot_that_it_may_use() {
    for (name, tally) in tallies() {
        assert_eq!(tally.avoidable_refusals.from_queue, 0, "{name}");
    }
}

/// Guards against more such refusals than there are today, while one of the two tests above fails.
#[test]
fn avoidable_refusals_are_rare() {
    for (name, tally) in tallies() {
        let avoidable = tally.avoidable_refusals;
        let row = tally.all();
        let refused = row.refused + row.retry_refusals;
        let avoidable =
            (avoidable.on_arrival + avoidable.from_queue) as f64 * 1_000.0 / refused.max(1.0);
        assert!(
            avoidable <= MAX_AVOIDABLE_PER_MILLE,
            "{name}: {avoidable:.1} in 1000"
        );
    }
}

/// Guards against charts without a bar for each policy.
#[test]
fn chart_has_a_bar_for_each_policy() {
    let svg = COMPARISONS[0].svg();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert_eq!(svg.matches("<rect").count(), POLICIES.len());
    for policy in POLICIES {
        assert!(svg.contains(policy));
    }
}
