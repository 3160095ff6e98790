//! Drawn sequences of offers, ends and withdrawals: nothing is lost, each attempt starts or is refused once, state is
//! bounded, and a lone attempt waits for one start of each other account beyond what its own account owes.

use crate::duty::{id, offer, warm, SLOTS};
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
    Withdraw(usize),
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
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => Just(Step::Tick),
    ]
}

/// An attempt that is the only one of its account, while it waits: starts of others of its rank and level since it came.
#[derive(Debug)]
struct Lone {
    account: usize,
    lane: (u8, u32),
    /// Cost of the account's last start, as far as it may be ahead of the virtual time, in microseconds.
    owed_us: u64,
    /// Costs of the starts of each other account, in microseconds.
    before_us: BTreeMap<usize, u64>,
}

/// Follows each attempt of one duty from its offer to its end.
struct Follow {
    home: Home<u64>,
    now: Moment,
    /// Account, priority and level of each attempt that was offered.
    offered: BTreeMap<u64, (usize, (u8, u32))>,
    repeatable: BTreeMap<u64, bool>,
    /// Cost of the last start of each account in each lane, since nothing ran or waited there.
    served_us: BTreeMap<((u8, u32), usize), u64>,
    waiting: BTreeSet<u64>,
    running: Vec<u64>,
    ended: BTreeSet<u64>,
    lone: BTreeMap<u64, Lone>,
}

impl Follow {
    fn take_in(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    assert!(self.waiting.remove(&id.seq), "{id} did not wait");
                    self.running.push(id.seq);
                    self.lone.remove(&id.seq);
                    let (account, lane) = self.offered[&id.seq];
                    let cost_us = self.cost_us(lane.1, self.repeatable[&id.seq]);
                    self.served_us.insert((lane, account), cost_us);
                    for (seq, lone) in &mut self.lone {
                        if lone.lane != lane {
                            continue;
                        }
                        let before_us = lone.before_us.entry(account).or_insert(0);
                        assert!(
                            *before_us <= lone.owed_us,
                            "too many starts of {account} before {seq}: {lone:?}"
                        );
                        *before_us += cost_us;
                    }
                }
                Action::Refuse(id, _) | Action::Revoke(id) => self.leave(id.seq),
                Action::Probe | Action::Straggles(_) => {}
            }
        }
        let load = self.home.load(self.now);
        assert_eq!(load.queued as usize, self.waiting.len());
        assert_eq!(load.in_flight as usize, self.running.len());
        self.check_kept();
    }

    /// Tags are kept of accounts that wait, or that ran since nothing else ran or waited in the lane.
    fn check_kept(&mut self) {
        let lane_of = |seq: &u64| {
            let (account, lane) = self.offered[seq];
            (lane, account)
        };
        let waiting: BTreeSet<_> = self.waiting.iter().map(lane_of).collect();
        let running = self.running.iter().map(lane_of);
        let busy: BTreeSet<_> = running
            .chain(waiting.iter().copied())
            .map(|it| it.0)
            .collect();
        self.served_us.retain(|(lane, _), _| busy.contains(lane));
        let served = self.served_us.keys().copied();
        let most = served.chain(waiting).collect::<BTreeSet<_>>().len();
        assert!(self.home.accounts_tracked() <= most);
    }

    fn cost_us(&self, level: u32, repeatable: bool) -> u64 {
        let usual_us = |level, repeatable| {
            let class = Class { level, repeatable };
            self.home.slowdown().service_us(class)
        };
        let all = [(0, false), (0, true), (1, false), (1, true)];
        let known = all
            .into_iter()
            .filter_map(|(level, it)| usual_us(level, it));
        let longest_us = known.reduce(f64::max).expect("two are known");
        usual_us(level, repeatable).unwrap_or(longest_us) as u64
    }

    fn leave(&mut self, seq: u64) {
        assert!(self.waiting.remove(&seq), "{seq} did not wait");
        assert!(self.ended.insert(seq), "{seq} ended a second time");
        self.lone.remove(&seq);
    }

    fn offer(&mut self, account: usize, offer: &Offer) {
        let seq = offer.id.seq;
        let name = offer.account.clone();
        let load = self.home.account_load(&name);
        let lane = (offer.priority, offer.level);
        self.offered.insert(seq, (account, lane));
        self.repeatable.insert(seq, offer.repeatable);
        self.waiting.insert(seq);
        self.lone.retain(|_, lone| lone.account != account);
        if load.running + load.queued == 0 {
            let lone = Lone {
                account,
                lane,
                owed_us: self.served_us.get(&(lane, account)).copied().unwrap_or(0),
                before_us: BTreeMap::new(),
            };
            self.lone.insert(seq, lone);
        }
        let actions = self.home.offer(self.now, offer);
        self.take_in(&actions);
    }

    fn complete(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let seq = self.running.remove(pick % self.running.len());
        assert!(self.ended.insert(seq), "{seq} ended a second time");
        let actions = self.home.completed(self.now, id(seq), Verdict::Good, None);
        self.take_in(&actions);
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
                let drawn = Offer {
                    priority,
                    level,
                    repeatable,
                    may_queue,
                    remaining_us: remaining_ms * MILLISECOND,
                    ..offer(seq, &format!("account-{account}"))
                };
                self.offer(account, &drawn);
            }
            Step::Complete(pick) => self.complete(pick),
            Step::Withdraw(pick) => {
                let picked = pick % self.waiting.len().max(1);
                let picked = self.waiting.iter().nth(picked).copied();
                if let Some(seq) = picked {
                    assert!(!self.home.cancel(self.now, id(seq)));
                    self.leave(seq);
                }
            }
            Step::Tick => {
                let actions = self.home.tick(self.now);
                self.take_in(&actions);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn each_attempt_starts_or_is_refused_once_and_a_lone_one_waits_for_one_start_of_each_other_beyond_what_it_owes(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let (home, now) = warm(SLOTS, &[(true, 5 * MILLISECOND), (false, 20 * MILLISECOND)]);
        let mut follow = Follow {
            home,
            now,
            offered: BTreeMap::new(),
            repeatable: BTreeMap::new(),
            served_us: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            ended: BTreeSet::new(),
            lone: BTreeMap::new(),
        };
        for (seq, step) in steps.iter().enumerate() {
            follow.step(seq as u64, step);
        }
        while !follow.running.is_empty() || !follow.waiting.is_empty() {
            follow.step(u64::MAX, &Step::Complete(0));
            follow.step(u64::MAX, &Step::Tick);
        }
        prop_assert_eq!(follow.ended.len(), follow.offered.len(), "an attempt was lost");
        prop_assert_eq!(follow.home.accounts_tracked(), 0, "state stays when nothing runs or waits");
        prop_assert!(follow.home.is_idle());
    }
}
