//! Random sequences of offers, completions and cancellations. No attempt is lost, each starts or is refused
//! once, and state is bounded. The only attempt of an account waits for at most one start of each other
//! account, besides the starts that make up for the cost of its own account's last start.

use crate::duty::{id, offer, warm_home, SLOTS};
use home::{Action, Class, Home, Offer, Verdict};
use names::{Moment, MILLISECOND};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    Offer {
        account: usize,
        priority: u8,
        level: u32,
        repeatable: bool,
        may_queue: bool,
        remaining_ms: u64,
    },
    Complete(usize),
    Cancel(usize),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    let offers = (
        0..5usize,
        0..2u8,
        0..2u32,
        any::<bool>(),
        prop::bool::weighted(0.8),
        50..5_000u64,
    );
    prop_oneof![
        6 => offers.prop_map(|(account, priority, level, repeatable, may_queue, remaining_ms)| Step::Offer {
            account,
            priority,
            level,
            repeatable,
            may_queue,
            remaining_ms,
        }),
        4 => any::<usize>().prop_map(Step::Complete),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Tick),
    ]
}

/// A queued attempt that is the only one of its account, with the starts of its rank and level since it
/// arrived.
#[derive(Debug)]
struct SoleAttempt {
    account: usize,
    lane: (u8, u32),
    /// Cost of the account's last start, by which its start tag may be ahead of the virtual time, in
    /// microseconds.
    max_lead_us: u64,
    /// Costs of the starts of each other account, in microseconds.
    served_before_us: BTreeMap<usize, u64>,
}

/// Tracks each attempt of one home duty from its offer to its end.
struct Tracker {
    home: Home<u64>,
    now: Moment,
    /// Account, priority and level of each attempt that was offered.
    offered: BTreeMap<u64, (usize, (u8, u32))>,
    repeatable: BTreeMap<u64, bool>,
    /// Cost of the last start of each account in each lane, since the lane was last idle.
    served_us: BTreeMap<((u8, u32), usize), u64>,
    queued: BTreeSet<u64>,
    running: Vec<u64>,
    ended: BTreeSet<u64>,
    sole: BTreeMap<u64, SoleAttempt>,
}

impl Tracker {
    fn record(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    assert!(self.queued.remove(&id.seq), "{id} was not queued");
                    self.running.push(id.seq);
                    self.sole.remove(&id.seq);
                    let (account, lane) = self.offered[&id.seq];
                    let cost_us = self.cost_us(lane.1, self.repeatable[&id.seq]);
                    self.served_us.insert((lane, account), cost_us);
                    for (seq, sole) in &mut self.sole {
                        if sole.lane != lane {
                            continue;
                        }
                        let served_before_us = sole.served_before_us.entry(account).or_insert(0);
                        assert!(
                            *served_before_us <= sole.max_lead_us,
                            "too many starts of {account} before {seq}: {sole:?}"
                        );
                        *served_before_us += cost_us;
                    }
                }
                Action::Refuse(id, _) | Action::Revoke(id) => self.ended_unrun(id.seq),
                Action::Probe | Action::Straggles(_) => {}
            }
        }
        let load = self.home.load(self.now);
        assert_eq!(load.queued as usize, self.queued.len());
        assert_eq!(load.in_flight as usize, self.running.len());
        self.check_tracked_accounts();
    }

    /// Checks that tags are kept only of accounts with queued attempts, or with runs since the lane was last
    /// idle.
    fn check_tracked_accounts(&mut self) {
        let lane_of = |seq: &u64| {
            let (account, lane) = self.offered[seq];
            (lane, account)
        };
        let queued: BTreeSet<_> = self.queued.iter().map(lane_of).collect();
        let running = self.running.iter().map(lane_of);
        let busy: BTreeSet<_> = running
            .chain(queued.iter().copied())
            .map(|entry| entry.0)
            .collect();
        self.served_us.retain(|(lane, _), _| busy.contains(lane));
        let served = self.served_us.keys().copied();
        let max_tracked = served.chain(queued).collect::<BTreeSet<_>>().len();
        assert!(self.home.accounts_tracked() <= max_tracked);
    }

    fn cost_us(&self, level: u32, repeatable: bool) -> u64 {
        let typical_us = |level, repeatable| {
            let class = Class { level, repeatable };
            self.home.slowdown().service_us(class)
        };
        let all = [(0, false), (0, true), (1, false), (1, true)];
        let known = all
            .into_iter()
            .filter_map(|(level, repeatable)| typical_us(level, repeatable));
        let max_us = known.reduce(f64::max).expect("two are known");
        typical_us(level, repeatable).unwrap_or(max_us) as u64
    }

    fn ended_unrun(&mut self, seq: u64) {
        assert!(self.queued.remove(&seq), "{seq} was not queued");
        assert!(self.ended.insert(seq), "{seq} ended twice");
        self.sole.remove(&seq);
    }

    fn offer(&mut self, account: usize, offer: &Offer) {
        let seq = offer.id.seq;
        let name = offer.account.clone();
        let load = self.home.account_load(&name);
        let lane = (offer.priority, offer.level);
        self.offered.insert(seq, (account, lane));
        self.repeatable.insert(seq, offer.repeatable);
        self.queued.insert(seq);
        self.sole.retain(|_, sole| sole.account != account);
        if load.running + load.queued == 0 {
            let sole = SoleAttempt {
                account,
                lane,
                max_lead_us: self.served_us.get(&(lane, account)).copied().unwrap_or(0),
                served_before_us: BTreeMap::new(),
            };
            self.sole.insert(seq, sole);
        }
        let actions = self.home.offer(self.now, offer);
        self.record(&actions);
    }

    fn complete(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let seq = self.running.remove(pick % self.running.len());
        assert!(self.ended.insert(seq), "{seq} ended twice");
        let actions = self.home.completed(self.now, id(seq), Verdict::Good, None);
        self.record(&actions);
    }

    fn step(&mut self, seq: u64, step: &Step) {
        self.now = self.now + 3 * MILLISECOND;
        match *step {
            Step::Offer {
                account,
                priority,
                level,
                repeatable,
                may_queue,
                remaining_ms,
            } => {
                let sent = Offer {
                    priority,
                    level,
                    repeatable,
                    may_queue,
                    remaining_us: remaining_ms * MILLISECOND,
                    ..offer(seq, &format!("account-{account}"))
                };
                self.offer(account, &sent);
            }
            Step::Complete(pick) => self.complete(pick),
            Step::Cancel(pick) => {
                let picked = pick % self.queued.len().max(1);
                let picked = self.queued.iter().nth(picked).copied();
                if let Some(seq) = picked {
                    assert!(!self.home.cancel(self.now, id(seq)));
                    self.ended_unrun(seq);
                }
            }
            Step::Tick => {
                let actions = self.home.tick(self.now);
                self.record(&actions);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn each_attempt_starts_or_is_refused_once_and_the_wait_of_a_sole_one_is_bounded(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let (home, now) = warm_home(SLOTS, &[(true, 5 * MILLISECOND), (false, 20 * MILLISECOND)]);
        let mut tracker = Tracker {
            home,
            now,
            offered: BTreeMap::new(),
            repeatable: BTreeMap::new(),
            served_us: BTreeMap::new(),
            queued: BTreeSet::new(),
            running: Vec::new(),
            ended: BTreeSet::new(),
            sole: BTreeMap::new(),
        };
        for (seq, step) in steps.iter().enumerate() {
            tracker.step(seq as u64, step);
        }
        while !tracker.running.is_empty() || !tracker.queued.is_empty() {
            tracker.step(u64::MAX, &Step::Complete(0));
            tracker.step(u64::MAX, &Step::Tick);
        }
        prop_assert_eq!(tracker.ended.len(), tracker.offered.len(), "an attempt was lost");
        prop_assert_eq!(tracker.home.accounts_tracked(), 0, "tags remain when nothing runs or is queued");
        prop_assert!(tracker.home.is_idle());
    }
}
