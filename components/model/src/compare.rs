//! One load under several policies, each over the same seeds.

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::tally::{Row, Tally};
use names::Name;
use std::thread;

/// What became of a load under one policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Played {
    /// The policy's name.
    pub policy: &'static str,
    /// One tally a seed.
    pub tallies: Vec<Tally>,
}

/// A load under several policies.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// The load's name.
    pub load: String,
    /// By policy, in the order asked for.
    pub played: Vec<Played>,
}

/// Rows of one class or account over all seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Means {
    /// The mean of each number.
    pub mean: Row,
    /// Least and most value.
    pub value: (f64, f64),
}

impl Comparison {
    /// Plays a load under each policy and each seed, side by side.
    pub fn of(scenario: &Scenario, policies: &[Policy], seeds: u64) -> Comparison {
        let played = thread::scope(|scope| {
            let begun: Vec<_> = policies
                .iter()
                .map(|policy| {
                    let play = move |seed| scenario.play(*policy, seed);
                    let plays = (0..seeds).map(|seed| scope.spawn(move || play(seed)));
                    (policy.name, plays.collect::<Vec<_>>())
                })
                .collect();
            let ended = begun.into_iter().map(|(policy, plays)| {
                let join = |play: thread::ScopedJoinHandle<'_, Tally>| play.join();
                let tallies = plays.into_iter().map(join).collect::<Result<_, _>>();
                Played {
                    policy,
                    tallies: tallies.expect("a play ends"),
                }
            });
            ended.collect()
        });
        Comparison {
            load: scenario.name.clone(),
            played,
        }
    }
}

impl Played {
    /// All callers together.
    pub fn all(&self) -> Means {
        means(self.tallies.iter().map(Tally::all))
    }

    /// By class.
    pub fn classes(&self) -> Vec<Means> {
        let by_name = |name: &Name| {
            let rows = self.tallies.iter().flat_map(|tally| &tally.classes);
            means(rows.filter(|row| row.name == *name).cloned())
        };
        let first = self.tallies.first();
        let names = first.into_iter().flat_map(|tally| &tally.classes);
        names.map(|row| by_name(&row.name)).collect()
    }

    /// By account, in the site's order.
    pub fn accounts(&self) -> Vec<Means> {
        let count = self.tallies.first().map_or(0, |tally| tally.accounts.len());
        let of = |index: usize| self.tallies.iter().map(move |tally| &tally.accounts[index]);
        (0..count).map(|index| means(of(index).cloned())).collect()
    }

    /// Some accounts together, by their place in the site's order.
    pub fn group(&self, name: &Name, accounts: &[usize]) -> Means {
        means(self.tallies.iter().map(|tally| {
            let rows = accounts.iter().map(|index| &tally.accounts[*index]);
            Row::sum(name, rows)
        }))
    }

    /// The mean of a number over the seeds.
    pub fn mean(&self, number: impl Fn(&Tally) -> f64) -> f64 {
        self.tallies.iter().map(number).sum::<f64>() / self.tallies.len().max(1) as f64
    }
}

fn means(rows: impl Iterator<Item = Row>) -> Means {
    let rows: Vec<Row> = rows.collect();
    let name = rows.first().map_or(Name::from(""), |row| row.name.clone());
    let values = || rows.iter().map(Row::value);
    Means {
        mean: Row::sum(&name, rows.iter()).divided(rows.len().max(1) as f64),
        value: (
            values().fold(f64::INFINITY, f64::min),
            values().fold(0.0, f64::max),
        ),
    }
}
