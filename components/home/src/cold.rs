//! How many starts an upstream bears that may be cold.
//!
//! The load that this answers: upstreams that have just started bear a few requests a second and fall over at
//! more. Each that falls comes back cold while its load falls on the others, so that a service stays down long
//! after what brought it down has passed.
//!
//! An upstream may turn cold at any moment, and a word on it is old when it arrives. What counts is therefore how
//! much was started since the upstream was last known to be warm: as long as that is no more than a cold one
//! bears in a second, it bears it whatever it has turned into since.

use names::{Moment, MILLISECOND, SECOND};
use std::collections::VecDeque;

/// Starts are counted over this time, in microseconds: a second, and what one request may take longer than
/// another from this node to the upstream.
pub const COLD_WINDOW_US: u64 = SECOND + 50 * MILLISECOND;

/// What a cold upstream bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ColdCapacity {
    /// As much as a warm one: nothing is declared of it.
    #[default]
    Unlimited,
    /// So many starts in one second.
    Limited {
        /// Maximum starts in any second.
        starts_per_s: u32,
        /// How long an upstream is cold after its start, in microseconds.
        cold_us: u64,
    },
}

/// What may have been sent before to the start of the upstream that stands here now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PriorStarts {
    /// Nothing: no earlier run of this node can have known it.
    #[default]
    None,
    /// As much as it bears, by an earlier run of this node that ended before this moment.
    Until(Moment),
    /// The start before had the same identity: what was meant for it may have reached this one.
    SameIdentity,
    /// As [`PriorStarts::Until`], unless the first word that came here says that the upstream is so young that no earlier one was
    /// acknowledged.
    UnlessYoung {
        /// Up to when.
        until: Moment,
        /// How much longer it was cold by that word, in microseconds.
        left_us: u64,
        /// For how long an upstream says nothing more once it was acknowledged, in microseconds.
        registration_gap_us: u64,
    },
}

/// A start that was never acknowledged has sent so many registrations at most within a second: it tries again a few
/// times before it rests.
const YOUNG_REGISTRATIONS: u64 = 10;

impl PriorStarts {
    /// What follows from the first registration of a start that came here, by its number, which rises from 0 or 1.
    /// `until`: when this run of the node began. `left_us` and `registration_gap_us` as in [`PriorStarts::UnlessYoung`].
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
    /// It may.
    Free,
    /// Not before this moment, unless the upstream says that it is warm; it may be.
    Unconfirmed(Moment),
    /// The upstream is cold, and bears no more before this moment.
    Full(Moment),
}

/// What is known of one upstream's warmth, and what was started there.
#[derive(Debug, Clone, Default)]
pub struct ColdLimiter {
    bears: ColdCapacity,
    /// Starts of the last window, the oldest first.
    starts: VecDeque<Moment>,
    /// When the upstream was last known to be warm.
    warm_at: Option<Moment>,
    /// Until when it is cold by its last word.
    cold_until: Option<Moment>,
    /// Whether as many as the upstream bears may have been started before this run of the node.
    earlier: PriorStarts,
}

impl ColdLimiter {
    /// Sets what the upstream bears.
    pub fn set_cold_capacity(&mut self, bears: ColdCapacity) {
        self.bears = bears;
    }

    /// Takes in that another run of the upstream stands here.
    pub fn replaced(&mut self, earlier: PriorStarts) {
        if earlier == PriorStarts::SameIdentity {
            return;
        }
        *self = ColdLimiter {
            bears: self.bears,
            earlier,
            ..ColdLimiter::default()
        };
    }

    /// Takes in the upstream's word, which it gave at `asked` or later, on how long it stays cold, in microseconds; 0
    /// when it is warm.
    pub fn reported(&mut self, asked: Moment, left_us: u64) {
        if left_us > 0 {
            self.cold_until = Some(asked + left_us);
            return;
        }
        self.cold_until = None;
        self.warm_at = Some(asked);
    }

    /// Takes in a word that may have been on its way for long: it can't show that the upstream is warm now.
    pub fn reported_late(&mut self, now: Moment, left_us: u64) {
        if left_us > 0 {
            self.cold_until = Some(now + left_us);
        }
    }

    /// Takes in that this process stood still: what was started before may only arrive now.
    pub fn paused(&mut self, now: Moment) {
        self.earlier = PriorStarts::Until(now);
    }

    /// Takes in that an attempt has started.
    pub fn started(&mut self, now: Moment) {
        while self.starts.front().is_some_and(|at| is_over(now, *at)) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Whether another attempt may start after `ahead` others.
    pub fn admission(&self, now: Moment, ahead: usize) -> ColdAdmission {
        let ColdCapacity::Limited {
            starts_per_s: most,
            cold_us,
        } = self.bears
        else {
            return ColdAdmission::Free;
        };
        let counted: Vec<Moment> = self.counted(now).collect();
        let used = counted.len() + ahead;
        let most = most as usize;
        let earlier = self.earlier(now, cold_us);
        if used < most && earlier.is_none() {
            return ColdAdmission::Free;
        }
        // As many of the counted ones have to lie a window back as are too many now.
        let over = (used + 1).saturating_sub(most);
        let freed = match over.checked_sub(1) {
            None => now,
            Some(last) => *counted.get(last).unwrap_or(&now) + COLD_WINDOW_US,
        };
        let freed = earlier.map_or(freed, |earlier| freed.max(earlier));
        if self.is_cold(now) {
            ColdAdmission::Full(freed)
        } else {
            ColdAdmission::Unconfirmed(freed)
        }
    }

    /// How long until another attempt may start after `ahead` others, in microseconds.
    pub fn wait_us(&self, now: Moment, ahead: usize) -> u64 {
        match self.admission(now, ahead) {
            ColdAdmission::Full(until) => until.since(now),
            ColdAdmission::Free | ColdAdmission::Unconfirmed(_) => 0,
        }
    }

    /// Whether the upstream is cold by its last word.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// How much longer it is cold by its last word, in microseconds.
    pub fn left_us(&self, now: Moment) -> u64 {
        self.cold_until.map_or(0, |until| until.since(now))
    }

    /// Starts that a cold upstream would count, the oldest first.
    fn counted(&self, now: Moment) -> impl Iterator<Item = Moment> + '_ {
        let warm_at = self.warm_at.unwrap_or(Moment(0));
        let counts = move |at: &Moment| *at >= warm_at && !is_over(now, *at);
        self.starts.iter().copied().filter(counts)
    }

    /// Until when nothing may start because an earlier run of this node may have used the window up.
    fn earlier(&self, now: Moment, cold_us: u64) -> Option<Moment> {
        let until = match self.earlier {
            PriorStarts::None | PriorStarts::SameIdentity => return None,
            PriorStarts::UnlessYoung {
                left_us,
                registration_gap_us,
                ..
            } if left_us + registration_gap_us >= cold_us => return None,
            PriorStarts::UnlessYoung { until, .. } | PriorStarts::Until(until) => until,
        };
        let is_warm_since = self.warm_at.is_some_and(|warm_at| warm_at >= until);
        let freed = until + COLD_WINDOW_US;
        (!is_warm_since && freed > now).then_some(freed)
    }
}

fn is_over(now: Moment, at: Moment) -> bool {
    now.since(at) >= COLD_WINDOW_US
}
