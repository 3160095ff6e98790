//! Runs one load under several policies with the same seeds.

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::tally::{Row, Tally};
use names::Name;
use std::thread;

/// Results of a load under one policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyResult {
    /// Name of the policy.
    pub policy: &'static str,
    /// One tally per seed.
    pub tallies: Vec<Tally>,
}

/// Results of a load under several policies.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Name of the load.
    pub load: String,
    /// Results by policy, in the requested order.
    pub results: Vec<PolicyResult>,
}

/// Mean over all seeds for one class or account.
#[derive(Debug, Clone, PartialEq)]
pub struct Means {
    /// Mean of each figure.
    pub mean: Row,
    /// Lowest and highest value share of the seeds.
    pub value_range: (f64, f64),
}

impl Comparison {
    /// Simulates a load under each policy with each seed, one thread per run.
    pub fn run(scenario: &Scenario, policies: &[Policy], seeds: u64) -> Comparison {
        let results = thread::scope(|scope| {
            let started: Vec<_> = policies
                .iter()
                .map(|policy| {
                    let simulate = move |seed| scenario.simulate(*policy, seed);
                    let runs = (0..seeds).map(|seed| scope.spawn(move || simulate(seed)));
                    (policy.name, runs.collect::<Vec<_>>())
                })
                .collect();
            let finished = started.into_iter().map(|(policy, runs)| {
                let join = |run: thread::ScopedJoinHandle<'_, Tally>| run.join();
                let tallies = runs.into_iter().map(join).collect::<Result<_, _>>();
                PolicyResult {
                    policy,
                    tallies: tallies.expect("a simulation does not panic"),
                }
            });
            finished.collect()
        });
        Comparison {
            load: scenario.name.clone(),
            results,
        }
    }
}

impl PolicyResult {
    /// All callers together.
    pub fn all(&self) -> Means {
        means(self.tallies.iter().map(Tally::all))
    }

    /// Means by class.
    pub fn classes(&self) -> Vec<Means> {
        let by_name = |name: &Name| {
            let rows = self.tallies.iter().flat_map(|tally| &tally.classes);
            means(rows.filter(|row| row.name == *name).cloned())
        };
        let first = self.tallies.first();
        let names = first.into_iter().flat_map(|tally| &tally.classes);
        names.map(|row| by_name(&row.name)).collect()
    }

    /// Means by account, in the site's order.
    pub fn accounts(&self) -> Vec<Means> {
        let count = self.tallies.first().map_or(0, |tally| tally.accounts.len());
        let of = |index: usize| self.tallies.iter().map(move |tally| &tally.accounts[index]);
        (0..count).map(|index| means(of(index).cloned())).collect()
    }

    /// Means of several accounts together, by their indexes in the site's order.
    pub fn group(&self, name: &Name, accounts: &[usize]) -> Means {
        means(self.tallies.iter().map(|tally| {
            let rows = accounts.iter().map(|index| &tally.accounts[*index]);
            Row::sum(name, rows)
        }))
    }

    /// Mean of a figure over the seeds.
    pub fn mean(&self, number: impl Fn(&Tally) -> f64) -> f64 {
        self.tallies.iter().map(number).sum::<f64>() / self.tallies.len().max(1) as f64
    }
}

fn means(rows: impl Iterator<Item = Row>) -> Means {
    let rows: Vec<Row> = rows.collect();
    let name = rows.first().map_or(Name::from(""), |row| row.name.clone());
    let values = || rows.iter().map(Row::value_share);
    Means {
        mean: Row::sum(&name, rows.iter()).divided(rows.len().max(1) as f64),
        value_range: (
            values().fold(f64::INFINITY, f64::min),
            values().fold(0.0, f64::max),
        ),
    }
}
