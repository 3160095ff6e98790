//! What became of the callers of one play, by class and by account.

use crate::caller::{Caller, Cost, End};
use crate::site::Site;
use crate::world::RefusedBesideFree;
use names::{Moment, Name};
use std::ops::Range;

/// The callers of one class or account.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the class or account.
    pub name: Name,
    /// Callers that came.
    pub asked: f64,
    /// Answered within the objective, counted from their first try.
    pub in_time: f64,
    /// Answered later, before their deadline.
    pub late: f64,
    /// Told at the end that the request was not run.
    pub refused: f64,
    /// Refusals of tries after the first.
    pub refused_again: f64,
    /// Without an answer for another reason.
    pub failed: f64,
    /// Worth of the answers.
    pub earned: f64,
    /// Worth of answers in time to all that came.
    pub owed: f64,
}

/// What became of all callers of one play.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// By class.
    pub classes: Vec<Row>,
    /// By account.
    pub accounts: Vec<Row>,
    /// Runs that upstreams began for them.
    pub starts: usize,
    /// Runs of a request that began while another run of it was at work.
    pub second_starts: usize,
    /// Offers made for them.
    pub offers: usize,
    /// Share of the time of slots that was spent on answers that came late.
    pub late_slot_share: f64,
    /// Refusals beside a free slot.
    pub refused_beside_free: RefusedBesideFree,
}

impl Row {
    fn new(name: &Name) -> Row {
        Row {
            name: name.clone(),
            asked: 0.0,
            in_time: 0.0,
            late: 0.0,
            refused: 0.0,
            refused_again: 0.0,
            failed: 0.0,
            earned: 0.0,
            owed: 0.0,
        }
    }

    /// Part of the worth that was earned.
    pub fn value(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }

    /// Part of the callers that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time / self.asked.max(1.0)
    }

    /// The sum of rows, under a name.
    pub fn sum<'a>(name: &Name, rows: impl Iterator<Item = &'a Row>) -> Row {
        let mut sum = Row::new(name);
        for row in rows {
            sum.asked += row.asked;
            sum.in_time += row.in_time;
            sum.late += row.late;
            sum.refused += row.refused;
            sum.refused_again += row.refused_again;
            sum.failed += row.failed;
            sum.earned += row.earned;
            sum.owed += row.owed;
        }
        sum
    }

    /// The same with each number divided by `parts`.
    pub fn divided(mut self, parts: f64) -> Row {
        for number in [
            &mut self.asked,
            &mut self.in_time,
            &mut self.late,
            &mut self.refused,
            &mut self.refused_again,
            &mut self.failed,
            &mut self.earned,
            &mut self.owed,
        ] {
            *number /= parts;
        }
        self
    }

    fn take(&mut self, caller: &Caller, objective_us: u64, worth: (f64, f64)) {
        self.asked += 1.0;
        self.owed += worth.0;
        self.refused_again += f64::from(caller.refused_again);
        match caller.end {
            Some(End::Answered(took_us)) if took_us <= objective_us => {
                self.in_time += 1.0;
                self.earned += worth.0;
            }
            Some(End::Answered(_)) => {
                self.late += 1.0;
                self.earned += worth.1;
            }
            Some(End::Refused) => self.refused += 1.0,
            Some(End::Failed) | None => self.failed += 1.0,
        }
    }
}

impl Tally {
    pub(crate) fn of(
        site: &Site,
        callers: &[Caller],
        window: Range<Moment>,
        refused_beside_free: RefusedBesideFree,
    ) -> Tally {
        let mut classes: Vec<Row> = site
            .classes
            .iter()
            .map(|class| Row::new(&class.name))
            .collect();
        let mut accounts: Vec<Row> = site
            .accounts
            .iter()
            .map(|one| Row::new(&one.name))
            .collect();
        let mut cost = Cost::default();
        let mut late_us = 0;
        let counted = |caller: &&Caller| window.contains(&caller.arrival.at);
        for caller in callers.iter().filter(counted) {
            let class = &site.classes[caller.arrival.class];
            classes[caller.arrival.class].take(caller, class.objective_us, class.worth);
            if let Some(account) = caller.arrival.account {
                accounts[account].take(caller, class.objective_us, class.worth);
            }
            cost.offers += caller.cost.offers;
            cost.starts += caller.cost.starts;
            cost.second_starts += caller.cost.second_starts;
            cost.slot_us += caller.cost.slot_us;
            if matches!(caller.end, Some(End::Answered(took_us)) if took_us > class.objective_us) {
                late_us += caller.cost.slot_us;
            }
        }
        classes.retain(|row| row.asked > 0.0);
        Tally {
            classes,
            accounts,
            starts: cost.starts,
            second_starts: cost.second_starts,
            offers: cost.offers,
            late_slot_share: late_us as f64 / cost.slot_us.max(1) as f64,
            refused_beside_free,
        }
    }

    /// All callers together.
    pub fn all(&self) -> Row {
        Row::sum(&Name::from("all"), self.classes.iter())
    }
}
