//! The operators' declarations, in the store of a platform with which nodes register.

use super::{QueryMode, WATCH_WAIT};
use crate::configuration::{self, STEP_PAUSE};
use crate::counted::CountGuard;
use crate::node::Node;
use crate::registration::Registration;
use crate::store::platform_call;
use async_std::task;
use audit::stats::{self, Work};
use audit::Origin;
use audit::Purpose;
use era::{Era, Position};
use errors::{catch_panic, Error, Result, Step};
use platform::{Consistency, StoredObject, WatchOutcome};
use rollout::{Change, UncheckedRevision};
use std::rc::Rc;
use std::time::Duration;

/// Pause after each change, so that changes in quick succession arrive in one answer: each watch
/// costs a call of every watcher. Below a third of the time within which a change has to be in
/// force (2 s).
const CHANGE_PAUSE: Duration = Duration::from_millis(600);

/// Queries the declarations.
pub async fn declarations(node: &Rc<Node>, mode: QueryMode) -> Result<()> {
    let registration = registration(node)?;
    let position = registration.eras.borrow().position();
    let after = match (position, mode) {
        (Some(after), QueryMode::Now | QueryMode::LongPoll) => after,
        (None, QueryMode::Now | QueryMode::LongPoll) => {
            return list(node, Consistency::Latest).await
        }
        (_, QueryMode::Startup) => return list(node, Consistency::MayLag).await,
    };
    let wait = match mode {
        QueryMode::LongPoll => WATCH_WAIT,
        QueryMode::Startup | QueryMode::Now => Duration::ZERO,
    };
    let (kind, _) = registration.adapter.declarations();
    let store = registration.adapter.store();
    let watch = store.watch(kind, after.revision, wait);
    let watched = platform_call(node, Purpose::Watch, watch).await?;
    if registration.eras.borrow().known() != after.era {
        // The revision at which the watch began has another meaning in the current era.
        return list(node, Consistency::Latest).await;
    }
    match watched {
        WatchOutcome::Changes { at, changed, .. } => {
            apply_objects(node, &registration, &changed, at.era).await;
            registration.eras.borrow_mut().read_up_to(at);
            if !changed.is_empty() && mode == QueryMode::LongPoll {
                task::sleep(CHANGE_PAUSE).await;
            }
        }
        WatchOutcome::HistoryLost => {
            tracing::info!(
                after = after.revision,
                "the store's history is incomplete; reading all declarations again"
            );
            registration.eras.borrow_mut().forget_position();
            if mode == QueryMode::Now {
                list(node, Consistency::Latest).await?;
            }
        }
    }
    Ok(())
}

/// Reads the declarations from the store for this node alone, because copies between nodes would
/// take longer. A node that has none yet accepts an answer that may lag, which costs a tenth; other
/// nodes send it later changes.
pub async fn read_declarations(node: &Rc<Node>) -> Result<()> {
    if node.rollout.borrow().newest_revision() == 0 {
        list(node, Consistency::MayLag).await?;
        if node.rollout.borrow().newest_revision() > 0 {
            return Ok(());
        }
    }
    list(node, Consistency::Latest).await
}

async fn list(node: &Rc<Node>, consistency: Consistency) -> Result<()> {
    let registration = registration(node)?;
    let (kind, _) = registration.adapter.declarations();
    let list = registration.adapter.store().list(kind, consistency);
    let listing = platform_call(node, Purpose::Declarations, list).await?;
    // An answer that lags may contain state that a restore has lost, and belongs to no era.
    let era = listing
        .at
        .era
        .filter(|_| consistency == Consistency::Latest);
    apply_objects(node, &registration, &listing.objects, era).await;
    if consistency == Consistency::Latest {
        // The position advances only after all objects were applied: a call may be cancelled in
        // between, and its changes would never be read again.
        registration.eras.borrow_mut().read_up_to(listing.at);
    }
    Ok(())
}

fn registration(node: &Rc<Node>) -> Result<Rc<Registration>> {
    let registration = node.registration.clone();
    registration.ok_or_else(|| Error::new(Step::Platform, "-", "node registration is not in use"))
}

/// Applies the operators' object, if it is among `objects`, which were read in the store's `era`.
async fn apply_objects(
    node: &Rc<Node>,
    registration: &Registration,
    objects: &[StoredObject],
    era: Option<Era>,
) {
    let _guard = CountGuard::new(&registration.updates_in_progress);
    let (_, name) = registration.adapter.declarations();
    for object in objects.iter().filter(|object| object.name.as_str() == name) {
        let started_at = node.now();
        let translate = || registration.adapter.translate(&object.value);
        let translated = catch_panic(Step::Platform, name, translate);
        let written = match translated.and_then(|written| written) {
            Ok(written) => written,
            Err(error) => {
                audit::object_unreadable(object, &error);
                continue;
            }
        };
        let translate_us = node.now().since(started_at);
        stats::record_declarations_work(Work::Translate, translate_us);
        audit::declarations_read(written.version, object, translate_us);
        let in_force = node.rollout.borrow().revision();
        if written.version < in_force {
            audit::store_has_older_version(written.version, in_force, era);
            continue;
        }
        let read_at = Position {
            era,
            revision: object.revision,
        };
        if node.in_force().is_some() {
            task::sleep(STEP_PAUSE).await;
        }
        let change = change(&written);
        let unchecked =
            UncheckedRevision::from_bundle(written.version, change, written.bundle, read_at);
        let head = &unchecked.configuration().head;
        let prechecked = node.rollout.borrow_mut().precheck(head, read_at);
        if prechecked.is_ok() {
            configuration::apply_revision(node, unchecked, Origin::Store).await;
        }
    }
}

/// The audit record of a change by the platform's operators. It depends on the version only, so
/// that all nodes derive the same record and can compare revisions.
fn change(written: &platform::TranslatedDeclarations) -> Change {
    Change {
        id: format!("platform-{}", written.version),
        who: "platform".to_string(),
        when_ms: 0,
        why: "written to the platform's store".to_string(),
    }
}
