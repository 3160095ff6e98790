//! Load that goes on while an upstream names how many requests a second it takes.

use home::{Action, Config, Home, Offer, PriorStarts, Reason, RequestLimit, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use notices::{RateNotice, RequestRate};
use proptest::prelude::*;

const SLOTS: u32 = 10;
const ME: BootId = BootId(1);
const RUN_US: u64 = 60 * MILLISECOND;
const OBJECTIVE_US: u64 = 200 * MILLISECOND;
/// The span over which an upstream's requests are counted, and what it may get in it: one and a half times its limit, and
/// five more.
const WINDOW_US: u64 = 4 * SECOND;
/// An answer that names no limit may be older than one that did, for so long.
const OVERTAKING_US: u64 = 100 * MILLISECOND;

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

fn duty() -> Home<u64> {
    let cfg = Config {
        slots: SLOTS,
        adaptive: false,
        ..Config::default()
    };
    Home::new(ME, cfg)
}

fn per_s(milli: u64) -> RequestRate {
    RequestRate::from_milli(milli)
}

fn allowed(limit: RequestRate) -> usize {
    (limit.per_s() * 1.5 * 4.0 + 5.0) as usize
}

/// An upstream that names its limit in each answer, and the node beside it.
struct Site {
    home: Home<u64>,
    names: Option<RequestRate>,
    running: Vec<(Moment, AttemptId)>,
    starts: Vec<Moment>,
    refused: Vec<(Moment, AttemptId)>,
    next: u64,
}

impl Site {
    fn new(names: Option<RequestRate>) -> Site {
        Site {
            home: duty(),
            names,
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

    /// Ends what is due, and lets time pass.
    fn tick(&mut self, now: Moment) {
        let due = self.running.iter().filter(|(end, _)| *end <= now);
        let due: Vec<AttemptId> = due.map(|(_, id)| *id).collect();
        self.running.retain(|(end, _)| *end > now);
        for id in due {
            let notice = self.names.map_or(RateNotice::None, RateNotice::Limit);
            self.home.limit_advertised(now, notice);
            let actions = self.home.completed(now, id, Verdict::Good, Some(0));
            self.perform(now, actions);
        }
        let actions = self.home.tick(now);
        self.perform(now, actions);
    }

    /// Offers come each `every_us` over this time.
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

    fn most_in_a_window(&self, from: Moment) -> usize {
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
fn a_limited_upstream_gets_what_it_named_and_the_rest_is_refused_at_once() {
    let limit = per_s(7_300);
    let mut site = Site::new(None);
    site.load(Moment(1), 2 * SECOND, 30 * MILLISECOND, None);
    site.names = Some(limit);
    let named = Moment(1) + 2 * SECOND;
    site.load(named, 12 * SECOND, 30 * MILLISECOND, None);
    let most = site.most_in_a_window(named + 200 * MILLISECOND);
    // The limit over the window, and the three that may come together; nearly all of it is used.
    assert!((27..=32).contains(&most), "{most}");
    assert!(most <= allowed(limit));
    let patience_us = OBJECTIVE_US;
    for (at, id) in &site.refused {
        let offered = Moment(1) + (id.seq - 1) * 30 * MILLISECOND;
        assert!(at.since(offered) <= patience_us, "{id} was held");
    }
}

#[test]
fn a_limit_that_a_peer_knows_holds_before_the_first_answer_after_a_start() {
    let limit = per_s(1_000);
    let mut site = Site::new(Some(limit));
    let from = Moment(1);
    for _ in 0..SLOTS {
        site.offer(from, Some(limit));
    }
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_peer_s_old_word_ends_with_the_first_answers_that_name_no_limit() {
    let mut site = Site::new(None);
    let old = Some(per_s(500));
    site.load(Moment(1), 3 * SECOND, 50 * MILLISECOND, old);
    let later = Moment(1) + 3 * SECOND;
    site.load(later, SECOND, 50 * MILLISECOND, old);
    let since = site.starts.iter().filter(|at| **at >= later).count();
    assert_eq!(since, 20);
}

#[test]
fn an_upstream_that_takes_nothing_gets_one_request_in_ten_seconds_so_that_its_limit_can_end() {
    let mut site = Site::new(Some(per_s(0)));
    site.load(Moment(1), 30 * SECOND, 100 * MILLISECOND, None);
    // The first two went out before any answer.
    let gaps: Vec<u64> = site
        .starts
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert!(site.starts.len() <= 5, "{:?}", site.starts);
    assert!(
        gaps.iter().skip(1).all(|gap| *gap >= 10 * SECOND),
        "{gaps:?}"
    );
    site.names = None;
    let ended = Moment(1) + 30 * SECOND;
    site.load(ended, 22 * SECOND, 100 * MILLISECOND, None);
    let last = ended + 20 * SECOND;
    let since = site.starts.iter().filter(|at| **at >= last).count();
    assert!(since >= 19, "{since} of 20 after the limit has ended");
}

#[test]
fn an_answer_that_was_overtaken_does_not_lift_a_limit() {
    let mut limit = RequestLimit::default();
    let named = Moment(SECOND);
    assert!(limit.advertised(named, RateNotice::Limit(per_s(5_000))));
    let soon = named + OVERTAKING_US - 1;
    assert!(!limit.advertised(soon, RateNotice::None));
    assert!(!limit.advertised(soon, RateNotice::Limit(per_s(9_000))));
    assert_eq!(limit.in_force(), Some(per_s(5_000)));
    assert!(limit.advertised(soon, RateNotice::Limit(per_s(4_000))));
    let later = soon + OVERTAKING_US;
    assert!(!limit.advertised(later, RateNotice::Unreadable));
    assert!(limit.advertised(later, RateNotice::None));
    assert_eq!(limit.in_force(), None);
}

#[test]
fn another_run_of_the_upstream_is_not_held_to_the_limit_of_the_one_before() {
    let mut site = Site::new(Some(per_s(1_000)));
    site.load(Moment(1), SECOND, 50 * MILLISECOND, None);
    let now = Moment(1) + SECOND;
    site.home
        .upstream_replaced(now, SLOTS, PriorStarts::SameIdentity);
    assert_eq!(site.home.load(now).request_limit, Some(per_s(1_000)));
    site.home.upstream_replaced(now, SLOTS, PriorStarts::None);
    assert_eq!(site.home.load(now).request_limit, None);
}

proptest! {
    #[test]
    fn no_window_has_more_than_the_upstream_allows(
        milli in 0u64..60_000,
        every_ms in 5u64..200,
        restart_ms in 0u64..8_000,
    ) {
        let limit = per_s(milli);
        let mut site = Site::new(Some(limit));
        let from = Moment(1);
        site.load(from, SECOND / 2, every_ms * MILLISECOND, None);
        let told = from + SECOND / 2;
        site.load(told, restart_ms * MILLISECOND, every_ms * MILLISECOND, Some(limit));
        // The node is killed, and starts anew after a moment.
        site.home = duty();
        site.running.clear();
        let back = told + restart_ms * MILLISECOND + SECOND / 2;
        site.load(back, 6 * SECOND, every_ms * MILLISECOND, Some(limit));
        let most = site.most_in_a_window(told);
        prop_assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    }

    #[test]
    fn waits_grow_with_what_is_ahead_and_pass(milli in 0u64..60_000, starts in 0u64..50, ahead in 0usize..200) {
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
