//! Registered fleets: the local upstream, the records of all nodes, and their distribution to the
//! store and to the other nodes.

mod confirm;
mod departures;
mod door;
mod health;
mod offer;
mod operator_drain;
mod peers;
mod records;

pub use door::serve as serve_registrations;
pub use offer::store_for_peer;
pub use operator_drain::store as store_operator_drain;
pub use peers::{
    on_buckets, on_digest, on_misdirected, on_record, on_versions, run_dials, send_to_other_halls,
    Source,
};
pub use records::{read_quarantined, run as run_records, withdraw};

use crate::home_driver;
use crate::links::Reply;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use async_std::sync::Mutex;
use audit::StartupRecords;
use confirm::ConfirmingWrite;
use departures::PredecessorGate;
use era::Eras;
use evacuation::Evacuations;
use home::PriorStarts;
use names::{BootId, Moment, Name, MILLISECOND};
use platform::Adapter;
use quarantine::Fingerprint;
use records::StoreContent;
use registry::{
    ConfiguredUpstream, Declared, Fleet, Incarnation, Instance, LocalUpstream, Record, Version,
};
use rollout::InForce;
use settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use watch::PostponedPeers;

/// A node's state in a registered fleet.
pub struct Registration {
    /// Translates the platform's formats.
    pub adapter: Box<dyn Adapter>,
    pub local: RefCell<LocalUpstream>,
    /// Records of all nodes.
    pub fleet: RefCell<Fleet>,
    /// Whether the records in the store have been read.
    pub has_read_records: Cell<bool>,
    /// The store's era, and the position up to which the declarations were read in it.
    pub eras: RefCell<Eras>,
    pub evacuations: RefCell<Evacuations>,
    /// Answers of the store with declarations that are being applied.
    pub updates_in_progress: Cell<u32>,
    /// Records that arrive at the start and are logged in one line.
    pub startup_records: RefCell<StartupRecords>,
    /// Peers that reported newer declarations while this node was not allowed to query them.
    pub postponed: RefCell<PostponedPeers<Reply>>,
    /// Whether this node's record was sent over open connections only, because the first
    /// declarations are being read.
    announcement_deferred: Cell<bool>,
    /// Whether an upstream that this node's record named is gone or was replaced. From then on the
    /// record is not deferred.
    upstream_replaced: Cell<bool>,
    /// Whether records have arrived by a comparison that the nodes of the hall are not notified of.
    pub has_new_records: Cell<bool>,
    /// Time of the last check of the upstream's identity on a registration of another one; 0 for
    /// never.
    identity_checked_at: Cell<Moment>,
    /// Writes of other nodes' records to the store that are in progress.
    peer_writes: Cell<u32>,
    /// What the store holds of this node.
    stored: RefCell<StoreContent>,
    /// Held during a write of this node's record.
    writing: Mutex<()>,
    predecessor: PredecessorGate,
    /// Reports that wait until the predecessor's departures are known.
    reports_held: Cell<u32>,
    /// Whether it is known if operators have drained the upstream: from the record of the earlier
    /// boot, or from a command to this one.
    operator_drain_known: Cell<bool>,
    confirming_write: ConfirmingWrite,
    /// Signals that this node's record has changed and has to be written to the store.
    write_requests: (Sender<()>, Receiver<()>),
}

impl Registration {
    /// Creates the state of a node that knows only itself.
    pub fn new(cfg: &Settings, boot: BootId, adapter: Box<dyn Adapter>) -> Registration {
        let own = Record {
            vm: cfg.vm.clone(),
            hall: cfg.hall.clone(),
            peers: cfg.peers_told.unwrap_or(cfg.peers).to_string(),
            boot,
            version: Version {
                generation: 1,
                change: 0,
            },
            serving: true,
            upstream: None,
            quarantined: Vec::new(),
        };
        Registration {
            adapter,
            local: RefCell::new(LocalUpstream::registering_every(
                cfg.registers_every_ms * MILLISECOND,
            )),
            fleet: RefCell::new(Fleet::new(own)),
            has_read_records: Cell::new(false),
            eras: RefCell::new(Eras::new(boot.0)),
            evacuations: RefCell::default(),
            updates_in_progress: Cell::new(0),
            startup_records: RefCell::default(),
            postponed: RefCell::default(),
            announcement_deferred: Cell::new(false),
            upstream_replaced: Cell::new(false),
            has_new_records: Cell::new(false),
            identity_checked_at: Cell::new(Moment(0)),
            peer_writes: Cell::new(0),
            stored: RefCell::default(),
            writing: Mutex::new(()),
            predecessor: PredecessorGate::default(),
            reports_held: Cell::new(0),
            operator_drain_known: Cell::new(false),
            confirming_write: ConfirmingWrite::default(),
            write_requests: async_channel::bounded(1),
        }
    }

    /// Whether the local upstream accepts new work.
    pub fn is_ready(&self) -> bool {
        let ready = |upstream: &Instance| upstream.state == registry::State::Ready;
        self.local.borrow().current().is_some_and(ready)
    }

    /// Whether the upstreams of a hall get no new work, because the operators evacuated it.
    pub fn is_evacuated(&self, now: Moment, hall: &Name) -> bool {
        self.evacuations.borrow().is_evacuated(now, hall)
    }

    fn request_write(&self) {
        // A full channel means that a write is already requested.
        self.write_requests.0.try_send(()).ok();
    }
}

/// Whether a report about the local upstream matches the settings. One that names another service
/// or address is not about it and must be rejected: otherwise calls from this VM are attributed
/// to a service that no VM runs, and its upstream gets no more work.
pub fn matches_settings(
    node: &Node,
    registration: &Registration,
    reported: &Instance,
    source: &'static str,
) -> bool {
    if registration.local.borrow().is_current(reported) {
        // It was accepted before, and continues to run whatever the settings say now.
        return true;
    }
    let in_force = node.in_force();
    let declared = |service: &Name| declared(in_force.as_deref(), service);
    let configured = configured_upstream(node);
    let mismatch = configured.mismatch(reported, declared);
    if let Some(mismatch) = mismatch {
        audit::wrong_upstream(reported, &configured, mismatch, source);
    }
    mismatch.is_none()
}

/// The local upstream as the settings describe it.
pub fn configured_upstream(node: &Node) -> ConfiguredUpstream {
    let live = node.live.borrow();
    ConfiguredUpstream {
        service: live.service.clone(),
        address: live.upstream,
    }
}

/// Whether the declarations in force declare a service whose upstreams register.
pub fn declared(in_force: Option<&InForce>, service: &Name) -> Declared {
    match in_force {
        None => Declared::Unknown,
        Some(in_force) if in_force.declarations.registered.contains_key(service) => Declared::Yes,
        Some(_) => Declared::No,
    }
}

/// Schedules the offer of this node's record after the store was restored from an older copy.
pub fn schedule_offer(registration: &Registration) {
    registration.stored.borrow_mut().forget_departed();
    registration.request_write();
}

/// Updates the home duty and this node's record after a change of the local upstream, and announces
/// the record. `prior_starts`: what earlier boots of this node may have sent to the upstream.
pub fn on_local_change(node: &Rc<Node>, registration: &Registration, prior_starts: PriorStarts) {
    let current = registration.local.borrow().current().cloned();
    let before = registration.fleet.borrow().own().upstream.clone();
    let was_known = |instance: &&Instance| {
        let instance = instance.incarnation();
        let mut before = before.iter();
        before.any(|before| before.incarnation().matches(&instance))
    };
    if let Some(current) = current.as_ref().filter(|instance| !was_known(instance)) {
        let has_same_id = before
            .as_ref()
            .is_some_and(|before| before.id == current.id);
        let prior_starts = if has_same_id {
            PriorStarts::SameIdentity
        } else {
            prior_starts
        };
        home_driver::upstream_replaced(node, current, prior_starts);
    }
    home_driver::update_drain_state(node);
    publish(node, registration);
}

/// Updates this node's record, and if it has changed announces it and requests a write to the
/// store.
pub fn publish(node: &Rc<Node>, registration: &Registration) {
    let upstream = registration.local.borrow().current().cloned();
    let serving = !node.drained_by_stop.get() && !node.drained_by_operator.get();
    let own = registration.fleet.borrow().own().clone();
    if own.upstream == upstream && own.serving == serving {
        return;
    }
    if registry::is_replaced(own.upstream.as_ref(), upstream.as_ref()) {
        registration.upstream_replaced.set(true);
    }
    let own = registration.fleet.borrow_mut().change_own(|own| {
        own.upstream = upstream;
        own.serving = serving;
    });
    audit::own_record_changed(&own);
    peers::announce(node, registration, &own);
    registration.request_write();
}

/// Changes the quarantined requests in this node's record, announces it and requests a write to the
/// store.
pub fn set_quarantined(
    node: &Rc<Node>,
    registration: &Registration,
    fingerprints: Vec<Fingerprint>,
) {
    let own = registration
        .fleet
        .borrow_mut()
        .change_own(|own| own.quarantined = fingerprints);
    audit::own_record_changed(&own);
    peers::announce(node, registration, &own);
    registration.request_write();
}

/// The service of the local upstream.
pub fn local_service(registration: &Registration) -> Option<Name> {
    let local = registration.local.borrow();
    local.current().map(|instance| instance.service.clone())
}

/// The incarnation of the local upstream.
pub fn local_incarnation(registration: &Registration) -> Option<Incarnation> {
    let local = registration.local.borrow();
    local.current().map(Instance::incarnation)
}

/// The incarnation of the upstream on `vm`, as far as this node knows; none where the platform lists
/// the VMs.
pub fn upstream_of(node: &Node, vm: &Name) -> Option<Incarnation> {
    let fleet = node.registration.as_ref()?.fleet.borrow();
    let upstream = fleet.record(vm)?.upstream.as_ref()?;
    Some(upstream.incarnation())
}

/// Whether the upstream on `vm` is of `service` and accepts new work, as far as this node knows.
pub fn serves(node: &Node, vm: &Name, service: &Name) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    let fleet = registration.fleet.borrow();
    let record = fleet.record(vm).filter(|record| record.is_ready());
    let upstream = record.and_then(|record| record.upstream.as_ref());
    upstream.is_some_and(|upstream| upstream.service == *service)
}
