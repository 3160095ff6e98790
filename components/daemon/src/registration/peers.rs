//! Records on their way between nodes.
//!
//! A node tells its own record to every node it knows, when it changes and whenever a connection
//! opens; so whoever reaches any node that knows the others is known to all. Nodes that are known
//! and not connected are dialled again.

use super::{health, Registration};
use crate::audit;
use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use async_std::task;
use registry::{Merged, Record};
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Time between two looks for nodes that are known and not connected. A node that restarted while
/// the store is away is found within this time.
const DIAL_EVERY: Duration = Duration::from_millis(250);

/// Tells this node's record to all others.
pub fn tell_all(node: &Rc<Node>, registration: &Registration, own: &Record) {
    let others: Vec<_> = registration
        .fleet
        .borrow()
        .others()
        .map(|record| record.vm.clone())
        .collect();
    for vm in others {
        links::send(node, &vm, &Frame::Registered(Box::new(own.clone())));
    }
}

/// Takes in a record, from the store (no `reply`) or from another node.
pub fn taken(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    record: Record,
    reply: Option<&Reply>,
) {
    let vm = record.vm.clone();
    let boot = record.boot;
    let earlier = record.upstream.clone();
    let merged = registration.fleet.borrow_mut().merge(record);
    match merged {
        Merged::Taken(before) => {
            let fleet = registration.fleet.borrow();
            let Some(after) = fleet.record(&vm) else {
                return;
            };
            audit::record_taken(after, before.as_ref());
            let moved = before
                .as_ref()
                .is_none_or(|before| before.peers != after.peers);
            let renewed = before
                .as_ref()
                .is_some_and(|before| before.boot != after.boot);
            drop(fleet);
            if renewed || moved {
                links::renew(node, &vm);
                node.entry.borrow_mut().forget(&vm);
            }
            node.fleet_changed();
            if let (Some(before), Some(reply), true) = (before, reply, renewed) {
                // The new start may not know what the one before it has told.
                reply.send(node, Frame::Registered(Box::new(before)));
            }
        }
        Merged::Older => {
            let fleet = registration.fleet.borrow();
            let known = fleet
                .record(&vm)
                .filter(|known| known.boot != boot)
                .cloned();
            drop(fleet);
            if let (Some(known), Some(reply)) = (known, reply) {
                reply.send(node, Frame::Registered(Box::new(known)));
            }
        }
        Merged::Own(version) => {
            let own = registration.fleet.borrow_mut().rise_above(version);
            audit::own_record(&own);
            tell_all(node, registration, &own);
            registration.store_soon();
            if let Some(earlier) = earlier {
                local::spawn(health::find(node.clone(), registration.clone(), earlier));
            }
        }
        Merged::Same => {}
    }
}

/// Keeps a connection to every node that is known, for as long as the node runs.
pub async fn run_dials(node: Rc<Node>, registration: Rc<Registration>) {
    loop {
        let apart: Vec<_> = {
            let fleet = registration.fleet.borrow();
            let others = fleet.others().map(|record| record.vm.clone());
            others.filter(|vm| links::is_apart(&node, vm)).collect()
        };
        for vm in apart {
            links::dial(&node, &vm);
        }
        task::sleep(DIAL_EVERY).await;
    }
}
