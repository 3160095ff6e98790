//! The operators' declarations, as the store of a platform has them whose nodes register.

use super::{Manner, WATCH};
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

/// Pause after each change: changes in quick succession come together, and each look is paid for by
/// every watcher. Below a third of the time within which a change has to be in force (2 s).
const PAUSE: Duration = Duration::from_millis(600);

/// Asks for the declarations.
pub async fn declarations(node: &Rc<Node>, manner: Manner) -> Result<()> {
    let registration = registration(node)?;
    let place = registration.eras.borrow().position();
    let after = match (place, manner) {
        (Some(after), Manner::Now | Manner::Wait) => after,
        (None, Manner::Now | Manner::Wait) => return list(node, Consistency::Latest).await,
        (_, Manner::Start) => return list(node, Consistency::MayLag).await,
    };
    let wait = match manner {
        Manner::Wait => WATCH,
        Manner::Start | Manner::Now => Duration::ZERO,
    };
    let (kind, _) = registration.adapter.declarations();
    let store = registration.adapter.store();
    let watch = store.watch(kind, after.revision, wait);
    let watched = platform_call(node, Purpose::Watch, watch).await?;
    if registration.eras.borrow().known() != after.era {
        // The revision from which it went on stands for something else in the present era.
        return list(node, Consistency::Latest).await;
    }
    match watched {
        WatchOutcome::Changes { at, changed, .. } => {
            take_all(node, &registration, &changed, at.era).await;
            registration.eras.borrow_mut().read_up_to(at);
            if !changed.is_empty() && manner == Manner::Wait {
                task::sleep(PAUSE).await;
            }
        }
        WatchOutcome::HistoryLost => {
            tracing::info!(after = after.revision, "the declarations are read anew");
            registration.eras.borrow_mut().forget_position();
            if manner == Manner::Now {
                list(node, Consistency::Latest).await?;
            }
        }
    }
    Ok(())
}

/// Reads the declarations for this node alone, because copies between nodes would take longer. A node that has none
/// yet takes an answer that may lag, which costs a tenth; what it misses it is told by others.
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
    // An answer that lags may hold what a return has lost, and belongs to no era.
    let era = listing
        .at
        .era
        .filter(|_| consistency == Consistency::Latest);
    take_all(node, &registration, &listing.objects, era).await;
    if consistency == Consistency::Latest {
        // Noted only once everything up to there is taken in: a call may be given up in between, and what it brought
        // would be asked for by nobody.
        registration.eras.borrow_mut().read_up_to(listing.at);
    }
    Ok(())
}

fn registration(node: &Rc<Node>) -> Result<Rc<Registration>> {
    let registration = node.registration.clone();
    registration.ok_or_else(|| Error::new(Step::Platform, "-", "no nodes register here"))
}

/// Takes in what was read of the operators' object, in the store's `era`.
async fn take_all(
    node: &Rc<Node>,
    registration: &Registration,
    objects: &[StoredObject],
    era: Option<Era>,
) {
    let _taking_in = CountGuard::new(&registration.updates_in_progress);
    let (_, name) = registration.adapter.declarations();
    for object in objects.iter().filter(|object| object.name.as_str() == name) {
        let began = node.now();
        let translate = || registration.adapter.translate(&object.value);
        let translated = catch_panic(Step::Platform, name, translate);
        let written = match translated.and_then(|written| written) {
            Ok(written) => written,
            Err(error) => {
                audit::object_unreadable(object, &error);
                continue;
            }
        };
        let translate_us = node.now().since(began);
        stats::record_declarations_work(Work::Translate, translate_us);
        audit::declarations_read(written.version, object, translate_us);
        let in_force = node.rollout.borrow().revision();
        if written.version < in_force {
            audit::store_has_older_version(written.version, in_force, era);
            continue;
        }
        let read = Position {
            era,
            revision: object.revision,
        };
        if node.in_force().is_some() {
            task::sleep(STEP_PAUSE).await;
        }
        let change = change(&written);
        let unchecked =
            UncheckedRevision::from_bundle(written.version, change, written.bundle, read);
        let head = &unchecked.configuration().head;
        let wanted = node.rollout.borrow_mut().precheck(head, read);
        if wanted.is_ok() {
            configuration::apply_revision(node, unchecked, Origin::Store).await;
        }
    }
}

/// The audit record of what the platform's operators wrote. Every node makes the same of the same, so that nodes can
/// compare.
fn change(written: &platform::TranslatedDeclarations) -> Change {
    Change {
        id: format!("platform-{}", written.version),
        who: "platform".to_string(),
        when_ms: 0,
        why: "written to the platform's store".to_string(),
    }
}
