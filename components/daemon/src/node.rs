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
use budget::HallBudget;
use buffers::Gate;
use clock::Clock;
use declarations::{Route, Service};
use entry::{Candidate, Entry, RetryBudgetConfig, SelectionRule, WeightedRoundRobin};
use evacuation::Evacuated;
use home::{AnswerLimit, Home, Load};
use keys::{ClaimReply, Claims, KeyHash, KeyTable, KEY_RETENTION_US};
use membership::View;
use names::{AttemptId, BootId, Moment, Name, MILLISECOND};
use platform::{Adapter, Client};
use quarantine::Fingerprint;
use quota::{Bounds, Quotas};
use returning::CallerRetries;
use rollout::{Fetch, InForce, Rollout, Summary};
use settings::Settings;
use shutdown::{Intake, Plan};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use upstream::Pool;
use watch::{FirstRead, Timing, WaitingCallers, Watch};
use wire::{Answer, RelayOutcome};

/// Maximum number of idempotency keys that a node remembers.
const MAX_KEYS: usize = 100_000;
/// Maximum number of complete answers kept for repeated keys.
const MAX_KEY_ANSWERS: usize = 256;

/// Minimum budget for messages between the nodes of a hall per second where nodes register. The
/// operators set no budget there, and a node with queued requests receives a few heartbeats per
/// second.
const REGISTERED_MESSAGES_PER_S: f64 = 400.0;

/// Fraction of the health probes that the operators allow per second. The rest is left for an
/// earlier boot of the node, which may have sent some in the same second.
const PROBE_RATE_FRACTION: f64 = 0.8;

/// When the last tick is older than this, the process was paused, in microseconds.
const PAUSE_US: u64 = 1_000 * MILLISECOND;

/// A complete answer as the state machines share it.
pub type SharedAnswer = Arc<Answer>;

/// Queries to other nodes that have not been answered: the channel for the reply, and the queried
/// node.
pub type PendingQueries<T> = HashMap<AttemptId, (Sender<T>, Name)>;

/// Idempotency keys that a node knows, and for how long there may be others, in microseconds.
pub type KnownKeys = (Vec<KeyHash>, u64);

/// An earlier group of a service: when it was replaced, and its upstreams.
pub type FormerGroup = (Moment, Vec<Name>);

/// Separates the id of a request from the suffix in the ids of calls made on its behalf.
const CHILD_SEPARATOR: char = '.';

/// Interval of checks for the end of the intake, besides the wake-up.
const INTAKE_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// The state that the tasks of a node share. One thread runs them all, so no lock is needed. A
/// borrow is never held across an `await`.
pub struct Node {
    /// Settings as they were at the start.
    pub cfg: Settings,
    /// Settings that can be reloaded while the node runs.
    pub live: Rc<RefCell<Live>>,
    /// The service to which calls from this VM are attributed.
    pub caller_name: CallerName,
    /// Boot of this process.
    pub boot: BootId,
    /// The node's clock.
    pub clock: Clock,
    /// When this process started.
    pub started: Moment,
    /// Home duty, on a node that has an upstream.
    pub home: RefCell<Option<Home<SharedAnswer>>>,
    /// Requests that the home duty has accepted.
    pub jobs: RefCell<HashMap<AttemptId, Job>>,
    /// What connections hold, and which may read on.
    pub buffers: Rc<Gate>,
    /// Connections to the upstream.
    pub pool: Option<Rc<Pool>>,
    /// The connection for health probes of the upstream.
    pub probe_pool: Option<Rc<Pool>>,
    /// Entry duty.
    pub entry: RefCell<Entry>,
    /// Offered attempts whose outcome is pending.
    pub waiters: RefCell<HashMap<AttemptId, Waiter>>,
    /// Relays whose outcome is pending, with the node that they were sent to.
    pub relays: RefCell<PendingQueries<RelayResult>>,
    /// Claims that wait for a reply.
    pub claim_waiters: RefCell<PendingQueries<ClaimReply<SharedAnswer>>>,
    /// Queries for used keys, sent by a new boot, that wait for a reply.
    pub recoveries: RefCell<PendingQueries<Option<KnownKeys>>>,
    /// Sequence number of the next relay, claim or other query.
    next_query_seq: Cell<u64>,
    /// Connections to other nodes.
    pub links: RefCell<HashMap<Name, Link>>,
    /// Connections from other nodes.
    pub incoming: RefCell<HashMap<u64, Reply>>,
    /// Idempotency keys that this node coordinates.
    pub keys: RefCell<KeyTable<SharedAnswer>>,
    /// Idempotency keys that this node has granted or that its local upstream has run.
    pub claims: RefCell<Claims>,
    /// Relays that wait for a run of the same key.
    pub key_waiters: RefCell<HashMap<KeyHash, Vec<Sender<RelayOutcome>>>>,
    /// Measuring budget.
    pub gate: RefCell<budget::Gate>,
    /// Declarations in force.
    pub rollout: RefCell<Rollout>,
    /// Decides from which node a newer revision is fetched.
    pub fetch: RefCell<Fetch>,
    /// Groups that services had within the key window, with the time at which they were replaced.
    pub former_groups: RefCell<HashMap<Name, Vec<FormerGroup>>>,
    /// The VMs as the platform lists them.
    pub view: RefCell<View>,
    /// Watch duty, by which a node decides whether it polls the platform for updates.
    pub watch: RefCell<Watch>,
    /// The first read of the declarations after the start; other work waits for it.
    pub first_read: RefCell<FirstRead>,
    /// Callers that wait for the first declarations.
    pub startup_waiters: WaitingCallers,
    /// Wakes `startup_waiters` when declarations come into force or the first read ends.
    pub first_declarations: Wakeup,
    /// Wakes callers that wait for an upstream when the set of known nodes changes.
    pub fleet_change: Wakeup,
    /// Client of the platform's object API.
    pub platform: Rc<Client>,
    /// The registered fleet; `None` where the platform lists the VMs.
    pub registration: Option<Rc<Registration>>,
    /// Requests during which upstreams terminated.
    pub containment: Containment,
    /// Shares and tokens of client accounts with a rate limit.
    pub quotas: Quotas,
    /// Refused requests that their callers may retry.
    pub caller_retries: RefCell<CallerRetries<Fingerprint>>,
    /// Whether functions whose mode is `auto` are on.
    pub activation: Activation,
    /// Selects the service of each request on a route that is split, by route.
    pub splits: RefCell<HashMap<Name, WeightedRoundRobin>>,
    /// State of the platform as the last calls to it showed.
    pub platform_state: RefCell<PlatformState>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Which requests of callers are accepted, once a planned stop has begun.
    pub intake: RefCell<Option<Intake>>,
    /// Wakes tasks that wait for the end of the intake.
    pub intake_closed: Wakeup,
    /// Whether a planned stop has reached the phase in which the upstream gets no new work.
    pub drained_by_stop: Cell<bool>,
    /// Whether an operator has drained the upstream.
    pub drained_by_operator: Cell<bool>,
    /// Whether the upstream has announced that it is draining.
    pub drained_by_upstream: Cell<bool>,
    /// Time of the last tick; when it is older than `PAUSE_US`, the process was paused.
    pub last_tick: Cell<Moment>,
    /// Until when the predecessor of this boot may have used keys that this one does not know.
    pub unclean_until: Cell<Moment>,
    /// Whether this boot is checking with the platform that no other boot took over in a pause.
    pub checking_pause: Cell<bool>,
    /// Callers' requests and relays in progress.
    pub open_calls: Cell<usize>,
    /// Those of them whose body has not arrived yet.
    pub incomplete_requests: Cell<usize>,
    /// Open connections of callers.
    pub caller_connections: Cell<usize>,
}

impl Node {
    /// Creates the state of a node that has just started.
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
            let mut home = Home::new(boot, limits);
            home.limit_answers(AnswerLimit {
                max_bytes: cfg.buffers.replay_bytes(),
                size_of: answer_bytes,
            });
            home
        });
        let buffers = Rc::new(Gate::new(cfg.buffers));
        let new_pool = |address, idle_target| Rc::new(pool(&cfg, address, idle_target, &buffers));
        let pool = cfg
            .upstream
            .map(|address| new_pool(address, cfg.warm_connections));
        // One connection is enough: one health probe serves all starts that wait for its result.
        let probe_pool = cfg.upstream.map(|address| new_pool(address, 1));
        Rc::new(Node {
            home: RefCell::new(home),
            jobs: RefCell::default(),
            buffers,
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
            keys: RefCell::new(
                KeyTable::new(MAX_KEYS, MAX_KEY_ANSWERS)
                    .with_answer_limit(cfg.buffers.replay_bytes(), answer_bytes),
            ),
            claims: RefCell::new(Claims::new(MAX_KEYS)),
            key_waiters: RefCell::default(),
            gate: RefCell::new(budget::Gate::new(clock.now())),
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
            intake: RefCell::default(),
            intake_closed: Wakeup::default(),
            drained_by_stop: Cell::new(false),
            drained_by_operator: Cell::new(false),
            drained_by_upstream: Cell::new(false),
            last_tick: Cell::new(clock.now()),
            unclean_until: Cell::new(Moment(0)),
            checking_pause: Cell::new(false),
            open_calls: Cell::new(0),
            incomplete_requests: Cell::new(0),
            caller_connections: Cell::new(0),
            live: Rc::new(RefCell::new(Live::from_settings(&cfg))),
            caller_name: CallerName::default(),
            started: clock.now(),
            clock,
            boot,
            cfg,
        })
    }

    /// The time by the node's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Begins a planned stop: from now on all duties follow its plan.
    pub fn begin_shutdown(&self, plan: Plan) {
        self.stopping.set(true);
        *self.intake.borrow_mut() = Some(Intake::new(plan));
        self.entry.borrow_mut().begin_shutdown(plan);
    }

    /// Refuses callers' requests from now on, also those whose body is still arriving.
    pub fn close_intake(&self) {
        if let Some(intake) = self.intake.borrow_mut().as_mut() {
            intake.close();
        }
        self.intake_closed.wake();
    }

    /// Waits until [`Node::close_intake`].
    pub async fn wait_for_intake_close(&self) {
        let is_closed = || self.intake.borrow().as_ref().is_some_and(Intake::is_closed);
        while !is_closed() {
            self.intake_closed.wait(INTAKE_CHECK_INTERVAL).await;
        }
    }

    /// Whether the process seems to have been paused and no tick has run since.
    pub fn was_paused(&self) -> bool {
        self.now().since(self.last_tick.get()) > PAUSE_US
    }

    /// How long a request that is read now may have waited because of a pause of the process, in
    /// microseconds.
    pub fn paused_for_us(&self) -> u64 {
        if self.was_paused() {
            self.now().since(self.last_tick.get())
        } else {
            0
        }
    }

    /// The revision that applies to a request that arrives now.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.rollout.borrow().in_force()
    }

    /// The address at which another node accepts peers, if it is known.
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

    /// The boot of another node as its record names it.
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

    /// Versions of the state that this node has, for comparison by its peers.
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

    /// The evacuated halls, if they are known.
    fn evacuated(&self) -> Option<Evacuated> {
        let registration = self.registration.as_ref()?;
        registration.evacuations.borrow().known().cloned()
    }

    /// Load of the local upstream.
    pub fn load(&self) -> Load {
        let now = self.now();
        self.home
            .borrow()
            .as_ref()
            .map(|home| home.load(now))
            .unwrap_or_default()
    }

    /// Whether the local upstream is draining for any reason.
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

    /// The request for which the local upstream makes the call `id`. The id of such a call is that of
    /// the request with a suffix.
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

    /// Selects the service for the next request on a route, by weight.
    pub fn select_service(&self, route: &Route) -> Name {
        let mut splits = self.splits.borrow_mut();
        let round_robin = splits.entry(route.name.clone()).or_default();
        let weights = route.shares.iter().map(|share| share.weight);
        let share = round_robin.next(weights, &mut rand::rng()).unwrap_or(0);
        route.shares[share].service.clone()
    }

    /// Updates what depends on the number of known nodes.
    pub fn fleet_changed(&self) {
        let Some(registration) = &self.registration else {
            return;
        };
        let nodes = registration.fleet.borrow().len();
        let config = self.live.borrow().retries;
        let budget = RetryBudgetConfig::node_share(config.ratio, config.slack, nodes);
        self.entry.borrow_mut().set_retry_config(budget);
        self.refresh_budget();
        self.fleet_change.wake();
    }

    /// The upstreams that may serve `service`: declared, listed by the platform and not draining.
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

    /// A unique id for a query to other nodes, such as a relay or a claim.
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
        for (replaced_at, group) in former_groups.get(service).into_iter().flatten() {
            if now.since(*replaced_at) > KEY_RETENTION_US {
                continue;
            }
            for vm in group {
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
        gate.set_probe_rate(now, f64::from(self.cfg.looks_per_s) * PROBE_RATE_FRACTION);
    }
}

fn answer_bytes(answer: &SharedAnswer) -> usize {
    answer.body.len()
}

fn pool(cfg: &Settings, address: SocketAddr, idle_target: usize, buffers: &Rc<Gate>) -> Pool {
    let max_body_bytes = cfg.max_body_bytes;
    let buffers = buffers.clone();
    Pool::new(
        address,
        idle_target,
        max_body_bytes,
        cfg.end_by_close,
        buffers,
    )
}

fn watch(cfg: &Settings, now: Moment, boot: BootId) -> Watch {
    let timing = Timing::for_bound(cfg.declarations_age_bound_ms() * MILLISECOND);
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
