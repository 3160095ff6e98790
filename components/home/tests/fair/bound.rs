//! State of 5,000 accounts: tags are kept only of accounts that wait or whose last start lies within one cost of the
//! virtual time.

use crate::duty::{id, offer, started, warm, SLOTS};
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

fn longest_us(home: &Home<u64>) -> u64 {
    let usual_us = |repeatable| {
        home.slowdown().service_us(Class {
            level: 0,
            repeatable,
        })
    };
    let known = [true, false].into_iter().filter_map(usual_us);
    known.reduce(f64::max).expect("both are known").ceil() as u64
}

struct Accounts {
    home: Home<u64>,
    now: Moment,
    account_of: BTreeMap<u64, usize>,
    running: VecDeque<u64>,
    /// The largest finish tag that each account can have: the virtual time right after its last start and the longest cost
    /// then, in microseconds. Usual service times change with the runs.
    finish_us: BTreeMap<usize, u64>,
}

impl Accounts {
    fn perform(&mut self, actions: &[home::Action]) {
        let virtual_time_us = self.home.virtual_time_us();
        for seq in started(actions) {
            self.running.push_back(seq);
            let finish_us = virtual_time_us + longest_us(&self.home);
            self.finish_us.insert(self.account_of[&seq], finish_us);
        }
        let load = self.home.load(self.now);
        if load.in_flight + load.queued == 0 {
            self.finish_us.clear();
            assert_eq!(self.home.accounts_tracked(), 0);
            return;
        }
        let recent = self.finish_us.iter();
        let recent = recent.filter(|(_, at_us)| **at_us > virtual_time_us);
        let waiting = self
            .account_of
            .iter()
            .filter(|(seq, _)| self.home.is_queued(id(**seq)));
        let most: BTreeSet<usize> = recent
            .map(|it| *it.0)
            .chain(waiting.map(|it| *it.1))
            .collect();
        let kept = self.home.accounts_tracked();
        assert!(kept <= most.len(), "{kept} kept, at most {}", most.len());
        assert!(load.queued <= 8 * SLOTS, "{load:?}");
        let home = &self.home;
        self.account_of.retain(|seq, _| home.is_active(id(*seq)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]
    #[test]
    fn tags_are_kept_only_of_accounts_that_wait_or_started_within_one_cost_of_the_virtual_time(
        seed in any::<u64>(),
        regulars in 1..60usize,
    ) {
        let (home, now) = warm(SLOTS, &[(true, SHORT_US), (false, LONG_US)]);
        let mut accounts = Accounts {
            home,
            now,
            account_of: BTreeMap::new(),
            running: VecDeque::new(),
            finish_us: BTreeMap::new(),
        };
        let mut drawn = SmallRng::seed_from_u64(seed);
        for seq in 0..OFFERS {
            let account = match seq % 2 {
                0 => drawn.random_range(0..ACCOUNTS),
                _ => drawn.random_range(0..regulars),
            };
            let sent = Offer {
                repeatable: drawn.random_bool(0.7),
                ..offer(seq, &format!("account-{account}"))
            };
            accounts.now = accounts.now + MILLISECOND;
            accounts.account_of.insert(seq, account);
            let actions = accounts.home.offer(accounts.now, &sent);
            accounts.perform(&actions);
            if drawn.random_bool(0.6) {
                if let Some(ended) = accounts.running.pop_front() {
                    let actions = accounts.home.completed(accounts.now, id(ended), Verdict::Good, None);
                    accounts.perform(&actions);
                }
            }
        }
        while let Some(ended) = accounts.running.pop_front() {
            let actions = accounts.home.completed(accounts.now, id(ended), Verdict::Good, None);
            accounts.perform(&actions);
        }
        prop_assert_eq!((accounts.home.accounts_tracked(), accounts.home.accounts_waiting()), (0, 0));
    }
}
