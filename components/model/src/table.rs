//! A comparison as a table.

use crate::compare::{Comparison, Means, Played};
use names::Name;
use std::fmt;

/// Accounts that get a line of their own: those that asked most.
const OWN_LINES: usize = 4;

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds = self.played.first().map_or(0, |played| played.tallies.len());
        writeln!(f, "load {}, means of {seeds} seeds", self.load)?;
        for played in &self.played {
            writeln!(f)?;
            write!(f, "{played}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Played {
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
            self.mean(|tally| tally.second_starts as f64),
            self.mean(|tally| tally.offers as f64),
            self.mean(|tally| tally.late_slot_share),
        )?;
        writeln!(
            f,
            "refused beside a free slot: {:.1} on arrival, {:.1} out of the queue",
            self.mean(|tally| tally.refused_beside_free.offered as f64),
            self.mean(|tally| tally.refused_beside_free.queued as f64),
        )
    }
}

impl Played {
    fn account_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accounts = self.accounts();
        if accounts.is_empty() {
            return Ok(());
        }
        let asked = |index: &usize| accounts[*index].mean.asked;
        let mut order: Vec<usize> = (0..accounts.len()).collect();
        order.sort_by(|a, b| asked(b).total_cmp(&asked(a)));
        let (own, others) = order.split_at(OWN_LINES.min(order.len()));
        for index in own {
            line(f, &accounts[*index])?;
        }
        if !others.is_empty() {
            let name = Name::from(format!("{} others", others.len()));
            line(f, &self.group(&name, others))?;
        }
        let share = |account: &&Means| account.mean.in_time_share();
        let asked = accounts.iter().filter(|account| account.mean.asked > 0.0);
        if let Some(least) = asked.min_by(|a, b| share(a).total_cmp(&share(b))) {
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
    let Means { mean, value } = means;
    writeln!(
        f,
        "{:18} {:8.0} {:8.0} {:7.0} {:8.0} {:8.0} {:7.0}   {:.3} ({:.3} to {:.3})",
        mean.name.as_str(),
        mean.asked,
        mean.in_time,
        mean.late,
        mean.refused,
        mean.refused_again,
        mean.failed,
        mean.value(),
        value.0,
        value.1
    )
}
