//! Without accounts, or with one, attempts start and are refused in the order of one queue: by priority, level and
//! deadline. Compared on drawn sequences with a queue that has this order and nothing else.

use crate::duty::{id, offer};
use home::{Action, Config, Home, Offer, Verdict};
use names::{BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeSet;

const SLOTS: usize = 2;
const QUEUE: usize = 8 * SLOTS;

/// What a duty decides, in order: starts and refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decided {
    Starts(u64),
    Refuses(u64),
}

/// One queue.
#[derive(Debug, Default)]
struct OneQueue {
    waiting: BTreeSet<(Reverse<u8>, Reverse<u32>, Moment, u64)>,
    running: BTreeSet<u64>,
}

impl OneQueue {
    fn offer(&mut self, now: Moment, offer: &Offer) -> Vec<Decided> {
        let seq = offer.id.seq;
        let priority = Reverse(offer.priority);
        let place = (
            priority,
            Reverse(offer.level),
            now + offer.remaining_us,
            seq,
        );
        if self.running.len() < SLOTS {
            self.running.insert(seq);
            return vec![Decided::Starts(seq)];
        }
        if !offer.may_queue {
            return vec![Decided::Refuses(seq)];
        }
        if self.waiting.len() < QUEUE {
            self.waiting.insert(place);
            return Vec::new();
        }
        let last = *self.waiting.last().expect("the queue is full");
        if last.0 <= priority {
            return vec![Decided::Refuses(seq)];
        }
        self.waiting.remove(&last);
        self.waiting.insert(place);
        vec![Decided::Refuses(last.3)]
    }

    fn completed(&mut self, seq: u64) -> Vec<Decided> {
        self.running.remove(&seq);
        let Some((.., next)) = self.waiting.pop_first() else {
            return Vec::new();
        };
        self.running.insert(next);
        vec![Decided::Starts(next)]
    }
}

fn decided(actions: &[Action]) -> Vec<Decided> {
    let decided = |action: &Action| match action {
        Action::Start(id) => Some(Decided::Starts(id.seq)),
        Action::Refuse(id, _) => Some(Decided::Refuses(id.seq)),
        _ => None,
    };
    actions.iter().filter_map(decided).collect()
}

#[derive(Debug, Clone)]
enum Step {
    Offer {
        priority: u8,
        level: u32,
        repeatable: bool,
        may_queue: bool,
        remaining_s: u64,
    },
    Complete(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let offers = (
        0..3u8,
        0..3u32,
        any::<bool>(),
        prop::bool::weighted(0.9),
        100..110u64,
    );
    prop_oneof![
        3 => offers.prop_map(|(priority, level, repeatable, may_queue, remaining_s)| Step::Offer {
            priority,
            level,
            repeatable,
            may_queue,
            remaining_s,
        }),
        1 => any::<usize>().prop_map(Step::Complete),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn without_accounts_and_with_one_alone_the_order_is_that_of_one_queue(
        steps in prop::collection::vec(step(), 1..200),
        account in prop::option::of(Just("one")),
    ) {
        let cfg = Config {
            slots: SLOTS as u32,
            adaptive: false,
            ..Config::default()
        };
        let mut home: Home<u64> = Home::new(BootId(1), cfg);
        let mut queue = OneQueue::default();
        let mut now = Moment(10 * SECOND);
        for (seq, step) in steps.into_iter().enumerate() {
            now = now + MILLISECOND;
            let (actions, expected) = match step {
                Step::Offer { priority, level, repeatable, may_queue, remaining_s } => {
                    let offer = Offer {
                        priority,
                        level,
                        repeatable,
                        may_queue,
                        remaining_us: remaining_s * SECOND,
                        account: account.map(Into::into),
                        ..offer(seq as u64, "one")
                    };
                    (home.offer(now, &offer), queue.offer(now, &offer))
                }
                Step::Complete(pick) => {
                    let picked = pick % queue.running.len().max(1);
                    let Some(seq) = queue.running.iter().nth(picked).copied() else {
                        continue;
                    };
                    let actions = home.completed(now, id(seq), Verdict::Good, None);
                    (actions, queue.completed(seq))
                }
            };
            prop_assert_eq!(decided(&actions), expected);
        }
    }
}
