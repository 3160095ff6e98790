//! To whom a node lends its part of every limit.

use names::{Moment, Name, MILLISECOND, SECOND};

/// How long a share is lent; it is lent anew at each step.
const LEASE_US: u64 = 1_500 * MILLISECOND;
/// Added to a lease before the share is lent elsewhere: the way of the message, which its receiver can't see.
const WAY_US: u64 = 100 * MILLISECOND;
/// A VM that has just joined owns no share for so long: the others must count it first.
pub const JOIN_DELAY_US: u64 = 5 * SECOND;
/// Collectors that a node lends to, an equal part to each: with one of them lost, the other still serves more than
/// what accounts usually ask.
pub(crate) const TOKEN_HOLDERS: usize = 2;

/// A part of every limit, for a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Who may use it.
    pub to: Name,
    /// The part.
    pub share: f64,
    /// For how long, in microseconds.
    pub duration_us: u64,
}

#[derive(Debug, Clone)]
struct Lent {
    to: Name,
    until: Moment,
}

/// The leases of one node.
#[derive(Debug)]
pub struct LeaseGranter {
    owns_from: Moment,
    lent: [Option<Lent>; TOKEN_HOLDERS],
}

impl LeaseGranter {
    /// A node that owns a share from `owns_from` on.
    pub fn new(owns_from: Moment) -> LeaseGranter {
        LeaseGranter {
            owns_from,
            lent: [const { None }; TOKEN_HOLDERS],
        }
    }

    /// The others have counted this VM for long, so that it owns a share at once.
    pub fn own_share_now(&mut self) {
        self.owns_from = Moment(0);
    }

    /// This VM is about to go: the others stop counting it. If it stays after all, it joins anew.
    pub fn on_departure(&mut self, now: Moment) {
        self.owns_from = now + JOIN_DELAY_US;
    }

    /// Lends for a further while. `nodes`: the nodes that are known, this one included; `ranked`: those that can be
    /// lent to, in an order on which all nodes agree.
    pub fn renew(&mut self, now: Moment, nodes: usize, ranked: &[Name]) -> Vec<Lease> {
        let owns = now >= self.owns_from;
        let mut wanted = wanted(ranked);
        let mut leases = Vec::new();
        let mut others = Vec::new();
        for (slot, lent) in self.lent.iter().enumerate() {
            let kept = lent
                .as_ref()
                .and_then(|lent| wanted.iter().position(|vm| *vm == lent.to));
            match kept {
                Some(i) => leases.push((slot, wanted.remove(i))),
                None => others.push(slot),
            }
        }
        let has_lapsed = |lent: &Option<Lent>| {
            let until = lent.as_ref().map(|lent| lent.until + WAY_US);
            until.is_none_or(|until| now >= until)
        };
        for slot in others {
            if has_lapsed(&self.lent[slot]) && !wanted.is_empty() {
                leases.push((slot, wanted.remove(0)));
            }
        }
        let leases: Vec<Lease> = leases
            .into_iter()
            .map(|(slot, to)| self.lend(now, slot, to, nodes))
            .collect();
        // One that owns nothing lends nothing, and still knows whom to ask.
        if owns {
            together(leases)
        } else {
            Vec::new()
        }
    }

    /// Whom to ask for a token of an account, first and next.
    pub fn holders_for(&self, account: &Name) -> Vec<Name> {
        let turn = account.as_str().bytes().map(usize::from).sum::<usize>();
        let mut asked: Vec<Name> = Vec::new();
        for i in 0..TOKEN_HOLDERS {
            let lent = &self.lent[(turn + i) % TOKEN_HOLDERS];
            let to = lent.as_ref().map(|lent| lent.to.clone());
            asked.extend(to.filter(|to| !asked.contains(to)));
        }
        asked
    }

    fn lend(&mut self, now: Moment, slot: usize, to: Name, nodes: usize) -> Lease {
        self.lent[slot] = Some(Lent {
            to: to.clone(),
            until: now + LEASE_US,
        });
        Lease {
            to,
            share: 1.0 / (nodes.max(1) * TOKEN_HOLDERS) as f64,
            duration_us: LEASE_US,
        }
    }
}

/// One lease to each collector.
fn together(leases: Vec<Lease>) -> Vec<Lease> {
    let mut together: Vec<Lease> = Vec::with_capacity(leases.len());
    for lease in leases {
        match together.iter_mut().find(|other| other.to == lease.to) {
            Some(other) => other.share += lease.share,
            None => together.push(lease),
        }
    }
    together
}

/// The collectors of a node; one stands for both where there is no other.
fn wanted(ranked: &[Name]) -> Vec<Name> {
    let two = ranked.iter().cycle().take(TOKEN_HOLDERS);
    two.cloned().collect()
}
