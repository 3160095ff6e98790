//! Check of client accounts.

use crate::model::Declarations;
use accounts::{Account, DuplicateKey, KeyDigest, Limit, MAX_PRIORITY};
use names::Name;
use sections::Reader;
use std::sync::Arc;

/// Maximum rate (requests per second) and burst (requests) of an account.
const MAX_REQUESTS: u64 = 1_000_000_000;
const KEYS: &str = "digests of keys, each the first 32 hexadecimal digits of the SHA-256";
/// Printed in place of a value that may contain a key.
const HIDDEN: &str = "(hidden)";

pub(crate) fn read(reader: &mut Reader, declarations: &mut Declarations) {
    for (section, name) in reader.sections_of_kind("account") {
        let account = read_account(reader, &section, &name);
        let account = declarations.accounts.add(account);
        read_keys(reader, declarations, &section, &account);
    }
}

fn read_account(reader: &mut Reader, section: &str, name: &str) -> Account {
    let max_priority = u64::from(MAX_PRIORITY);
    let priority = reader.number_or(section, "priority", 0..=max_priority, 0) as u8;
    let requests_per_s = reader.number_or(section, "requests_per_s", 0..=MAX_REQUESTS, 0) as u32;
    let burst = reader.number_or(section, "burst", 0..=MAX_REQUESTS, 0) as u32;
    let limit = Limit {
        requests_per_s,
        burst,
    };
    Account {
        name: Name::from(name),
        priority,
        limit: (requests_per_s > 0).then_some(limit),
    }
}

/// The list of keys may be empty, as after the withdrawal of an account's last key. No request can
/// use the account then.
fn read_keys(
    reader: &mut Reader,
    declarations: &mut Declarations,
    section: &str,
    account: &Arc<Account>,
) {
    let Some(text) = reader.text(section, "keys") else {
        reader.problem(section, "keys", "", &format!("missing; must be {KEYS}"));
        return;
    };
    for word in text.split_whitespace() {
        let Ok(digest) = word.parse::<KeyDigest>() else {
            // The word may be the key itself instead of its digest.
            reader.problem(section, "keys", HIDDEN, &format!("must be {KEYS}"));
            continue;
        };
        if let Err(DuplicateKey { holder }) = declarations.accounts.assign_key(digest, account) {
            let allowed = format!("a key is already assigned to account {holder}");
            reader.problem(section, "keys", HIDDEN, &allowed);
        }
    }
}
