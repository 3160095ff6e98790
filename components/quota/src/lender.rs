//! To whom a node lends its part of every limit.

use names::{Moment, Name, MILLISECOND, SECOND};

/// How long a share is lent; it is lent anew at each step.
const LEASE_US: u64 = 1_500 * MILLISECOND;
/// Added to a lease before the share is lent elsewhere: the way of the message, which its receiver can't see.
const WAY_US: u64 = 100 * MILLISECOND;
/// A VM that has just joined owns no share for so long: the others must count it first.
pub const JOIN_US: u64 = 5 * SECOND;
/// Collectors that a node lends to, an equal part to each: with one of them lost, the other still serves more than
/// what accounts usually ask.
pub(crate) const COLLECTORS: usize = 2;

/// A part of every limit, for a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Loan {
    /// Who may use it.
    pub to: Name,
    /// The part.
    pub part: f64,
    /// For how long, in microseconds.
    pub lasts_us: u64,
}

#[derive(Debug, Clone)]
struct Lent {
    to: Name,
    until: Moment,
}

/// The loans of one node.
#[derive(Debug)]
pub struct Lender {
    owns_from: Moment,
    lent: [Option<Lent>; COLLECTORS],
}

impl Lender {
    /// A node that owns a share from `owns_from` on.
    pub fn new(owns_from: Moment) -> Lender {
        Lender {
            owns_from,
            lent: [const { None }; COLLECTORS],
        }
    }

    /// The others have counted this VM for long, so that it owns a share at once.
    pub fn owns_at_once(&mut self) {
        self.owns_from = Moment(0);
    }

    /// This VM is about to go: the others stop counting it. If it stays after all, it joins anew.
    pub fn leaves(&mut self, now: Moment) {
        self.owns_from = now + JOIN_US;
    }

    /// Lends for a further while. `nodes`: the nodes that are known, this one included; `ranked`: those that can be
    /// lent to, in an order on which all nodes agree.
    pub fn step(&mut self, now: Moment, nodes: usize, ranked: &[Name]) -> Vec<Loan> {
        let owns = now >= self.owns_from;
        let mut wanted = wanted(ranked);
        let mut loans = Vec::new();
        let mut others = Vec::new();
        for (slot, lent) in self.lent.iter().enumerate() {
            let kept = lent
                .as_ref()
                .and_then(|lent| wanted.iter().position(|vm| *vm == lent.to));
            match kept {
                Some(i) => loans.push((slot, wanted.remove(i))),
                None => others.push(slot),
            }
        }
        let has_lapsed = |lent: &Option<Lent>| {
            let until = lent.as_ref().map(|lent| lent.until + WAY_US);
            until.is_none_or(|until| now >= until)
        };
        for slot in others {
            if has_lapsed(&self.lent[slot]) && !wanted.is_empty() {
                loans.push((slot, wanted.remove(0)));
            }
        }
        let loans: Vec<Loan> = loans
            .into_iter()
            .map(|(slot, to)| self.lend(now, slot, to, nodes))
            .collect();
        // One that owns nothing lends nothing, and still knows whom to ask.
        if owns {
            together(loans)
        } else {
            Vec::new()
        }
    }

    /// Whom to ask for a token of an account, first and next.
    pub fn asked(&self, account: &Name) -> Vec<Name> {
        let turn = account.as_str().bytes().map(usize::from).sum::<usize>();
        let mut asked: Vec<Name> = Vec::new();
        for i in 0..COLLECTORS {
            let lent = &self.lent[(turn + i) % COLLECTORS];
            let to = lent.as_ref().map(|lent| lent.to.clone());
            asked.extend(to.filter(|to| !asked.contains(to)));
        }
        asked
    }

    fn lend(&mut self, now: Moment, slot: usize, to: Name, nodes: usize) -> Loan {
        self.lent[slot] = Some(Lent {
            to: to.clone(),
            until: now + LEASE_US,
        });
        Loan {
            to,
            part: 1.0 / (nodes.max(1) * COLLECTORS) as f64,
            lasts_us: LEASE_US,
        }
    }
}

/// One loan to each collector.
fn together(loans: Vec<Loan>) -> Vec<Loan> {
    let mut together: Vec<Loan> = Vec::with_capacity(loans.len());
    for loan in loans {
        match together.iter_mut().find(|other| other.to == loan.to) {
            Some(other) => other.part += loan.part,
            None => together.push(loan),
        }
    }
    together
}

/// The collectors of a node; one stands for both where there is no other.
fn wanted(ranked: &[Name]) -> Vec<Name> {
    let two = ranked.iter().cycle().take(COLLECTORS);
    two.cloned().collect()
}
