//! What a stopping node accepts, over grace periods, lingers, arrivals and durations of requests.

use names::{Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use shutdown::{Arrival, Durations, Intake, Limits, Plan, Refused};
use std::fmt::Write;

const SIGNAL: Moment = Moment(100 * SECOND);

fn plan(grace_ms: u64, linger_ms: u64) -> Plan {
    let limits = Limits {
        grace_us: grace_ms * MILLISECOND,
        linger_us: linger_ms * MILLISECOND,
    };
    Plan::new(SIGNAL, limits)
}

fn at(ms: u64) -> Moment {
    SIGNAL + ms * MILLISECOND
}

/// A caller's request that may need `need_ms` of the `limit_ms` that its caller waits.
fn arrival(need_ms: u64, limit_ms: u64) -> Arrival {
    Arrival {
        longest_us: Some(need_ms * MILLISECOND),
        limit_us: limit_ms * MILLISECOND,
        is_nested: false,
    }
}

/// Guards against moments that fit one grace period only.
#[test]
fn a_moment_of_the_stop_lies_beyond_the_grace_period() {
    let mut text = String::new();
    let since = |moment: Moment| moment.since(SIGNAL) / MILLISECOND;
    for (grace_ms, linger_ms) in [
        (6_000, 2_200),
        (10_000, 0),
        (3_000, 2_200),
        (1_000, 2_200),
        (0, 0),
    ] {
        let plan = plan(grace_ms, linger_ms);
        writeln!(
            text,
            "grace {grace_ms}, linger {linger_ms}: drain {}, intake end {}, cleanup {}, work end {}, exit {}",
            since(plan.drain()),
            since(plan.intake_end()),
            since(plan.cleanup()),
            since(plan.work_end()),
            since(plan.exit()),
        )
        .expect("text");
    }
    insta::assert_snapshot!(text);
}

/// Guards against an intake that ends at a moment of its own: requests of half a second are accepted
/// for as long as the node lingers, longer ones only while they end in time.
#[test]
fn a_request_is_accepted_that_cannot_end_in_time() {
    let mut text = String::new();
    for need_ms in [60, 420, 2_500, 5_000] {
        let mut intake = Intake::new(plan(6_000, 2_200));
        let outcomes = (0..60).map(|step| {
            let outcome = intake.admit(at(step * 100), &arrival(need_ms, 5_000));
            (step * 100, outcome)
        });
        let mut last = None;
        write!(text, "need {need_ms}:").expect("text");
        for (ms, outcome) in outcomes {
            if last != Some(outcome) {
                let name = outcome.err().map_or("accepted", Refused::as_str);
                write!(text, " {name} from {ms}").expect("text");
                last = Some(outcome);
            }
        }
        text.push('\n');
    }
    insta::assert_snapshot!(text);
}

/// Guards against a steady stream of short requests that keeps the node from exiting.
#[test]
fn short_requests_prolong_the_stop() {
    let mut intake = Intake::new(plan(10_000, 2_200));
    assert_eq!(intake.admit(at(2_000), &arrival(3_000, 8_000)), Ok(()));
    let accepted = (3_200..9_000)
        .step_by(10)
        .filter(|ms| intake.admit(at(*ms), &arrival(100, 1_000)).is_ok());
    assert_eq!(accepted.max(), Some(4_900));
}

/// Guards against a running request that fails because a call made for it is refused.
#[test]
fn a_call_for_a_running_request_is_refused_after_the_intake() {
    let mut intake = Intake::new(plan(6_000, 2_200));
    let nested = Arrival {
        is_nested: true,
        ..arrival(200, 1_000)
    };
    intake.close();
    assert_eq!(
        intake.admit(at(5_000), &arrival(200, 1_000)),
        Err(Refused::Closed)
    );
    assert_eq!(intake.admit(at(5_000), &nested), Ok(()));
    assert_eq!(intake.admit(at(5_600), &nested), Err(Refused::NoTime));
}

/// Guards against an estimate from a class whose requests have not been seen.
#[test]
fn a_request_of_an_unknown_class_is_accepted_beyond_its_limit() {
    let mut intake = Intake::new(plan(6_000, 2_200));
    let unknown = |limit_ms: u64| Arrival {
        longest_us: None,
        ..arrival(0, limit_ms)
    };
    assert_eq!(intake.admit(at(700), &unknown(5_000)), Ok(()));
    assert_eq!(intake.admit(at(701), &unknown(5_000)), Err(Refused::NoTime));
    assert_eq!(intake.admit(at(2_700), &unknown(3_000)), Ok(()));
}

/// Guards against an estimate that a short period without long requests lowers.
#[test]
fn a_long_request_is_forgotten_too_early() {
    let mut durations = Durations::default();
    durations.record(at(0), &"r", 2 * SECOND);
    for second in 1..50 {
        durations.record(at(second * 1_000), &"r", SECOND / 10);
    }
    assert!(durations.longest_us(&"r") >= Some(2 * SECOND));
    for second in 50..100 {
        durations.record(at(second * 1_000), &"r", SECOND / 10);
    }
    assert!(durations.longest_us(&"r") < Some(SECOND));
    assert_eq!(durations.longest_us(&"other"), None);
}

proptest! {
    /// Guards against a grace period, linger or sequence of requests for which accepted work outlasts
    /// the process, or work that fits is refused.
    #[test]
    fn accepted_work_outlasts_the_process_or_work_that_fits_is_refused(
        grace_ms in 0u64..60_000,
        linger_ms in 0u64..20_000,
        arrivals in prop::collection::vec((0u64..200, 0u64..10_000, 0u64..10_000, any::<bool>()), 1..60),
    ) {
        let plan = plan(grace_ms, linger_ms);
        let kill = SIGNAL + grace_ms * MILLISECOND;
        prop_assert!(plan.drain() <= plan.intake_end());
        prop_assert!(plan.intake_end() <= plan.cleanup());
        prop_assert!(plan.cleanup() <= plan.work_end());
        prop_assert!(plan.work_end() <= plan.exit());
        prop_assert!(plan.exit() <= kill);
        let mut intake = Intake::new(plan);
        let mut now = SIGNAL;
        let mut busy_until = plan.intake_end();
        for (pause_ms, need_ms, limit_ms, is_nested) in arrivals {
            now = now + pause_ms * MILLISECOND;
            let arrival = Arrival { is_nested, ..arrival(need_ms, limit_ms) };
            let end = now + arrival.need_us();
            match intake.admit(now, &arrival) {
                Ok(()) => {
                    prop_assert!(end <= plan.work_end().max(now));
                    if now < plan.intake_end() && !is_nested {
                        busy_until = busy_until.max(end);
                    }
                }
                Err(Refused::NoTime) => prop_assert!(end > plan.work_end()),
                Err(Refused::Closed) => {
                    prop_assert!(!is_nested && now >= plan.intake_end() && end > busy_until);
                }
            }
        }
    }
}
