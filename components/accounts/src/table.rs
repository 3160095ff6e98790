//! The client accounts of one revision of the declarations.

use crate::digest::KeyDigest;
use names::Name;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Highest priority of an account.
pub const MAX_PRIORITY: u8 = 9;

/// Rate limit of an account, for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests that may exceed that rate at once.
    pub burst: u32,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name, as sent to upstreams.
    pub name: Name,
    /// Higher priorities are served first, up to [`MAX_PRIORITY`]; compared before the priority of
    /// the route.
    pub priority: u8,
    /// `None`: unlimited.
    pub limit: Option<Limit>,
}

/// A key is already assigned to another account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuplicateKey {
    /// The account that holds the key.
    pub holder: Name,
}

/// The accounts by name and by key.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    by_name: BTreeMap<Name, Arc<Account>>,
    /// Keys and their accounts, by [`KeyDigest::table_key`].
    holders: HashMap<[u8; 8], Vec<(KeyDigest, Arc<Account>)>>,
}

impl Accounts {
    /// Adds an account without keys.
    pub fn add(&mut self, account: Account) -> Arc<Account> {
        let account = Arc::new(account);
        self.by_name.insert(account.name.clone(), account.clone());
        account
    }

    /// Assigns a key to an account. A key belongs to at most one account.
    pub fn assign_key(
        &mut self,
        digest: KeyDigest,
        account: &Arc<Account>,
    ) -> Result<(), DuplicateKey> {
        if let Some(other) = self.holder(&digest) {
            let holder = other.name.clone();
            return Err(DuplicateKey { holder });
        }
        let bucket = self.holders.entry(digest.table_key()).or_default();
        bucket.push((digest, account.clone()));
        Ok(())
    }

    /// The account that holds a key.
    pub fn holder(&self, digest: &KeyDigest) -> Option<&Arc<Account>> {
        let bucket = self.holders.get(&digest.table_key())?;
        let found = bucket.iter().find(|(stored, _)| stored == digest);
        found.map(|(_, account)| account)
    }

    /// The account with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Whether there are no accounts; requests then need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Number of keys of all accounts.
    pub fn key_count(&self) -> usize {
        self.holders.values().map(Vec::len).sum()
    }

    /// Whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|account| account.limit.is_some())
    }
}
