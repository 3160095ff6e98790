//! Memory bound with 5,000 accounts: tags are kept only of accounts that have queued attempts or whose last
//! start is within one cost of the virtual time.

use crate::duty::{id, offer, started, warm_home, SLOTS};
use home::{Class, Home, Offer, Verdict};
use names::{Moment, MILLISECOND};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const ACCOUNTS: usize = 5_000;
const OFFERS: u64 = 8_000;
const SHORT_US: u64 = 5 * MILLISECOND;
const LONG_US: u64 = 20 * MILLISECOND;

fn max_cost_us(home: &Home<u64>) -> u64 {
    let typical_us = |repeatable| {
        home.slowdown().service_us(Class {
            level: 0,
            repeatable,
        })
    };
    let known = [true, false].into_iter().filter_map(typical_us);
    known.reduce(f64::max).expect("both are known").ceil() as u64
}

struct Simulation {
    home: Home<u64>,
    now: Moment,
    account_of: BTreeMap<u64, usize>,
    running: VecDeque<u64>,
    /// Upper bound of each account's finish tag, in microseconds: the virtual time right after its last start
    /// plus the maximum cost at that time. Typical service times change with the runs.
    finish_us: BTreeMap<usize, u64>,
}

impl Simulation {
    fn perform(&mut self, actions: &[home::Action]) {
        let virtual_time_us = self.home.virtual_time_us();
        for seq in started(actions) {
            self.running.push_back(seq);
            let finish_us = virtual_time_us + max_cost_us(&self.home);
            self.finish_us.insert(self.account_of[&seq], finish_us);
        }
        let load = self.home.load(self.now);
        if load.in_flight + load.queued == 0 {
            self.finish_us.clear();
            assert_eq!(self.home.accounts_tracked(), 0);
            return;
        }
        let recent = self.finish_us.iter();
        let recent = recent.filter(|(_, finish_us)| **finish_us > virtual_time_us);
        let queued = self
            .account_of
            .iter()
            .filter(|(seq, _)| self.home.is_queued(id(**seq)));
        let allowed: BTreeSet<usize> = recent
            .map(|entry| *entry.0)
            .chain(queued.map(|entry| *entry.1))
            .collect();
        let kept = self.home.accounts_tracked();
        assert!(
            kept <= allowed.len(),
            "{kept} kept, at most {}",
            allowed.len()
        );
        assert!(load.queued <= 8 * SLOTS, "{load:?}");
        let home = &self.home;
        self.account_of.retain(|seq, _| home.is_active(id(*seq)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]
    #[test]
    fn tags_are_kept_only_of_queued_accounts_and_of_starts_within_one_cost_of_the_virtual_time(
        seed in any::<u64>(),
        frequent_accounts in 1..60usize,
    ) {
        let (home, now) = warm_home(SLOTS, &[(true, SHORT_US), (false, LONG_US)]);
        let mut simulation = Simulation {
            home,
            now,
            account_of: BTreeMap::new(),
            running: VecDeque::new(),
            finish_us: BTreeMap::new(),
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        for seq in 0..OFFERS {
            let account = match seq % 2 {
                0 => rng.random_range(0..ACCOUNTS),
                _ => rng.random_range(0..frequent_accounts),
            };
            let sent = Offer {
                repeatable: rng.random_bool(0.7),
                ..offer(seq, &format!("account-{account}"))
            };
            simulation.now = simulation.now + MILLISECOND;
            simulation.account_of.insert(seq, account);
            let actions = simulation.home.offer(simulation.now, &sent);
            simulation.perform(&actions);
            if rng.random_bool(0.6) {
                if let Some(ended) = simulation.running.pop_front() {
                    let actions = simulation.home.completed(simulation.now, id(ended), Verdict::Good, None);
                    simulation.perform(&actions);
                }
            }
        }
        while let Some(ended) = simulation.running.pop_front() {
            let actions = simulation.home.completed(simulation.now, id(ended), Verdict::Good, None);
            simulation.perform(&actions);
        }
        prop_assert_eq!((simulation.home.accounts_tracked(), simulation.home.accounts_waiting()), (0, 0));
    }
}
