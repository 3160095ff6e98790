//! Keeps the tokens of limited accounts for the shares that were lent to this node.

use crate::bounds::Bounds;
use crate::bucket::Bucket;
use accounts::Limit;
use names::{Moment, Name, MILLISECOND, SECOND};
use std::collections::HashMap;

/// A collector that has started again has a start's tokens of what is lent to it within this time, in microseconds. One
/// that started alone is lent nothing so soon: leases before must lapse first.
const STARTS_US: u64 = 1_500 * MILLISECOND;
/// Accounts for which tokens are kept at most.
const MOST_BUCKETS: usize = 100_000;

/// There is no token now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoToken {
    /// When there is one, in microseconds from now; none while this node holds no share.
    pub wait_us: Option<u64>,
}

/// A share that another node, or this one, has lent.
#[derive(Debug, Clone, Copy)]
struct Share {
    part: f64,
    until: Moment,
}

/// The tokens at one node.
#[derive(Debug)]
pub struct TokenHolder {
    bounds: Bounds,
    shares: HashMap<Name, Share>,
    /// Sum of the shares.
    part: f64,
    /// Seconds of the whole fleet's share that this node has held, up to `at`.
    held_s: f64,
    at: Moment,
    /// Until when what is lent to it brings a start's tokens.
    starts_until: Moment,
    /// The part of every limit for which it has had them.
    started: f64,
    buckets: HashMap<Name, Bucket>,
}

impl TokenHolder {
    /// A node to which nothing is lent.
    pub fn new(bounds: Bounds) -> TokenHolder {
        TokenHolder {
            bounds,
            shares: HashMap::new(),
            part: 0.0,
            held_s: 0.0,
            at: Moment(0),
            starts_until: Moment(0),
            started: 0.0,
            buckets: HashMap::new(),
        }
    }

    /// This node has started again at `now`.
    pub fn restarted(&mut self, now: Moment) {
        self.starts_until = now + STARTS_US;
    }

    /// `from` lends its `part` of every limit for `duration_us`, in place of what it lent before.
    pub fn add_lease(&mut self, now: Moment, from: &Name, part: f64, duration_us: u64) {
        self.advance(now);
        let share = Share {
            part: part.clamp(0.0, 1.0),
            until: now + duration_us,
        };
        self.shares.insert(from.clone(), share);
        self.shares_changed();
        if now < self.starts_until {
            self.started = self.started.max(self.part);
        }
    }

    /// Takes a token of an account.
    pub fn take(&mut self, now: Moment, account: &Name, limit: Limit) -> Result<(), NoToken> {
        self.advance(now);
        let (bounds, held_s, part) = (self.bounds, self.held_s, self.part);
        let started = self.started;
        let Some(bucket) = self.bucket(account, limit) else {
            return Err(NoToken { wait_us: None });
        };
        bucket.settle(bounds, held_s, part, started);
        bucket.set_limit(limit);
        bucket.settle(bounds, held_s, part, started);
        bucket.take(bounds).map_err(|share_s| {
            let wait_us = share_s / part * SECOND as f64;
            let wait_us = wait_us.is_finite().then_some(wait_us as u64);
            NoToken { wait_us }
        })
    }

    /// Takes a token back for a request that has not run and never will.
    pub fn give_back(&mut self, now: Moment, account: &Name) {
        self.advance(now);
        let (bounds, held_s, part) = (self.bounds, self.held_s, self.part);
        let started = self.started;
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.settle(bounds, held_s, part, started);
            bucket.give_back();
            bucket.settle(bounds, held_s, part, started);
        }
    }

    /// The part of every limit that is lent to this node now.
    pub fn share(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.part
    }

    fn bucket(&mut self, account: &Name, limit: Limit) -> Option<&mut Bucket> {
        if self.buckets.len() >= MOST_BUCKETS && !self.buckets.contains_key(account) {
            return None;
        }
        let bucket = self.buckets.entry(account.clone());
        Some(bucket.or_insert_with(|| Bucket::new(limit)))
    }

    /// Lets time pass; each share counts until its end.
    fn advance(&mut self, now: Moment) {
        loop {
            let ended = self.shares.iter().filter(|(_, share)| share.until <= now);
            let next = ended.min_by_key(|(_, share)| share.until);
            let Some((from, until)) = next.map(|(from, share)| (from.clone(), share.until)) else {
                break;
            };
            self.hold_up_to(until);
            self.shares.remove(&from);
            self.shares_changed();
        }
        self.hold_up_to(now);
    }

    fn hold_up_to(&mut self, until: Moment) {
        self.held_s += self.part * until.since(self.at) as f64 / SECOND as f64;
        self.at = self.at.max(until);
    }

    /// What goes beyond the shares that are left is lost: it may be held elsewhere from now on.
    fn shares_changed(&mut self) {
        let before = self.part;
        self.part = self.shares.values().map(|share| share.part).sum();
        if self.part < before {
            for bucket in self.buckets.values_mut() {
                bucket.settle(self.bounds, self.held_s, self.part, self.started);
            }
        }
    }
}
