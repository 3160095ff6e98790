//! The record of a VM's boots in the platform: what a boot leaves to its successor, and whether a
//! boot that was paused is still the latest.

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

/// Record of a VM's boots, kept in the platform so that a successor knows what its predecessor
/// left behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootRecord {
    /// The last boot.
    pub boot: u64,
    /// Whether it ended by a planned stop.
    pub stopped: bool,
    /// Whether it knew the keys of its own predecessor.
    pub known: bool,
    /// Keys used within the key window when it stopped.
    pub keys: Vec<KeyHash>,
}

/// Finds out what the predecessor of this boot left behind, and records this boot. Until that is
/// done, a key without a record may have been used.
pub async fn run(node: Rc<Node>) {
    let started = node.now();
    let mut pause = MIN_PAUSE_MS;
    node.claims
        .borrow_mut()
        .set_uncertain_until(Moment(u64::MAX));
    loop {
        match claim(&node).await {
            Ok(true) => return,
            Ok(false) => {
                tracing::warn!("the predecessor was not stopped as planned; its keys are unknown");
                node.unclean_until.set(started + KEY_RETENTION_US);
                reset_uncertainty(&node);
                recovery::run(node).await;
                return;
            }
            Err(error) => tracing::debug!(%error, "the record of boots was not written"),
        }
        pause = back_off(pause).await;
    }
}

/// Leaves the keys of this boot for its successor. Part of a planned stop.
pub async fn save_keys(node: &Rc<Node>) -> Result<()> {
    let key = boot_key(&node.cfg.vm);
    let current = node.platform.read(&key).await?;
    let version = current.map(|object| object.version);
    let uncertain = node.claims.borrow().is_uncertain(node.now());
    if uncertain {
        let cause = "this boot itself does not know its predecessor's keys";
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
        WriteOutcome::Conflict => Err(Error::new(Step::Platform, &key, "another boot wrote it")),
    }
}

/// Every key that this boot coordinated, granted or ran within the key window.
pub fn used_keys(node: &Rc<Node>) -> Vec<KeyHash> {
    let keys = node.keys.borrow();
    let claims = node.claims.borrow();
    let used: HashSet<KeyHash> = keys.known_keys().chain(claims.known_keys()).collect();
    used.into_iter().collect()
}

/// Writes this boot's record. Returns whether the predecessor's keys are known.
async fn claim(node: &Rc<Node>) -> Result<bool> {
    let key = boot_key(&node.cfg.vm);
    let before = node.platform.read(&key).await?;
    let (version, record) = match before {
        Some(object) => {
            let predecessor: BootRecord = serde_json::from_slice(&object.value)
                .map_err(|error| Error::new(Step::Platform, &key, error))?;
            if predecessor.boot == node.boot.0 {
                return Ok(settle(node, predecessor));
            }
            (Some(object.version), successor(node, predecessor))
        }
        None => (None, first_record(node)),
    };
    let written = node.platform.write(&key, version, to_json(&record)).await?;
    if written == WriteOutcome::Conflict {
        return Err(Error::new(Step::Platform, &key, "written meanwhile"));
    }
    Ok(settle(node, record))
}

fn first_record(node: &Rc<Node>) -> BootRecord {
    BootRecord {
        boot: node.boot.0,
        stopped: false,
        known: true,
        keys: Vec::new(),
    }
}

fn successor(node: &Rc<Node>, predecessor: BootRecord) -> BootRecord {
    BootRecord {
        boot: node.boot.0,
        stopped: false,
        known: predecessor.stopped,
        keys: predecessor.keys,
    }
}

/// Takes in what the record of this boot says of its predecessor.
fn settle(node: &Rc<Node>, record: BootRecord) -> bool {
    let now = node.now();
    node.keys.borrow_mut().adopt_keys(now, &record.keys);
    node.claims.borrow_mut().adopt_keys(now, &record.keys);
    if record.known {
        reset_uncertainty(node);
    }
    record.known
}

/// Takes in that the process was paused.
pub fn on_pause(node: &Rc<Node>) {
    if node.checking_pause.replace(true) {
        return;
    }
    tracing::warn!("the process was paused");
    node.claims
        .borrow_mut()
        .set_uncertain_until(Moment(u64::MAX));
    local::spawn(run_after_pause(node.clone()));
}

/// This boot is the latest; it knows every key used since it can.
pub fn reset_uncertainty(node: &Rc<Node>) {
    let mut claims = node.claims.borrow_mut();
    claims.clear_uncertainty();
    claims.set_uncertain_until(node.unclean_until.get());
}

/// After a pause this boot may have been replaced: until the platform says that it was not, a key
/// without a record may have been used.
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
            Err(error) => tracing::debug!(%error, "the record of boots was not read"),
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
