//! This node's record in the store, and the records that the others left there.

use super::{health, peers, Registration, Source};
use crate::audit;
use crate::local;
use crate::node::Node;
use crate::platform_watch::{rest, set_reachable, LEAST_PAUSE_MS};
use async_std::task;
use errors::{Error, Result, Step};
use platform::{Put, Stored};
use registry::Record;
use std::rc::Rc;
use std::time::Duration;

/// Looks for the first registration of the upstream before the record is written without one, and the
/// pause between them: together longer than the time between two registrations.
const UPSTREAM_LOOKS: u32 = 40;
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);

/// Writes this node's record whenever it changes, and reads the others' records once.
pub async fn run(node: Rc<Node>, registration: Rc<Registration>) {
    let mut revision = None;
    let mut pause = LEAST_PAUSE_MS;
    if node.cfg.first_start {
        wait_for_upstream(&registration).await;
    }
    loop {
        match keep(&node, &registration, &mut revision).await {
            Ok(()) => {
                set_reachable(&node, true);
                pause = LEAST_PAUSE_MS;
                if registration.changed.1.recv().await.is_err() {
                    return;
                }
            }
            Err(error) => {
                set_reachable(&node, false);
                tracing::info!(%error, "the store did not take this node's record");
                pause = rest(pause).await;
            }
        }
    }
}

/// Waits a little, so that one write that names the upstream is enough.
async fn wait_for_upstream(registration: &Registration) {
    for _ in 0..UPSTREAM_LOOKS {
        if registration.local.borrow().current().is_some() {
            return;
        }
        task::sleep(UPSTREAM_PAUSE).await;
    }
}

/// Of two nodes that start together, one must see the other's record. A node that finds its own
/// earlier record at the same address is seen by whoever reads after it, so it reads first, takes the
/// record over and knows the others one answer sooner. Any other node writes before it reads: the one
/// that reads last sees both.
async fn keep(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    revision: &mut Option<u64>,
) -> Result<()> {
    let listed = &registration.has_listed;
    if !listed.get() && !node.cfg.first_start {
        if let Some(earlier) = list(node, registration).await? {
            *revision = Some(earlier.revision);
            let own = registration.fleet.borrow().own().peers.clone();
            listed.set(decode(&earlier)?.peers == own);
        }
        if listed.get() {
            // The others learn of this start over connections; one write is enough.
            wait_for_upstream(registration).await;
        }
    }
    write(node, registration, revision).await?;
    if !listed.get() {
        list(node, registration).await?;
        listed.set(true);
    }
    Ok(())
}

/// Takes in all records that stand in the store. Returns the object of this node's own VM.
async fn list(node: &Rc<Node>, registration: &Rc<Registration>) -> Result<Option<Stored>> {
    let kind = registration.adapter.records();
    let listing = registration.adapter.store().list(kind).await?;
    audit::listed(listing.objects.len(), listing.at);
    for object in &listing.objects {
        peers::taken(node, registration, decode(object)?, Source::Store);
    }
    let mut objects = listing.objects.into_iter();
    Ok(objects.find(|object| object.name == node.cfg.vm))
}

/// Writes the record until what stands in the store is what this node says now.
async fn write(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    revision: &mut Option<u64>,
) -> Result<()> {
    let kind = registration.adapter.records();
    let store = registration.adapter.store();
    loop {
        let own = registration.fleet.borrow().own().clone();
        let value =
            serde_json::to_vec(&own).map_err(|error| Error::new(Step::Platform, &own.vm, error))?;
        match store.put(kind, own.vm.as_str(), *revision, &value).await? {
            Put::Done(at) => {
                *revision = Some(at);
                if registration.fleet.borrow().own().version == own.version {
                    // What was asked for meanwhile is written.
                    registration.changed.1.try_recv().ok();
                    return Ok(());
                }
            }
            Put::Conflict(None) => *revision = None,
            Put::Conflict(Some(object)) => {
                *revision = Some(object.revision);
                let stands = decode(&object)?;
                if stands.boot != own.boot {
                    succeed(node, registration, stands);
                }
            }
        }
    }
}

/// Takes over from an earlier start of this node.
fn succeed(node: &Rc<Node>, registration: &Rc<Registration>, earlier: Record) {
    let own = registration.fleet.borrow().own().version;
    if earlier.version >= own {
        let own = registration.fleet.borrow_mut().rise_above(earlier.version);
        audit::own_record(&own);
        peers::tell_all(node, registration, &own);
    }
    if let Some(upstream) = earlier.upstream {
        local::spawn(health::find(node.clone(), registration.clone(), upstream));
    }
}

fn decode(object: &Stored) -> Result<Record> {
    serde_json::from_slice(&object.value)
        .map_err(|error| Error::new(Step::Platform, &object.name, error))
}
