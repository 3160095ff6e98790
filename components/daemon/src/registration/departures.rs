//! Departures that are acknowledged to the local upstream.
//!
//! An acknowledged departure binds all nodes, also after all of them were killed and whatever
//! arrives later. It is therefore in the store before it is acknowledged, and a node that has just
//! started applies registrations only once it knows the departures that its earlier boot stored.

use super::records::StoreContent;
use super::{confirm, matches_settings, on_local_change, Registration};
use crate::node::Node;
use async_channel::{Receiver, Sender};
use home::PriorStarts;
use registry::{Departed, Incarnation, Record};
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait for the store. The upstream expects the acknowledgement within a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Whether this node knows what its earlier boot has acknowledged. Until then no registration may
/// make the upstream ready: it may be late, from an incarnation that has departed.
///
/// The store lists the departures. The record that another node holds of the earlier boot counts as
/// well, so that a node does not wait for a slow store: the other node has read it in the store since
/// it started, or has received each change of it.
#[derive(Debug)]
pub(super) struct PredecessorGate {
    /// The channel is closed once it is known.
    known: (Sender<()>, Receiver<()>),
}

impl Default for PredecessorGate {
    fn default() -> PredecessorGate {
        PredecessorGate {
            known: async_channel::bounded(1),
        }
    }
}

impl PredecessorGate {
    pub(super) fn open(&self) {
        self.known.0.close();
    }

    pub(super) fn is_open(&self) -> bool {
        self.known.0.is_closed()
    }

    /// Waits until it is known.
    pub(super) async fn wait(&self) {
        // Nothing is sent: the result says that the channel was closed.
        self.known.1.recv().await.ok();
    }
}

/// Stores that `incarnation` accepts no more work. Returns whether the store holds that, so that it
/// may be acknowledged. The write continues if it takes longer, for the upstream's next report.
pub(super) async fn store(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    incarnation: &Incarnation,
) -> bool {
    let incarnation = registration.local.borrow().identify(incarnation);
    let is_stored = move |stored: &StoreContent| stored.has_departed(&incarnation);
    confirm::stored_within(node, registration, STORE_TIMEOUT, is_stored).await
}

/// Applies the departures that an earlier boot of this node has acknowledged: that of the upstream in
/// its record, and `earlier` ones.
pub(super) fn restore(
    node: &Rc<Node>,
    registration: &Registration,
    record: &Record,
    earlier: &[Departed],
) {
    if record.boot == node.boot {
        // Another writer has changed the record. Of its own boot, this node knows better.
        return;
    }
    let mut changed = false;
    for departed in earlier {
        audit::departure_restored(departed);
        changed |= registration.local.borrow_mut().restore_departed(departed);
    }
    let upstream = record.upstream.as_ref();
    if let Some((upstream, departed)) = upstream.and_then(|u| Some((u, Departed::of(u)?))) {
        audit::departure_restored(&departed);
        let is_configured = matches_settings(node, registration, upstream, "record");
        let mut local = registration.local.borrow_mut();
        changed |= match is_configured {
            true => local.restore_state(upstream),
            false => local.restore_departed(&departed),
        };
    }
    if changed {
        on_local_change(node, registration, PriorStarts::Until(node.started));
    }
}
