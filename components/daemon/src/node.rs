//! The state of a node, shared by its tasks on one thread.

use crate::activation::Activation;
use crate::caller_name::CallerName;
use crate::containment::Containment;
pub use crate::jobs::{Job, Parent, Waiter};
use crate::links::{Link, Reply};
use crate::registration::Registration;
use crate::relay::RelayResult;
use crate::reload::Live;
use crate::store;
use crate::wakeup::Wakeup;
use crate::watching::PlatformState;
use async_channel::Sender;
use budget::{Gate, HallBudget};
use clock::Clock;
use declarations::{Route, Service};
use entry::{Candidate, Entry, RetryBudgetConfig, SelectionRule, WeightedRoundRobin};
use evacuation::Evacuated;
use home::{Home, Load};
use keys::{ClaimReply, Claims, KeyHash, KeyTable, KEY_RETENTION_US};
use membership::View;
use names::{AttemptId, BootId, Moment, Name, MILLISECOND};
use platform::{Adapter, Client};
use quarantine::Fingerprint;
use quota::{Bounds, Quotas};
use returning::CallerRetries;
use rollout::{Fetch, InForce, Rollout, Summary};
use settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use upstream::Pool;
use watch::{FirstRead, Timing, WaitingCallers, Watch};
use wire::{Answer, RelayOutcome};

/// Keys that a node remembers at most.
const MAX_KEYS: usize = 100_000;
/// Whole answers kept for repeated keys.
const MAX_KEY_ANSWERS: usize = 256;

/// Heartbeats to other nodes in a hall whose operators set no budget in this product's own form: a
/// node at which something waits is asked a few times a second.
const REGISTERED_MESSAGES_PER_S: f64 = 400.0;

/// Part of the looks that the operators allow: another start of the node may have used some of the
/// same second's.
const LOOKS_PART: f64 = 0.8;

/// Regular work that is late by so much means that the process was paused, in microseconds.
const PAUSE_US: u64 = 1_000 * MILLISECOND;

/// The type of a whole answer in all state machines.
pub type SharedAnswer = Arc<Answer>;

/// Questions to other nodes that wait for an answer: where it goes, and who was asked.
pub type PendingQueries<T> = HashMap<AttemptId, (Sender<T>, Name)>;

/// Keys that a node knows, and for how long there may be others, in microseconds.
pub type KnownKeys = (Vec<KeyHash>, u64);

/// When a group ended, and its upstreams.
pub type FormerGroup = (Moment, Vec<Name>);

/// Between the identity of a request and what a call made for it adds.
const CHILD_SEPARATOR: char = '.';

/// Everything that the tasks of a node share. One thread runs them all, so no lock is needed; a
/// borrow never lives across an `await`.
pub struct Node {
    /// Settings.
    pub cfg: Settings,
    /// The part of the settings that changes while the node runs.
    pub live: Rc<RefCell<Live>>,
    /// The name in which calls from this VM are made.
    pub caller_name: CallerName,
    /// Boot of this process.
    pub boot: BootId,
    /// Clock.
    pub clock: Clock,
    /// When this process started.
    pub started: Moment,
    /// Home duty, on a node that has an upstream.
    pub home: RefCell<Option<Home<SharedAnswer>>>,
    /// Requests the home duty has taken in.
    pub jobs: RefCell<HashMap<AttemptId, Job>>,
    /// Connections to the upstream.
    pub pool: Option<Rc<Pool>>,
    /// The connection over which the upstream is asked about itself.
    pub probe_pool: Option<Rc<Pool>>,
    /// Entry duty.
    pub entry: RefCell<Entry>,
    /// Attempts that have not ended.
    pub waiters: RefCell<HashMap<AttemptId, Waiter>>,
    /// Relays that have not ended, with the node they went to.
    pub relays: RefCell<PendingQueries<RelayResult>>,
    /// Claims that have not been answered.
    pub claim_waiters: RefCell<PendingQueries<ClaimReply<SharedAnswer>>>,
    /// Questions of a new boot that have not been answered.
    pub recoveries: RefCell<PendingQueries<Option<KnownKeys>>>,
    /// Counter of relays and claims.
    next_query_seq: Cell<u64>,
    /// Connections to other nodes.
    pub links: RefCell<HashMap<Name, Link>>,
    /// Connections from other nodes.
    pub incoming: RefCell<HashMap<u64, Reply>>,
    /// Idempotency keys this node coordinates.
    pub keys: RefCell<KeyTable<SharedAnswer>>,
    /// Idempotency keys granted or run at the upstream beside this node.
    pub claims: RefCell<Claims>,
    /// Relays that wait for the same key.
    pub key_waiters: RefCell<HashMap<KeyHash, Vec<Sender<RelayOutcome>>>>,
    /// Measuring budget.
    pub gate: RefCell<Gate>,
    /// Declarations in force.
    pub rollout: RefCell<Rollout>,
    /// Whom it asks for what it lacks.
    pub fetch: RefCell<Fetch>,
    /// Groups that services had within the key window, with the time of their end.
    pub former_groups: RefCell<HashMap<Name, Vec<FormerGroup>>>,
    /// Fleet as this node sees it.
    pub view: RefCell<View>,
    /// Whether this node asks the platform for news.
    pub watch: RefCell<Watch>,
    /// The first read of the declarations, before which other work waits.
    pub first_read: RefCell<FirstRead>,
    /// Callers that wait for the first declarations.
    pub startup_waiters: WaitingCallers,
    /// Wakes them when declarations come into force or their first read ends.
    pub first_declarations: Wakeup,
    /// Wakes callers that wait for an upstream when other nodes have become known.
    pub fleet_change: Wakeup,
    /// Platform's object API.
    pub platform: Rc<Client>,
    /// The registered fleet; none where the platform lists the VMs.
    pub registration: Option<Rc<Registration>>,
    /// Requests under which upstreams ended.
    pub containment: Containment,
    /// Shares and tokens of limited client accounts.
    pub quotas: Quotas,
    /// Requests that this node has refused and whose callers may come back.
    pub caller_retries: RefCell<CallerRetries<Fingerprint>>,
    /// Whether functions whose mode is `auto` are on.
    pub activation: Activation,
    /// Turns of the services among which routes are split.
    pub splits: RefCell<HashMap<Name, WeightedRoundRobin>>,
    /// What the platform last said of itself.
    pub platform_state: RefCell<PlatformState>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Whether a planned stop has come so far that callers are refused.
    pub closing: Cell<bool>,
    /// Whether a planned stop has come so far that the upstream gets no new work.
    pub drained_by_stop: Cell<bool>,
    /// Whether an operator drains the upstream.
    pub drained_by_operator: Cell<bool>,
    /// Whether the upstream said that it is leaving.
    pub drained_by_upstream: Cell<bool>,
    /// When the node's regular work last ran; long ago means that the process was paused.
    pub last_tick: Cell<Moment>,
    /// Until when this boot may not know keys that its predecessor used.
    pub unclean_until: Cell<Moment>,
    /// Whether the platform is being asked if another boot took over during a pause.
    pub checking_pause: Cell<bool>,
    /// Requests of callers and relays in progress.
    pub open_calls: Cell<usize>,
    /// Connections of callers.
    pub caller_connections: Cell<usize>,
    /// Connections of peers that have not proved themselves.
    pub unauthenticated_peers: Cell<usize>,
}

impl Node {
    /// A node that has just started.
    pub fn new(cfg: Settings, adapter: Option<Box<dyn Adapter>>) -> Rc<Node> {
        let clock = Clock::start();
        let boot = BootId::random();
        let registration = adapter.map(|adapter| Rc::new(Registration::new(&cfg, boot, adapter)));
        let home = cfg.upstream.map(|_| {
            let limits = home::Config {
                slots: cfg.slots,
                usable_fraction: cfg.usable,
                adaptive: registration.is_none(),
                can_probe: cfg.looks_per_s > 0 && registration.is_some(),
                seed: boot.0,
                ..home::Config::default()
            };
            Home::new(boot, limits)
        });
        let pool = cfg.upstream.map(|address| Rc::new(pool(&cfg, address)));
        let probe_pool = cfg
            .upstream
            .map(|address| Rc::new(probe_pool(&cfg, address)));
        Rc::new(Node {
            home: RefCell::new(home),
            jobs: RefCell::default(),
            pool,
            probe_pool,
            entry: RefCell::new(Entry::new(boot, rule(&cfg.rule), boot.0)),
            waiters: RefCell::default(),
            relays: RefCell::default(),
            claim_waiters: RefCell::default(),
            recoveries: RefCell::default(),
            next_query_seq: Cell::new(0),
            links: RefCell::default(),
            incoming: RefCell::default(),
            keys: RefCell::new(KeyTable::new(MAX_KEYS, MAX_KEY_ANSWERS)),
            claims: RefCell::new(Claims::new(MAX_KEYS)),
            key_waiters: RefCell::default(),
            gate: RefCell::new(Gate::new(clock.now())),
            rollout: RefCell::default(),
            fetch: RefCell::default(),
            former_groups: RefCell::default(),
            view: RefCell::default(),
            watch: RefCell::new(watch(&cfg, clock.now(), boot)),
            first_read: RefCell::new(FirstRead::new(clock.now())),
            startup_waiters: WaitingCallers::default(),
            first_declarations: Wakeup::default(),
            fleet_change: Wakeup::default(),
            platform: Rc::new(Client::new(cfg.platform.clone())),
            registration,
            containment: Containment::new(clock.now()),
            quotas: Quotas::new(bounds(&cfg), clock.now()),
            caller_retries: RefCell::default(),
            activation: Activation::default(),
            splits: RefCell::default(),
            platform_state: RefCell::default(),
            stopping: Cell::new(false),
            closing: Cell::new(false),
            drained_by_stop: Cell::new(false),
            drained_by_operator: Cell::new(false),
            drained_by_upstream: Cell::new(false),
            last_tick: Cell::new(clock.now()),
            unclean_until: Cell::new(Moment(0)),
            checking_pause: Cell::new(false),
            open_calls: Cell::new(0),
            caller_connections: Cell::new(0),
            unauthenticated_peers: Cell::new(0),
            live: Rc::new(RefCell::new(Live::from_settings(&cfg))),
            caller_name: CallerName::default(),
            started: clock.now(),
            clock,
            boot,
            cfg,
        })
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether the process seems to have been paused and its regular work has not run since.
    pub fn was_paused(&self) -> bool {
        self.now().since(self.last_tick.get()) > PAUSE_US
    }

    /// How long a request that is read now may have waited because the process was paused, in
    /// microseconds.
    pub fn paused_for_us(&self) -> u64 {
        if self.was_paused() {
            self.now().since(self.last_tick.get())
        } else {
            0
        }
    }

    /// The revision by which a request that arrives now is served.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.rollout.borrow().in_force()
    }

    /// Where another node serves peers, if it is known.
    pub fn address_of(&self, vm: &Name) -> Option<String> {
        if let Some(registration) = &self.registration {
            let fleet = registration.fleet.borrow();
            return fleet.record(vm).map(|record| record.peers.clone());
        }
        self.view.borrow().vm(vm).map(|vm| vm.peers.clone())
    }

    /// The hall of another node, if it is known.
    pub fn hall_of(&self, vm: &Name) -> Option<Name> {
        if let Some(registration) = &self.registration {
            let fleet = registration.fleet.borrow();
            return fleet.record(vm).map(|record| record.hall.clone());
        }
        self.view.borrow().vm(vm).map(|vm| vm.hall.clone())
    }

    /// The start of another node that is known from its record.
    pub fn boot_of(&self, vm: &Name) -> Option<BootId> {
        let registration = self.registration.as_ref()?;
        let fleet = registration.fleet.borrow();
        fleet.record(vm).map(|record| record.boot)
    }

    /// The other nodes, with whether each is in this node's hall.
    pub fn other_nodes(&self) -> Vec<(Name, bool)> {
        if let Some(registration) = &self.registration {
            let fleet = registration.fleet.borrow();
            let others = fleet.others();
            return others
                .map(|record| (record.vm.clone(), record.hall == self.cfg.hall))
                .collect();
        }
        let view = self.view.borrow();
        let others = view.list().vms.iter().filter(|vm| vm.name != self.cfg.vm);
        others
            .map(|vm| (vm.name.clone(), vm.hall == self.cfg.hall))
            .collect()
    }

    /// What this node knows, for its peers.
    pub fn summary(&self) -> Summary {
        let rollout = self.rollout.borrow();
        Summary {
            revision: rollout.revision(),
            bytes: rollout.bytes(),
            change_bytes: rollout.change_bytes(),
            list_version: self.view.borrow().list().version,
            confirmed_us_ago: self.watch.borrow().age_us(self.now()),
            era: store::known_era(self),
            content_id: rollout.content_id(),
            read_at: rollout.read_at(),
            evacuated: self.evacuated(),
        }
    }

    /// Halls that are evacuated, as far as that is known.
    fn evacuated(&self) -> Option<Evacuated> {
        let registration = self.registration.as_ref()?;
        registration.evacuations.borrow().known().cloned()
    }

    /// State of the upstream beside this node.
    pub fn load(&self) -> Load {
        let now = self.now();
        self.home
            .borrow()
            .as_ref()
            .map(|home| home.load(now))
            .unwrap_or_default()
    }

    /// Whether any source says that the upstream beside this node is leaving.
    pub fn is_draining(&self) -> bool {
        self.drained_by_stop.get()
            || self.drained_by_operator.get()
            || self.drained_by_upstream.get()
            || match &self.registration {
                Some(registration) => {
                    !registration.is_ready()
                        || registration.is_evacuated(self.now(), &self.cfg.hall)
                }
                None => self.view.borrow().is_leaving(&self.cfg.vm),
            }
    }

    /// The request for which the upstream beside this node makes the call with this identity: its
    /// identity is the request's, with something added.
    pub fn parent_of(&self, id: &str) -> Option<Parent> {
        let (parent, _) = id.rsplit_once(CHILD_SEPARATOR)?;
        let jobs = self.jobs.borrow();
        let job = jobs.values().find(|job| job.req.id == parent)?;
        Some(Parent {
            level: job.req.level,
            priority: job.priority,
            repeat: job.repeat,
            account: job.req.account.clone(),
        })
    }

    /// The service whose turn it is on a route.
    pub fn select_service(&self, route: &Route) -> Name {
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        let weights = route.shares.iter().map(|share| share.weight);
        let share = split.next(weights, &mut rand::rng()).unwrap_or(0);
        route.shares[share].service.clone()
    }

    /// Takes in that the number of known nodes may have changed.
    pub fn fleet_changed(&self) {
        let Some(registration) = &self.registration else {
            return;
        };
        let nodes = registration.fleet.borrow().len();
        let limit = self.live.borrow().retries;
        let rate = RetryBudgetConfig::node_share(limit.ratio, limit.slack, nodes);
        self.entry.borrow_mut().set_retry_config(rate);
        self.refresh_budget();
        self.fleet_change.wake();
    }

    /// The upstreams that may serve `service`: declared, known to the platform and not leaving.
    pub fn candidates(&self, in_force: &InForce, service: &Service) -> Vec<Candidate> {
        let view = self.view.borrow();
        in_force
            .declarations
            .upstreams(service)
            .iter()
            .filter(|vm| !view.is_leaving(vm))
            .filter_map(|vm| {
                let listed = view.vm(vm)?;
                Some(Candidate {
                    vm: vm.clone(),
                    same_hall: listed.hall == self.cfg.hall,
                    local: *vm == self.cfg.vm,
                })
            })
            .collect()
    }

    /// A fresh identity for a relay or a claim.
    pub fn next_query_id(&self) -> AttemptId {
        let seq = self.next_query_seq.get();
        self.next_query_seq.set(seq + 1);
        AttemptId {
            boot: self.boot,
            seq,
        }
    }

    /// `current` and every other upstream that was in the service's group within the key window.
    pub fn members_within_window(&self, service: &Name, current: &[Name]) -> Vec<Name> {
        let now = self.now();
        let mut members = current.to_vec();
        let former_groups = self.former_groups.borrow();
        for (at, before) in former_groups.get(service).into_iter().flatten() {
            if now.since(*at) > KEY_RETENTION_US {
                continue;
            }
            for vm in before {
                if !members.contains(vm) {
                    members.push(vm.clone());
                }
            }
        }
        members
    }

    /// Sets the measuring budget from the declarations and the fleet.
    pub fn refresh_budget(&self) {
        let measuring = self
            .in_force()
            .and_then(|in_force| in_force.declarations.halls.get(&self.cfg.hall).copied());
        let measuring = measuring.unwrap_or_default();
        let mut hall = HallBudget {
            messages_per_s: measuring.messages_per_s,
            slot_us_per_s: measuring.slot_us_per_s,
        };
        let mut nodes = self.view.borrow().in_hall(&self.cfg.hall).count() as u32;
        if let Some(registration) = &self.registration {
            let fleet = registration.fleet.borrow();
            nodes = fleet.in_hall(&self.cfg.hall).count() as u32;
            hall.messages_per_s = hall.messages_per_s.max(REGISTERED_MESSAGES_PER_S);
        }
        let now = self.now();
        let mut gate = self.gate.borrow_mut();
        gate.set_hall_budget(now, hall, nodes);
        gate.set_probe_rate(now, f64::from(self.cfg.looks_per_s) * LOOKS_PART);
    }
}

fn pool(cfg: &Settings, address: SocketAddr) -> Pool {
    let warm = cfg.warm_connections;
    Pool::new(address, warm, cfg.max_body_bytes, cfg.end_by_close)
}

/// One connection is enough: one look serves all starts that wait.
fn probe_pool(cfg: &Settings, address: SocketAddr) -> Pool {
    Pool::new(address, 1, cfg.max_body_bytes, cfg.end_by_close)
}

fn watch(cfg: &Settings, now: Moment, boot: BootId) -> Watch {
    let timing = Timing::for_bound(cfg.in_force_within_ms * MILLISECOND);
    Watch::new(cfg.vm.clone(), timing, now, cfg.first_start, boot.0)
}

fn bounds(cfg: &Settings) -> Bounds {
    Bounds {
        overshoot: cfg.accounts.overshoot,
        slack: cfg.accounts.slack,
        window_s: cfg.accounts.window_ms as f64 / 1_000.0,
    }
}

fn rule(name: &str) -> SelectionRule {
    match name {
        "random" => SelectionRule::Random,
        "priced" => SelectionRule::Priced,
        "two-choices" => SelectionRule::TwoChoices,
        _ => SelectionRule::Expected,
    }
}
