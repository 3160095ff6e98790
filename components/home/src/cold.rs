//! Limits how many attempts start at an upstream that may be cold.
//!
//! An upstream that has just started sustains a few requests a second and crashes under more. It
//! comes back cold, and meanwhile its load goes to the other upstreams, so that a service stays
//! down long after the original fault is over.
//!
//! An upstream may turn cold at any time, and its last report is already old when it arrives. The
//! limit therefore counts the starts since the upstream was last known to be warm: as long as they
//! don't exceed what a cold upstream sustains in a second, they are safe whatever state it is in
//! now.

use names::{Moment, MILLISECOND, SECOND};
use std::collections::VecDeque;

/// Starts are counted over this window, in microseconds: one second, plus the maximum difference in
/// transit time between two requests from this node to the upstream.
pub const COLD_WINDOW_US: u64 = SECOND + 50 * MILLISECOND;

/// The request rate that an upstream sustains while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ColdCapacity {
    /// As much as a warm one: no cold capacity is declared.
    #[default]
    Unlimited,
    /// A limited number of starts.
    Limited {
        /// Maximum starts in any second.
        starts_per_s: u32,
        /// How long an upstream is cold after its start, in microseconds.
        cold_us: u64,
    },
}

/// What earlier runs of this node may have started at the current incarnation of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PriorStarts {
    /// Nothing: no earlier run of this node can have known the incarnation.
    #[default]
    None,
    /// As much as it sustains, by an earlier run of this node that ended before this moment.
    Until(Moment),
    /// The previous incarnation had the same identity: requests meant for it may have reached this
    /// one.
    SameIdentity,
    /// As [`PriorStarts::Until`], unless the first report received here shows that the upstream is
    /// too young to have had an earlier one acknowledged.
    UnlessYoung {
        /// The earlier run of this node ended before this moment.
        until: Moment,
        /// How much longer the upstream was cold when it sent that report, in microseconds.
        left_us: u64,
        /// Minimum time between an acknowledged registration and the next one, in microseconds.
        registration_gap_us: u64,
    },
}

/// Maximum registrations that an incarnation sends within a second before one is acknowledged: it
/// retries a few times before it pauses.
const YOUNG_REGISTRATIONS: u64 = 10;

impl PriorStarts {
    /// Derives the prior starts from the sequence number of the first registration received from an
    /// incarnation; numbers rise from 0 or 1. `until`: when this run of the node began. `left_us`
    /// and `registration_gap_us` as in [`PriorStarts::UnlessYoung`].
    pub fn of_registration(
        sequence: u64,
        until: Moment,
        left_us: u64,
        registration_gap_us: u64,
    ) -> PriorStarts {
        match sequence {
            0 => PriorStarts::None,
            1..=YOUNG_REGISTRATIONS => PriorStarts::UnlessYoung {
                until,
                left_us,
                registration_gap_us,
            },
            _ => PriorStarts::Until(until),
        }
    }
}

/// Whether another attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdAdmission {
    /// No limit is declared, or the counted starts are below it.
    Free,
    /// The upstream may be cold: nothing starts before this moment unless it reports that it is warm.
    Unconfirmed(Moment),
    /// The upstream is cold and sustains no further start before this moment.
    Full(Moment),
}

/// Limits the starts at one upstream while it may be cold.
#[derive(Debug, Clone, Default)]
pub struct ColdLimiter {
    capacity: ColdCapacity,
    /// Starts of the last window, the oldest first.
    starts: VecDeque<Moment>,
    /// When the upstream was last known to be warm.
    warm_at: Option<Moment>,
    /// Until when it is cold according to its last report.
    cold_until: Option<Moment>,
    /// What may have been started before this run of the node.
    prior: PriorStarts,
}

impl ColdLimiter {
    /// Sets the request rate that the upstream sustains while it is cold.
    pub fn set_cold_capacity(&mut self, capacity: ColdCapacity) {
        self.capacity = capacity;
    }

    /// Records that another incarnation has replaced the upstream.
    pub fn replaced(&mut self, prior: PriorStarts) {
        if prior == PriorStarts::SameIdentity {
            return;
        }
        *self = ColdLimiter {
            capacity: self.capacity,
            prior,
            ..ColdLimiter::default()
        };
    }

    /// Records the upstream's report on how long it stays cold, in microseconds; 0 when it is warm.
    /// The report was made at `requested_at` or later.
    pub fn reported(&mut self, requested_at: Moment, left_us: u64) {
        if left_us > 0 {
            self.cold_until = Some(requested_at + left_us);
            return;
        }
        self.cold_until = None;
        self.warm_at = Some(requested_at);
    }

    /// Records a report that may have been delayed: it can't show that the upstream is warm now.
    pub fn reported_late(&mut self, now: Moment, left_us: u64) {
        if left_us > 0 {
            self.cold_until = Some(now + left_us);
        }
    }

    /// Records that this process was paused: requests sent before may only arrive now.
    pub fn paused(&mut self, now: Moment) {
        self.prior = PriorStarts::Until(now);
    }

    /// Records the start of an attempt.
    pub fn started(&mut self, now: Moment) {
        while self.starts.front().is_some_and(|at| is_over(now, *at)) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Whether another attempt may start after `ahead` others.
    pub fn admission(&self, now: Moment, ahead: usize) -> ColdAdmission {
        let ColdCapacity::Limited {
            starts_per_s: max_starts,
            cold_us,
        } = self.capacity
        else {
            return ColdAdmission::Free;
        };
        let counted: Vec<Moment> = self.counted(now).collect();
        let used = counted.len() + ahead;
        let max_starts = max_starts as usize;
        let prior_until = self.prior_until(now, cold_us);
        if used < max_starts && prior_until.is_none() {
            return ColdAdmission::Free;
        }
        // The excess starts, oldest first, have to leave the window.
        let over = (used + 1).saturating_sub(max_starts);
        let free_at = match over.checked_sub(1) {
            None => now,
            Some(last) => *counted.get(last).unwrap_or(&now) + COLD_WINDOW_US,
        };
        let free_at = prior_until.map_or(free_at, |until| free_at.max(until));
        if self.is_cold(now) {
            ColdAdmission::Full(free_at)
        } else {
            ColdAdmission::Unconfirmed(free_at)
        }
    }

    /// How long until another attempt may start after `ahead` others, in microseconds.
    pub fn wait_us(&self, now: Moment, ahead: usize) -> u64 {
        match self.admission(now, ahead) {
            ColdAdmission::Full(until) => until.since(now),
            ColdAdmission::Free | ColdAdmission::Unconfirmed(_) => 0,
        }
    }

    /// Whether the upstream is cold according to its last report.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// How much longer the upstream is cold according to its last report, in microseconds.
    pub fn left_us(&self, now: Moment) -> u64 {
        self.cold_until.map_or(0, |until| until.since(now))
    }

    /// Starts within the window since the upstream was last known to be warm, the oldest first.
    fn counted(&self, now: Moment) -> impl Iterator<Item = Moment> + '_ {
        let warm_at = self.warm_at.unwrap_or(Moment(0));
        let counts = move |at: &Moment| *at >= warm_at && !is_over(now, *at);
        self.starts.iter().copied().filter(counts)
    }

    /// Until when nothing may start because an earlier run of this node may have used up the window.
    fn prior_until(&self, now: Moment, cold_us: u64) -> Option<Moment> {
        let until = match self.prior {
            PriorStarts::None | PriorStarts::SameIdentity => return None,
            PriorStarts::UnlessYoung {
                left_us,
                registration_gap_us,
                ..
            } if left_us + registration_gap_us >= cold_us => return None,
            PriorStarts::UnlessYoung { until, .. } | PriorStarts::Until(until) => until,
        };
        let is_warm_since = self.warm_at.is_some_and(|warm_at| warm_at >= until);
        let free_at = until + COLD_WINDOW_US;
        (!is_warm_since && free_at > now).then_some(free_at)
    }
}

fn is_over(now: Moment, at: Moment) -> bool {
    now.since(at) >= COLD_WINDOW_US
}
