//! Starts at an upstream that advertises a request limit under sustained load.

use home::{Action, Config, Home, Offer, PriorStarts, Reason, RequestLimit, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use proptest::prelude::*;

const SLOTS: u32 = 10;
const OWN_BOOT: BootId = BootId(1);
const RUN_US: u64 = 60 * MILLISECOND;
const OBJECTIVE_US: u64 = 200 * MILLISECOND;
/// The window over which the requests of an upstream are counted. The upstream may receive one and
/// a half times its limit in it, plus five requests.
const WINDOW_US: u64 = 4 * SECOND;
/// Within this time an answer without a limit may be older than one with a limit.
const REORDER_WINDOW_US: u64 = 100 * MILLISECOND;

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

fn offer(seq: u64, known_limit: Option<RequestRate>) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: 800 * MILLISECOND,
        objective_us: Some(OBJECTIVE_US),
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit,
        account: None,
    }
}

fn home_duty() -> Home<u64> {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        ..Config::default()
    };
    Home::new(OWN_BOOT, cfg)
}

fn per_s(milli: u64) -> RequestRate {
    RequestRate::from_milli(milli)
}

fn allowed(limit: RequestRate) -> usize {
    (limit.per_s() * 1.5 * 4.0 + 5.0) as usize
}

/// An upstream that advertises its limit in each answer, and its local node.
struct Simulation {
    home: Home<u64>,
    advertised: Option<RequestRate>,
    running: Vec<(Moment, AttemptId)>,
    starts: Vec<Moment>,
    refused: Vec<(Moment, AttemptId)>,
    next: u64,
}

impl Simulation {
    fn new(advertised: Option<RequestRate>) -> Simulation {
        Simulation {
            home: home_duty(),
            advertised,
            running: Vec::new(),
            starts: Vec::new(),
            refused: Vec::new(),
            next: 0,
        }
    }

    fn perform(&mut self, now: Moment, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    self.starts.push(now);
                    self.running.push((now + RUN_US, id));
                }
                Action::Refuse(id, refusal) => {
                    assert_eq!(refusal.reason, Reason::Busy);
                    self.refused.push((now, id));
                }
                _ => {}
            }
        }
    }

    fn offer(&mut self, now: Moment, known_limit: Option<RequestRate>) {
        self.next += 1;
        let offer = offer(self.next, known_limit);
        self.home.limit_restored(now, &offer);
        let actions = self.home.offer(now, &offer);
        self.perform(now, actions);
    }

    /// Completes the runs that are due and calls the home duty's tick.
    fn tick(&mut self, now: Moment) {
        let due = self.running.iter().filter(|(end, _)| *end <= now);
        let due: Vec<AttemptId> = due.map(|(_, id)| *id).collect();
        self.running.retain(|(end, _)| *end > now);
        for id in due {
            let notice = self.advertised.map_or(RateNotice::None, RateNotice::Limit);
            self.home.limit_advertised(now, notice);
            let actions = self.home.completed(now, id, Verdict::Good, Some(0));
            self.perform(now, actions);
        }
        let actions = self.home.tick(now);
        self.perform(now, actions);
    }

    /// Sends an offer every `every_us` for `last_us`.
    fn load(&mut self, from: Moment, last_us: u64, every_us: u64, known: Option<RequestRate>) {
        let step_us = 5 * MILLISECOND;
        let mut due_us = 0;
        for passed_us in (0..last_us).step_by(step_us as usize) {
            let now = from + passed_us;
            self.tick(now);
            while due_us <= passed_us {
                self.offer(now, known);
                due_us += every_us;
            }
        }
    }

    fn max_in_a_window(&self, from: Moment) -> usize {
        let starts: Vec<Moment> = self
            .starts
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |first: &Moment| {
            let window = starts
                .iter()
                .filter(|at| *at >= first && at.since(*first) < WINDOW_US);
            window.count()
        };
        starts.iter().map(within).max().unwrap_or(0)
    }
}

#[test]
fn limited_upstream_gets_its_advertised_rate_and_the_excess_is_refused_in_time() {
    let limit = per_s(7_300);
    let mut simulation = Simulation::new(None);
    simulation.load(Moment(1), 2 * SECOND, 30 * MILLISECOND, None);
    simulation.advertised = Some(limit);
    let named = Moment(1) + 2 * SECOND;
    simulation.load(named, 12 * SECOND, 30 * MILLISECOND, None);
    let most = simulation.max_in_a_window(named + 200 * MILLISECOND);
    // The limit over the window, plus a burst of three; nearly all of it is used.
    assert!((27..=32).contains(&most), "{most}");
    assert!(most <= allowed(limit));
    let timeout_us = OBJECTIVE_US;
    for (at, id) in &simulation.refused {
        let offered = Moment(1) + (id.seq - 1) * 30 * MILLISECOND;
        assert!(at.since(offered) <= timeout_us, "{id} was refused late");
    }
}

#[test]
fn limit_known_to_a_peer_applies_before_the_first_answer_after_a_restart() {
    let limit = per_s(1_000);
    let mut simulation = Simulation::new(Some(limit));
    let from = Moment(1);
    for _ in 0..SLOTS {
        simulation.offer(from, Some(limit));
    }
    assert_eq!(simulation.starts.len(), 1);
}

#[test]
fn outdated_limit_from_a_peer_ends_with_the_first_answers_without_a_limit() {
    let mut simulation = Simulation::new(None);
    let old = Some(per_s(500));
    simulation.load(Moment(1), 3 * SECOND, 50 * MILLISECOND, old);
    let later = Moment(1) + 3 * SECOND;
    simulation.load(later, SECOND, 50 * MILLISECOND, old);
    let since = simulation.starts.iter().filter(|at| **at >= later).count();
    assert_eq!(since, 20);
}

#[test]
fn upstream_with_a_limit_of_zero_gets_one_request_in_ten_seconds_until_the_limit_ends() {
    let mut simulation = Simulation::new(Some(per_s(0)));
    simulation.load(Moment(1), 30 * SECOND, 100 * MILLISECOND, None);
    // The first two were sent before any answer.
    let gaps: Vec<u64> = simulation
        .starts
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert!(simulation.starts.len() <= 5, "{:?}", simulation.starts);
    assert!(
        gaps.iter().skip(1).all(|gap| *gap >= 10 * SECOND),
        "{gaps:?}"
    );
    simulation.advertised = None;
    let ended = Moment(1) + 30 * SECOND;
    simulation.load(ended, 22 * SECOND, 100 * MILLISECOND, None);
    let last = ended + 20 * SECOND;
    let since = simulation.starts.iter().filter(|at| **at >= last).count();
    assert!(since >= 19, "{since} of 20 after the limit has ended");
}

#[test]
fn reordered_answer_does_not_lift_a_limit() {
    let mut limit = RequestLimit::default();
    let named = Moment(SECOND);
    assert!(limit.advertised(named, RateNotice::Limit(per_s(5_000))));
    let soon = named + REORDER_WINDOW_US - 1;
    assert!(!limit.advertised(soon, RateNotice::None));
    assert!(!limit.advertised(soon, RateNotice::Limit(per_s(9_000))));
    assert_eq!(limit.in_force(), Some(per_s(5_000)));
    assert!(limit.advertised(soon, RateNotice::Limit(per_s(4_000))));
    let later = soon + REORDER_WINDOW_US;
    assert!(!limit.advertised(later, RateNotice::Unreadable));
    assert!(limit.advertised(later, RateNotice::None));
    assert_eq!(limit.in_force(), None);
}

#[test]
fn new_incarnation_keeps_the_limit_only_under_the_same_identity() {
    let mut simulation = Simulation::new(Some(per_s(1_000)));
    simulation.load(Moment(1), SECOND, 50 * MILLISECOND, None);
    let now = Moment(1) + SECOND;
    simulation
        .home
        .upstream_replaced(now, SLOTS, PriorStarts::SameIdentity);
    assert_eq!(simulation.home.load(now).request_limit, Some(per_s(1_000)));
    simulation
        .home
        .upstream_replaced(now, SLOTS, PriorStarts::None);
    assert_eq!(simulation.home.load(now).request_limit, None);
}

proptest! {
    #[test]
    fn no_window_exceeds_the_limit_of_the_upstream(
        milli in 0u64..60_000,
        every_ms in 5u64..200,
        restart_ms in 0u64..8_000,
    ) {
        let limit = per_s(milli);
        let mut simulation = Simulation::new(Some(limit));
        let from = Moment(1);
        simulation.load(from, SECOND / 2, every_ms * MILLISECOND, None);
        let limited_since = from + SECOND / 2;
        simulation.load(limited_since, restart_ms * MILLISECOND, every_ms * MILLISECOND, Some(limit));
        // The node is killed and restarts half a second later.
        simulation.home = home_duty();
        simulation.running.clear();
        let back = limited_since + restart_ms * MILLISECOND + SECOND / 2;
        simulation.load(back, 6 * SECOND, every_ms * MILLISECOND, Some(limit));
        let most = simulation.max_in_a_window(limited_since);
        prop_assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    }

    #[test]
    fn wait_grows_with_the_attempts_ahead_and_ends(milli in 0u64..60_000, starts in 0u64..50, ahead in 0usize..200) {
        let mut limit = RequestLimit::default();
        let mut now = Moment(SECOND);
        limit.advertised(now, RateNotice::Limit(per_s(milli)));
        for _ in 0..starts {
            now = now + limit.wait_us(now, 0);
            prop_assert_eq!(limit.wait_us(now, 0), 0);
            limit.started(now);
        }
        prop_assert!(limit.wait_us(now, ahead) <= limit.wait_us(now, ahead + 1));
        let later = now + limit.wait_us(now, ahead);
        prop_assert_eq!(limit.wait_us(later, 0), 0);
    }
}
