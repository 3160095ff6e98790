//! This node's record in the store, and the records that the others left there.
//!
//! The store is where nodes find one another: what stands there need not be up to date, since nodes tell one
//! another what has changed. A record is written when it leads to another address than what stands there,
//! and some time after another run of the upstream was found, so that a node which restarts while all others
//! do finds its upstream without waiting to be told of it.

use super::{health, offer, peers, Registration, Source};
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
use registry::{Incarnation, Instance, Record, State};
use std::rc::Rc;
use std::time::Duration;

/// Looks for the first registration of the upstream before the record is written without one, and the
/// pause between them: together longer than the time between two registrations, and at the first start of
/// the fleet longer than upstreams take to start and to be heard. Without that nodes write twice.
const UPSTREAM_LOOKS: u32 = 40;
const FIRST_START_LOOKS: u32 = 160;
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);
/// A change of the upstream is written after this time, in milliseconds, drawn between it and its double:
/// what ends soon after its start is never written.
const WRITE_AFTER_MS: u64 = 10_000;
/// Further reads of the records by a node that has found no other: of nodes that start together, those that
/// read last find the others, and tell them.
const LONELY_READS: u32 = 4;
/// Pause before the first of them; it doubles.
const LONELY_PAUSE: Duration = Duration::from_secs(1);

/// What stands in the store of this node.
#[derive(Debug, Default)]
pub(super) struct Stands {
    revision: Option<u64>,
    peers: String,
    upstream: Option<Incarnation>,
    held: Vec<Fingerprint>,
}

/// Learns of the other nodes and keeps this node's record, for as long as the node runs.
pub async fn run(node: Rc<Node>, registration: Rc<Registration>) {
    let mut stands = Stands::default();
    if !node.cfg.first_start {
        // The others' records first: what stands there of a node that restarts need not be written again.
        learn(&node, &registration, &mut stands).await;
    }
    wait_for_upstream(&node, &registration).await;
    if !leads_here(&registration, &stands) {
        write_until_done(&node, &registration, &mut stands).await;
    }
    if !knows_others(&registration) {
        // Of two nodes that start together, the one that reads last finds both records.
        learn(&node, &registration, &mut stands).await;
    }
    learn_while_lonely(&node, &registration, &mut stands).await;
    registration.request_write();
    while registration.changed.1.recv().await.is_ok() {
        if offer::is_due(&registration) {
            offer::run(&node, &registration, &mut stands).await;
            continue;
        }
        let after_ms = rand::rng().random_range(WRITE_AFTER_MS..=2 * WRITE_AFTER_MS);
        rest_or_hold(&registration, &stands, Duration::from_millis(after_ms)).await;
        if offer::is_due(&registration) {
            continue;
        }
        let is_due = !leads_here(&registration, &stands)
            || names_another_run(&registration, &stands)
            || holds_others(&registration, &stands);
        if is_due {
            write_until_done(&node, &registration, &mut stands).await;
        }
    }
}

/// Lets time pass before a write, unless other requests are held than the store says: all nodes may lose power the
/// next moment, and would let them end further upstreams. The same holds when the store has lost records.
async fn rest_or_hold(registration: &Registration, stands: &Stands, pause: Duration) {
    let is_urgent = || holds_others(registration, stands) || offer::is_due(registration);
    let changed = async { while !is_urgent() && registration.changed.1.recv().await.is_ok() {} };
    timeout(pause, changed).await.ok();
    if offer::is_due(registration) {
        // The next turn offers the record.
        registration.request_write();
    }
}

/// Whether other requests are held than the store says.
fn holds_others(registration: &Registration, stands: &Stands) -> bool {
    registration.fleet.borrow().own().quarantined != stands.held
}

/// Reads in the store which requests other nodes hold.
pub async fn read_quarantined(node: &Rc<Node>, registration: &Rc<Registration>) {
    // What stands there of this node is known from its own writes.
    let mut stands = Stands::default();
    if let Err(error) = list(node, registration, &mut stands, Consistency::Latest).await {
        tracing::info!(%error, "the store did not say which requests are held");
    }
}

/// Takes this node's record out of the store, at the end of a planned stop after the upstream has ended:
/// its VM goes with it, and others need not look for it.
pub async fn withdraw(node: &Rc<Node>, registration: &Registration, limit: Duration) {
    let gone = |registration: &Registration| {
        let local = registration.local.borrow();
        local.current().is_none_or(|run| run.state == State::Gone)
    };
    let holds = !registration.fleet.borrow().own().quarantined.is_empty();
    if holds || !gone(registration) {
        // A record that names requests which are held stays, for those who start later.
        return;
    }
    let kind = registration.adapter.record_kind();
    let store = registration.adapter.store();
    let remove = store.remove(kind, node.cfg.vm.as_str());
    match timeout(limit, platform_call(node, Purpose::OwnRecord, remove)).await {
        Ok(Ok(())) => tracing::info!("this node's record was removed"),
        Ok(Err(error)) => tracing::info!(%error, "this node's record was not removed"),
        Err(_) => tracing::info!("this node's record was not removed in time"),
    }
}

/// Waits a little, so that one write that names the upstream is enough.
async fn wait_for_upstream(node: &Node, registration: &Registration) {
    let looks = if node.cfg.first_start {
        FIRST_START_LOOKS
    } else {
        UPSTREAM_LOOKS
    };
    for _ in 0..looks {
        if registration.local.borrow().current().is_some() {
            return;
        }
        task::sleep(UPSTREAM_PAUSE).await;
    }
}

/// Reads the others' records until the store has answered or another node has told them.
async fn learn(node: &Rc<Node>, registration: &Rc<Registration>, stands: &mut Stands) {
    let mut pause = MIN_PAUSE_MS;
    while let Err(error) = list(node, registration, stands, Consistency::MayLag).await {
        set_reachable(node, false);
        tracing::info!(%error, "the store gave no records");
        pause = back_off(pause).await;
        if knows_others(registration) {
            break;
        }
    }
    registration
        .has_read_records
        .set(knows_others(registration));
}

/// Reads again, a few times, while no other node is known: an answer that lags may name nobody.
async fn learn_while_lonely(node: &Rc<Node>, registration: &Rc<Registration>, stands: &mut Stands) {
    let mut pause = LONELY_PAUSE;
    for _ in 0..LONELY_READS {
        if knows_others(registration) {
            break;
        }
        task::sleep(pause).await;
        pause *= 2;
        learn(node, registration, stands).await;
    }
    registration.has_read_records.set(true);
}

fn knows_others(registration: &Registration) -> bool {
    registration.fleet.borrow().len() > 1
}

/// Takes in all records that stand in the store.
async fn list(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    stands: &mut Stands,
    consistency: Consistency,
) -> Result<()> {
    let kind = registration.adapter.record_kind();
    let list = registration.adapter.store().list(kind, consistency);
    let listing = platform_call(node, Purpose::Fleet, list).await?;
    audit::records_listed(listing.objects.len(), listing.at);
    for object in &listing.objects {
        let record = match decode(object) {
            Ok(record) => record,
            Err(error) => {
                audit::object_unreadable(object, &error);
                continue;
            }
        };
        if object.name == node.cfg.vm {
            *stands = Stands::of(object, &record);
            containment::adopt_predecessor_record(node, registration, &record);
            if record.boot != node.boot {
                node.quotas.restarted();
            }
        }
        peers::on_record(node, registration, record, Source::Store);
    }
    node.fleet_changed();
    Ok(())
}

/// Whether what stands in the store leads others to this node.
fn leads_here(registration: &Registration, stands: &Stands) -> bool {
    stands.peers == registration.fleet.borrow().own().peers
}

/// Whether a run of the upstream takes work that isn't the one in the store.
fn names_another_run(registration: &Registration, stands: &Stands) -> bool {
    let fleet = registration.fleet.borrow();
    let run = fleet.own().upstream.as_ref();
    let ready = run.filter(|run| run.state == State::Ready);
    ready.is_some_and(|run| stands.upstream.as_ref() != Some(&run.incarnation()))
}

/// Writes this node's record, whatever the store says of it before, again and again until it is taken.
pub(super) async fn write_anew(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    stands: &mut Stands,
) {
    stands.revision = None;
    write_until_done(node, registration, stands).await;
}

async fn write_until_done(node: &Rc<Node>, registration: &Rc<Registration>, stands: &mut Stands) {
    let mut pause = MIN_PAUSE_MS;
    while let Err(error) = write(node, registration, stands).await {
        set_reachable(node, false);
        tracing::info!(%error, "the store did not take this node's record");
        pause = back_off(pause).await;
    }
    set_reachable(node, true);
}

async fn write(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    stands: &mut Stands,
) -> Result<()> {
    let kind = registration.adapter.record_kind();
    let store = registration.adapter.store();
    loop {
        let own = registration.fleet.borrow().own().clone();
        let value =
            serde_json::to_vec(&own).map_err(|error| Error::new(Step::Platform, &own.vm, error))?;
        let put = store.put(kind, own.vm.as_str(), stands.revision, &value);
        let put = platform_call(node, Purpose::OwnRecord, put).await;
        if put.is_err() {
            registration.eras.borrow_mut().write_unanswered(node.now());
        }
        match put? {
            PutOutcome::Written(at) => {
                stands.wrote(at.revision, &own);
                offer::done(node, registration, at.era);
                return Ok(());
            }
            PutOutcome::Conflict(None) => stands.revision = None,
            PutOutcome::Conflict(Some(object)) => {
                stands.revision = Some(object.revision);
                match decode(&object) {
                    Ok(found) => {
                        *stands = Stands::of(&object, &found);
                        if found == own {
                            offer::done(node, registration, store::known_era(node));
                            return Ok(());
                        }
                        containment::adopt_predecessor_record(node, registration, &found);
                        if found.boot != own.boot {
                            succeed(node, registration, found);
                        }
                    }
                    // Another writer's: it is written over.
                    Err(error) => audit::object_unreadable(&object, &error),
                }
            }
        }
    }
}

impl Stands {
    fn of(object: &StoredObject, record: &Record) -> Stands {
        let mut stands = Stands::default();
        stands.wrote(object.revision, record);
        stands
    }

    fn wrote(&mut self, revision: u64, record: &Record) {
        self.revision = Some(revision);
        self.peers = record.peers.clone();
        self.upstream = record.upstream.as_ref().map(Instance::incarnation);
        self.held = record.quarantined.clone();
    }
}

/// Takes over from an earlier start of this node.
fn succeed(node: &Rc<Node>, registration: &Rc<Registration>, earlier: Record) {
    let own = registration.fleet.borrow().own().version;
    if earlier.version >= own {
        let own = registration.fleet.borrow_mut().supersede(earlier.version);
        audit::own_record_changed(&own);
        peers::announce(node, registration, &own);
    }
    if let Some(upstream) = earlier.upstream {
        local::spawn(health::find(node.clone(), registration.clone(), upstream));
    }
}

/// The record that stands in an object of its VM's name.
pub(super) fn decode(object: &StoredObject) -> Result<Record> {
    let bad = |cause: String| Error::new(Step::Platform, &object.name, cause);
    let record: Record =
        serde_json::from_slice(&object.value).map_err(|error| bad(error.to_string()))?;
    if record.vm != object.name {
        return Err(bad(format!("it names the VM {}", record.vm)));
    }
    if !record.version.is_plausible() {
        return Err(bad(format!(
            "no node comes as far as version {}.{}",
            record.version.generation, record.version.change
        )));
    }
    Ok(record)
}
