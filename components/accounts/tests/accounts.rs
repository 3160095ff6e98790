//! Who asks, by the key that a request carries.

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

fn of_two() -> Accounts {
    let mut accounts = Accounts::default();
    for (name, key) in [("clinic", "key-of-clinic"), ("desk", "key-of-desk")] {
        let account = accounts.add(account(name));
        let given = accounts.assign_key(KeyDigest::of(key.as_bytes()), &account);
        given.expect("a key of its own");
    }
    accounts
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()))
}

fn believed() -> Freshness {
    Freshness {
        age_us: None,
        max_age_us: None,
    }
}

fn strict(age_us: Option<u64>) -> Freshness {
    Freshness {
        age_us,
        max_age_us: Some(BOUND_US),
    }
}

fn who(
    accounts: &Accounts,
    presented: Credential,
    is_open: bool,
) -> Result<Option<String>, DenyReason> {
    let found = identify(accounts, presented, is_open, believed())?;
    Ok(found.map(|account| account.name.to_string()))
}

#[test]
fn the_holder_of_a_key_is_found_and_nobody_else() {
    let accounts = of_two();
    let of_desk = who(&accounts, key("key-of-desk"), false);
    assert_eq!(of_desk, Ok(Some("desk".to_string())));
    for wrong in ["", "key-of-des", "key-of-desk ", "KEY-OF-DESK"] {
        assert_eq!(
            who(&accounts, key(wrong), false),
            Err(DenyReason::UnknownKey)
        );
    }
}

#[test]
fn a_key_that_nobody_holds_is_refused_on_an_open_route_too() {
    let accounts = of_two();
    assert_eq!(
        who(&accounts, key("guess"), true),
        Err(DenyReason::UnknownKey)
    );
    assert_eq!(who(&accounts, Credential::Missing, true), Ok(None));
    assert_eq!(
        who(&accounts, Credential::Missing, false),
        Err(DenyReason::NoKey)
    );
}

#[test]
fn calls_go_on_in_the_name_of_their_request() {
    let accounts = of_two();
    let clinic = accounts.get("clinic").cloned();
    let called = who(&accounts, Credential::Inherited(clinic), false);
    assert_eq!(called, Ok(Some("clinic".to_string())));
    assert_eq!(who(&accounts, Credential::Inherited(None), false), Ok(None));
}

#[test]
fn without_accounts_nobody_needs_a_key() {
    let none = Accounts::default();
    assert_eq!(who(&none, Credential::Missing, false), Ok(None));
    assert_eq!(who(&none, key("any"), false), Ok(None));
}

#[test]
fn a_key_is_refused_while_its_withdrawal_might_be_unknown() {
    let accounts = of_two();
    let asked = |age_us| {
        let found = identify(&accounts, key("key-of-desk"), false, strict(age_us));
        found.map(|account| account.is_some())
    };
    assert_eq!(asked(Some(0)), Ok(true));
    assert_eq!(asked(Some(BOUND_US - 1)), Ok(true));
    assert_eq!(asked(Some(BOUND_US)), Err(DenyReason::StaleKeys));
    assert_eq!(asked(None), Err(DenyReason::StaleKeys));
}

#[test]
fn a_key_has_one_holder() {
    let mut accounts = of_two();
    let third = accounts.add(account("third"));
    let given = accounts.assign_key(KeyDigest::of(b"key-of-desk"), &third);
    let holder = Name::from("desk");
    assert_eq!(given, Err(DuplicateKey { holder }));
}

#[test]
fn digests_are_read_back_and_shown_nowhere() {
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
    /// Against a plain map from keys to names.
    #[test]
    fn the_table_agrees_with_a_map(
        given in prop::collection::vec((prop::collection::vec(any::<u8>(), 0..6), 0..8_u8), 0..60),
        asked in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..6), 0..40),
    ) {
        let mut accounts = Accounts::default();
        let mut map = BTreeMap::new();
        for (key, holder) in given {
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
        for key in asked.iter().chain(map.keys()) {
            let holder = accounts.holder(&KeyDigest::of(key));
            let holder = holder.map(|account| account.name.to_string());
            prop_assert_eq!(holder.as_ref(), map.get(key));
        }
    }
}
