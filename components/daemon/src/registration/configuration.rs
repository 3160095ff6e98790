//! The operators' declarations, as the platform's store has them.

use super::Registration;
use crate::audit::{self, Origin};
use crate::configuration::{self, BREATH};
use crate::node::Node;
use crate::platform_watch::{rest, set_reachable, LEAST_PAUSE_MS};
use crate::stats::{self, Work};
use async_std::task;
use errors::Result;
use platform::{Stored, Watched};
use rollout::{split, Change, Configuration, Head};
use std::rc::Rc;
use std::time::Duration;

/// How long one watch waits. A watch whose answer is lost on the way is noticed when it should have
/// ended; until then the other nodes tell of changes.
const WATCH: Duration = Duration::from_secs(25);
/// Pause after each change: changes in quick succession come together, and each look is paid for by
/// every node. Below a third of the time within which a change has to be in force (2 s).
const PAUSE: Duration = Duration::from_millis(600);

/// Keeps the declarations up to date for as long as the node runs.
pub async fn run(node: Rc<Node>, registration: Rc<Registration>) {
    let mut pause = LEAST_PAUSE_MS;
    let mut at = None;
    loop {
        match look(&node, &registration, &mut at).await {
            Ok(()) => {
                set_reachable(&node, true);
                registration.store_asked.set(true);
                pause = LEAST_PAUSE_MS;
            }
            Err(error) => {
                set_reachable(&node, false);
                registration.store_asked.set(false);
                tracing::info!(%error, "the store gave no declarations");
                at = None;
                pause = rest(pause).await;
            }
        }
    }
}

async fn look(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    at: &mut Option<u64>,
) -> Result<()> {
    let (kind, _) = registration.adapter.declarations();
    let store = registration.adapter.store();
    let Some(after) = *at else {
        let listing = store.list(kind).await?;
        *at = Some(listing.at);
        return take_all(node, registration, &listing.objects).await;
    };
    let watched = store.watch(kind, after, WATCH).await?;
    match watched {
        Watched::Changes { at: next, changed } => {
            *at = Some(next);
            take_all(node, registration, &changed).await?;
            if !changed.is_empty() {
                task::sleep(PAUSE).await;
            }
        }
        Watched::Forgotten => {
            tracing::info!(after, "the declarations are read anew");
            *at = None;
        }
    }
    Ok(())
}

async fn take_all(node: &Rc<Node>, registration: &Registration, objects: &[Stored]) -> Result<()> {
    let (_, name) = registration.adapter.declarations();
    for object in objects.iter().filter(|object| object.name.as_str() == name) {
        let began = node.now();
        let written = registration.adapter.translate(&object.value)?;
        let translate_us = node.now().since(began);
        stats::worked(Work::Translate, translate_us);
        audit::declarations_read(written.version, object, translate_us);
        if written.version <= node.rollout.borrow().revision() {
            continue;
        }
        task::sleep(BREATH).await;
        configuration::take_in(node, to_configuration(written), Origin::Store).await;
    }
    Ok(())
}

/// A revision of this product from what the platform's operators wrote. Every node makes the same
/// of the same, so that nodes can compare.
fn to_configuration(written: platform::Written) -> Configuration {
    let (files, objects) = split(&written.bundle);
    let change = Change {
        id: format!("platform-{}", written.version),
        who: "platform".to_string(),
        when_ms: 0,
        why: "written to the platform's store".to_string(),
    };
    let head = Head {
        revision: written.version,
        previous: None,
        change,
        files,
    };
    Configuration { head, objects }
}
