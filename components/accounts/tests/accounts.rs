//! Identification of client accounts by the key of a request.

use accounts::{
    identify, Account, Accounts, Credential, DenyReason, DuplicateKey, Freshness, KeyDigest,
};
use names::Name;
use proptest::prelude::*;
use std::collections::BTreeMap;

const BOUND_US: u64 = 5_000_000;

fn account(name: &str) -> Account {
    Account {
        name: Name::from(name),
        priority: 1,
        limit: None,
    }
}

fn two_accounts() -> Accounts {
    let mut accounts = Accounts::default();
    for (name, key) in [("clinic", "key-of-clinic"), ("desk", "key-of-desk")] {
        let account = accounts.add(account(name));
        let assigned = accounts.assign_key(KeyDigest::of(key.as_bytes()), &account);
        assigned.expect("distinct keys");
    }
    accounts
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn unbounded() -> Freshness {
    Freshness {
        age_us: None,
        max_age_us: None,
    }
}

fn bounded(age_us: Option<u64>) -> Freshness {
    Freshness {
        age_us,
        max_age_us: Some(BOUND_US),
    }
}

fn account_name(
    accounts: &Accounts,
    credential: Credential,
    is_open: bool,
) -> Result<Option<String>, DenyReason> {
    let found = identify(accounts, credential, is_open, unbounded())?;
    Ok(found.map(|account| account.name.to_string()))
}

#[test]
fn a_key_identifies_its_account_and_no_other() {
    let accounts = two_accounts();
    let found = account_name(&accounts, key("key-of-desk"), false);
    assert_eq!(found, Ok(Some("desk".to_string())));
    for wrong in ["", "key-of-des", "key-of-desk ", "KEY-OF-DESK"] {
        assert_eq!(
            account_name(&accounts, key(wrong), false),
            Err(DenyReason::UnknownKey)
        );
    }
}

#[test]
fn an_unknown_key_is_denied_also_on_an_open_route() {
    let accounts = two_accounts();
    assert_eq!(
        account_name(&accounts, key("guess"), true),
        Err(DenyReason::UnknownKey)
    );
    assert_eq!(account_name(&accounts, Credential::Missing, true), Ok(None));
    assert_eq!(
        account_name(&accounts, Credential::Missing, false),
        Err(DenyReason::NoKey)
    );
}

#[test]
fn calls_inherit_the_account_of_their_request() {
    let accounts = two_accounts();
    let clinic = accounts.get("clinic").cloned();
    let inherited = account_name(&accounts, Credential::Inherited(clinic), false);
    assert_eq!(inherited, Ok(Some("clinic".to_string())));
    assert_eq!(
        account_name(&accounts, Credential::Inherited(None), false),
        Ok(None)
    );
}

#[test]
fn no_key_is_needed_without_accounts() {
    let empty = Accounts::default();
    assert_eq!(account_name(&empty, Credential::Missing, false), Ok(None));
    assert_eq!(account_name(&empty, key("any"), false), Ok(None));
}

#[test]
fn a_key_is_denied_while_the_declarations_are_too_old_to_rule_out_its_withdrawal() {
    let accounts = two_accounts();
    let outcome = |age_us| {
        let found = identify(&accounts, key("key-of-desk"), false, bounded(age_us));
        found.map(|account| account.is_some())
    };
    assert_eq!(outcome(Some(0)), Ok(true));
    assert_eq!(outcome(Some(BOUND_US - 1)), Ok(true));
    assert_eq!(outcome(Some(BOUND_US)), Err(DenyReason::StaleKeys));
    assert_eq!(outcome(None), Err(DenyReason::StaleKeys));
}

#[test]
fn a_key_is_assigned_to_one_account_at_most() {
    let mut accounts = two_accounts();
    let third = accounts.add(account("third"));
    let assigned = accounts.assign_key(KeyDigest::of(b"key-of-desk"), &third);
    let holder = Name::from("desk");
    assert_eq!(assigned, Err(DuplicateKey { holder }));
}

#[test]
fn digests_round_trip_as_text_and_are_redacted_in_debug_output() {
    let digest = KeyDigest::of(b"key-of-desk");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    for bad in [
        "",
        "00",
        &"g".repeat(32),
        &"0".repeat(33),
        "+0000000000000000000000000000000",
    ] {
        assert_eq!(bad.parse::<KeyDigest>(), Err(()), "{bad:?}");
    }
}

proptest! {
    /// Compares with a plain map from keys to names.
    #[test]
    fn the_table_agrees_with_a_map(
        assigned in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..6), 0..8_u8), 0..60),
        looked_up in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..6), 0..40),
    ) {
        let mut accounts = Accounts::default();
        let mut map = BTreeMap::new();
        for (key, holder) in assigned {
            let name = format!("account-{holder}");
            let account = match accounts.get(&name) {
                Some(account) => account.clone(),
                None => accounts.add(account(&name)),
            };
            let is_free = !map.contains_key(&key);
            prop_assert_eq!(accounts.assign_key(KeyDigest::of(&key), &account).is_ok(), is_free);
            map.entry(key).or_insert(name);
        }
        prop_assert_eq!(accounts.key_count(), map.len());
        for key in looked_up.iter().chain(map.keys()) {
            let holder = accounts.holder(&KeyDigest::of(key));
            let holder = holder.map(|account| account.name.to_string());
            prop_assert_eq!(holder.as_ref(), map.get(key));
        }
    }
}
