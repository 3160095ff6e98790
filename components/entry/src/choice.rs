//! Selects an upstream for one attempt.

use crate::price::Price;
use home::Load;
use names::{Moment, Name, MILLISECOND};
use notices::RequestRate;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::Rng;
use std::collections::HashMap;

/// Time for which a report shows whether slots are free, in microseconds; longer if its queue takes
/// longer to empty.
const FULLNESS_TTL_US: u64 = 20 * MILLISECOND;
/// Maximum age of a report whose service time and error rate are used, in microseconds.
const SLOWNESS_TTL_US: u64 = 1_000 * MILLISECOND;
/// How long an upstream counts as draining after it was last reported so, in microseconds.
const DRAINING_TTL_US: u64 = 5_000 * MILLISECOND;
/// Upper bound on a reported wait for a request limit, in microseconds. An answer to another node's
/// request can lift the limit meanwhile.
const MAX_LIMIT_WAIT_US: u64 = 1_000 * MILLISECOND;
/// Service time assumed where no report gives one, in microseconds.
const DEFAULT_SERVICE_US: u64 = 5 * MILLISECOND;
/// Cost of an error, in microseconds of waiting.
const ERROR_COST_US: f64 = 100.0 * MILLISECOND as f64;
/// Cost of a round trip to another hall, in microseconds.
const CROSSING_COST_US: f64 = 2.0 * MILLISECOND as f64;
/// Cost of going to another node of the same hall, in microseconds.
const HOP_COST_US: f64 = 0.3 * MILLISECOND as f64;
/// Time constant with which a report of slowness loses its weight, in microseconds. 300 ms after a
/// report it still holds in 76 of 100 cases, against 63 by chance.
const SLOWNESS_DECAY_US: f64 = 300.0 * MILLISECOND as f64;
/// Fraction of the slowness at its start that delays a request: most slow phases end while it runs.
const SLOWNESS_FRACTION: f64 = 0.4;
/// Maximum random increase of a cost, as a fraction of it, so that entry nodes don't all pick the
/// same upstream.
const COST_JITTER: f64 = 0.1;
/// Offers that may not queue treat costs up to this multiple of the least as equal under
/// [`SelectionRule::Priced`]: reports are mostly old, and all nodes have the same ones. An upstream
/// in a slow phase costs more than that, see [`SLOWNESS_FRACTION`].
const EQUAL_COST_RATIO: f64 = 2.0;
/// Maximum number of candidates compared; a random sample of this size is taken from more.
const MAX_COMPARED: usize = 8;

/// How upstreams are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SelectionRule {
    /// Least expected time to an answer. Full upstreams refuse; the last offer may queue.
    #[default]
    Expected,
    /// Least expected time to an answer plus a [`Price`] that the call sets for crossing to another
    /// hall; an offer may always wait for a slot.
    Priced,
    /// The less loaded of two random upstreams, by their reports; baseline of the benchmark.
    TwoChoices,
    /// A random upstream; baseline of the benchmark.
    Random,
}

/// An upstream that may serve a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub vm: Name,
    /// Whether it is in this node's hall.
    pub same_hall: bool,
    /// Whether it is this node's local upstream.
    pub local: bool,
}

/// What this node knows about one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamView {
    /// Attempts of this node that have not ended.
    pub outstanding: u32,
    /// Offers of this node since the last report.
    pub offers_since_report: u32,
    /// The latest load report.
    pub load: Option<Load>,
    /// When the latest report arrived.
    pub reported_at: Moment,
    /// Until when the upstream's local node counts as unresponsive.
    pub unresponsive_until: Moment,
    /// Identifier of the upstream, once it is known.
    pub upstream: Option<Name>,
    /// The last request limit that the upstream advertised, also to an earlier run of its local
    /// node.
    pub known_limit: Option<RequestRate>,
}

impl UpstreamView {
    /// Whether the upstream must get no new work. A report of draining expires, because an upstream
    /// that cancels its departure would otherwise get no offer again. Its home duty refuses offers
    /// while it drains.
    pub fn is_draining(&self, now: Moment) -> bool {
        let is_recent = now.since(self.reported_at) < DRAINING_TTL_US;
        is_recent && self.load.is_some_and(|load| load.leaving)
    }

    /// Whether a recent report shows no free slot, or the upstream's request limit is exhausted.
    pub(crate) fn is_full(&self, now: Moment) -> bool {
        let age = now.since(self.reported_at);
        let fresh = (age as f64) < self.fullness_ttl_us();
        let is_busy = |load: Load| fresh && load.in_flight + load.queued >= load.limit;
        self.limit_wait_us(age) > 0.0 || self.load.is_some_and(is_busy)
    }

    /// Time until the upstream's request limit permits another request, in microseconds.
    fn limit_wait_us(&self, age: u64) -> f64 {
        let wait = self.load.map_or(0, |load| load.limit_wait_us);
        wait.min(MAX_LIMIT_WAIT_US).saturating_sub(age) as f64
    }

    /// A report of a long queue is valid for as long as the queue takes to empty.
    fn fullness_ttl_us(&self) -> f64 {
        let queue_us = self.load.map_or(0.0, |load| {
            let work = (load.queued as u64 * load.service_us) as f64;
            work / load.limit.max(1) as f64
        });
        queue_us.max(FULLNESS_TTL_US as f64)
    }

    pub(crate) fn is_unresponsive(&self, now: Moment) -> bool {
        now < self.unresponsive_until
    }

    /// Cost under [`SelectionRule::Expected`]: expected time to an answer, in microseconds.
    fn expected_cost_us(&self, now: Moment, candidate: &Candidate) -> f64 {
        let age = now.since(self.reported_at);
        let recent = self.load.filter(|_| age < SLOWNESS_TTL_US);
        let service = recent.map_or(DEFAULT_SERVICE_US, |load| load.service_us) as f64;
        let errors = recent.map_or(0.0, |load| load.errors_permille as f64 / 1000.0);
        let limit = recent.map_or(1, |load| load.limit.max(1)) as f64;
        let occupancy = self.occupancy(age);
        let queue = (occupancy + 1.0 - limit).max(0.0) * service / limit;
        let wait = queue.max(self.limit_wait_us(age));
        let pressure = service * occupancy / limit / 4.0;
        service + wait + pressure + errors * ERROR_COST_US + distance_cost_us(candidate)
    }

    /// Cost under [`SelectionRule::Priced`]: expected time to an answer, which includes the
    /// reported slowdown, plus the prices of errors and of crossing; in microseconds.
    fn priced_cost_us(&self, now: Moment, candidate: &Candidate, price: Price) -> f64 {
        let age = now.since(self.reported_at);
        let load = self.load.unwrap_or_default();
        let service = match load.service_us {
            0 => DEFAULT_SERVICE_US as f64,
            reported => reported as f64,
        };
        let slow = 1.0 + self.added_slowness(age);
        let limit = f64::from(load.limit.max(1));
        let occupancy = self.occupancy(age);
        let queue = (occupancy + 1.0 - limit).max(0.0) * service * slow / limit;
        let wait = (queue + self.deferral_us(age)).max(self.limit_wait_us(age));
        let fresh = (-(age as f64) / SLOWNESS_DECAY_US).exp();
        let errors = f64::from(load.errors_permille) / 1000.0 * fresh;
        let crossing = if candidate.same_hall {
            0.0
        } else {
            price.crossing_us as f64
        };
        let errors = errors * price.error_us as f64;
        service * slow + wait + errors + distance_cost_us(candidate) + crossing
    }

    /// Whether a recent report predicts a wait that is too long for a call from another hall.
    fn exceeds_remote_wait(&self, now: Moment, price: Price) -> bool {
        let Some(max_wait_us) = price.max_remote_wait_us() else {
            return false;
        };
        let age = now.since(self.reported_at);
        if self.limit_wait_us(age) > max_wait_us {
            return true;
        }
        let age = age as f64;
        let Some(load) = self.load.filter(|_| age < self.fullness_ttl_us()) else {
            return false;
        };
        let limit = load.limit.max(1);
        let ahead = (load.in_flight + load.queued + 1).saturating_sub(limit);
        let slow = 1.0 + self.added_slowness(age as u64);
        let wait = f64::from(ahead) * load.service_us as f64 * slow / f64::from(limit);
        wait > max_wait_us
    }

    /// Remaining time for which new work waits for the end of a slow phase, in microseconds.
    fn deferral_us(&self, age: u64) -> f64 {
        let deferred_us = self.load.map_or(0, |load| load.deferred_us);
        deferred_us.saturating_sub(age) as f64
    }

    /// Time that slowness adds to a request, as a multiple of its typical time. Deferred work is
    /// not slowed: it starts after the slow phase.
    fn added_slowness(&self, age: u64) -> f64 {
        if self.load.is_some_and(|load| load.deferred_us > 0) {
            return 0.0;
        }
        let percent = self.load.map_or(0, |load| load.slow_percent).max(100);
        let fresh = (-(age as f64) / SLOWNESS_DECAY_US).exp();
        (f64::from(percent) / 100.0 - 1.0) * fresh * SLOWNESS_FRACTION
    }

    fn occupancy(&self, age: u64) -> f64 {
        let reported = self.load.map_or(0, |load| load.in_flight + load.queued) as f64;
        let fresh = 1.0 - (age as f64 / self.fullness_ttl_us()).min(1.0);
        let outstanding = self.outstanding as f64;
        (reported * fresh + self.offers_since_report as f64 * fresh).max(outstanding)
    }

    fn reported_load(&self) -> u32 {
        let reported = self.load.map_or(0, |load| load.in_flight + load.queued);
        reported + self.offers_since_report
    }
}

fn distance_cost_us(candidate: &Candidate) -> f64 {
    if candidate.local {
        0.0
    } else if candidate.same_hall {
        HOP_COST_US
    } else {
        CROSSING_COST_US
    }
}

/// Selects one of `candidates`; none when no usable one is left. `may_queue`: whether the offer may
/// wait for a slot.
pub(crate) fn choose(
    rule: SelectionRule,
    now: Moment,
    candidates: &[&Candidate],
    views: &HashMap<Name, UpstreamView>,
    rng: &mut SmallRng,
    price: Price,
    may_queue: bool,
) -> Option<Name> {
    let mut usable = usable(now, candidates, views);
    if rule == SelectionRule::Priced {
        usable.retain(|candidate| {
            let is_remote = !candidate.same_hall;
            !is_remote || !view(views, candidate).exceeds_remote_wait(now, price)
        });
    }
    let usable = if rule == SelectionRule::Priced {
        usable
    } else {
        sample(usable, rng)
    };
    let selected = match rule {
        SelectionRule::Random => usable.first(),
        SelectionRule::TwoChoices => usable
            .iter()
            .take(2)
            .min_by_key(|candidate| view(views, candidate).reported_load()),
        SelectionRule::Expected => least_cost(&usable, rng, |candidate| {
            view(views, candidate).expected_cost_us(now, candidate)
        }),
        SelectionRule::Priced if may_queue => least_cost(&usable, rng, |candidate| {
            view(views, candidate).priced_cost_us(now, candidate, price)
        }),
        SelectionRule::Priced => any_near_least_cost(&usable, rng, |candidate| {
            view(views, candidate).priced_cost_us(now, candidate, price)
        }),
    };
    selected.map(|candidate| candidate.vm.clone())
}

/// Leaves out draining upstreams, and unresponsive ones unless there are no others.
fn usable<'a>(
    now: Moment,
    candidates: &[&'a Candidate],
    views: &HashMap<Name, UpstreamView>,
) -> Vec<&'a Candidate> {
    let not_draining: Vec<&Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| !view(views, candidate).is_draining(now))
        .collect();
    let responsive: Vec<&Candidate> = not_draining
        .iter()
        .copied()
        .filter(|candidate| !view(views, candidate).is_unresponsive(now))
        .collect();
    if responsive.is_empty() {
        not_draining
    } else {
        responsive
    }
}

/// Draws at most [`MAX_COMPARED`] candidates in random order.
fn sample<'a>(mut usable: Vec<&'a Candidate>, rng: &mut SmallRng) -> Vec<&'a Candidate> {
    let size = usable.len().min(MAX_COMPARED);
    for i in 0..size {
        let j = rng.random_range(i..usable.len());
        usable.swap(i, j);
    }
    usable.truncate(size);
    usable
}

fn least_cost<'a, 'b>(
    usable: &'b [&'a Candidate],
    rng: &mut SmallRng,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<&'b &'a Candidate> {
    let mut best: Option<(&&Candidate, f64)> = None;
    for candidate in usable {
        let cost = cost(candidate) * (1.0 + COST_JITTER * rng.random::<f64>());
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((candidate, cost));
        }
    }
    best.map(|(candidate, _)| candidate)
}

/// A uniformly random one of those whose cost is at most [`EQUAL_COST_RATIO`] times the least.
fn any_near_least_cost<'a, 'b>(
    usable: &'b [&'a Candidate],
    rng: &mut SmallRng,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<&'b &'a Candidate> {
    let costs: Vec<f64> = usable.iter().map(|candidate| cost(candidate)).collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let equal = usable.iter().zip(&costs);
    equal
        .filter(|(_, cost)| **cost <= least * EQUAL_COST_RATIO)
        .map(|(candidate, _)| candidate)
        .choose(rng)
}

fn view(views: &HashMap<Name, UpstreamView>, candidate: &Candidate) -> UpstreamView {
    views.get(&candidate.vm).cloned().unwrap_or_default()
}
