//! Which runs are reported as stragglers, and when.

use home::{Action, Config, Home, Offer, ProbeResult, RunTimes, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 6;
/// The class with the shortest runs of the load pattern: median and 90th percentile, objective and
/// deadline.
const P50_MS: f64 = 37.0;
const P90_MS: f64 = 57.0;
const OBJECTIVE_MS: u64 = 200;
const DEADLINE_MS: u64 = 600;
/// Fraction of the runs that are stragglers, and how many times the typical run time they take.
const TAIL_FRACTION: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

/// An offer without an objective, so that the percentile alone decides.
fn offer(seq: u64) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: DEADLINE_MS * MILLISECOND,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: Suspicion::None,
        returned: false,
        report_straggler: true,
        known_limit: None,
        account: None,
    }
}

fn with_objective(seq: u64) -> Offer {
    Offer {
        objective_us: Some(OBJECTIVE_MS * MILLISECOND),
        ..offer(seq)
    }
}

/// Generates run times of the load pattern, in microseconds.
struct Runs(SmallRng);

impl Runs {
    fn new(seed: u64) -> Runs {
        Runs(SmallRng::seed_from_u64(seed))
    }

    /// A typical run: its logarithm is uniformly distributed around that of the median, with a
    /// tenth of the runs beyond the 90th percentile.
    fn typical(&mut self) -> u64 {
        let spread = (P90_MS / P50_MS).ln() / 0.8;
        let at = self.0.random_range(-1.0..1.0);
        (P50_MS * f64::exp(spread * at) * MILLISECOND as f64) as u64
    }

    fn any(&mut self) -> u64 {
        let typical = self.typical();
        if self.0.random_bool(TAIL_FRACTION) {
            (typical as f64 * TAIL_FACTOR) as u64
        } else {
            typical
        }
    }
}

struct Simulation {
    home: Home<u64>,
    now: Moment,
    seq: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let cfg = Config {
            slots: SLOTS,
            adaptive: false,
            ..Config::default()
        };
        Simulation {
            home: Home::new(BootId(1), cfg),
            now: Moment(SECOND),
            seq: 1_000_000,
        }
    }

    /// A home duty that has learned the run times of the load pattern.
    fn warm() -> Simulation {
        let mut simulation = Simulation::new();
        let mut runs = Runs::new(1);
        for _ in 0..200 {
            simulation.run(runs.any());
        }
        simulation
    }

    /// Simulates one run; returns the delay in milliseconds after which it was reported, if it was.
    fn run(&mut self, us: u64) -> Option<u64> {
        self.run_as(us, offer)
    }

    fn run_as(&mut self, us: u64, offer: impl Fn(u64) -> Offer) -> Option<u64> {
        self.seq += 1;
        let began = self.now;
        self.home.offer(began, &offer(self.seq));
        let mut reported = None;
        for ms in 1..=us / MILLISECOND {
            let now = began + ms * MILLISECOND;
            let actions = self.home.tick(now);
            if actions.contains(&Action::Straggles(id(self.seq))) {
                assert_eq!(reported, None, "a run was reported twice");
                reported = Some(ms);
            }
        }
        self.now = began + us;
        let ended = id(self.seq);
        self.home.completed(self.now, ended, Verdict::Good, None);
        reported
    }

    /// The delay in microseconds after which a run that begins now would be reported; none if it
    /// would not be.
    fn delay_us(&mut self, offer: impl Fn(u64) -> Offer) -> Option<u64> {
        self.seq += 1;
        let watched = id(self.seq);
        self.home.offer(self.now, &offer(self.seq));
        let due = self.home.straggler_due(watched);
        // Run times are not learned from errors.
        let verdict = Verdict::Error;
        self.home.completed(self.now, watched, verdict, None);
        due.map(|due| due.since(self.now))
    }
}

fn is_close(us: u64, ms: f64) -> bool {
    (us as f64 - ms * MILLISECOND as f64).abs() < 0.2 * ms * MILLISECOND as f64
}

/// Guards against reports of typical runs and against missed stragglers.
#[test]
fn each_straggler_is_reported_once_and_few_typical_runs_are() {
    let mut simulation = Simulation::warm();
    let mut runs = Runs::new(2);
    let (mut typical_reported, mut typical) = (0, 0);
    for i in 0..1_000 {
        if i % 33 == 0 {
            let long = (P50_MS * TAIL_FACTOR) as u64 * MILLISECOND;
            let reported = simulation.run(long).expect("a straggler is reported");
            assert!(
                is_close(reported * MILLISECOND, P90_MS),
                "after {reported} ms"
            );
        } else {
            typical += 1;
            typical_reported += u32::from(simulation.run(runs.typical()).is_some());
        }
    }
    assert!(
        typical_reported * 100 < typical * 16,
        "{typical_reported} of {typical}"
    );
}

/// Guards against reports before run times are known: every run of a new node would be reported.
#[test]
fn no_run_is_reported_before_enough_runs_have_ended() {
    let mut simulation = Simulation::new();
    for _ in 0..19 {
        assert_eq!(simulation.run(5 * SECOND / 100), None);
    }
    assert_eq!(simulation.run(SECOND / 2), None);
    assert!(simulation.run(SECOND / 2).is_some());
}

/// Guards against a percentile that a burst of slow answers raises, so that no run is reported
/// afterwards.
#[test]
fn short_burst_of_slow_answers_does_not_raise_the_delay() {
    for earlier in 0..20 {
        let mut simulation = Simulation::warm();
        let mut runs = Runs::new(4);
        for _ in 0..earlier {
            simulation.run(runs.typical());
        }
        let before = simulation.delay_us(offer).expect("run times are known");
        for _ in 0..22 {
            simulation.run(700 * MILLISECOND);
        }
        let after = simulation.delay_us(offer).expect("run times are known");
        assert!(after < before * 13 / 10, "{before} us, then {after} us");
    }
}

/// Guards against a percentile that stays raised long after a longer burst.
#[test]
fn delay_recovers_within_sixty_typical_runs_after_a_long_burst_of_slow_answers() {
    let mut simulation = Simulation::warm();
    let mut runs = Runs::new(5);
    for _ in 0..100 {
        simulation.run(700 * MILLISECOND);
    }
    assert_eq!(simulation.delay_us(offer), Some(700 * MILLISECOND));
    for _ in 0..60 {
        simulation.run(runs.typical());
    }
    let after = simulation.delay_us(offer).expect("run times are known");
    assert!(is_close(after, P90_MS), "{after} us");
}

/// Guards against a percentile that never adapts: every run of a service that became slower would
/// be reported.
#[test]
fn lasting_increase_of_run_times_raises_the_delay() {
    let mut simulation = Simulation::warm();
    for _ in 0..80 {
        simulation.run(150 * MILLISECOND);
    }
    assert_eq!(simulation.delay_us(offer), Some(150 * MILLISECOND));
}

/// Guards against a percentile that falls with each hedge: the losing runs, which are the longest,
/// are cancelled.
#[test]
fn runs_cancelled_after_their_report_do_not_lower_the_delay() {
    let mut simulation = Simulation::warm();
    let before = simulation.delay_us(offer).expect("run times are known");
    let mut runs = Runs::new(3);
    for _ in 0..2_000 {
        let us = runs.any();
        let delay = simulation.delay_us(offer).expect("run times are known");
        if us > delay {
            simulation.seq += 1;
            let (began, cancelled) = (simulation.now, id(simulation.seq));
            simulation.home.offer(began, &offer(simulation.seq));
            simulation.now = began + delay + 40 * MILLISECOND;
            let verdict = Verdict::Cancelled;
            simulation
                .home
                .completed(simulation.now, cancelled, verdict, None);
        } else {
            simulation.run(us);
        }
    }
    let after = simulation.delay_us(offer).expect("run times are known");
    assert!(
        after > before * 8 / 10,
        "{before} us before, {after} us after"
    );
}

/// Guards against hedges that start long before they are needed and cost the service a slot each.
#[test]
fn report_waits_for_the_latest_time_at_which_a_hedge_meets_the_objective() {
    let mut simulation = Simulation::warm();
    let delay = simulation
        .delay_us(with_objective)
        .expect("run times are known");
    let left_us = OBJECTIVE_MS * MILLISECOND - delay;
    let needed_ms = left_us as f64 / MILLISECOND as f64 - P90_MS;
    assert!(
        (0.0..=16.0).contains(&needed_ms),
        "{needed_ms} ms in addition to the run"
    );
}

/// Guards against reports of typical runs where the objective is shorter than they are.
#[test]
fn percentile_decides_when_the_objective_is_too_short_for_a_hedge() {
    let mut simulation = Simulation::warm();
    let percentile_only = simulation.delay_us(offer);
    let short = |seq| Offer {
        objective_us: Some(50 * MILLISECOND),
        ..offer(seq)
    };
    assert_eq!(simulation.delay_us(short), percentile_only);
    let passed = |seq| Offer {
        objective_us: Some(0),
        returned: true,
        ..offer(seq)
    };
    assert_eq!(simulation.delay_us(passed), percentile_only);
}

/// Guards against a hedge of a request that may run only once, and against risking a second
/// upstream for a request that is suspected of terminating upstreams.
#[test]
fn run_is_reported_only_if_requested_and_safe() {
    let mut simulation = Simulation::warm();
    let unrequested = |seq| Offer {
        report_straggler: false,
        known_limit: None,
        ..offer(seq)
    };
    let suspect = |seq| Offer {
        suspicion: Suspicion::Shared,
        ..offer(seq)
    };
    let once = |seq| Offer {
        repeatable: false,
        ..offer(seq)
    };
    for _ in 0..30 {
        simulation.run_as(40 * MILLISECOND, once);
    }
    for offer in [unrequested, suspect, once] {
        assert_eq!(simulation.run_as(SECOND / 2, offer), None);
    }
}

/// Guards against reports of all runs that begin in a slow phase, and against learning their length
/// as typical.
#[test]
fn run_that_begins_in_a_slow_phase_is_expected_to_take_longer() {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        can_probe: true,
        ..Config::default()
    };
    let mut simulation = Simulation {
        home: Home::new(BootId(1), cfg),
        ..Simulation::new()
    };
    let report = |simulation: &mut Simulation, percent| {
        simulation
            .home
            .probe_finished(simulation.now, ProbeResult::percent(percent));
    };
    for _ in 0..100 {
        report(&mut simulation, 100);
        simulation.run(10 * MILLISECOND);
    }
    assert_eq!(simulation.delay_us(offer), Some(10 * MILLISECOND));
    for _ in 0..100 {
        report(&mut simulation, 200);
        simulation.run(20 * MILLISECOND);
    }
    assert_eq!(simulation.delay_us(offer), Some(20 * MILLISECOND));
    // Runs that begin in a slow phase are not learned from: here they are shorter than the reported
    // slowdown implies.
    for _ in 0..100 {
        report(&mut simulation, 100);
        report(&mut simulation, 400);
        simulation.run(15 * MILLISECOND);
    }
    report(&mut simulation, 100);
    assert_eq!(simulation.delay_us(offer), Some(10 * MILLISECOND));
}

/// Guards against reports that wait for the next tick, which may be 20 ms away, and against reports
/// of runs that take exactly as long as the 90th percentile.
#[test]
fn run_is_due_as_soon_as_its_age_exceeds_the_percentile() {
    let mut simulation = Simulation::warm();
    let delay = simulation.delay_us(offer).expect("run times are known");
    let began = simulation.now;
    simulation.home.offer(began, &offer(1));
    let due = simulation.home.straggler_due(id(1));
    assert_eq!(due, Some(began + delay));
    assert_eq!(simulation.home.report_stragglers(began + delay), []);
    let reported = [Action::Straggles(id(1))];
    let at = began + delay + 1;
    assert_eq!(simulation.home.report_stragglers(at), reported);
    assert_eq!(simulation.home.straggler_due(id(1)), None);
}

/// Guards against run times that were learned from the replaced upstream.
#[test]
fn new_incarnation_has_its_own_run_times() {
    let mut simulation = Simulation::warm();
    simulation
        .home
        .upstream_replaced(simulation.now, SLOTS, home::PriorStarts::None);
    assert_eq!(simulation.delay_us(offer), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an estimate outside the range of the recorded runs, in any order of the runs.
    #[test]
    fn percentile_is_one_of_the_runs(
        runs in prop::collection::vec(1..1_000_000u64, 20..400)
    ) {
        let mut times = RunTimes::default();
        for run in &runs {
            times.record(*run);
        }
        prop_assert!(runs.contains(&times.p90_us().unwrap()));
    }

    /// Guards against a biased estimate: under constant load, about a tenth of the runs exceed it.
    #[test]
    fn about_a_tenth_of_the_runs_exceed_the_percentile(seed in any::<u64>()) {
        let mut runs = Runs::new(seed);
        let mut times = RunTimes::default();
        let (mut beyond, mut counted) = (0, 0);
        for _ in 0..3_000 {
            let run = runs.any();
            if let Some(p90) = times.p90_us() {
                counted += 1;
                beyond += u32::from(run > p90);
            }
            times.record(run);
        }
        let fraction = f64::from(beyond) / f64::from(counted);
        prop_assert!((0.07..0.17).contains(&fraction), "{}", fraction);
    }
}
