//! Queries to the platform: which ones this node makes, and when it relies on other nodes instead.
//!
//! `watch` decides; this module makes the calls and notifies the nodes of the hall. The topics
//! depend on the platform: the head and the list of VMs ([`listed`]), or the operators'
//! declarations ([`registered`]).

mod evacuations;
mod freshness;
mod listed;
mod registered;

pub use evacuations::on_report as on_evacuations;
pub use freshness::on_confirmation;
pub use registered::read_declarations;

use crate::configuration;
use crate::home_driver;
use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use crate::store;
use async_std::task;
use errors::Result;
use futures_util::future::{select, select_all, Either};
use names::Name;
use rand::Rng;
use rollout::Summary;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use watch::{Advice, AllowedWork, WatchNotice};
use wire::Frame;

/// Duration of one watch call. A watch whose connection has become unresponsive is found by a
/// separate query ([`detect_stalled_watch`]), long before this time has passed.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same for evacuations, which operators change a few times a year: each watch is a call.
const EVACUATIONS_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Interval of the check for two answers that arrive at the same time. A link of 10 Mbit/s
/// transfers 12 KB in it.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// First pause after a failed call, in milliseconds; it doubles with each further failure.
pub const MIN_PAUSE_MS: u64 = 100;
/// Maximum pause after a failed call, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_000;

/// State of the platform as this node sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformState {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Version of the head object last read.
    pub head_version: u64,
    /// Whether the revision in force has been unconfirmed for too long.
    pub is_stale: bool,
}

/// Subject of a query to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Head,
    Vms,
    Declarations,
    Evacuations,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueryMode {
    /// Reads the current state at low cost; the answer may lag.
    Startup,
    /// Reads newer state and returns at once.
    Now,
    /// Waits until there is newer state.
    LongPoll,
}

/// The VMs come first: a node with declarations reports that it is ready, and without the list it
/// would refuse the requests that arrive then.
fn topics(node: &Node) -> &'static [Topic] {
    match node.registration {
        // Each topic costs calls, so evacuations are not queried where no hall is ever evacuated.
        Some(_) if node.cfg.evacuated_within_ms == 0 => &[Topic::Declarations],
        Some(_) => &[Topic::Declarations, Topic::Evacuations],
        None => &[Topic::Vms, Topic::Head],
    }
}

async fn query(node: &Rc<Node>, topic: Topic, mode: QueryMode) -> Result<()> {
    match topic {
        Topic::Head => listed::head(node, mode).await,
        Topic::Vms => listed::vms(node, mode).await,
        Topic::Declarations => registered::declarations(node, mode).await,
        Topic::Evacuations => evacuations::query(node, mode).await,
    }
}

/// Queries the platform at startup, then carries out the watch duty for as long as the node runs.
pub async fn run(node: Rc<Node>) {
    local::spawn(run_notices(node.clone()));
    query_at_startup(&node).await;
    loop {
        let now = node.now();
        let (known, open) = links::hall_connections(&node);
        node.watch.borrow_mut().on_connections(now, known, open);
        let advice = node.watch.borrow_mut().advice(now);
        match advice {
            Advice::Query if is_update_pending(&node) => sleep_notice_interval(&node).await,
            Advice::Query => watch(&node).await,
            Advice::WaitUntil(until) => {
                let interval_us = node.watch.borrow().notice_interval_us();
                let wait_us = until.since(now).clamp(1, interval_us / 2);
                task::sleep(Duration::from_micros(wait_us)).await;
            }
        }
    }
}

/// Work that is allowed while the declarations are read for the first time. Where the platform
/// lists the VMs, a node reads small objects one by one, so all work is allowed from the start.
pub fn allowed_work(node: &Node) -> AllowedWork {
    if node.in_force().is_some() || node.registration.is_none() {
        return AllowedWork::Everything;
    }
    let is_reading = is_reading_declarations(node);
    node.first_read.borrow().allowed(node.now(), is_reading)
}

/// Whether this node has no declarations and its first read of them has not ended. There is no time
/// limit: a store that has stalled would not answer a second read either.
pub fn awaits_first_read(node: &Node) -> bool {
    let has_ended = node.first_read.borrow().has_ended();
    node.registration.is_some() && node.in_force().is_none() && !has_ended
}

/// Whether the store's answer with the declarations is currently arriving or being checked.
pub fn is_reading_declarations(node: &Node) -> bool {
    let Some(registration) = &node.registration else {
        return false;
    };
    let (kind, _) = registration.adapter.declarations();
    let rollout = node.rollout.borrow();
    registration.updates_in_progress.get() > 0
        || registration.adapter.store().has_partial_answer(kind)
        || rollout.newest_revision() > rollout.revision()
}

/// Whether newer state is arriving from the platform or being checked. A query at that time would
/// transfer the same data again: a set of 0.5 MB went over a slow link twice.
fn is_update_pending(node: &Node) -> bool {
    let registration = node.registration.as_ref();
    let is_applying =
        registration.is_some_and(|registration| registration.updates_in_progress.get() > 0);
    let rollout = node.rollout.borrow();
    is_applying || incoming_answers(node) > 0 || rollout.newest_revision() > rollout.revision()
}

/// Number of the platform's answers that have arrived in part.
fn incoming_answers(node: &Node) -> u32 {
    let registration = node.registration.as_ref();
    registration.map_or(0, |registration| {
        registration.adapter.store().partial_answers()
    })
}

/// Returns once two answers arrive at the same time.
async fn until_answers_overlap(node: &Node) {
    while incoming_answers(node) < 2 {
        task::sleep(OVERLAP_CHECK_INTERVAL).await;
    }
}

async fn sleep_notice_interval(node: &Node) {
    let interval_us = node.watch.borrow().notice_interval_us();
    task::sleep(Duration::from_micros(interval_us)).await;
}

/// Queries each topic until the platform answers or other nodes have provided the state.
async fn query_at_startup(node: &Rc<Node>) {
    let mut pause = MIN_PAUSE_MS;
    for topic in topics(node) {
        while let Err(error) = query(node, *topic, QueryMode::Startup).await {
            finish_first_read(node);
            set_reachable(node, false);
            tracing::info!(?topic, %error, "the platform gave no answer");
            listed::query_seeds(node);
            pause = back_off(pause).await;
            if is_known(node, *topic) {
                break;
            }
        }
        if *topic == Topic::Declarations {
            // The query of another topic must not delay other work.
            finish_first_read(node);
        }
    }
    finish_first_read(node);
}

/// Records that the first read has been answered or has failed, and wakes the callers that wait for
/// declarations.
fn finish_first_read(node: &Node) {
    node.first_read.borrow_mut().finish();
    node.first_declarations.wake();
}

fn is_known(node: &Node, topic: Topic) -> bool {
    match topic {
        Topic::Head | Topic::Declarations | Topic::Evacuations => node.in_force().is_some(),
        Topic::Vms => node.view.borrow().list().version > 0,
    }
}

/// Watches the platform for the hall until a call fails or the hall has enough other watchers.
async fn watch(node: &Rc<Node>) {
    node.watch.borrow_mut().on_query();
    announce(node, WatchNotice::Querying);
    let result = watch_for_hall(node).await;
    let now = node.now();
    match result {
        Ok(()) => tracing::info!("enough other nodes of this hall watch the platform"),
        Err(error) => {
            node.watch.borrow_mut().on_failure(now);
            set_reachable(node, false);
            tracing::info!(%error, "the platform gave no answer");
            listed::query_seeds(node);
            announce(node, WatchNotice::Failed);
        }
    }
}

async fn watch_for_hall(node: &Rc<Node>) -> Result<()> {
    query_all(node).await?;
    node.watch.borrow_mut().on_answer();
    set_reachable(node, true);
    tracing::info!("this node watches the platform for its hall");
    loop {
        announce(node, WatchNotice::Watching);
        let watches = topics(node)
            .iter()
            .map(|topic| Box::pin(watch_topic(node, *topic)));
        match select(select_all(watches), pin!(detect_stalled_watch(node))).await {
            Either::Left(((result, _, _), _)) => return result,
            Either::Right((detected, _)) => detected?,
        }
    }
}

/// Reads newer state of all topics at once. Returns whether that confirms the revision in force.
async fn query_all(node: &Rc<Node>) -> Result<bool> {
    let queried_at = node.now();
    for topic in topics(node) {
        query(node, *topic, QueryMode::Now).await?;
    }
    Ok(freshness::confirmed(node, queried_at))
}

/// The same, but cancelled with `None` when a second answer begins to arrive at the same time: both
/// would carry the same data.
async fn query_unless_overlapping(node: &Rc<Node>) -> Result<Option<bool>> {
    let queries = pin!(query_all(node));
    let overlap = pin!(until_answers_overlap(node));
    match select(queries, overlap).await {
        Either::Left((confirmed, _)) => confirmed.map(Some),
        Either::Right(_) => Ok(None),
    }
}

/// Queries the platform whenever the state of this node has been unconfirmed for a while. Returns
/// when that finds a change that the open watches should have reported, since their connections are
/// unresponsive then, and when the store's era changes. Without this check a change was in force
/// nowhere for ten seconds after the connections of all watches had become unresponsive.
async fn detect_stalled_watch(node: &Rc<Node>) -> Result<()> {
    let era = store::known_era(node);
    loop {
        if store::known_era(node) != era {
            // The revisions at which the open watches began have another meaning in the new era.
            if query_all(node).await? {
                freshness::notify_other_halls(node);
            }
            return Ok(());
        }
        let now = node.now();
        let due = node.watch.borrow().next_confirmation(now);
        if due > now {
            let interval_us = node.watch.borrow().notice_interval_us();
            task::sleep(Duration::from_micros(due.since(now).min(interval_us))).await;
            continue;
        }
        if is_update_pending(node) {
            sleep_notice_interval(node).await;
            continue;
        }
        let before = node.summary();
        let Some(confirmed) = query_unless_overlapping(node).await? else {
            // The open watch has begun to answer, so it is responsive.
            continue;
        };
        if !node.summary().is_in_sync_with(&before) {
            tracing::info!("an open watch missed a change and is restarted");
            return Ok(());
        }
        if confirmed {
            announce(node, WatchNotice::Watching);
            freshness::notify_other_halls(node);
        } else {
            sleep_notice_interval(node).await;
        }
    }
}

/// Watches one topic until the watch duty ends.
async fn watch_topic(node: &Rc<Node>, topic: Topic) -> Result<()> {
    while node.watch.borrow_mut().keep_watching(node.now()) {
        if let Err(error) = query(node, topic, QueryMode::LongPoll).await {
            // A waiting call may break for a transient reason. Without this retry, a change made at
            // that time would be delayed until another node has found it.
            tracing::info!(?topic, %error, "a watch was interrupted");
            query(node, topic, QueryMode::Now).await?;
        }
    }
    Ok(())
}

/// Sends keep-alive notices for as long as this node watches.
async fn run_notices(node: Rc<Node>) {
    loop {
        let interval_us = node.watch.borrow().notice_interval_us();
        task::sleep(Duration::from_micros(interval_us)).await;
        freshness::update_staleness(&node);
        // An evacuation that a restore of the store has lost remains in force for a limited time
        // only.
        home_driver::update_drain_state(&node);
        if node.watch.borrow().is_watching() && !node.stopping.get() {
            announce(&node, WatchNotice::Watching);
        }
    }
}

fn announce(node: &Rc<Node>, notice: WatchNotice) {
    let summary = node.summary();
    let frame = Frame::Watch { notice, summary };
    if node.registration.is_some() {
        // Connections to the entire hall are kept open.
        links::broadcast_to_connected(node, &frame);
    } else {
        links::broadcast_to_hall(node, &frame);
    }
}

/// Handles another node's keep-alive notice and the summary of its state.
pub fn on_notice(
    node: &Rc<Node>,
    from: &Name,
    notice: WatchNotice,
    theirs: &Summary,
    reply: &Reply,
) {
    let now = node.now();
    node.watch.borrow_mut().on_notice(now, from, notice);
    configuration::on_summary(node, from, theirs, reply);
}

/// Records whether the platform answered.
pub fn set_reachable(node: &Rc<Node>, reachable: bool) {
    let mut state = node.platform_state.borrow_mut();
    if state.reachable != reachable {
        state.reachable = reachable;
        tracing::info!(reachable, "the platform's reachability changed");
    }
}

/// Sleeps for `pause` milliseconds with jitter; returns the next, longer pause.
pub async fn back_off(pause: u64) -> u64 {
    let jittered = rand::rng().random_range(pause / 2..=pause);
    task::sleep(Duration::from_millis(jittered)).await;
    (pause * 2).min(MAX_PAUSE_MS)
}
