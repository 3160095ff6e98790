//! Without accounts, or with only one, attempts start and are refused in the order of a single queue: by
//! priority, level and deadline. Compared on random sequences with a reference queue of this order.

use crate::duty::{id, offer};
use home::{Action, Config, Home, Offer, Verdict};
use names::{BootId, Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeSet;

const SLOTS: usize = 2;
const MAX_QUEUED: usize = 8 * SLOTS;

/// A decision of a home duty about the attempt of this number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    Start(u64),
    Refuse(u64),
}

/// The reference queue.
#[derive(Debug, Default)]
struct ReferenceQueue {
    queued: BTreeSet<(Reverse<u8>, Reverse<u32>, Moment, u64)>,
    running: BTreeSet<u64>,
}

impl ReferenceQueue {
    fn offer(&mut self, now: Moment, offer: &Offer) -> Vec<Decision> {
        let seq = offer.id.seq;
        let priority = Reverse(offer.priority);
        let entry = (
            priority,
            Reverse(offer.level),
            now + offer.remaining_us,
            seq,
        );
        if self.running.len() < SLOTS {
            self.running.insert(seq);
            return vec![Decision::Start(seq)];
        }
        if !offer.may_queue {
            return vec![Decision::Refuse(seq)];
        }
        if self.queued.len() < MAX_QUEUED {
            self.queued.insert(entry);
            return Vec::new();
        }
        let last = *self.queued.last().expect("the queue is full");
        if last.0 <= priority {
            return vec![Decision::Refuse(seq)];
        }
        self.queued.remove(&last);
        self.queued.insert(entry);
        vec![Decision::Refuse(last.3)]
    }

    fn completed(&mut self, seq: u64) -> Vec<Decision> {
        self.running.remove(&seq);
        let Some((.., next)) = self.queued.pop_first() else {
            return Vec::new();
        };
        self.running.insert(next);
        vec![Decision::Start(next)]
    }
}

fn decisions(actions: &[Action]) -> Vec<Decision> {
    let decisions = |action: &Action| match action {
        Action::Start(id) => Some(Decision::Start(id.seq)),
        Action::Refuse(id, _) => Some(Decision::Refuse(id.seq)),
        _ => None,
    };
    actions.iter().filter_map(decisions).collect()
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
    fn order_without_accounts_or_with_only_one_is_that_of_a_single_queue(
        steps in prop::collection::vec(step(), 1..200),
        account in prop::option::of(Just("one")),
    ) {
        let cfg = Config {
            slots: SLOTS as u32,
            adaptive: false,
            ..Config::default()
        };
        let mut home: Home<u64> = Home::new(BootId(1), cfg);
        let mut reference = ReferenceQueue::default();
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
                    (home.offer(now, &offer), reference.offer(now, &offer))
                }
                Step::Complete(pick) => {
                    let picked = pick % reference.running.len().max(1);
                    let Some(seq) = reference.running.iter().nth(picked).copied() else {
                        continue;
                    };
                    let actions = home.completed(now, id(seq), Verdict::Good, None);
                    (actions, reference.completed(seq))
                }
            };
            prop_assert_eq!(decisions(&actions), expected);
        }
    }
}
