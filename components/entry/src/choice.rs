//! The choice of an upstream for one attempt.

use crate::price::Price;
use home::Load;
use names::{Moment, Name, MILLISECOND};
use notices::RequestRate;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::Rng;
use std::collections::HashMap;

/// A report of a short queue older than this says nothing of how full an upstream is.
const FULLNESS_KEPT_US: u64 = 20 * MILLISECOND;
/// A report older than this says nothing of how slow or failing an upstream is.
const SLOWNESS_KEPT_US: u64 = 1_000 * MILLISECOND;
/// The word that an upstream is leaving holds for so long.
const LEAVING_KEPT_US: u64 = 5_000 * MILLISECOND;
/// A longer wait for a request limit is not believed: the limit may end meanwhile, by an answer to another node's request.
const LIMIT_WAIT_KEPT_US: u64 = 1_000 * MILLISECOND;
/// Service time assumed of an upstream of which nothing is known.
const UNKNOWN_SERVICE_US: u64 = 5 * MILLISECOND;
/// Cost of an error in terms of waiting, in microseconds.
const ERROR_COST_US: f64 = 100.0 * MILLISECOND as f64;
/// Cost of crossing to another hall and back, in microseconds.
const CROSSING_US: f64 = 2.0 * MILLISECOND as f64;
/// Cost of another node in the same hall, in microseconds.
const HOP_US: f64 = 0.3 * MILLISECOND as f64;
/// Time over which a report of slowness loses most of its worth, in microseconds. Measured on the
/// users' two sites: after 300 ms a report still holds in 76 of 100 cases, where 63 would be chance.
const SLOW_PHASE_US: f64 = 300.0 * MILLISECOND as f64;
/// Part of the slowness at its start that a request feels: the phase mostly ends while it runs.
const SLOW_PART: f64 = 0.4;
/// Share of the cost that is drawn at random, so that entry nodes don't all pick the same upstream.
const SPREAD: f64 = 0.1;
/// When a free slot is asked for under [`SelectionRule::Priced`], costs up to this multiple of the least count as
/// equal: what is known of upstreams is old mostly, and all nodes know the same. An upstream in a slow
/// phase costs more than that, see [`SLOW_PART`].
const EQUAL_COSTS: f64 = 2.0;
/// At most this many candidates are weighed; more are sampled.
const MOST_WEIGHED: usize = 8;

/// How upstreams are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SelectionRule {
    /// Least expected time to an answer; full upstreams refuse, the last offer may queue.
    #[default]
    Expected,
    /// Least expected time to an answer, with a price for crossing to another hall that the call
    /// sets; an offer may always wait for a slot.
    Priced,
    /// Two at random, the one that reported less load; baseline of the benchmark.
    TwoChoices,
    /// One at random; baseline of the benchmark.
    Random,
}

/// An upstream that may serve a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: Name,
    /// Whether it is in this node's hall.
    pub same_hall: bool,
    /// Whether it is this node's own upstream.
    pub local: bool,
}

/// What this node knows of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamView {
    /// Attempts of this node that are not ended.
    pub outstanding: u32,
    /// Offers made since the last report.
    pub offers_since_report: u32,
    /// The last report.
    pub load: Option<Load>,
    /// When the report arrived.
    pub reported_at: Moment,
    /// Until when the node beside the upstream is taken as not answering.
    pub unresponsive_until: Moment,
    /// The last limit that the upstream named, also by an earlier run of the node beside it.
    pub known_limit: Option<RequestRate>,
}

impl UpstreamView {
    /// Whether the upstream must get no new work. The word holds for a while only: an upstream that
    /// stays after all would not be asked again. Its home duty refuses while it leaves.
    pub fn is_draining(&self, now: Moment) -> bool {
        let lately = now.since(self.reported_at) < LEAVING_KEPT_US;
        lately && self.load.is_some_and(|load| load.leaving)
    }

    /// Whether a report that still holds says that no slot was free, or that the upstream takes no request within its limit.
    pub(crate) fn is_full(&self, now: Moment) -> bool {
        let age = now.since(self.reported_at);
        let fresh = (age as f64) < self.fullness_kept_us();
        let is_busy = |load: Load| fresh && load.in_flight + load.queued >= load.limit;
        self.limit_wait_us(age) > 0.0 || self.load.is_some_and(is_busy)
    }

    /// How long until the upstream takes another request within its limit, in microseconds.
    fn limit_wait_us(&self, age: u64) -> f64 {
        let wait = self.load.map_or(0, |load| load.limit_wait_us);
        wait.min(LIMIT_WAIT_KEPT_US).saturating_sub(age) as f64
    }

    /// A report of a long queue holds for as long as the queue takes to drain.
    fn fullness_kept_us(&self) -> f64 {
        let drain = self.load.map_or(0.0, |load| {
            let work = (load.queued as u64 * load.service_us) as f64;
            work / load.limit.max(1) as f64
        });
        drain.max(FULLNESS_KEPT_US as f64)
    }

    pub(crate) fn is_unresponsive(&self, now: Moment) -> bool {
        now < self.unresponsive_until
    }

    /// Expected time
    fn expected_us(&self, now: Moment, candidate: &Candidate) -> f64 {
        let age = now.since(self.reported_at);
        let known = self.load.filter(|_| age < SLOWNESS_KEPT_US);
        let service = known.map_or(UNKNOWN_SERVICE_US, |load| load.service_us) as f64;
        let errors = known.map_or(0.0, |load| load.errors_permille as f64 / 1000.0);
        let limit = known.map_or(1, |load| load.limit.max(1)) as f64;
        let occupied = self.occupied(age);
        let queue = (occupied + 1.0 - limit).max(0.0) * service / limit;
        let wait = queue.max(self.limit_wait_us(age));
        let pressure = service * occupied / limit / 4.0;
        service + wait + pressure + errors * ERROR_COST_US + way_us(candidate)
    }

    /// Expected time to an answer by the upstream's own word on how slow it is, in microseconds.
    fn priced_us(&self, now: Moment, candidate: &Candidate, price: Price) -> f64 {
        let age = now.since(self.reported_at);
        let load = self.load.unwrap_or_default();
        let service = match load.service_us {
            0 => UNKNOWN_SERVICE_US as f64,
            known => known as f64,
        };
        let slow = 1.0 + self.extra_slowness(age);
        let limit = f64::from(load.limit.max(1));
        let occupied = self.occupied(age);
        let queue = (occupied + 1.0 - limit).max(0.0) * service * slow / limit;
        let wait = (queue + self.held_us(age)).max(self.limit_wait_us(age));
        let fresh = (-(age as f64) / SLOW_PHASE_US).exp();
        let errors = f64::from(load.errors_permille) / 1000.0 * fresh;
        let crossing = if candidate.same_hall {
            0.0
        } else {
            price.crossing_us as f64
        };
        let errors = errors * price.error_us as f64;
        service * slow + wait + errors + way_us(candidate) + crossing
    }

    /// Whether a report that still holds says that a slot comes free too late for the call.
    fn is_beyond(&self, now: Moment, price: Price) -> bool {
        let Some(most_us) = price.most_far_wait_us() else {
            return false;
        };
        let age = now.since(self.reported_at);
        if self.limit_wait_us(age) > most_us {
            return true;
        }
        let age = age as f64;
        let Some(load) = self.load.filter(|_| age < self.fullness_kept_us()) else {
            return false;
        };
        let limit = load.limit.max(1);
        let ahead = (load.in_flight + load.queued + 1).saturating_sub(limit);
        let slow = 1.0 + self.extra_slowness(age as u64);
        let wait = f64::from(ahead) * load.service_us as f64 * slow / f64::from(limit);
        wait > most_us
    }

    /// How much longer new work is expected to wait for the end of a slow phase, in microseconds.
    fn held_us(&self, age: u64) -> f64 {
        let held = self.load.map_or(0, |load| load.deferred_us);
        held.saturating_sub(age) as f64
    }

    /// Time that slowness adds to a request, in terms of its usual time. Work that is held until a slow
    /// phase has passed is not slowed.
    fn extra_slowness(&self, age: u64) -> f64 {
        if self.load.is_some_and(|load| load.deferred_us > 0) {
            return 0.0;
        }
        let percent = self.load.map_or(0, |load| load.slow_percent).max(100);
        let fresh = (-(age as f64) / SLOW_PHASE_US).exp();
        (f64::from(percent) / 100.0 - 1.0) * fresh * SLOW_PART
    }

    fn occupied(&self, age: u64) -> f64 {
        let reported = self.load.map_or(0, |load| load.in_flight + load.queued) as f64;
        let fresh = 1.0 - (age as f64 / self.fullness_kept_us()).min(1.0);
        let own = self.outstanding as f64;
        (reported * fresh + self.offers_since_report as f64 * fresh).max(own)
    }

    fn reported_load(&self) -> u32 {
        let reported = self.load.map_or(0, |load| load.in_flight + load.queued);
        reported + self.offers_since_report
    }
}

fn way_us(candidate: &Candidate) -> f64 {
    if candidate.local {
        0.0
    } else if candidate.same_hall {
        HOP_US
    } else {
        CROSSING_US
    }
}

/// Picks one of `candidates`, or none when there is none left. `may_queue` says whether the offer may
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
            let far = !candidate.same_hall;
            !far || !view(views, candidate).is_beyond(now, price)
        });
    }
    let usable = if rule == SelectionRule::Priced {
        usable
    } else {
        sample(usable, rng)
    };
    let picked = match rule {
        SelectionRule::Random => usable.first(),
        SelectionRule::TwoChoices => usable
            .iter()
            .take(2)
            .min_by_key(|candidate| view(views, candidate).reported_load()),
        SelectionRule::Expected => least(&usable, rng, |candidate| {
            view(views, candidate).expected_us(now, candidate)
        }),
        SelectionRule::Priced if may_queue => least(&usable, rng, |candidate| {
            view(views, candidate).priced_us(now, candidate, price)
        }),
        SelectionRule::Priced => any_of_least(&usable, rng, |candidate| {
            view(views, candidate).priced_us(now, candidate, price)
        }),
    };
    picked.map(|candidate| candidate.vm.clone())
}

/// Leaves out upstreams that leave; suspect ones count only when there is no other.
fn usable<'a>(
    now: Moment,
    candidates: &[&'a Candidate],
    views: &HashMap<Name, UpstreamView>,
) -> Vec<&'a Candidate> {
    let staying: Vec<&Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| !view(views, candidate).is_draining(now))
        .collect();
    let trusted: Vec<&Candidate> = staying
        .iter()
        .copied()
        .filter(|candidate| !view(views, candidate).is_unresponsive(now))
        .collect();
    if trusted.is_empty() {
        staying
    } else {
        trusted
    }
}

/// Shuffles and keeps at most [`MOST_WEIGHED`].
fn sample<'a>(mut usable: Vec<&'a Candidate>, rng: &mut SmallRng) -> Vec<&'a Candidate> {
    let kept = usable.len().min(MOST_WEIGHED);
    for i in 0..kept {
        let j = rng.random_range(i..usable.len());
        usable.swap(i, j);
    }
    usable.truncate(kept);
    usable
}

fn least<'a, 'b>(
    usable: &'b [&'a Candidate],
    rng: &mut SmallRng,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<&'b &'a Candidate> {
    let mut best: Option<(&&Candidate, f64)> = None;
    for candidate in usable {
        let cost = cost(candidate) * (1.0 + SPREAD * rng.random::<f64>());
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((candidate, cost));
        }
    }
    best.map(|(candidate, _)| candidate)
}

/// One of those whose cost is within [`EQUAL_COSTS`] of the least, drawn evenly.
fn any_of_least<'a, 'b>(
    usable: &'b [&'a Candidate],
    rng: &mut SmallRng,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<&'b &'a Candidate> {
    let costs: Vec<f64> = usable.iter().map(|candidate| cost(candidate)).collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let equal = usable.iter().zip(&costs);
    equal
        .filter(|(_, cost)| **cost <= least * EQUAL_COSTS)
        .map(|(candidate, _)| candidate)
        .choose(rng)
}

fn view(views: &HashMap<Name, UpstreamView>, candidate: &Candidate) -> UpstreamView {
    views.get(&candidate.vm).cloned().unwrap_or_default()
}
