//! Drains of the local upstream by operators. They hold until an operator ends them, also after all
//! nodes were killed, so they are in the store before they are confirmed.

use super::records::StoreContent;
use super::{confirm, publish, Registration};
use crate::home_driver;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait for the store; the operator's call is answered within two seconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Announces the start or end of a drain and stores it. Returns whether the store holds it. If not,
/// it has taken effect, but a restart of this node may undo it.
pub async fn store(node: &Rc<Node>, registration: &Rc<Registration>) -> bool {
    registration.operator_drain_known.set(true);
    publish(node, registration);
    let drained = node.drained_by_operator.get();
    let is_stored = move |stored: &StoreContent| stored.is_drained_by_operator() == drained;
    confirm::stored_within(node, registration, STORE_TIMEOUT, is_stored).await
}

/// Resumes the drain that an earlier boot of this node has stored, unless this boot already knows
/// what its operators want: the record of the earlier boot may be read again.
pub(super) fn restore(node: &Rc<Node>, registration: &Registration, is_drained: bool) {
    if registration.operator_drain_known.replace(true) || !is_drained {
        return;
    }
    node.drained_by_operator.set(true);
    tracing::info!("the upstream is drained: an operator has drained it before this node's start");
    home_driver::update_drain_state(node);
    publish(node, registration);
}
