//! Records that the store lost when it came back from an older copy: each node offers its own again, and a node that can't
//! reach the store has another one write it. All nodes may lose power right after, and find one another by the store
//! alone.

use super::records::{decode, write_anew, Stands};
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

/// A record that the store has not taken for so long is given to another node to write: a quarter of what the spread
/// of the offers leaves of the two seconds within which records must stand again.
const ASK_AFTER: Duration = Duration::from_millis(250);
/// Longest pause between two nodes that are asked: each of them makes a call for it.
const MOST_ASK_PAUSE: Duration = Duration::from_secs(4);
/// Records of other nodes that this one writes at the same time, at most.
const MOST_STORING: u32 = 32;

/// Whether this node owes the store its record.
pub(super) fn is_due(registration: &Registration) -> bool {
    registration.eras.borrow().offer_at().is_some()
}

/// This node's record stands in the store of `era`.
pub(super) fn done(node: &Node, registration: &Registration, era: Option<Era>) {
    let was_due = is_due(registration);
    registration
        .eras
        .borrow_mut()
        .record_stored(node.now(), era);
    if was_due {
        stats::record_offered("itself");
        tracing::info!(
            era = era.map(|era| era.0),
            "this node's record stands in the store again"
        );
    }
}

/// Offers this node's record when its time has come, until the store of the present era has it.
pub(super) async fn run(node: &Rc<Node>, registration: &Rc<Registration>, stands: &mut Stands) {
    loop {
        let Some(at) = registration.eras.borrow().offer_at() else {
            return;
        };
        let wait_us = at.since(node.now());
        task::sleep(Duration::from_micros(wait_us)).await;
        let writing = pin!(write_anew(node, registration, stands));
        let asking = pin!(ask_others(node, registration));
        match select(writing, asking).await {
            Either::Left(_) => {}
            Either::Right((never, _)) => match never {},
        }
    }
}

/// Asks one node after another to write this node's record, less and less often.
async fn ask_others(node: &Rc<Node>, registration: &Registration) -> std::convert::Infallible {
    let mut pause = ASK_AFTER;
    loop {
        task::sleep(pause).await;
        pause = (pause * 2).min(MOST_ASK_PAUSE);
        let Some(asked) = pick(node) else {
            continue;
        };
        let own = registration.fleet.borrow().own().clone();
        tracing::info!(%asked, "another node is asked to write this node's record");
        links::send(node, &asked, &Frame::Store(Box::new(own)));
    }
}

/// A node that the store answers, as far as is heard; any other if there is none.
fn pick(node: &Rc<Node>) -> Option<Name> {
    let answered = node.watch.borrow().active_watchers(node.now());
    let connected = |vm: &&Name| links::is_connected(node, vm);
    let answered: Vec<&Name> = answered.iter().filter(connected).collect();
    if let Some(vm) = answered.choose(&mut rand::rng()) {
        return Some((*vm).clone());
    }
    let others = node.other_nodes();
    let others: Vec<&Name> = others.iter().map(|(vm, _)| vm).filter(connected).collect();
    others.choose(&mut rand::rng()).map(|vm| (*vm).clone())
}

/// Writes another node's record to the store for it.
pub fn store_for_peer(node: &Rc<Node>, registration: &Rc<Registration>, record: Record) {
    if registration.storing.get() >= MOST_STORING || !record.version.is_plausible() {
        stats::bad_input("peer");
        tracing::info!(vm = %record.vm, "another node's record is not written: too many at once, or no node has its version");
        return;
    }
    let node = node.clone();
    let registration = registration.clone();
    registration.storing.set(registration.storing.get() + 1);
    local::spawn_contained("store-for", async move {
        let written = write_for(&node, &registration, &record).await;
        registration.storing.set(registration.storing.get() - 1);
        match written {
            Ok(()) => stats::record_offered("another"),
            Err(error) => {
                tracing::info!(vm = %record.vm, %error, "another node's record was not written");
            }
        }
        audit::peer_record_offered(&record);
    });
}

async fn write_for(node: &Rc<Node>, registration: &Registration, record: &Record) -> Result<()> {
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
    if decode(&object).is_ok_and(|found| found.version >= record.version) {
        return Ok(());
    }
    let replace = store.put(kind, vm, Some(object.revision), &value);
    platform_call(node, Purpose::OwnRecord, replace).await?;
    Ok(())
}
