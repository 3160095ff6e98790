//! The registered upstreams among which a request chooses.

use crate::links;
use crate::node::Node;
use entry::Candidate;
use names::Name;
use rand::seq::IndexedRandom;
use std::rc::Rc;

/// Upstreams of the own hall among which one request chooses at most; more are drawn at random, so
/// that the choice costs the same among hundreds.
const NEAR_CANDIDATES: usize = 8;
/// The same of each other hall.
const FAR_CANDIDATES: usize = 3;
/// Nodes of each other hall to which a connection is kept for each service that is called here: one
/// may fail, and connections between halls cost bytes.
const FAR_CONNECTED: usize = 2;
/// The same where the own hall has as many upstreams as one request chooses among. At 295 VMs these
/// connections were half of the bytes between halls of a quiet day, for 250 offers.
const FAR_CONNECTED_OF_MANY: usize = 1;

/// The upstreams that registered for `service` and take new work. Opens connections to nodes of other
/// halls for the requests that follow.
pub fn registered(node: &Rc<Node>, service: &Name) -> Vec<Candidate> {
    let Some(registration) = node.registration.clone() else {
        return Vec::new();
    };
    let fleet = registration.fleet.borrow();
    let mut candidates = Vec::with_capacity(NEAR_CANDIDATES + FAR_CANDIDATES);
    let mut to_dial = Vec::new();
    let far_connected = far_connected(node, &fleet, service);
    for (hall, vms) in fleet.ready(service.as_str()) {
        let same_hall = *hall == node.cfg.hall;
        let reached: Vec<&Name> = vms.iter().filter(|vm| is_reached(node, vm)).collect();
        let most = if same_hall {
            NEAR_CANDIDATES
        } else {
            FAR_CANDIDATES
        };
        candidates.extend(draw(node, &reached, most, same_hall));
        if !same_hall && reached.len() < far_connected {
            let apart: Vec<&Name> = vms.iter().filter(|vm| links::is_apart(node, vm)).collect();
            let missing = far_connected - reached.len();
            let drawn = apart.choose_multiple(&mut rand::rng(), missing);
            to_dial.extend(drawn.map(|vm| (*vm).clone()));
        }
    }
    if candidates.is_empty() {
        // An offer waits for its connection.
        for (hall, vms) in fleet.ready(service.as_str()) {
            let all: Vec<&Name> = vms.iter().collect();
            candidates.extend(draw(node, &all, FAR_CANDIDATES, *hall == node.cfg.hall));
        }
    }
    drop(fleet);
    for vm in to_dial {
        links::dial(node, &vm);
    }
    candidates
}

/// How many nodes of another hall a connection is kept to for a service.
fn far_connected(node: &Node, fleet: &registry::Fleet, service: &Name) -> usize {
    let mut halls = fleet.ready(service.as_str());
    let near = halls.find(|(hall, _)| **hall == node.cfg.hall);
    if near.is_some_and(|(_, vms)| vms.len() >= NEAR_CANDIDATES) {
        FAR_CONNECTED_OF_MANY
    } else {
        FAR_CONNECTED
    }
}

/// Whether a connection to a node is open: near ones are dialled again and again, so one without a
/// connection is cut off or gone.
fn is_reached(node: &Node, vm: &Name) -> bool {
    *vm == node.cfg.vm || links::is_up(node, vm)
}

fn draw(node: &Node, vms: &[&Name], most: usize, same_hall: bool) -> Vec<Candidate> {
    let drawn = vms.choose_multiple(&mut rand::rng(), most);
    drawn
        .map(|vm| Candidate {
            vm: (*vm).clone(),
            same_hall,
            own: **vm == node.cfg.vm,
        })
        .collect()
}
