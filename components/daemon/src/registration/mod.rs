//! Registered fleets: the upstream beside this node, the records of all nodes, and what is told to
//! the store and to the other nodes.

mod door;
mod health;
mod offer;
mod peers;
mod records;

pub use door::serve as serve_registrations;
pub use offer::store_for_peer;
pub use peers::{
    on_buckets, on_digest, on_record, on_versions, run_dials, send_to_other_halls, Source,
};
pub use records::{read_quarantined, run as run_records, withdraw};

use crate::home_driver;
use crate::links::Reply;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use audit::StartupRecords;
use era::Eras;
use evacuation::Evacuations;
use home::PriorStarts;
use names::{BootId, Moment, Name};
use platform::Adapter;
use quarantine::Fingerprint;
use registry::{
    ConfiguredUpstream, Declared, Fleet, Incarnation, Instance, LocalUpstream, Record, Version,
};
use rollout::InForce;
use settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use watch::PostponedPeers;

/// What a node keeps of a registered fleet.
pub struct Registration {
    /// Translates the platform's words.
    pub adapter: Box<dyn Adapter>,
    /// The upstream beside this node.
    pub local: RefCell<LocalUpstream>,
    /// All nodes.
    pub fleet: RefCell<Fleet>,
    /// Whether the records in the store were read.
    pub has_read_records: Cell<bool>,
    /// The store's era, and up to where the declarations were read in it.
    pub eras: RefCell<Eras>,
    /// Halls that are evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// Answers of the store with declarations that are being taken in.
    pub updates_in_progress: Cell<u32>,
    /// Records that arrive at the start and are told in one line.
    pub startup_records: RefCell<StartupRecords>,
    /// Peers that told of newer declarations while this node asked nobody.
    pub postponed: RefCell<PostponedPeers<Reply>>,
    /// Whether this node's record has been sent to open connections only, because its declarations are being read.
    announcement_deferred: Cell<bool>,
    /// Whether an upstream that this node has named is gone or replaced. Its record is not deferred from then on.
    upstream_replaced: Cell<bool>,
    /// Whether something was learned by a comparison of which nearby nodes have not been told.
    pub has_learned: Cell<bool>,
    /// When the upstream was last asked whether it still stands there; 0 for never.
    asked_upstream: Cell<Moment>,
    /// Records of other nodes that are being written to the store.
    storing: Cell<u32>,
    /// Says that this node's record has changed and has to be stored.
    changed: (Sender<()>, Receiver<()>),
}

impl Registration {
    /// A node that knows only itself.
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
            local: RefCell::default(),
            fleet: RefCell::new(Fleet::new(own)),
            has_read_records: Cell::new(false),
            eras: RefCell::new(Eras::new(boot.0)),
            evacuations: RefCell::default(),
            updates_in_progress: Cell::new(0),
            startup_records: RefCell::default(),
            postponed: RefCell::default(),
            announcement_deferred: Cell::new(false),
            upstream_replaced: Cell::new(false),
            has_learned: Cell::new(false),
            asked_upstream: Cell::new(Moment(0)),
            storing: Cell::new(0),
            changed: async_channel::bounded(1),
        }
    }

    /// Whether the upstream beside this node takes new work.
    pub fn is_ready(&self) -> bool {
        let ready = |upstream: &Instance| upstream.state == registry::State::Ready;
        self.local.borrow().current().is_some_and(ready)
    }

    /// Whether the upstreams of a hall get no new work, because operators say so.
    pub fn is_evacuated(&self, now: Moment, hall: &Name) -> bool {
        self.evacuations.borrow().is_evacuated(now, hall)
    }

    fn request_write(&self) {
        // A full channel means that the write is asked for already.
        self.changed.0.try_send(()).ok();
    }
}

/// Whether a word about the upstream beside this node may be believed: one that names another service or address than
/// the settings is not about it. When such words were believed, calls from this VM were made in the name of a service
/// that nobody has, and its upstream got no work any more.
pub fn matches_settings(
    node: &Node,
    registration: &Registration,
    told: &Instance,
    source: &'static str,
) -> bool {
    if registration.local.borrow().is_current(told) {
        // It was believed before, and goes on, whatever the settings say by now.
        return true;
    }
    let in_force = node.in_force();
    let declared = |service: &Name| declared(in_force.as_deref(), service);
    let beside = configured_upstream(node);
    let mismatch = beside.mismatch(told, declared);
    if let Some(mismatch) = mismatch {
        audit::wrong_upstream(told, &beside, mismatch, source);
    }
    mismatch.is_none()
}

/// What the settings say of the upstream beside this node.
pub fn configured_upstream(node: &Node) -> ConfiguredUpstream {
    let live = node.live.borrow();
    ConfiguredUpstream {
        service: live.service.clone(),
        address: live.upstream,
    }
}

/// What the declarations in force say of a service whose upstreams register.
pub fn declared(in_force: Option<&InForce>, service: &Name) -> Declared {
    match in_force {
        None => Declared::Unknown,
        Some(in_force) if in_force.declarations.registered.contains_key(service) => Declared::Yes,
        Some(_) => Declared::No,
    }
}

/// Has this node's record offered to the store when it is due: the store came back from an older copy.
pub fn schedule_offer(registration: &Registration) {
    registration.request_write();
}

/// Brings the home duty and this node's record in line with what is known of the upstream beside
/// it, and tells the others. `earlier`: whether an earlier run of this node may have sent it work.
pub fn on_local_change(node: &Rc<Node>, registration: &Registration, earlier: PriorStarts) {
    let current = registration.local.borrow().current().cloned();
    let before = registration.fleet.borrow().own().upstream.clone();
    let was_known = |run: &&Instance| {
        let run = run.incarnation();
        let mut before = before.iter();
        before.any(|before| before.incarnation().matches(&run))
    };
    if let Some(current) = current.as_ref().filter(|run| !was_known(run)) {
        let is_namesake = before
            .as_ref()
            .is_some_and(|before| before.id == current.id);
        let earlier = if is_namesake {
            PriorStarts::SameIdentity
        } else {
            earlier
        };
        home_driver::upstream_replaced(node, current, earlier);
    }
    home_driver::update_drain_state(node);
    publish(node, registration);
}

/// Tells the store and the other nodes what this node's record says, if it has changed.
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

/// Changes which requests this node's record holds, and tells the store and the other nodes.
pub fn set_quarantined(node: &Rc<Node>, registration: &Registration, held: Vec<Fingerprint>) {
    let own = registration
        .fleet
        .borrow_mut()
        .change_own(|own| own.quarantined = held);
    audit::own_record_changed(&own);
    peers::announce(node, registration, &own);
    registration.request_write();
}

/// The service of the upstream that stands beside this node.
pub fn local_service(registration: &Registration) -> Option<Name> {
    let local = registration.local.borrow();
    local.current().map(|run| run.service.clone())
}

/// The start of the upstream that stands beside this node.
pub fn local_incarnation(registration: &Registration) -> Option<Incarnation> {
    let local = registration.local.borrow();
    local.current().map(Instance::incarnation)
}
