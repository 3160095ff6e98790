//! A comparison as a table.

use crate::compare::{Comparison, Means, PolicyResult};
use names::Name;
use std::fmt;

/// Number of accounts with a line of their own: those with the most callers.
const OWN_LINES: usize = 4;

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds = self
            .results
            .first()
            .map_or(0, |result| result.tallies.len());
        writeln!(f, "load {}, means of {seeds} seeds", self.load)?;
        for result in &self.results {
            writeln!(f)?;
            write!(f, "{result}")?;
        }
        Ok(())
    }
}

impl fmt::Display for PolicyResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:18} {:>8} {:>8} {:>7} {:>8} {:>8} {:>7}   value (least to most)",
            self.policy, "asked", "in time", "late", "refused", "again", "failed"
        )?;
        for class in self.classes() {
            line(f, &class)?;
        }
        line(f, &self.all())?;
        self.account_lines(f)?;
        writeln!(
            f,
            "starts {:.0}, second starts {:.0}, offers {:.0}, slot time spent on late answers {:.3}",
            self.mean(|tally| tally.starts as f64),
            self.mean(|tally| tally.hedged_starts as f64),
            self.mean(|tally| tally.offers as f64),
            self.mean(|tally| tally.late_slot_share),
        )?;
        writeln!(
            f,
            "refused beside a free slot: {:.1} on arrival, {:.1} out of the queue",
            self.mean(|tally| tally.avoidable_refusals.on_arrival as f64),
            self.mean(|tally| tally.avoidable_refusals.from_queue as f64),
        )
    }
}

impl PolicyResult {
    fn account_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accounts = self.accounts();
        if accounts.is_empty() {
            return Ok(());
        }
        let callers = |index: &usize| accounts[*index].mean.callers;
        let mut order: Vec<usize> = (0..accounts.len()).collect();
        order.sort_by(|a, b| callers(b).total_cmp(&callers(a)));
        let (own, others) = order.split_at(OWN_LINES.min(order.len()));
        for index in own {
            line(f, &accounts[*index])?;
        }
        if !others.is_empty() {
            let name = Name::from(format!("{} others", others.len()));
            line(f, &self.group(&name, others))?;
        }
        let share = |account: &&Means| account.mean.in_time_share();
        let callers = accounts.iter().filter(|account| account.mean.callers > 0.0);
        if let Some(least) = callers.min_by(|a, b| share(a).total_cmp(&share(b))) {
            writeln!(
                f,
                "answered in time: {:.3} of all, {:.3} of {}, the account served least",
                self.all().mean.in_time_share(),
                share(&least),
                least.mean.name
            )?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, means: &Means) -> fmt::Result {
    let Means { mean, value_range } = means;
    writeln!(
        f,
        "{:18} {:8.0} {:8.0} {:7.0} {:8.0} {:8.0} {:7.0}   {:.3} ({:.3} to {:.3})",
        mean.name.as_str(),
        mean.callers,
        mean.in_time,
        mean.late,
        mean.refused,
        mean.retry_refusals,
        mean.failed,
        mean.value_share(),
        value_range.0,
        value_range.1
    )
}
