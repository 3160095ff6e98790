//! Demand over time, and the callers drawn from it.

use crate::load::{Arrival, Load};
use crate::site::Site;
use names::{Moment, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::f64::consts::TAU;

/// How often callers ask for what, and how they behave.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Requests in terms of the site's capacity.
    pub base: f64,
    /// How the demand of the halls moves.
    pub wave: HallWave,
    /// Share of each class in the requests.
    pub shares: Vec<f64>,
    /// Times of higher demand.
    pub surges: Vec<Surge>,
    /// Until when callers come.
    pub until: Moment,
    /// Callers' deadlines differ by up to this part from the one of their class.
    pub deadline_spread: f64,
    /// Different requests of a class; callers draw one of them.
    pub contents: u64,
    /// By class: connections at each node on which its callers send requests before earlier ones are answered; 0: each
    /// caller has a connection of its own.
    pub connections: Vec<usize>,
}

/// Demand of a hall that rises and falls; the halls follow one another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HallWave {
    /// Part by which it rises and falls.
    pub height: f64,
    /// Time from one crest to the next, in microseconds.
    pub period_us: u64,
    /// Time by which each hall follows the one before, in microseconds.
    pub lag_us: u64,
}

/// A time of higher demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    /// When it begins.
    pub from: Moment,
    /// When it ends.
    pub until: Moment,
    /// What rises, and to how much.
    pub kind: SurgeKind,
}

/// What rises, and to how much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SurgeKind {
    /// The requests of all halls together, in terms of the site's capacity.
    Capacity(f64),
    /// The requests of one class, in terms of its usual number.
    Class(usize, f64),
    /// The requests of one account, in terms of its usual number.
    Account(usize, f64),
}

/// Callers that have been drawn.
struct Drawn<'a> {
    site: &'a Site,
    rng: &'a mut SmallRng,
    arrivals: Vec<Arrival>,
}

impl Surge {
    fn is_on(&self, at: Moment) -> bool {
        (self.from..self.until).contains(&at)
    }
}

impl Demand {
    /// Draws the callers that come; one seed gives one load.
    pub fn draw(&self, site: &Site, seed: u64) -> Load {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = site.capacity(&self.shares);
        let halls = hall_vms(site);
        let mut drawn = Drawn {
            site,
            rng: &mut rng,
            arrivals: Vec::new(),
        };
        for (hall, vms) in halls.iter().enumerate() {
            for (class, share) in self.shares.iter().enumerate() {
                let part = vms.len() as f64 / site.vms.len() as f64;
                let a_second = capacity * share * part;
                if a_second <= 0.0 {
                    continue;
                }
                let rate = |at| a_second * self.level(at, hall, halls.len()) * self.more(at, class);
                self.draw_one(&mut drawn, vms, class, a_second * self.most(site), rate);
            }
        }
        let mut arrivals = drawn.arrivals;
        arrivals.sort_by_key(|arrival| arrival.at);
        Load { arrivals }
    }

    /// Draws the callers of one hall and class, who come at `rate` a second: some at `most` a second, thinned out.
    fn draw_one(
        &self,
        drawn: &mut Drawn<'_>,
        vms: &[usize],
        class: usize,
        most: f64,
        rate: impl Fn(Moment) -> f64,
    ) {
        let Ok(gap) = Exp::new(most / SECOND as f64) else {
            return;
        };
        let mut at = Moment(0);
        loop {
            at = at + gap.sample(drawn.rng) as u64;
            if at >= self.until {
                return;
            }
            let weights = self.account_weights(drawn.site, at);
            let accounts: f64 = weights.iter().sum();
            let accounts = if weights.is_empty() { 1.0 } else { accounts };
            if drawn.rng.random::<f64>() * most <= rate(at) * accounts {
                self.draw_caller(drawn, at, vms, class, &weights);
            }
        }
    }

    fn draw_caller(
        &self,
        drawn: &mut Drawn<'_>,
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
        let row = rng.random_range(0..self.connections[class].max(1));
        let is_pipelined = self.connections[class] > 0;
        drawn.arrivals.push(Arrival {
            at,
            vm,
            class,
            left_us: None,
            deadline_us: Some(deadline_us as u64),
            content: rng.random_range(0..self.contents.max(1)),
            account,
            connection: is_pipelined.then(|| self.connection(drawn.site, vm, class, row)),
        });
    }

    fn connection(&self, site: &Site, vm: usize, class: usize, row: usize) -> usize {
        let before: usize = self.connections[..class].iter().sum();
        (before + row) * site.vms.len() + vm
    }

    /// Demand of a hall in terms of its share of the capacity.
    fn level(&self, at: Moment, hall: usize, halls: usize) -> f64 {
        let own = self.moved(at, hall);
        let all: f64 = (0..halls).map(|hall| self.moved(at, hall)).sum();
        let of_capacity = self.surges.iter().find_map(|surge| match surge.kind {
            SurgeKind::Capacity(times) if surge.is_on(at) => Some(times),
            _ => None,
        });
        match of_capacity {
            Some(times) => times * own / (all / halls as f64),
            None => self.base * own,
        }
    }

    fn moved(&self, at: Moment, hall: usize) -> f64 {
        let HallWave {
            height,
            period_us,
            lag_us,
        } = self.wave;
        let turns = (at.0 as f64 - (lag_us * hall as u64) as f64) / period_us.max(1) as f64;
        1.0 + height * (turns * TAU).sin()
    }

    fn more(&self, at: Moment, class: usize) -> f64 {
        let factors = self.surges.iter().map(|surge| match surge.kind {
            SurgeKind::Class(one, times) if one == class && surge.is_on(at) => times,
            _ => 1.0,
        });
        factors.product()
    }

    /// Each account's part of the usual demand; the sum is above 1 while one of them asks more than usual.
    fn account_weights(&self, site: &Site, at: Moment) -> Vec<f64> {
        let total: f64 = site.accounts.iter().map(|account| account.weight).sum();
        let usual = site.accounts.iter().map(|account| account.weight / total);
        let mut weights: Vec<f64> = usual.collect();
        for surge in self.surges.iter().filter(|surge| surge.is_on(at)) {
            if let SurgeKind::Account(one, times) = surge.kind {
                weights[one] *= times;
            }
        }
        weights
    }

    /// No demand is higher than this, in terms of the capacity.
    fn most(&self, site: &Site) -> f64 {
        let moments = self
            .surges
            .iter()
            .flat_map(|surge| [surge.from, surge.until]);
        let accounts = moments.map(|at| self.account_weights(site, at).iter().sum::<f64>());
        let accounts = accounts.fold(1.0, f64::max);
        let height = 1.0 + self.wave.height;
        let factors = self.surges.iter().map(|surge| match surge.kind {
            SurgeKind::Capacity(times) => times / (1.0 - self.wave.height).max(0.1),
            SurgeKind::Class(_, times) => times.max(1.0),
            SurgeKind::Account(..) => 1.0,
        });
        (self.base.max(1.0))
            * height
            * accounts
            * factors.map(|most| most.max(1.0)).product::<f64>()
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
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    Some(found.unwrap_or(weights.len() - 1))
}
