//! Leases of a node's share of every limit to token holders.

use names::{Moment, Name, MILLISECOND, SECOND};

/// Duration of a lease, in microseconds; each [`LeaseGranter::renew`] starts it anew.
pub(crate) const LEASE_US: u64 = 1_500 * MILLISECOND;
/// Interval at which leases are renewed, in microseconds: one renewal may be lost.
pub const LEASE_RENEWAL_US: u64 = LEASE_US / 3;
/// Margin between the expiry of a lease and a lease of the same share to another holder, in
/// microseconds. It covers the transit time of the message, which the receiver doesn't know.
const TRANSIT_US: u64 = 100 * MILLISECOND;
/// A VM that has just joined owns no share for this time, in microseconds: the others must count it
/// first.
pub const JOIN_DELAY_US: u64 = 5 * SECOND;
/// Number of token holders that a node leases to, an equal share to each. If one fails, the other
/// still serves more than accounts typically request.
pub(crate) const TOKEN_HOLDERS: usize = 2;

/// A share of every limit, for a limited time.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// The token holder.
    pub to: Name,
    pub share: f64,
    pub duration_us: u64,
}

#[derive(Debug, Clone)]
struct GrantedLease {
    to: Name,
    expires: Moment,
}

/// Grants the leases of one node.
#[derive(Debug)]
pub struct LeaseGranter {
    owns_share_from: Moment,
    granted: [Option<GrantedLease>; TOKEN_HOLDERS],
}

impl LeaseGranter {
    /// A granter that owns a share from `owns_share_from` on.
    pub fn new(owns_share_from: Moment) -> LeaseGranter {
        LeaseGranter {
            owns_share_from,
            granted: [const { None }; TOKEN_HOLDERS],
        }
    }

    /// Makes the node own its share at once, because the others count its VM already.
    pub fn own_share_now(&mut self) {
        self.owns_share_from = Moment(0);
    }

    /// Drops the share when this node has announced the departure of its VM, because the others
    /// stop counting it. If the VM stays after all, it owns a share again after [`JOIN_DELAY_US`].
    pub fn on_departure(&mut self, now: Moment) {
        self.owns_share_from = now + JOIN_DELAY_US;
    }

    /// Renews the leases. `nodes`: the number of known nodes, including this one; `ranked`: the
    /// candidates for token holders, in an order that is the same on all nodes.
    pub fn renew(&mut self, now: Moment, nodes: usize, ranked: &[Name]) -> Vec<Lease> {
        let owns_share = now >= self.owns_share_from;
        let mut wanted = wanted_holders(ranked);
        let mut leases = Vec::new();
        let mut free_slots = Vec::new();
        for (slot, granted) in self.granted.iter().enumerate() {
            let kept = granted
                .as_ref()
                .and_then(|lease| wanted.iter().position(|vm| *vm == lease.to));
            match kept {
                Some(i) => leases.push((slot, wanted.remove(i))),
                None => free_slots.push(slot),
            }
        }
        let has_expired = |granted: &Option<GrantedLease>| {
            let expires = granted.as_ref().map(|lease| lease.expires + TRANSIT_US);
            expires.is_none_or(|expires| now >= expires)
        };
        for slot in free_slots {
            if has_expired(&self.granted[slot]) && !wanted.is_empty() {
                leases.push((slot, wanted.remove(0)));
            }
        }
        let leases: Vec<Lease> = leases
            .into_iter()
            .map(|(slot, to)| self.grant(now, slot, to, nodes))
            .collect();
        // Without a share there is no lease to send, but `holders_for` still needs the holders.
        if owns_share {
            merge_by_holder(leases)
        } else {
            Vec::new()
        }
    }

    /// The holders from which a token of an account is requested, in this order.
    pub fn holders_for(&self, account: &Name) -> Vec<Name> {
        let offset = account.as_str().bytes().map(usize::from).sum::<usize>();
        let mut holders: Vec<Name> = Vec::new();
        for i in 0..TOKEN_HOLDERS {
            let granted = &self.granted[(offset + i) % TOKEN_HOLDERS];
            let to = granted.as_ref().map(|lease| lease.to.clone());
            holders.extend(to.filter(|to| !holders.contains(to)));
        }
        holders
    }

    fn grant(&mut self, now: Moment, slot: usize, to: Name, nodes: usize) -> Lease {
        self.granted[slot] = Some(GrantedLease {
            to: to.clone(),
            expires: now + LEASE_US,
        });
        Lease {
            to,
            share: 1.0 / (nodes.max(1) * TOKEN_HOLDERS) as f64,
            duration_us: LEASE_US,
        }
    }
}

/// Merges leases to the same holder.
fn merge_by_holder(leases: Vec<Lease>) -> Vec<Lease> {
    let mut merged: Vec<Lease> = Vec::with_capacity(leases.len());
    for lease in leases {
        match merged.iter_mut().find(|other| other.to == lease.to) {
            Some(other) => other.share += lease.share,
            None => merged.push(lease),
        }
    }
    merged
}

/// The token holders of a node; the same one twice if there is only one candidate.
fn wanted_holders(ranked: &[Name]) -> Vec<Name> {
    let two = ranked.iter().cycle().take(TOKEN_HOLDERS);
    two.cloned().collect()
}
