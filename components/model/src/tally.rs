//! Results of one simulation by class and by account.

use crate::caller::{Caller, Cost, End};
use crate::site::Site;
use crate::world::AvoidableRefusals;
use names::{Moment, Name};
use std::ops::Range;

/// Results of one class or account.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the class or account.
    pub name: Name,
    /// Number of callers.
    pub callers: f64,
    /// Answered within the objective, counted from the first try.
    pub in_time: f64,
    /// Answered after the objective, before the deadline.
    pub late: f64,
    /// Refused at the last try: the request was not run.
    pub refused: f64,
    /// Refusals of tries after the first.
    pub retry_refusals: f64,
    /// Not answered for another reason.
    pub failed: f64,
    /// Value of the answers.
    pub earned_value: f64,
    /// Value if all callers were answered in time.
    pub max_value: f64,
}

/// Results of one simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// Results by class.
    pub classes: Vec<Row>,
    /// Results by account.
    pub accounts: Vec<Row>,
    /// Attempts started by upstreams.
    pub starts: usize,
    /// Attempts started while another attempt of the same request was running.
    pub hedged_starts: usize,
    /// Offers made.
    pub offers: usize,
    /// Share of the occupied slot time that was spent on late answers.
    pub late_slot_share: f64,
    /// Busy refusals while a usable slot was free.
    pub avoidable_refusals: AvoidableRefusals,
}

impl Row {
    fn new(name: &Name) -> Row {
        Row {
            name: name.clone(),
            callers: 0.0,
            in_time: 0.0,
            late: 0.0,
            refused: 0.0,
            retry_refusals: 0.0,
            failed: 0.0,
            earned_value: 0.0,
            max_value: 0.0,
        }
    }

    /// Earned share of the maximum value.
    pub fn value_share(&self) -> f64 {
        self.earned_value / self.max_value.max(f64::MIN_POSITIVE)
    }

    /// Share of the callers that were answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time / self.callers.max(1.0)
    }

    /// Sum of rows, under the given name.
    pub fn sum<'a>(name: &Name, rows: impl Iterator<Item = &'a Row>) -> Row {
        let mut sum = Row::new(name);
        for row in rows {
            sum.callers += row.callers;
            sum.in_time += row.in_time;
            sum.late += row.late;
            sum.refused += row.refused;
            sum.retry_refusals += row.retry_refusals;
            sum.failed += row.failed;
            sum.earned_value += row.earned_value;
            sum.max_value += row.max_value;
        }
        sum
    }

    /// Divides each figure by `divisor`.
    pub fn divided(mut self, divisor: f64) -> Row {
        for number in [
            &mut self.callers,
            &mut self.in_time,
            &mut self.late,
            &mut self.refused,
            &mut self.retry_refusals,
            &mut self.failed,
            &mut self.earned_value,
            &mut self.max_value,
        ] {
            *number /= divisor;
        }
        self
    }

    fn add(&mut self, caller: &Caller, objective_us: u64, value: (f64, f64)) {
        self.callers += 1.0;
        self.max_value += value.0;
        self.retry_refusals += f64::from(caller.retry_refusals);
        match caller.end {
            Some(End::Answered(took_us)) if took_us <= objective_us => {
                self.in_time += 1.0;
                self.earned_value += value.0;
            }
            Some(End::Answered(_)) => {
                self.late += 1.0;
                self.earned_value += value.1;
            }
            Some(End::Refused) => self.refused += 1.0,
            Some(End::Failed) | None => self.failed += 1.0,
        }
    }
}

impl Tally {
    pub(crate) fn from_callers(
        site: &Site,
        callers: &[Caller],
        window: Range<Moment>,
        avoidable_refusals: AvoidableRefusals,
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
            classes[caller.arrival.class].add(caller, class.objective_us, class.value);
            if let Some(account) = caller.arrival.account {
                accounts[account].add(caller, class.objective_us, class.value);
            }
            cost.offers += caller.cost.offers;
            cost.starts += caller.cost.starts;
            cost.hedged_starts += caller.cost.hedged_starts;
            cost.slot_us += caller.cost.slot_us;
            if matches!(caller.end, Some(End::Answered(took_us)) if took_us > class.objective_us) {
                late_us += caller.cost.slot_us;
            }
        }
        classes.retain(|row| row.callers > 0.0);
        Tally {
            classes,
            accounts,
            starts: cost.starts,
            hedged_starts: cost.hedged_starts,
            offers: cost.offers,
            late_slot_share: late_us as f64 / cost.slot_us.max(1) as f64,
            avoidable_refusals,
        }
    }

    /// Sum of all classes.
    pub fn all(&self) -> Row {
        Row::sum(&Name::from("all"), self.classes.iter())
    }
}
