//! Records that the store lost when it was restored from an older copy: each node offers its own
//! again, and a node that can't reach the store has another one write it. All nodes may lose power
//! right afterwards, and would then find one another only through the store.

use super::records::{decode, rewrite};
use super::Registration;
use crate::links;
use crate::local;
use crate::node::Node;
use crate::store::platform_call;
use async_std::task;
use audit::stats;
use audit::Purpose;
use era::Era;
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use names::Name;
use platform::PutOutcome;
use rand::seq::IndexedRandom;
use registry::Record;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Time after which another node is asked to write a record that the store has not accepted.
/// Records must be stored again within two seconds, of which the offers are spread over a part;
/// this is a quarter of the rest.
const DELEGATE_AFTER: Duration = Duration::from_millis(250);
/// Maximum pause between two such requests: each causes a call to the platform.
const MAX_DELEGATE_PAUSE: Duration = Duration::from_secs(4);
/// Maximum number of concurrent writes of other nodes' records.
const MAX_PEER_WRITES: u32 = 32;

/// Whether this node still has to offer its record to the store.
pub(super) fn is_due(registration: &Registration) -> bool {
    registration.eras.borrow().offer_at().is_some()
}

/// Called when the store of `era` has this node's record.
pub(super) fn on_stored(node: &Node, registration: &Registration, era: Option<Era>) {
    let was_due = is_due(registration);
    registration
        .eras
        .borrow_mut()
        .record_stored(node.now(), era);
    if was_due {
        stats::record_offered("itself");
        tracing::info!(
            era = era.map(|era| era.0),
            "this node's record is stored again"
        );
    }
}

/// Offers this node's record at its scheduled time, until the store of the current era has it.
pub(super) async fn run(node: &Rc<Node>, registration: &Rc<Registration>) {
    loop {
        let Some(at) = registration.eras.borrow().offer_at() else {
            return;
        };
        let wait_us = at.since(node.now());
        task::sleep(Duration::from_micros(wait_us)).await;
        let writing = pin!(rewrite(node, registration));
        let delegating = pin!(delegate(node, registration));
        match select(writing, delegating).await {
            Either::Left(_) => {}
            Either::Right((never, _)) => match never {},
        }
    }
}

/// Asks one node after another to write this node's record, with exponential backoff.
async fn delegate(node: &Rc<Node>, registration: &Registration) -> std::convert::Infallible {
    let mut pause = DELEGATE_AFTER;
    loop {
        task::sleep(pause).await;
        pause = (pause * 2).min(MAX_DELEGATE_PAUSE);
        let Some(writer) = pick_writer(node) else {
            continue;
        };
        let own = registration.fleet.borrow().own().clone();
        tracing::info!(asked = %writer, "another node is asked to write this node's record");
        links::send(node, &writer, &Frame::Store(Box::new(own)));
    }
}

/// A node whose notices report that the store answers it, or any other node if there is none.
fn pick_writer(node: &Rc<Node>) -> Option<Name> {
    let watchers = node.watch.borrow().active_watchers(node.now());
    let connected = |vm: &&Name| links::is_connected(node, vm);
    let watchers: Vec<&Name> = watchers.iter().filter(connected).collect();
    if let Some(vm) = watchers.choose(&mut rand::rng()) {
        return Some((*vm).clone());
    }
    let others = node.other_nodes();
    let others: Vec<&Name> = others.iter().map(|(vm, _)| vm).filter(connected).collect();
    others.choose(&mut rand::rng()).map(|vm| (*vm).clone())
}

/// Writes another node's record to the store on its behalf.
pub fn store_for_peer(node: &Rc<Node>, registration: &Rc<Registration>, record: Record) {
    if registration.peer_writes.get() >= MAX_PEER_WRITES || !record.version.is_plausible() {
        stats::bad_input("peer");
        tracing::info!(vm = %record.vm, "another node's record was not written: too many writes in progress, or an implausible version");
        return;
    }
    let node = node.clone();
    let registration = registration.clone();
    registration
        .peer_writes
        .set(registration.peer_writes.get() + 1);
    local::spawn_contained("store-for", async move {
        let written = write_for_peer(&node, &registration, &record).await;
        registration
            .peer_writes
            .set(registration.peer_writes.get() - 1);
        match written {
            Ok(()) => stats::record_offered("another"),
            Err(error) => {
                tracing::info!(vm = %record.vm, %error, "another node's record was not written");
            }
        }
        audit::peer_record_offered(&record);
    });
}

async fn write_for_peer(
    node: &Rc<Node>,
    registration: &Registration,
    record: &Record,
) -> Result<()> {
    let kind = registration.adapter.record_kind();
    let store = registration.adapter.store();
    let vm = record.vm.as_str();
    let value =
        serde_json::to_vec(record).map_err(|error| Error::new(Step::Platform, vm, error))?;
    let create = store.put(kind, vm, None, &value);
    let PutOutcome::Conflict(Some(object)) =
        platform_call(node, Purpose::OwnRecord, create).await?
    else {
        return Ok(());
    };
    if decode(&object).is_ok_and(|found| found.record.version >= record.version) {
        return Ok(());
    }
    let replace = store.put(kind, vm, Some(object.revision), &value);
    platform_call(node, Purpose::OwnRecord, replace).await?;
    Ok(())
}
