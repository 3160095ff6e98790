//! Selects the registered upstreams that are candidates for a request.

use entry::Candidate;
use names::Name;
use rand::seq::IndexedRandom;
use registry::Fleet;

/// Maximum number of candidates from the own hall. If there are more upstreams, a random sample is
/// taken, so that the selection costs the same among hundreds.
const MAX_OWN_HALL_CANDIDATES: usize = 8;
/// Maximum number of candidates from each other hall.
const MAX_CROSS_HALL_CANDIDATES: usize = 3;
/// Nodes of each other hall to which connections are kept for each service that is called from this
/// node: one may fail, and connections between halls cost bytes.
const CROSS_HALL_LINKS: usize = 2;
/// The same where the own hall alone supplies the maximum number of candidates. At 295 VMs,
/// cross-hall connections made up half of the bytes between halls under low load, while they
/// carried only 250 offers.
const CROSS_HALL_LINKS_OWN_FULL: usize = 1;

/// The same where the own hall has no upstreams, because it is evacuated or down: all requests go
/// to other halls, and too few connections would concentrate them on too few upstreams.
const CROSS_HALL_LINKS_OWN_EMPTY: usize = 4;

/// Connection state of other nodes, and the evacuated halls, for the selection.
pub struct ConnectionStates<'a> {
    /// Whether a connection to the node is open. Nodes of the own hall are dialled repeatedly, so
    /// one without a connection is unreachable or gone.
    pub is_connected: &'a dyn Fn(&Name) -> bool,
    /// Whether there is no connection to the node and none is being opened.
    pub can_dial: &'a dyn Fn(&Name) -> bool,
    /// Whether opening a connection to the node has failed recently.
    pub has_failed_recently: &'a dyn Fn(&Name) -> bool,
    /// Whether the hall is evacuated, so that its upstreams get no new work.
    pub is_evacuated: &'a dyn Fn(&Name) -> bool,
}

/// The candidates for a request, and the nodes of other halls to which connections are to be opened
/// for subsequent requests.
#[derive(Debug, Default)]
pub struct Selection {
    /// Upstreams to which the request may be offered.
    pub candidates: Vec<Candidate>,
    /// One upstream without an open connection from each other hall. Without these, requests were
    /// refused after all connected upstreams had terminated, until a connection to another one was
    /// open.
    pub reserve: Vec<Candidate>,
    /// Nodes to which connections are to be opened.
    pub to_dial: Vec<Name>,
}

/// Selects candidates at random among the upstreams that are registered for `service` and accept
/// new work.
pub fn select(fleet: &Fleet, service: &Name, connections: &ConnectionStates<'_>) -> Selection {
    let own = fleet.own();
    let is_connected = |vm: &&Name| **vm == own.vm || (connections.is_connected)(vm);
    let mut selection = Selection::default();
    let accepts_work = |hall: &Name| !(connections.is_evacuated)(hall);
    let halls: Vec<(&Name, &[Name])> = fleet
        .ready(service.as_str())
        .filter(|(hall, _)| accepts_work(hall))
        .collect();
    let cross_hall_links = cross_hall_links(&halls, &own.hall);
    for (hall, vms) in halls.iter().copied() {
        let same_hall = *hall == own.hall;
        let connected: Vec<&Name> = vms.iter().filter(is_connected).collect();
        let limit = if same_hall {
            MAX_OWN_HALL_CANDIDATES
        } else {
            MAX_CROSS_HALL_CANDIDATES
        };
        selection
            .candidates
            .extend(sample(&own.vm, &connected, limit, same_hall));
        if !same_hall {
            let is_reserve =
                |vm: &&Name| !is_connected(vm) && !(connections.has_failed_recently)(vm);
            let reserve: Vec<&Name> = vms.iter().filter(is_reserve).collect();
            selection
                .reserve
                .extend(sample(&own.vm, &reserve, 1, same_hall));
        }
        if !same_hall && connected.len() < cross_hall_links {
            let dialable = vms.iter().filter(|vm| (connections.can_dial)(vm));
            let dialable: Vec<&Name> = dialable.collect();
            let missing = cross_hall_links - connected.len();
            let chosen = dialable.choose_multiple(&mut rand::rng(), missing);
            selection.to_dial.extend(chosen.map(|vm| (*vm).clone()));
        }
    }
    if selection.candidates.is_empty() {
        // The offer waits until its connection is open.
        for (hall, vms) in halls.iter().copied() {
            let all: Vec<&Name> = vms.iter().collect();
            let same_hall = *hall == own.hall;
            selection.candidates.extend(sample(
                &own.vm,
                &all,
                MAX_CROSS_HALL_CANDIDATES,
                same_hall,
            ));
        }
    }
    selection
}

/// Number of nodes of each other hall to which connections are kept for a service.
fn cross_hall_links(halls: &[(&Name, &[Name])], own_hall: &Name) -> usize {
    let in_own_hall = halls.iter().find(|(hall, _)| *hall == own_hall);
    match in_own_hall {
        None => CROSS_HALL_LINKS_OWN_EMPTY,
        Some((_, vms)) if vms.len() >= MAX_OWN_HALL_CANDIDATES => CROSS_HALL_LINKS_OWN_FULL,
        Some(_) => CROSS_HALL_LINKS,
    }
}

fn sample(own_vm: &Name, vms: &[&Name], limit: usize, same_hall: bool) -> Vec<Candidate> {
    let chosen = vms.choose_multiple(&mut rand::rng(), limit);
    chosen
        .map(|vm| Candidate {
            vm: (*vm).clone(),
            same_hall,
            local: *vm == own_vm,
        })
        .collect()
}
