//! The longest durations of recent requests, by class.

use names::{Moment, SECOND};
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Length of a period, in microseconds. A duration counts until the end of the period that follows
/// its own.
const PERIOD_US: u64 = 30 * SECOND;
/// Maximum number of classes with durations of their own.
const MAX_CLASSES: usize = 1_024;
/// Percentage of the longest duration that a request of the class may need: runs vary, and capacity
/// is lower while nodes are being stopped.
const MARGIN_PERCENT: u64 = 105;

/// The longest durations of one class.
#[derive(Debug, Clone, Copy)]
struct Longest {
    period_began: Moment,
    current_us: u64,
    previous_us: u64,
}

impl Longest {
    fn record(&mut self, now: Moment, us: u64) {
        let age_us = now.since(self.period_began);
        if age_us >= PERIOD_US {
            self.previous_us = if age_us < 2 * PERIOD_US {
                self.current_us
            } else {
                0
            };
            self.current_us = 0;
            self.period_began = now;
        }
        self.current_us = self.current_us.max(us);
    }
}

/// The longest durations of recent requests, by class.
#[derive(Debug, Clone)]
pub struct Durations<K> {
    classes: HashMap<K, Longest>,
}

impl<K> Default for Durations<K> {
    fn default() -> Durations<K> {
        Durations {
            classes: HashMap::new(),
        }
    }
}

impl<K: Hash + Eq + Clone> Durations<K> {
    /// Records the duration of a request, in microseconds.
    pub fn record(&mut self, now: Moment, class: &K, us: u64) {
        if let Some(longest) = self.classes.get_mut(class) {
            longest.record(now, us);
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            self.remove_expired(now);
        }
        if self.classes.len() < MAX_CLASSES {
            let longest = Longest {
                period_began: now,
                current_us: us,
                previous_us: 0,
            };
            self.classes.insert(class.clone(), longest);
        }
    }

    /// The time that a request of this class may need, in microseconds; none if no request of the
    /// class has ended yet.
    pub fn longest_us<Q>(&self, class: &Q) -> Option<u64>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let longest = self.classes.get(class)?;
        Some(longest.current_us.max(longest.previous_us) * MARGIN_PERCENT / 100)
    }

    /// Discards all durations.
    pub fn clear(&mut self) {
        self.classes.clear();
    }

    fn remove_expired(&mut self, now: Moment) {
        self.classes
            .retain(|_, longest| now.since(longest.period_began) < 2 * PERIOD_US);
    }
}
