//! The boot record of a VM in the platform's storage: the state that a boot saves for its
//! successor, and whether a boot that was paused is still the latest.

use crate::local;
use crate::node::Node;
use crate::recovery;
use crate::watching::{back_off, MIN_PAUSE_MS};
use errors::{Error, Result, Step};
use keys::{KeyHash, KEY_RETENTION_US};
use names::{Moment, Name};
use platform::WriteOutcome;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::rc::Rc;

/// Boot record of a VM, stored in the platform so that a boot learns which idempotency keys its
/// predecessor knew.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootRecord {
    /// The latest boot.
    pub boot: u64,
    /// Whether it ended by a planned stop.
    pub stopped: bool,
    /// Whether it knew the keys of its own predecessor.
    pub known: bool,
    /// Keys that had been used within the key window when it stopped.
    pub keys: Vec<KeyHash>,
}

/// Reads the keys that the predecessor of this boot saved, and records this boot. Until then, a key
/// without a record may have been used.
pub async fn run(node: Rc<Node>) {
    let started = node.now();
    let mut pause = MIN_PAUSE_MS;
    suspend_grants(&node);
    loop {
        match record_boot(&node).await {
            Ok(true) => return,
            Ok(false) => {
                tracing::warn!("the predecessor did not stop as planned; its keys are unknown");
                node.unclean_until.set(started + KEY_RETENTION_US);
                reset_uncertainty(&node);
                recovery::run(node).await;
                return;
            }
            Err(error) => tracing::debug!(%error, "writing the boot record failed"),
        }
        pause = back_off(pause).await;
    }
}

/// Saves the keys of this boot for its successor. Part of a planned stop.
pub async fn save_keys(node: &Rc<Node>) -> Result<()> {
    let key = boot_key(&node.cfg.vm);
    let current = node.platform.read(&key).await?;
    let version = current.map(|object| object.version);
    let uncertain = node.claims.borrow().is_uncertain(node.now());
    if uncertain {
        let cause = "the keys of this boot's predecessor are unknown";
        return Err(Error::new(Step::Platform, &key, cause));
    }
    let record = BootRecord {
        boot: node.boot.0,
        stopped: true,
        known: true,
        keys: used_keys(node),
    };
    match node.platform.write(&key, version, to_json(&record)).await? {
        WriteOutcome::Written => Ok(()),
        WriteOutcome::Conflict => Err(Error::new(
            Step::Platform,
            &key,
            "another boot has changed the boot record",
        )),
    }
}

/// Grants no keys from now on: another node that claims one is told that it may have been used.
pub fn suspend_grants(node: &Rc<Node>) {
    node.claims
        .borrow_mut()
        .set_uncertain_until(Moment(u64::MAX));
}

/// All keys that this boot coordinated, granted or ran within the key window.
pub fn used_keys(node: &Rc<Node>) -> Vec<KeyHash> {
    let keys = node.keys.borrow();
    let claims = node.claims.borrow();
    let used: HashSet<KeyHash> = keys.known_keys().chain(claims.known_keys()).collect();
    used.into_iter().collect()
}

/// Writes the record of this boot. Returns whether the predecessor's keys are known.
async fn record_boot(node: &Rc<Node>) -> Result<bool> {
    let key = boot_key(&node.cfg.vm);
    let before = node.platform.read(&key).await?;
    let (version, record) = match before {
        Some(object) => {
            let predecessor: BootRecord = serde_json::from_slice(&object.value)
                .map_err(|error| Error::new(Step::Platform, &key, error))?;
            if predecessor.boot == node.boot.0 {
                return Ok(adopt_record(node, predecessor));
            }
            (Some(object.version), successor_record(node, predecessor))
        }
        None => (None, first_record(node)),
    };
    let written = node.platform.write(&key, version, to_json(&record)).await?;
    if written == WriteOutcome::Conflict {
        return Err(Error::new(
            Step::Platform,
            &key,
            "the boot record was changed between read and write",
        ));
    }
    Ok(adopt_record(node, record))
}

fn first_record(node: &Rc<Node>) -> BootRecord {
    BootRecord {
        boot: node.boot.0,
        stopped: false,
        known: true,
        keys: Vec::new(),
    }
}

fn successor_record(node: &Rc<Node>, predecessor: BootRecord) -> BootRecord {
    BootRecord {
        boot: node.boot.0,
        stopped: false,
        known: predecessor.stopped,
        keys: predecessor.keys,
    }
}

/// Adopts the predecessor's keys from the record of this boot. Returns whether they are known.
fn adopt_record(node: &Rc<Node>, record: BootRecord) -> bool {
    let now = node.now();
    node.keys.borrow_mut().adopt_keys(now, &record.keys);
    node.claims.borrow_mut().adopt_keys(now, &record.keys);
    if record.known {
        reset_uncertainty(node);
    }
    record.known
}

/// Handles a pause of the process: keys are uncertain until the boot record has been checked.
pub fn on_pause(node: &Rc<Node>) {
    if node.checking_pause.replace(true) {
        return;
    }
    tracing::warn!("the process was paused");
    suspend_grants(node);
    local::spawn(run_after_pause(node.clone()));
}

/// Called once this boot is known to be the latest and has adopted all keys that it can learn.
/// Keys remain uncertain only until the time at which the predecessor's unknown keys expire.
pub fn reset_uncertainty(node: &Rc<Node>) {
    let mut claims = node.claims.borrow_mut();
    claims.clear_uncertainty();
    claims.set_uncertain_until(node.unclean_until.get());
}

/// After a pause this boot may have been replaced: until the platform confirms that it was not, a
/// key without a record may have been used.
pub async fn run_after_pause(node: Rc<Node>) {
    let key = boot_key(&node.cfg.vm);
    let mut pause = MIN_PAUSE_MS;
    loop {
        match node.platform.read(&key).await {
            Ok(Some(object)) => {
                let record = serde_json::from_slice::<BootRecord>(&object.value);
                if record.is_ok_and(|record| record.boot == node.boot.0) {
                    reset_uncertainty(&node);
                    node.checking_pause.set(false);
                    tracing::info!("still the latest boot after a pause");
                } else {
                    tracing::warn!("replaced by another boot during a pause");
                }
                return;
            }
            Ok(None) => return,
            Err(error) => tracing::debug!(%error, "reading the boot record failed"),
        }
        pause = back_off(pause).await;
    }
}

fn boot_key(vm: &Name) -> String {
    format!("drumwheel/boots/{vm}")
}

fn to_json(record: &BootRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record always serialises")
}
