//! Demand over time, and the callers drawn from it.

use crate::load::{Arrival, Load};
use crate::site::Site;
use names::{Moment, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::f64::consts::TAU;

/// Request rate over time and parameters of the drawn callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Request rate as a multiple of the site's capacity.
    pub base: f64,
    /// Variation of the demand by hall.
    pub wave: HallWave,
    /// Share of each class in the requests.
    pub shares: Vec<f64>,
    /// Periods of higher demand.
    pub surges: Vec<Surge>,
    /// No callers arrive from then on.
    pub until: Moment,
    /// Maximum relative deviation of a caller's deadline from the deadline of its class.
    pub deadline_spread: f64,
    /// Number of distinct requests per class; each caller draws one.
    pub contents: u64,
    /// By class: number of connections per node on which its callers pipeline requests; 0 gives
    /// each caller a connection of its own.
    pub connections: Vec<usize>,
}

/// Sinusoidal demand; each hall follows the previous one with a lag.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HallWave {
    /// Relative amplitude.
    pub amplitude: f64,
    /// Period in microseconds.
    pub period_us: u64,
    /// Lag between consecutive halls in microseconds.
    pub lag_us: u64,
}

/// A period of higher demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    pub from: Moment,
    pub until: Moment,
    pub kind: SurgeKind,
}

/// What increases, and by which factor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SurgeKind {
    /// Requests of all halls together, as a multiple of the site's capacity.
    Capacity(f64),
    /// Requests of one class (by index), as a multiple of its base rate.
    Class(usize, f64),
    /// Requests of one account (by index), as a multiple of its base rate.
    Account(usize, f64),
}

/// State of a draw of callers.
struct DrawState<'a> {
    site: &'a Site,
    rng: &'a mut SmallRng,
    arrivals: Vec<Arrival>,
}

impl Surge {
    fn is_active(&self, at: Moment) -> bool {
        (self.from..self.until).contains(&at)
    }
}

impl Demand {
    /// Draws the callers; the same seed gives the same load.
    pub fn draw(&self, site: &Site, seed: u64) -> Load {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = site.capacity(&self.shares);
        let halls = hall_vms(site);
        let mut drawn = DrawState {
            site,
            rng: &mut rng,
            arrivals: Vec::new(),
        };
        for (hall, vms) in halls.iter().enumerate() {
            for (class, share) in self.shares.iter().enumerate() {
                let hall_share = vms.len() as f64 / site.vms.len() as f64;
                let rate_per_s = capacity * share * hall_share;
                if rate_per_s <= 0.0 {
                    continue;
                }
                let rate = |at| {
                    rate_per_s
                        * self.hall_demand(at, hall, halls.len())
                        * self.class_factor(at, class)
                };
                self.draw_class(
                    &mut drawn,
                    vms,
                    class,
                    rate_per_s * self.max_factor(site),
                    rate,
                );
            }
        }
        let mut arrivals = drawn.arrivals;
        arrivals.sort_by_key(|arrival| arrival.at);
        Load { arrivals }
    }

    /// Draws the callers of one hall and class as a Poisson process by thinning: draws candidates
    /// at `max_rate` per second and keeps as many as give `rate` per second, times the sum of the
    /// account weights.
    fn draw_class(
        &self,
        drawn: &mut DrawState<'_>,
        vms: &[usize],
        class: usize,
        max_rate: f64,
        rate: impl Fn(Moment) -> f64,
    ) {
        let Ok(gap) = Exp::new(max_rate / SECOND as f64) else {
            return;
        };
        let mut at = Moment(0);
        loop {
            at = at + gap.sample(drawn.rng) as u64;
            if at >= self.until {
                return;
            }
            let weights = self.account_weights(drawn.site, at);
            let account_factor: f64 = weights.iter().sum();
            let account_factor = if weights.is_empty() {
                1.0
            } else {
                account_factor
            };
            if drawn.rng.random::<f64>() * max_rate <= rate(at) * account_factor {
                self.draw_caller(drawn, at, vms, class, &weights);
            }
        }
    }

    fn draw_caller(
        &self,
        drawn: &mut DrawState<'_>,
        at: Moment,
        vms: &[usize],
        class: usize,
        weights: &[f64],
    ) {
        let rng = &mut drawn.rng;
        let account = draw_index(weights, rng);
        let vm = vms[rng.random_range(0..vms.len())];
        let spread = 1.0 + self.deadline_spread * rng.random_range(-1.0..=1.0);
        let deadline_us = drawn.site.classes[class].deadline_us as f64 * spread;
        let index = rng.random_range(0..self.connections[class].max(1));
        let is_pipelined = self.connections[class] > 0;
        drawn.arrivals.push(Arrival {
            at,
            vm,
            class,
            remaining_us: None,
            deadline_us: Some(deadline_us as u64),
            content: rng.random_range(0..self.contents.max(1)),
            account,
            connection: is_pipelined.then(|| self.connection(drawn.site, vm, class, index)),
        });
    }

    fn connection(&self, site: &Site, vm: usize, class: usize, index: usize) -> usize {
        let before: usize = self.connections[..class].iter().sum();
        (before + index) * site.vms.len() + vm
    }

    /// Demand of a hall as a multiple of its share of the capacity.
    fn hall_demand(&self, at: Moment, hall: usize, halls: usize) -> f64 {
        let own = self.wave_factor(at, hall);
        let all: f64 = (0..halls).map(|hall| self.wave_factor(at, hall)).sum();
        let of_capacity = self.surges.iter().find_map(|surge| match surge.kind {
            SurgeKind::Capacity(times) if surge.is_active(at) => Some(times),
            _ => None,
        });
        match of_capacity {
            Some(times) => times * own / (all / halls as f64),
            None => self.base * own,
        }
    }

    fn wave_factor(&self, at: Moment, hall: usize) -> f64 {
        let HallWave {
            amplitude,
            period_us,
            lag_us,
        } = self.wave;
        let turns = (at.0 as f64 - (lag_us * hall as u64) as f64) / period_us.max(1) as f64;
        1.0 + amplitude * (turns * TAU).sin()
    }

    fn class_factor(&self, at: Moment, class: usize) -> f64 {
        let factors = self.surges.iter().map(|surge| match surge.kind {
            SurgeKind::Class(one, times) if one == class && surge.is_active(at) => times,
            _ => 1.0,
        });
        factors.product()
    }

    /// Share of each account in the base demand; the sum exceeds 1 while an account's surge is
    /// active.
    fn account_weights(&self, site: &Site, at: Moment) -> Vec<f64> {
        let total: f64 = site.accounts.iter().map(|account| account.weight).sum();
        let base = site.accounts.iter().map(|account| account.weight / total);
        let mut weights: Vec<f64> = base.collect();
        for surge in self.surges.iter().filter(|surge| surge.is_active(at)) {
            if let SurgeKind::Account(one, times) = surge.kind {
                weights[one] *= times;
            }
        }
        weights
    }

    /// Upper bound of the demand as a multiple of the capacity.
    fn max_factor(&self, site: &Site) -> f64 {
        let moments = self
            .surges
            .iter()
            .flat_map(|surge| [surge.from, surge.until]);
        let accounts = moments.map(|at| self.account_weights(site, at).iter().sum::<f64>());
        let accounts = accounts.fold(1.0, f64::max);
        let crest = 1.0 + self.wave.amplitude;
        let factors = self.surges.iter().map(|surge| match surge.kind {
            SurgeKind::Capacity(times) => times / (1.0 - self.wave.amplitude).max(0.1),
            SurgeKind::Class(_, times) => times.max(1.0),
            SurgeKind::Account(..) => 1.0,
        });
        (self.base.max(1.0))
            * crest
            * accounts
            * factors.map(|factor| factor.max(1.0)).product::<f64>()
    }
}

fn hall_vms(site: &Site) -> Vec<Vec<usize>> {
    let halls = site.vms.iter().map(|vm| vm.hall + 1).max().unwrap_or(0);
    let mut vms = vec![Vec::new(); halls];
    for (index, vm) in site.vms.iter().enumerate() {
        vms[vm.hall].push(index);
    }
    vms
}

fn draw_index(weights: &[f64], rng: &mut SmallRng) -> Option<usize> {
    if weights.is_empty() {
        return None;
    }
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    Some(found.unwrap_or(weights.len() - 1))
}
