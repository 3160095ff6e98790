//! Fair shares among client accounts: whose attempt starts next among those of one rank and level.
//!
//! The load that this answers: one account sends ten times its usual rate, and its attempts fill the queues of a service.
//! In order of deadlines alone, all other accounts are then served as rarely as that one.
//!
//! Accounts that hold fewer slots go first. Among those that hold equally many, accounts take turns by deficit round robin:
//! a turn is worth the usual service time of the shortest class, so that it lets one attempt start, and an account
//! whose attempt took more is passed over until its turns have paid for it. Attempts without an account form one
//! group; where no other is, their order is that of deadlines.

use crate::attempt::{Attempt, Queued};
use names::{AttemptId, Moment, Name};
use std::collections::{BTreeMap, HashMap};

/// The account of an attempt; none for the group of those without one.
pub(crate) type Account = Option<Name>;

/// A turn is worth at least so much, in microseconds: classes with shorter runs would only let the count of rounds grow.
const LEAST_TURN_US: f64 = 500.0;

/// Order within an account: earlier deadlines first.
type Due = (Moment, AttemptId);

/// What a start costs its account, by usual service times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Cost {
    /// The usual service time of the attempt's class, in microseconds; none where it is not known.
    pub(crate) usual_us: Option<f64>,
    /// That of the shortest class that is known: the worth of a turn.
    pub(crate) shortest_us: f64,
    /// That of the longest class that is known. A class of which no run has ended yet costs as much: its runs may be
    /// too long ever to end well.
    pub(crate) longest_us: f64,
}

impl Cost {
    fn turn_us(&self) -> f64 {
        self.shortest_us.max(LEAST_TURN_US)
    }

    fn start_us(&self) -> f64 {
        self.usual_us.unwrap_or(self.longest_us).max(self.turn_us())
    }
}

/// When an account has its next turn: the round, and its place among the accounts of that round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    round: u64,
    place: u64,
}

impl Turn {
    /// After all others.
    const LAST: Turn = Turn {
        round: u64::MAX,
        place: u64::MAX,
    };
}

/// One account in one lane.
#[derive(Debug)]
struct Line {
    attempts: BTreeMap<Due, Attempt<Queued>>,
    running: u32,
    turn: Turn,
    /// What its turns have paid beyond the costs of its starts, in microseconds.
    credit_us: f64,
}

/// How many attempts of each account run, or wait; accounts that have none are not kept.
#[derive(Debug, Default)]
pub(crate) struct Counts(HashMap<Account, u32>);

impl Counts {
    /// The account's attempts.
    pub(crate) fn of(&self, account: &Account) -> u32 {
        self.0.get(account).copied().unwrap_or(0)
    }

    /// Counts one more of the account.
    pub(crate) fn add(&mut self, account: &Account) {
        *self.0.entry(account.clone()).or_insert(0) += 1;
    }

    /// Counts one less of the account.
    pub(crate) fn sub(&mut self, account: &Account) {
        if let Some(count) = self.0.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(account);
            }
        }
    }

    /// Accounts that are counted, without the group of attempts that have none.
    pub(crate) fn accounts(&self) -> usize {
        self.0.len() - usize::from(self.0.contains_key(&None))
    }
}

/// The attempts of one rank and level, by account. An account's line lives while it has attempts queued or running here.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    lines: BTreeMap<Account, Line>,
    /// The round of the last start.
    round: u64,
    /// Places given so far.
    places: u64,
}

impl Lane {
    /// Whether no account has anything queued or running here.
    pub(crate) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Number of accounts with anything queued or running here.
    pub(crate) fn lines(&self) -> usize {
        self.lines.len()
    }

    /// The attempts that wait, account by account.
    pub(crate) fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt<Queued>> {
        self.lines.values().flat_map(|line| line.attempts.values())
    }

    /// Number of attempts that wait here.
    pub(crate) fn len(&self) -> usize {
        self.lines.values().map(|line| line.attempts.len()).sum()
    }

    /// Number of the account's attempts that wait here.
    pub(crate) fn waiting_of(&self, account: &Account) -> usize {
        let line = self.lines.get(account);
        line.map_or(0, |line| line.attempts.len())
    }

    /// Lets an attempt wait.
    pub(crate) fn put(&mut self, attempt: Attempt<Queued>) {
        let due = due(&attempt);
        let line = self.line(attempt.account());
        line.attempts.insert(due, attempt);
    }

    /// Takes an attempt out. Its account keeps its turn until [`Lane::tidy`].
    pub(crate) fn take(&mut self, account: &Account, due: Due) -> Option<Attempt<Queued>> {
        self.lines.get_mut(account)?.attempts.remove(&due)
    }

    /// Takes out the first attempt in fair order that `fits`; it must be told by [`Lane::started`] next.
    pub(crate) fn take_first(
        &mut self,
        held: &Counts,
        fits: &impl Fn(&Attempt<Queued>) -> bool,
    ) -> Option<Attempt<Queued>> {
        let first = |line: &Line| Some(due(line.attempts.values().find(|it| fits(it))?));
        let (_, account, due) = self
            .lines
            .iter()
            .filter_map(|(account, line)| {
                Some(((held.of(account), line.turn), account, first(line)?))
            })
            .min_by_key(|(place, ..)| *place)?;
        let account = account.clone();
        self.lines.get_mut(&account)?.attempts.remove(&due)
    }

    /// Takes in that an attempt of the account has started.
    pub(crate) fn started(&mut self, account: &Account, cost: Cost) {
        let now = self.round;
        self.places += 1;
        let place = self.places;
        let line = self.line(account);
        line.running += 1;
        // An account that was passed over does not get the turns that it missed.
        let round = line.turn.round.max(now);
        let owed_us = cost.start_us() - line.credit_us;
        let turns = (owed_us / cost.turn_us()).ceil().max(1.0);
        line.credit_us = turns * cost.turn_us() - owed_us;
        line.turn = Turn {
            round: round + turns as u64,
            place,
        };
        self.round = round;
    }

    /// Takes in that a running attempt of the account has ended. Its account keeps its turn until [`Lane::tidy`].
    pub(crate) fn ended(&mut self, account: &Account) {
        if let Some(line) = self.lines.get_mut(account) {
            line.running -= 1;
        }
    }

    /// Number of other accounts' attempts here that start before the account's next one if slots come free while nothing
    /// ends: one turn of each at most where the account holds no slot and nothing of it waits here.
    pub(crate) fn others_ahead(&self, held: &Counts, account: &Account) -> usize {
        let own = self.lines.get(account);
        let waiting = own.map_or(0, |line| line.attempts.len());
        let level = held.of(account) as usize + waiting;
        // The costs of its own attempts that wait are not looked into: it is taken to stand last among equals.
        let turn = match own {
            None => self.newest(),
            Some(line) if waiting == 0 => line.turn,
            Some(_) => Turn::LAST,
        };
        let others = self.lines.iter().filter(|(other, _)| *other != account);
        others
            .map(|(other, line)| {
                let held = held.of(other) as usize;
                let is_next = held <= level && line.turn < turn;
                let ahead = level.saturating_sub(held) + usize::from(is_next);
                line.attempts.len().min(ahead)
            })
            .sum()
    }

    /// The turn of an account that comes anew: at the end of the present round.
    fn newest(&self) -> Turn {
        Turn {
            round: self.round,
            place: self.places + 1,
        }
    }

    /// The account's line, which begins here where there is none.
    fn line(&mut self, account: &Account) -> &mut Line {
        if !self.lines.contains_key(account) {
            let line = Line {
                attempts: BTreeMap::new(),
                running: 0,
                turn: self.newest(),
                credit_us: 0.0,
            };
            self.places += 1;
            self.lines.insert(account.clone(), line);
        }
        self.lines.get_mut(account).expect("the line is there")
    }

    /// Drops the account's line when nothing of it runs or waits here.
    pub(crate) fn tidy(&mut self, account: &Account) {
        let is_over = |line: &Line| line.attempts.is_empty() && line.running == 0;
        if self.lines.get(account).is_some_and(is_over) {
            self.lines.remove(account);
        }
    }
}

fn due(attempt: &Attempt<Queued>) -> Due {
    (attempt.deadline(), attempt.id())
}
