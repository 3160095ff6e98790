//! State shared by all calls of one node.

use crate::choice::{choose, Candidate, SelectionRule, UpstreamView};
use crate::price::Price;
use crate::retry::{RetryBudget, RetryBudgetConfig};
use crate::shortage::Shortage;
use home::{Load, Refusal};
use names::{AttemptId, BootId, Moment, Name, SECOND};
use notices::RequestRate;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shutdown::{Durations, Plan};
use std::collections::{HashMap, HashSet};

/// How long an upstream with an unresponsive node is avoided, in microseconds.
const UNRESPONSIVE_US: u64 = SECOND;

/// State shared by the calls of one entry duty.
#[derive(Debug)]
pub struct Entry {
    boot: BootId,
    next_seq: u64,
    rule: SelectionRule,
    views: HashMap<Name, UpstreamView>,
    budgets: HashMap<Name, RetryBudget>,
    /// Services that the local upstream calls.
    dependencies: HashSet<Name>,
    shortage: Shortage,
    retry_config: RetryBudgetConfig,
    /// Durations of answered requests, by class.
    durations: Durations<Name>,
    /// The planned stop of this node, once it has begun.
    shutdown: Option<Plan>,
    rng: SmallRng,
}

impl Entry {
    /// An entry duty of the given boot. `seed` is the seed of the random generator that `rule`
    /// uses.
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
            durations: Durations::default(),
            shutdown: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn rule(&self) -> SelectionRule {
        self.rule
    }

    /// Begins the planned stop of this node: offers are made only while the request can end in
    /// time.
    pub fn begin_shutdown(&mut self, plan: Plan) {
        self.shutdown = Some(plan);
    }

    /// Records how long an answered request of the class took, in microseconds.
    pub fn record_duration(&mut self, now: Moment, class: &Name, us: u64) {
        self.durations.record(now, class, us);
    }

    /// The longest that requests of the class have taken recently, in microseconds; none if that is
    /// unknown.
    pub fn longest_us(&self, class: &Name) -> Option<u64> {
        self.durations.longest_us(class)
    }

    /// The deadline for the upstream of a request whose caller waits until `deadline`.
    pub fn work_deadline(&self, deadline: Moment) -> Moment {
        self.shutdown.map_or(deadline, |plan| plan.limit(deadline))
    }

    /// Whether a request that may need `need_us` may be offered now.
    pub fn may_offer(&self, now: Moment, need_us: u64) -> bool {
        self.shutdown.is_none_or(|plan| plan.fits(now, need_us))
    }

    /// Applies a load report of the upstream's home duty.
    pub fn on_report(&mut self, now: Moment, vm: &Name, load: Load) {
        let view = self.view_mut(vm);
        view.known_limit = known_limit(view, &load);
        view.load = Some(load);
        view.reported_at = now;
        view.offers_since_report = 0;
    }

    /// Records which upstream is on a VM. The request limit of another one that was there before is
    /// dropped.
    pub fn set_upstream(&mut self, vm: &Name, id: &Name) {
        let view = self.view_mut(vm);
        let before = view.upstream.as_ref();
        if before == Some(id) {
            return;
        }
        if before.is_some() {
            view.known_limit = None;
        }
        view.upstream = Some(id.clone());
    }

    /// Marks an upstream as draining, or as no longer draining.
    pub fn set_draining(&mut self, now: Moment, vm: &Name, draining: bool) {
        let view = self.view_mut(vm);
        view.reported_at = now;
        let mut load = view.load.unwrap_or_default();
        load.leaving = draining;
        view.load = Some(load);
    }

    /// Avoids an upstream for a while because its node does not answer.
    pub fn mark_unresponsive(&mut self, now: Moment, vm: &Name) {
        self.view_mut(vm).unresponsive_until = now + UNRESPONSIVE_US;
    }

    /// Stops avoiding an upstream, because its node has answered.
    pub fn mark_responsive(&mut self, vm: &Name) {
        if let Some(view) = self.views.get_mut(vm) {
            view.unresponsive_until = Moment(0);
        }
    }

    /// Drops the reports of a VM, for example after a restart of its node. Its request limit stays
    /// known.
    pub fn forget(&mut self, vm: &Name) {
        if let Some(view) = self.views.get_mut(vm) {
            view.load = None;
            view.offers_since_report = 0;
            view.unresponsive_until = Moment(0);
        }
    }

    /// What is known about a VM.
    pub fn view(&self, vm: &Name) -> UpstreamView {
        self.views.get(vm).cloned().unwrap_or_default()
    }

    /// See [`UpstreamView::is_full`].
    pub(crate) fn is_full(&self, now: Moment, vm: &Name) -> bool {
        self.views.get(vm).is_some_and(|view| view.is_full(now))
    }

    /// See [`UpstreamView::is_draining`].
    pub(crate) fn is_draining(&self, now: Moment, vm: &Name) -> bool {
        self.views.get(vm).is_some_and(|view| view.is_draining(now))
    }

    /// Whether the upstream's local node counts as unresponsive.
    pub(crate) fn is_unresponsive(&self, now: Moment, vm: &Name) -> bool {
        self.views
            .get(vm)
            .is_some_and(|view| view.is_unresponsive(now))
    }

    /// Records that an offer that might queue was refused as busy.
    pub(crate) fn on_busy_refusal(&mut self, now: Moment, service: &Name) {
        self.shortage.on_refusal(now, service);
    }

    /// Records that a call has abandoned an attempt that might queue, before it knew its outcome.
    pub(crate) fn on_abandoned(&mut self, id: AttemptId, service: &Name) {
        self.shortage.on_abandoned(id, service);
    }

    /// Handles a refusal that arrives after its call has abandoned the attempt. Returns whether it
    /// shows that the service is short of slots.
    pub fn on_late_refusal(&mut self, now: Moment, id: AttemptId, refusal: &Refusal) -> bool {
        self.shortage.on_late_refusal(now, id, refusal)
    }

    /// Time since an offer of the service that might queue was last refused as busy, in
    /// microseconds; none if there was no such refusal.
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

    /// Sets the parameters of later deposits to retry budgets.
    pub fn set_retry_config(&mut self, config: RetryBudgetConfig) {
        self.retry_config = config;
    }

    /// Makes the deposit for a client's request to the service.
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

    /// Charges a call to the service that is made for a repeat.
    pub(crate) fn charge_retry(&mut self, service: &Name) {
        self.budget(service).charge();
    }

    /// Records that the local upstream calls `service` for requests that it runs.
    pub fn add_dependency(&mut self, service: &Name) {
        if !self.dependencies.contains(service) {
            self.dependencies.insert(service.clone());
        }
    }

    /// Whether the local upstream may run a repeat: the calls that it makes for it are repeats too,
    /// so the budgets of all services that it calls must permit one.
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

/// The request limit of an upstream after a report. A node that has just started does not know a
/// limit that was advertised earlier, so its reports leave it in force. A report without a limit
/// ends it only if the report before it had one.
fn known_limit(view: &UpstreamView, load: &Load) -> Option<RequestRate> {
    let had_reported_limit = view.load.is_some_and(|load| load.request_limit.is_some());
    match load.request_limit {
        None if !had_reported_limit => view.known_limit,
        limit => limit,
    }
}
