//! The registered upstreams among which a request chooses.

use entry::Candidate;
use names::Name;
use rand::seq::IndexedRandom;
use registry::Fleet;

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

/// The same where the own hall has none, because it is evacuated or down: all requests cross, and few connections would
/// put them on few upstreams.
const FAR_CONNECTED_OF_NONE: usize = 4;

/// What a node knows of its connections, for a choice.
pub struct Connections<'a> {
    /// Whether one to a node is open: near ones are dialled again and again, so one without a connection is cut off or
    /// gone.
    pub is_up: &'a dyn Fn(&Name) -> bool,
    /// Whether there is none to a node and none is being opened.
    pub is_apart: &'a dyn Fn(&Name) -> bool,
    /// Whether opening one to a node has failed lately.
    pub has_failed: &'a dyn Fn(&Name) -> bool,
    /// Whether the upstreams of a hall get no new work.
    pub is_evacuated: &'a dyn Fn(&Name) -> bool,
}

/// The upstreams among which a request chooses, and nodes of other halls to which connections are to be opened for the
/// requests that follow.
#[derive(Debug, Default)]
pub struct Drawn {
    /// The upstreams.
    pub candidates: Vec<Candidate>,
    /// One of each other hall to which no connection is open. When all connected upstreams had just ended, requests were
    /// refused until a connection to another one was open.
    pub reserve: Vec<Candidate>,
    /// The nodes.
    pub to_dial: Vec<Name>,
}

/// Draws among the upstreams that registered for `service` and take new work.
pub fn registered(fleet: &Fleet, service: &Name, connections: &Connections<'_>) -> Drawn {
    let own = fleet.own();
    let is_reached = |vm: &&Name| **vm == own.vm || (connections.is_up)(vm);
    let mut drawn = Drawn::default();
    let is_open = |hall: &Name| !(connections.is_evacuated)(hall);
    let halls: Vec<(&Name, &[Name])> = fleet
        .ready(service.as_str())
        .filter(|(hall, _)| is_open(hall))
        .collect();
    let far_connected = far_connected(&halls, &own.hall);
    for (hall, vms) in halls.iter().copied() {
        let same_hall = *hall == own.hall;
        let reached: Vec<&Name> = vms.iter().filter(is_reached).collect();
        let most = if same_hall {
            NEAR_CANDIDATES
        } else {
            FAR_CANDIDATES
        };
        drawn
            .candidates
            .extend(draw(&own.vm, &reached, most, same_hall));
        if !same_hall {
            let is_unreached = |vm: &&Name| !is_reached(vm) && !(connections.has_failed)(vm);
            let unreached: Vec<&Name> = vms.iter().filter(is_unreached).collect();
            drawn
                .reserve
                .extend(draw(&own.vm, &unreached, 1, same_hall));
        }
        if !same_hall && reached.len() < far_connected {
            let apart = vms.iter().filter(|vm| (connections.is_apart)(vm));
            let apart: Vec<&Name> = apart.collect();
            let missing = far_connected - reached.len();
            let chosen = apart.choose_multiple(&mut rand::rng(), missing);
            drawn.to_dial.extend(chosen.map(|vm| (*vm).clone()));
        }
    }
    if drawn.candidates.is_empty() {
        // An offer waits for its connection.
        for (hall, vms) in halls.iter().copied() {
            let all: Vec<&Name> = vms.iter().collect();
            let same_hall = *hall == own.hall;
            drawn
                .candidates
                .extend(draw(&own.vm, &all, FAR_CANDIDATES, same_hall));
        }
    }
    drawn
}

/// How many nodes of another hall a connection is kept to for a service.
fn far_connected(halls: &[(&Name, &[Name])], own: &Name) -> usize {
    let near = halls.iter().find(|(hall, _)| *hall == own);
    match near {
        None => FAR_CONNECTED_OF_NONE,
        Some((_, vms)) if vms.len() >= NEAR_CANDIDATES => FAR_CONNECTED_OF_MANY,
        Some(_) => FAR_CONNECTED,
    }
}

fn draw(me: &Name, vms: &[&Name], most: usize, same_hall: bool) -> Vec<Candidate> {
    let drawn = vms.choose_multiple(&mut rand::rng(), most);
    drawn
        .map(|vm| Candidate {
            vm: (*vm).clone(),
            same_hall,
            local: *vm == me,
        })
        .collect()
}
