//! What all calls of one node share.

use crate::choice::{choose, Candidate, SelectionRule, UpstreamView};
use crate::price::Price;
use crate::retry::{RetryBudget, RetryBudgetConfig};
use crate::shortage::Shortage;
use home::{Load, Refusal};
use names::{AttemptId, BootId, Moment, Name, SECOND};
use notices::RequestRate;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{HashMap, HashSet};

/// How long an upstream whose node did not answer is avoided, in microseconds.
const UNRESPONSIVE_US: u64 = SECOND;

/// State shared by the calls of one entry duty.
#[derive(Debug)]
pub struct Entry {
    boot: BootId,
    next_seq: u64,
    rule: SelectionRule,
    views: HashMap<Name, UpstreamView>,
    budgets: HashMap<Name, RetryBudget>,
    /// Services that the upstream beside this node calls.
    dependencies: HashSet<Name>,
    shortage: Shortage,
    retry_config: RetryBudgetConfig,
    rng: SmallRng,
}

impl Entry {
    /// A new entry duty of the given boot, choosing by `rule` with a generator seeded by `seed`.
    pub fn new(boot: BootId, rule: SelectionRule, seed: u64) -> Entry {
        Entry {
            boot,
            next_seq: 0,
            rule,
            views: HashMap::new(),
            budgets: HashMap::new(),
            dependencies: HashSet::new(),
            shortage: Shortage::default(),
            retry_config: RetryBudgetConfig::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The rule in use.
    pub fn rule(&self) -> SelectionRule {
        self.rule
    }

    /// Takes in a report of a home duty.
    pub fn on_report(&mut self, now: Moment, vm: &Name, load: Load) {
        let view = self.view_mut(vm);
        view.known_limit = known_limit(view, &load);
        view.load = Some(load);
        view.reported_at = now;
        view.offers_since_report = 0;
    }

    /// Marks an upstream as leaving or staying, whoever said so.
    pub fn set_draining(&mut self, now: Moment, vm: &Name, leaving: bool) {
        let view = self.view_mut(vm);
        view.reported_at = now;
        let mut load = view.load.unwrap_or_default();
        load.leaving = leaving;
        view.load = Some(load);
    }

    /// Avoids an upstream whose node does not answer.
    pub fn mark_unresponsive(&mut self, now: Moment, vm: &Name) {
        self.view_mut(vm).unresponsive_until = now + UNRESPONSIVE_US;
    }

    /// Ends the suspicion against an upstream whose node answered.
    pub fn mark_responsive(&mut self, vm: &Name) {
        if let Some(view) = self.views.get_mut(vm) {
            view.unresponsive_until = Moment(0);
        }
    }

    /// Drops all knowledge of a VM, for example when another boot took its place.
    pub fn forget(&mut self, vm: &Name) {
        if let Some(view) = self.views.get_mut(vm) {
            view.load = None;
            view.offers_since_report = 0;
            view.unresponsive_until = Moment(0);
        }
    }

    /// What is known of a VM.
    pub fn view(&self, vm: &Name) -> UpstreamView {
        self.views.get(vm).cloned().unwrap_or_default()
    }

    /// Whether a fresh report says that no slot of the upstream was free.
    pub(crate) fn is_full(&self, now: Moment, vm: &Name) -> bool {
        self.views.get(vm).is_some_and(|view| view.is_full(now))
    }

    /// Whether the upstream is known to leave.
    pub(crate) fn is_draining(&self, now: Moment, vm: &Name) -> bool {
        self.views.get(vm).is_some_and(|view| view.is_draining(now))
    }

    /// Whether the node beside the upstream is taken as not answering.
    pub(crate) fn is_unresponsive(&self, now: Moment, vm: &Name) -> bool {
        self.views
            .get(vm)
            .is_some_and(|view| view.is_unresponsive(now))
    }

    /// Takes in that an offer that might queue was refused because the upstream was busy.
    pub(crate) fn on_busy_refusal(&mut self, now: Moment, service: &Name) {
        self.shortage.on_refusal(now, service);
    }

    /// Takes in that a call has left an attempt that might queue, without word of its end.
    pub(crate) fn on_abandoned(&mut self, id: AttemptId, service: &Name) {
        self.shortage.on_abandoned(id, service);
    }

    /// Takes in a refusal that arrives after its call has left the attempt. Returns whether it says that the service
    /// is short of slots.
    pub fn on_late_refusal(&mut self, now: Moment, id: AttemptId, refusal: &Refusal) -> bool {
        self.shortage.on_late_refusal(now, id, refusal)
    }

    /// Time since an offer of the service that might queue was refused as busy, in microseconds; none when none was.
    pub(crate) fn since_busy_us(&self, now: Moment, service: &Name) -> Option<u64> {
        self.shortage.since_us(now, service)
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        let seq = self.next_seq;
        self.next_seq += 1;
        AttemptId {
            boot: self.boot,
            seq,
        }
    }

    pub(crate) fn choose(
        &mut self,
        now: Moment,
        candidates: &[&Candidate],
        price: Price,
        may_queue: bool,
    ) -> Option<Name> {
        let rng = &mut self.rng;
        choose(
            self.rule,
            now,
            candidates,
            &self.views,
            rng,
            price,
            may_queue,
        )
    }

    pub(crate) fn attempt_offered(&mut self, vm: &Name) {
        let view = self.view_mut(vm);
        view.outstanding += 1;
        view.offers_since_report += 1;
    }

    pub(crate) fn attempt_ended(&mut self, vm: &Name) {
        let view = self.view_mut(vm);
        view.outstanding = view.outstanding.saturating_sub(1);
    }

    /// Sets how retries are earned from now on.
    pub fn set_retry_config(&mut self, config: RetryBudgetConfig) {
        self.retry_config = config;
    }

    /// Takes in a request of a client for the service.
    pub(crate) fn deposit_retry(&mut self, service: &Name) {
        let config = self.retry_config;
        self.budget(service).deposit(config);
    }

    pub(crate) fn spend_retry(&mut self, service: &Name) -> bool {
        self.budget(service).spend()
    }

    pub(crate) fn refund_retry(&mut self, service: &Name) {
        self.budget(service).refund();
    }

    /// Takes in a call to the service that is made for a repeat.
    pub(crate) fn charge_retry(&mut self, service: &Name) {
        self.budget(service).charge();
    }

    /// Takes in that the upstream beside this node calls `service` for requests that it runs.
    pub fn add_dependency(&mut self, service: &Name) {
        if !self.dependencies.contains(service) {
            self.dependencies.insert(service.clone());
        }
    }

    /// Whether the upstream beside this node may run a repeat: the calls that it makes are repeats at
    /// the services below, whose budgets must have room for them.
    pub fn may_run_repeat(&self) -> bool {
        let can_spend = |service| {
            self.budgets
                .get(service)
                .is_some_and(RetryBudget::can_spend)
        };
        self.dependencies.iter().all(can_spend)
    }

    fn budget(&mut self, service: &Name) -> &mut RetryBudget {
        self.budgets.entry(service.clone()).or_default()
    }

    fn view_mut(&mut self, vm: &Name) -> &mut UpstreamView {
        self.views.entry(vm.clone()).or_default()
    }
}

/// The limit of an upstream after a report. A node that has just started does not know one that was named before; one that
/// knew it says when it has ended.
fn known_limit(view: &UpstreamView, load: &Load) -> Option<RequestRate> {
    let was_known_there = view.load.is_some_and(|load| load.request_limit.is_some());
    match load.request_limit {
        None if !was_known_there => view.known_limit,
        limit => limit,
    }
}
