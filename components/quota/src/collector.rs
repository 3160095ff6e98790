//! Keeps the tokens of limited accounts for the shares that are leased to this node.

use crate::bounds::Bounds;
use crate::bucket::Bucket;
use crate::lender::LEASE_US;
use accounts::Limit;
use names::{Moment, Name, SECOND};
use std::collections::HashMap;

/// A restarted holder gets restart tokens for the shares leased to it within this time, in
/// microseconds. A node that restarts alone gets no lease within this time, since the previous
/// leases must expire first.
const RESTART_WINDOW_US: u64 = LEASE_US;
/// Maximum number of accounts for which tokens are kept.
const MAX_BUCKETS: usize = 100_000;

/// No token is available now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoToken {
    /// Time until one is available, in microseconds; `None` while no share is leased to this node.
    pub wait_us: Option<u64>,
}

/// A lease from another node or from this one.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    share: f64,
    expires: Moment,
}

/// The tokens of one node.
#[derive(Debug)]
pub struct TokenHolder {
    bounds: Bounds,
    /// By granting node.
    leases: HashMap<Name, HeldLease>,
    /// Sum of the leased shares.
    share: f64,
    /// The leased share integrated over time up to `advanced_to`, in seconds of the whole fleet's
    /// share.
    share_s: f64,
    advanced_to: Moment,
    /// Until when leases bring restart tokens.
    restart_until: Moment,
    /// Share of every limit for which restart tokens were granted.
    restart_share: f64,
    buckets: HashMap<Name, Bucket>,
}

impl TokenHolder {
    /// A holder without leases.
    pub fn new(bounds: Bounds) -> TokenHolder {
        TokenHolder {
            bounds,
            leases: HashMap::new(),
            share: 0.0,
            share_s: 0.0,
            advanced_to: Moment(0),
            restart_until: Moment(0),
            restart_share: 0.0,
            buckets: HashMap::new(),
        }
    }

    /// Records a restart of this node at `now`.
    pub fn restarted(&mut self, now: Moment) {
        self.restart_until = now + RESTART_WINDOW_US;
    }

    /// Adds a lease of `share` of every limit, in place of an earlier lease of the same granter.
    pub fn add_lease(&mut self, now: Moment, granter: &Name, share: f64, duration_us: u64) {
        self.advance(now);
        let lease = HeldLease {
            share: share.clamp(0.0, 1.0),
            expires: now + duration_us,
        };
        self.leases.insert(granter.clone(), lease);
        self.update_share();
        if now < self.restart_until {
            self.restart_share = self.restart_share.max(self.share);
        }
    }

    /// Takes a token for a request of an account.
    pub fn take(&mut self, now: Moment, account: &Name, limit: Limit) -> Result<(), NoToken> {
        self.advance(now);
        let (bounds, share_s, share) = (self.bounds, self.share_s, self.share);
        let restart_share = self.restart_share;
        let Some(bucket) = self.bucket(account, limit) else {
            return Err(NoToken { wait_us: None });
        };
        bucket.refill(bounds, share_s, share, restart_share);
        bucket.set_limit(limit);
        bucket.refill(bounds, share_s, share, restart_share);
        bucket.take(bounds).map_err(|needed_share_s| {
            let wait_us = needed_share_s / share * SECOND as f64;
            let wait_us = wait_us.is_finite().then_some(wait_us as u64);
            NoToken { wait_us }
        })
    }

    /// Takes back the token of a request that will never run.
    pub fn give_back(&mut self, now: Moment, account: &Name) {
        self.advance(now);
        let (bounds, share_s, share) = (self.bounds, self.share_s, self.share);
        let restart_share = self.restart_share;
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refill(bounds, share_s, share, restart_share);
            bucket.give_back();
            bucket.refill(bounds, share_s, share, restart_share);
        }
    }

    /// The share of every limit that is leased to this node now.
    pub fn share(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.share
    }

    fn bucket(&mut self, account: &Name, limit: Limit) -> Option<&mut Bucket> {
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(account) {
            return None;
        }
        let bucket = self.buckets.entry(account.clone());
        Some(bucket.or_insert_with(|| Bucket::new(limit)))
    }

    /// Advances to `now`; each lease counts until it expires.
    fn advance(&mut self, now: Moment) {
        loop {
            let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
            let next = expired.min_by_key(|(_, lease)| lease.expires);
            let Some((granter, expires)) =
                next.map(|(granter, lease)| (granter.clone(), lease.expires))
            else {
                break;
            };
            self.accrue_until(expires);
            self.leases.remove(&granter);
            self.update_share();
        }
        self.accrue_until(now);
    }

    fn accrue_until(&mut self, until: Moment) {
        self.share_s += self.share * until.since(self.advanced_to) as f64 / SECOND as f64;
        self.advanced_to = self.advanced_to.max(until);
    }

    /// Recomputes the leased share. Tokens beyond the capacity of a smaller share are dropped,
    /// because the share may be leased to another holder from now on.
    fn update_share(&mut self) {
        let before = self.share;
        self.share = self.leases.values().map(|lease| lease.share).sum();
        if self.share < before {
            for bucket in self.buckets.values_mut() {
                bucket.refill(self.bounds, self.share_s, self.share, self.restart_share);
            }
        }
    }
}
