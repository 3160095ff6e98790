//! This node's record in the store, and the other nodes' records there.
//!
//! Nodes find one another through the store. The records there need not be up to date, since nodes
//! announce changes to one another. A record is written when its address differs from the stored
//! one, and some time after another incarnation of the upstream became current, so that a node
//! which restarts together with all others finds its upstream without waiting for a registration.

use super::{departures, health, offer, operator_drain, peers, Registration, Source};
use crate::containment;
use crate::local;
use crate::node::Node;
use crate::store;
use crate::store::platform_call;
use crate::watching::{back_off, set_reachable, MIN_PAUSE_MS};
use async_std::future::timeout;
use async_std::task;
use audit::Purpose;
use errors::{Error, Result, Step};
use platform::{Consistency, PutOutcome, StoredObject};
use quarantine::Fingerprint;
use rand::Rng;
use registry::{Incarnation, Instance, Record, State, StoredRecord};
use std::rc::Rc;
use std::time::Duration;

/// Number of checks for the first registration of the upstream before the record is written without
/// one, and the pause between them. Together they last longer than the interval of registrations,
/// and at the first start of the fleet longer than upstreams take to start and register. Otherwise
/// nodes write twice.
const UPSTREAM_CHECKS: u32 = 40;
const FIRST_START_CHECKS: u32 = 160;
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);
/// Minimum delay of the write after a change of the upstream, in milliseconds; the delay is random,
/// up to twice this. An upstream that ends soon after its start is thus never written.
const MIN_WRITE_DELAY_MS: u64 = 10_000;
/// Maximum further reads of the records by a node that has found no other. Of nodes that start
/// together, those that read last find the others and announce themselves to them.
const ISOLATED_READS: u32 = 4;
/// Pause before the first further read; it doubles each time.
const ISOLATED_PAUSE: Duration = Duration::from_secs(1);

/// What is known of this node's record in the store.
#[derive(Debug, Default)]
pub(super) struct StoreContent {
    revision: Option<u64>,
    peers: String,
    upstream: Option<Incarnation>,
    departed: Vec<Incarnation>,
    drained_by_operator: bool,
    quarantined: Vec<Fingerprint>,
}

/// Reads the other nodes' records and maintains this node's record, for as long as the node runs.
pub async fn run(node: Rc<Node>, registration: Rc<Registration>) {
    if node.cfg.first_start {
        registration.predecessor.open();
    } else {
        // Reads first: if the stored record of a restarting node is still right, no write is
        // needed. A stale answer may lack a departure that the earlier boot has acknowledged.
        read_records(&node, &registration, Consistency::Latest).await;
    }
    wait_for_upstream(&node, &registration).await;
    if !has_stored_address(&registration) {
        write_until_done(&node, &registration).await;
    }
    if !knows_others(&registration) {
        // Of two nodes that start together, the one that reads last finds both records.
        read_records(&node, &registration, Consistency::MayLag).await;
    }
    read_while_isolated(&node, &registration).await;
    registration.request_write();
    while registration.write_requests.1.recv().await.is_ok() {
        if offer::is_due(&registration) {
            offer::run(&node, &registration).await;
            continue;
        }
        let after_ms = rand::rng().random_range(MIN_WRITE_DELAY_MS..=2 * MIN_WRITE_DELAY_MS);
        delay_write(&registration, Duration::from_millis(after_ms)).await;
        if offer::is_due(&registration) {
            continue;
        }
        let is_due = !has_stored_address(&registration)
            || has_unstored_upstream(&registration)
            || has_unstored_quarantine(&registration);
        if is_due {
            write_until_done(&node, &registration).await;
        }
    }
}

/// Delays a write, unless the quarantined requests differ from the stored ones: if all nodes lose
/// power now, these requests would crash further upstreams. A write is not delayed either when the
/// store has lost records.
async fn delay_write(registration: &Registration, pause: Duration) {
    let is_urgent = || has_unstored_quarantine(registration) || offer::is_due(registration);
    let until_urgent =
        async { while !is_urgent() && registration.write_requests.1.recv().await.is_ok() {} };
    timeout(pause, until_urgent).await.ok();
    if offer::is_due(registration) {
        // The caller's next iteration offers the record.
        registration.request_write();
    }
}

/// Whether the quarantined requests differ from the stored ones.
fn has_unstored_quarantine(registration: &Registration) -> bool {
    registration.fleet.borrow().own().quarantined != registration.stored.borrow().quarantined
}

/// Reads the requests that other nodes have quarantined from the store.
pub async fn read_quarantined(node: &Rc<Node>, registration: &Rc<Registration>) {
    if let Err(error) = apply_stored_records(node, registration, Consistency::Latest).await {
        tracing::info!(%error, "failed to read the quarantined requests from the store");
    }
}

/// Removes this node's record from the store, at the end of a planned stop after the upstream has
/// exited: the VM is removed too, and other nodes need not find it. A departed upstream may go on
/// running while its node restarts, and the record then has to keep its departure.
pub async fn withdraw(node: &Rc<Node>, registration: &Registration, limit: Duration) {
    let is_gone = |registration: &Registration| {
        let local = registration.local.borrow();
        local
            .current()
            .is_none_or(|upstream| upstream.state == State::Gone)
    };
    let has_quarantined = !registration.fleet.borrow().own().quarantined.is_empty();
    if has_quarantined || !is_gone(registration) {
        // A record that names quarantined requests stays, for nodes that start later.
        return;
    }
    let remove = async {
        if health::accepts_connections(node).await {
            tracing::info!("this node's record stays: something serves at the upstream's address");
            return Ok(());
        }
        let kind = registration.adapter.record_kind();
        let store = registration.adapter.store();
        let remove = store.remove(kind, node.cfg.vm.as_str());
        platform_call(node, Purpose::OwnRecord, remove).await?;
        tracing::info!("this node's record was removed");
        Ok(())
    };
    match timeout(limit, remove).await {
        Ok(Ok(())) => {}
        Ok(Err::<(), Error>(error)) => tracing::info!(%error, "this node's record was not removed"),
        Err(_) => tracing::info!("this node's record was not removed in time"),
    }
}

/// Waits for the upstream for a limited time, so that a single write includes it.
async fn wait_for_upstream(node: &Node, registration: &Registration) {
    let checks = if node.cfg.first_start {
        FIRST_START_CHECKS
    } else {
        UPSTREAM_CHECKS
    };
    for _ in 0..checks {
        if registration.local.borrow().current().is_some() {
            return;
        }
        task::sleep(UPSTREAM_PAUSE).await;
    }
}

/// Reads the other nodes' records until the store has answered or another node has sent what this
/// node needs of them.
async fn read_records(node: &Rc<Node>, registration: &Rc<Registration>, consistency: Consistency) {
    let mut pause = MIN_PAUSE_MS;
    while let Err(error) = apply_stored_records(node, registration, consistency).await {
        set_reachable(node, false);
        tracing::info!(%error, "failed to read the records from the store");
        pause = back_off(pause).await;
        let has_others = knows_others(registration);
        registration.has_read_records.set(has_others);
        if has_others && registration.predecessor.is_open() {
            break;
        }
    }
    registration
        .has_read_records
        .set(knows_others(registration));
}

/// Reads again, a few times, while no other node is known: a stale answer may name no other node.
async fn read_while_isolated(node: &Rc<Node>, registration: &Rc<Registration>) {
    let mut pause = ISOLATED_PAUSE;
    for _ in 0..ISOLATED_READS {
        if knows_others(registration) {
            break;
        }
        task::sleep(pause).await;
        pause *= 2;
        read_records(node, registration, Consistency::MayLag).await;
    }
    registration.has_read_records.set(true);
}

fn knows_others(registration: &Registration) -> bool {
    registration.fleet.borrow().len() > 1
}

/// Reads and merges all records in the store.
async fn apply_stored_records(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    consistency: Consistency,
) -> Result<()> {
    let kind = registration.adapter.record_kind();
    let list = registration.adapter.store().list(kind, consistency);
    let listing = platform_call(node, Purpose::Fleet, list).await?;
    audit::records_listed(listing.objects.len(), listing.at);
    for object in &listing.objects {
        let found = match decode(object) {
            Ok(found) => found,
            Err(error) => {
                audit::object_unreadable(object, &error);
                continue;
            }
        };
        // Of its own boot, this node knows from its writes what the store holds.
        if object.name == node.cfg.vm && found.record.boot != node.boot {
            let mut stored = registration.stored.borrow_mut();
            if stored.revision.is_none_or(|known| known < object.revision) {
                *stored = StoreContent::new(object.revision, &found);
            }
            drop(stored);
            adopt_predecessor(node, registration, &found);
            node.quotas.restarted();
        }
        peers::on_record(node, registration, found.record, Source::Store);
    }
    if consistency == Consistency::Latest {
        registration.predecessor.open();
    }
    node.fleet_changed();
    Ok(())
}

/// Whether the stored record has this node's present address.
fn has_stored_address(registration: &Registration) -> bool {
    registration.stored.borrow().peers == registration.fleet.borrow().own().peers
}

/// Whether the upstream is ready and its incarnation differs from the stored one.
fn has_unstored_upstream(registration: &Registration) -> bool {
    let fleet = registration.fleet.borrow();
    let stored = registration.stored.borrow();
    let upstream = fleet.own().upstream.as_ref();
    let ready = upstream.filter(|upstream| upstream.state == State::Ready);
    ready.is_some_and(|upstream| stored.upstream.as_ref() != Some(&upstream.incarnation()))
}

/// Writes this node's record whatever the store holds, and retries until it is accepted.
pub(super) async fn rewrite(node: &Rc<Node>, registration: &Rc<Registration>) {
    registration.stored.borrow_mut().revision = None;
    write_until_done(node, registration).await;
}

/// Writes this node's record, and retries until it is accepted.
async fn write_until_done(node: &Rc<Node>, registration: &Rc<Registration>) {
    write_if_due(node, registration, |_| true).await;
}

/// Writes this node's record if `is_due` says so once no other write is in progress, and retries
/// until it is accepted.
pub(super) async fn write_if_due(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    is_due: impl Fn(&StoreContent) -> bool,
) {
    let mut pause = MIN_PAUSE_MS;
    loop {
        let writing = registration.writing.lock().await;
        if !is_due(&registration.stored.borrow()) {
            return;
        }
        let written = write(node, registration).await;
        drop(writing);
        set_reachable(node, written.is_ok());
        let Err(error) = written else {
            return;
        };
        tracing::info!(%error, "failed to write this node's record to the store");
        pause = back_off(pause).await;
    }
}

async fn write(node: &Rc<Node>, registration: &Rc<Registration>) -> Result<()> {
    let kind = registration.adapter.record_kind();
    let store = registration.adapter.store();
    loop {
        let own = StoredRecord {
            record: registration.fleet.borrow().own().clone(),
            departed: registration.local.borrow().departed(),
            drained_by_operator: node.drained_by_operator.get(),
        };
        let vm = own.record.vm.as_str();
        let value =
            serde_json::to_vec(&own).map_err(|error| Error::new(Step::Platform, vm, error))?;
        let revision = registration.stored.borrow().revision;
        let put = store.put(kind, vm, revision, &value);
        let put = platform_call(node, Purpose::OwnRecord, put).await;
        if put.is_err() {
            registration.eras.borrow_mut().write_unanswered(node.now());
        }
        match put? {
            PutOutcome::Written(at) => {
                *registration.stored.borrow_mut() = StoreContent::new(at.revision, &own);
                offer::on_stored(node, registration, at.era);
                return Ok(());
            }
            PutOutcome::Conflict(None) => registration.stored.borrow_mut().revision = None,
            PutOutcome::Conflict(Some(object)) => {
                registration.stored.borrow_mut().revision = Some(object.revision);
                match decode(&object) {
                    Ok(found) => {
                        *registration.stored.borrow_mut() =
                            StoreContent::new(object.revision, &found);
                        if found == own {
                            offer::on_stored(node, registration, store::known_era(node));
                            return Ok(());
                        }
                        adopt_predecessor(node, registration, &found);
                        if found.record.boot != own.record.boot {
                            take_over(node, registration, found.record);
                        }
                    }
                    // From another writer: it is overwritten.
                    Err(error) => audit::object_unreadable(&object, &error),
                }
            }
        }
    }
}

impl StoreContent {
    fn new(revision: u64, stored: &StoredRecord) -> StoreContent {
        let record = &stored.record;
        StoreContent {
            revision: Some(revision),
            peers: record.peers.clone(),
            upstream: record.upstream.as_ref().map(Instance::incarnation),
            departed: stored
                .all_departed()
                .map(|departed| departed.incarnation())
                .collect(),
            drained_by_operator: stored.drained_by_operator,
            quarantined: record.quarantined.clone(),
        }
    }

    /// Whether the store remembers that an incarnation accepts no more work.
    pub(super) fn has_departed(&self, incarnation: &Incarnation) -> bool {
        self.departed.iter().any(|known| known.matches(incarnation))
    }

    pub(super) fn is_drained_by_operator(&self) -> bool {
        self.drained_by_operator
    }

    /// After the store was restored from an older copy, it may have lost the departures.
    pub(super) fn forget_departed(&mut self) {
        self.departed.clear();
    }
}

/// Applies what an earlier boot of this node has stored and acknowledged.
fn adopt_predecessor(node: &Rc<Node>, registration: &Registration, found: &StoredRecord) {
    containment::adopt_predecessor_record(node, registration, &found.record);
    departures::restore(node, registration, &found.record, &found.departed);
    if found.record.boot != node.boot {
        operator_drain::restore(node, registration, found.drained_by_operator);
    }
}

/// Takes over from an earlier boot of this node.
fn take_over(node: &Rc<Node>, registration: &Rc<Registration>, earlier: Record) {
    let own = registration.fleet.borrow().own().version;
    if earlier.version >= own {
        let own = registration.fleet.borrow_mut().supersede(earlier.version);
        audit::own_record_changed(&own);
        peers::announce(node, registration, &own);
    }
    if let Some(upstream) = earlier.upstream {
        local::spawn(health::restore_upstream(
            node.clone(),
            registration.clone(),
            upstream,
        ));
    }
}

/// Decodes the record in an object, which must have the name of the record's VM.
pub(super) fn decode(object: &StoredObject) -> Result<StoredRecord> {
    let bad = |cause: String| Error::new(Step::Platform, &object.name, cause);
    let stored: StoredRecord =
        serde_json::from_slice(&object.value).map_err(|error| bad(error.to_string()))?;
    let record = &stored.record;
    if record.vm != object.name {
        return Err(bad(format!("the record is of the VM {}", record.vm)));
    }
    if !record.version.is_plausible() {
        return Err(bad(format!(
            "the version {}.{} is implausible",
            record.version.generation, record.version.change
        )));
    }
    Ok(stored)
}
