//! All client accounts of one revision.

use crate::digest::KeyDigest;
use names::Name;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Highest priority of an account.
pub const MAX_PRIORITY: u8 = 9;

/// What an account may ask of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests beyond that at once.
    pub burst: u32,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name, as upstreams are told.
    pub name: Name,
    /// A higher number is served first, up to [`MAX_PRIORITY`]; it goes before the route's.
    pub priority: u8,
    /// What it may ask; none: as much as it likes.
    pub limit: Option<Limit>,
}

/// A key of an account is held by another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuplicateKey {
    /// The other account.
    pub holder: Name,
}

/// The accounts by name, and who holds which key.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    by_name: BTreeMap<Name, Arc<Account>>,
    holders: HashMap<[u8; 8], Vec<(KeyDigest, Arc<Account>)>>,
}

impl Accounts {
    /// Adds an account without keys.
    pub fn add(&mut self, account: Account) -> Arc<Account> {
        let account = Arc::new(account);
        self.by_name.insert(account.name.clone(), account.clone());
        account
    }

    /// Gives a key to an account. A key has one holder at most.
    pub fn assign_key(
        &mut self,
        digest: KeyDigest,
        account: &Arc<Account>,
    ) -> Result<(), DuplicateKey> {
        if let Some(other) = self.holder(&digest) {
            let holder = other.name.clone();
            return Err(DuplicateKey { holder });
        }
        let bucket = self.holders.entry(digest.bucket()).or_default();
        bucket.push((digest, account.clone()));
        Ok(())
    }

    /// The account that holds a key.
    pub fn holder(&self, digest: &KeyDigest) -> Option<&Arc<Account>> {
        let bucket = self.holders.get(&digest.bucket())?;
        let found = bucket.iter().find(|(held, _)| held == digest);
        found.map(|(_, account)| account)
    }

    /// The account of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Whether there is none: then requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Number of keys that are held.
    pub fn key_count(&self) -> usize {
        self.holders.values().map(Vec::len).sum()
    }

    /// Whether any account is limited.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|account| account.limit.is_some())
    }
}
