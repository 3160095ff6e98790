//! What a node asks the platform, and when it leaves that to others.
//!
//! `watch` decides; here the calls are made and the nodes of the hall are told. What is asked depends on
//! the platform: the head and the list of VMs ([`listed`]), or the operators' declarations ([`registered`]).

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

/// How long one watch waits. One whose connection has fallen silent is found by a look of its own
/// ([`overtaken`]), long before it should have ended.
const WATCH: Duration = Duration::from_secs(10);
/// The same for what operators change a few times a year: each watch is a call.
const EVACUATIONS_WATCH: Duration = Duration::from_secs(25);
/// Time between two looks whether two answers arrive at once: 12 KB on a link of 10 Mbit/s.
const DOUBLED_LOOK: Duration = Duration::from_millis(10);
/// Shortest pause after a failed call; it doubles with each further one.
pub const MIN_PAUSE_MS: u64 = 100;
/// Longest pause after a failed call.
const MOST_PAUSE_MS: u64 = 3_000;

/// What the platform last said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformState {
    /// Whether the last call got an answer.
    pub reachable: bool,
    /// Version of the head object last read.
    pub head_version: u64,
    /// Whether what is in force was not confirmed for too long.
    pub is_stale: bool,
}

/// What the platform is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Head,
    Vms,
    Declarations,
    Evacuations,
}

/// How it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// For whatever is known there, at little cost; the answer may lag.
    Start,
    /// For what is newer, at once.
    Now,
    /// For what is newer, once there is something.
    Wait,
}

/// The VMs come first: a node with declarations says that it is ready, and without the list it would refuse
/// what comes then.
fn topics(node: &Node) -> &'static [Topic] {
    match node.registration {
        // Each topic costs calls, so that nobody asks where no hall is ever evacuated.
        Some(_) if node.cfg.evacuated_within_ms == 0 => &[Topic::Declarations],
        Some(_) => &[Topic::Declarations, Topic::Evacuations],
        None => &[Topic::Vms, Topic::Head],
    }
}

async fn look(node: &Rc<Node>, topic: Topic, manner: Manner) -> Result<()> {
    match topic {
        Topic::Head => listed::head(node, manner).await,
        Topic::Vms => listed::vms(node, manner).await,
        Topic::Declarations => registered::declarations(node, manner).await,
        Topic::Evacuations => evacuations::look(node, manner).await,
    }
}

/// Learns what the platform knows, then follows the duty to watch for as long as the node runs.
pub async fn run(node: Rc<Node>) {
    local::spawn(speak(node.clone()));
    learn(&node).await;
    loop {
        let now = node.now();
        let (known, open) = links::hall_connections(&node);
        node.watch.borrow_mut().on_connections(now, known, open);
        let advice = node.watch.borrow_mut().advice(now);
        match advice {
            Advice::Query if is_coming(&node) => pause(&node).await,
            Advice::Query => watch(&node).await,
            Advice::WaitUntil(until) => {
                let period_us = node.watch.borrow().notice_interval_us();
                let rest_us = until.since(now).clamp(1, period_us / 2);
                task::sleep(Duration::from_micros(rest_us)).await;
            }
        }
    }
}

/// What this node may do now beside the first read of its declarations. A node to which the platform lists the VMs reads
/// small objects one by one, and all its work is allowed at once.
pub fn allowed_work(node: &Node) -> AllowedWork {
    if node.in_force().is_some() || node.registration.is_none() {
        return AllowedWork::Everything;
    }
    let is_reading = is_reading_declarations(node);
    node.first_read.borrow().allowed(node.now(), is_reading)
}

/// Whether this node has no declarations and its first read of them has not ended, however long it takes: a store that has
/// stalled would not answer a second read either.
pub fn awaits_first_read(node: &Node) -> bool {
    let has_ended = node.first_read.borrow().has_ended();
    node.registration.is_some() && node.in_force().is_none() && !has_ended
}

/// Whether the store's answer with the declarations arrives or is checked just now.
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

/// Whether something newer is on its way from the platform or being checked. To ask beside it would bring the same
/// once more: a set of 0.5 MB went over a slow link twice.
fn is_coming(node: &Node) -> bool {
    let registration = node.registration.as_ref();
    let is_taken_in =
        registration.is_some_and(|registration| registration.updates_in_progress.get() > 0);
    let rollout = node.rollout.borrow();
    is_taken_in || receiving(node) > 0 || rollout.newest_revision() > rollout.revision()
}

/// Answers of the platform of which a part has come.
fn receiving(node: &Node) -> u32 {
    let registration = node.registration.as_ref();
    registration.map_or(0, |registration| {
        registration.adapter.store().partial_answers()
    })
}

/// Ends once two answers arrive at the same time.
async fn doubled(node: &Node) {
    while receiving(node) < 2 {
        task::sleep(DOUBLED_LOOK).await;
    }
}

/// The time between two words of a watcher.
async fn pause(node: &Node) {
    let period_us = node.watch.borrow().notice_interval_us();
    task::sleep(Duration::from_micros(period_us)).await;
}

/// Asks once for each topic, until the platform has answered or other nodes have told.
async fn learn(node: &Rc<Node>) {
    let mut pause = MIN_PAUSE_MS;
    for topic in topics(node) {
        while let Err(error) = look(node, *topic, Manner::Start).await {
            first_read_ended(node);
            set_reachable(node, false);
            tracing::info!(?topic, %error, "the platform gave no answer");
            listed::ask_seeds(node);
            pause = back_off(pause).await;
            if is_told(node, *topic) {
                break;
            }
        }
        if *topic == Topic::Declarations {
            // The answer of another topic must not keep other work back.
            first_read_ended(node);
        }
    }
    first_read_ended(node);
}

/// Notes that the store has answered the first read or failed, and wakes the callers that wait for declarations.
fn first_read_ended(node: &Node) {
    node.first_read.borrow_mut().finish();
    node.first_declarations.wake();
}

fn is_told(node: &Node, topic: Topic) -> bool {
    match topic {
        Topic::Head | Topic::Declarations | Topic::Evacuations => node.in_force().is_some(),
        Topic::Vms => node.view.borrow().list().version > 0,
    }
}

/// Watches the platform for the hall, until it gives no answer or the hall has enough other watchers.
async fn watch(node: &Rc<Node>) {
    node.watch.borrow_mut().on_query();
    tell(node, WatchNotice::Querying);
    let ended = follow(node).await;
    let now = node.now();
    match ended {
        Ok(()) => tracing::info!("others of this hall watch the platform"),
        Err(error) => {
            node.watch.borrow_mut().on_failure(now);
            set_reachable(node, false);
            tracing::info!(%error, "the platform gave no answer");
            listed::ask_seeds(node);
            tell(node, WatchNotice::Failed);
        }
    }
}

async fn follow(node: &Rc<Node>) -> Result<()> {
    look_at_all(node).await?;
    node.watch.borrow_mut().on_answer();
    set_reachable(node, true);
    tracing::info!("this node watches the platform for its hall");
    loop {
        tell(node, WatchNotice::Watching);
        let all = topics(node)
            .iter()
            .map(|topic| Box::pin(keep(node, *topic)));
        match select(select_all(all), pin!(overtaken(node))).await {
            Either::Left(((ended, _, _), _)) => return ended,
            Either::Right((probed, _)) => probed?,
        }
    }
}

/// Asks for what is newer, at once. Returns whether what is in force is confirmed by that.
async fn look_at_all(node: &Rc<Node>) -> Result<bool> {
    let asked = node.now();
    for topic in topics(node) {
        look(node, *topic, Manner::Now).await?;
    }
    Ok(freshness::confirmed(node, asked))
}

/// The same, given up if another answer begins to arrive beside it: both would bring the same.
async fn look_unless_doubled(node: &Rc<Node>) -> Result<Option<bool>> {
    let looking = pin!(look_at_all(node));
    let doubled = pin!(doubled(node));
    match select(looking, doubled).await {
        Either::Left((confirmed, _)) => confirmed.map(Some),
        Either::Right(_) => Ok(None),
    }
}

/// Asks anew whenever what this node holds was not confirmed for a while, until that brings something that
/// the open watches should have told: they say nothing any more. Without it a change was in force nowhere for
/// ten seconds after the connections of all watches had fallen silent.
async fn overtaken(node: &Rc<Node>) -> Result<()> {
    let era = store::known_era(node);
    loop {
        if store::known_era(node) != era {
            // The revisions from which the open watches go on stand for something else now.
            if look_at_all(node).await? {
                freshness::tell_other_halls(node);
            }
            return Ok(());
        }
        let now = node.now();
        let due = node.watch.borrow().next_confirmation(now);
        if due > now {
            let period_us = node.watch.borrow().notice_interval_us();
            task::sleep(Duration::from_micros(due.since(now).min(period_us))).await;
            continue;
        }
        if is_coming(node) {
            pause(node).await;
            continue;
        }
        let before = node.summary();
        let Some(confirmed) = look_unless_doubled(node).await? else {
            // The open watch has begun to answer: it is not silent.
            continue;
        };
        if !node.summary().is_in_sync_with(&before) {
            tracing::info!("an open watch did not tell of a change and is begun anew");
            return Ok(());
        }
        if confirmed {
            tell(node, WatchNotice::Watching);
            freshness::tell_other_halls(node);
        } else {
            pause(node).await;
        }
    }
}

/// Waits for news, again and again; ends when the duty does.
async fn keep(node: &Rc<Node>, topic: Topic) -> Result<()> {
    while node.watch.borrow_mut().keep_watching(node.now()) {
        if let Err(error) = look(node, topic, Manner::Wait).await {
            // A watch that waits may be cut for no reason that lasts. Without a second try, a change made
            // just then would wait until another node has found out.
            tracing::info!(?topic, %error, "a watch was cut");
            look(node, topic, Manner::Now).await?;
        }
    }
    Ok(())
}

/// Says again and again that this node watches, while it does.
async fn speak(node: Rc<Node>) {
    loop {
        let period_us = node.watch.borrow().notice_interval_us();
        task::sleep(Duration::from_micros(period_us)).await;
        freshness::note(&node);
        // A hall that a return of the store has lost stays evacuated for a while only.
        home_driver::update_drain_state(&node);
        if node.watch.borrow().is_watching() && !node.stopping.get() {
            tell(&node, WatchNotice::Watching);
        }
    }
}

fn tell(node: &Rc<Node>, notice: WatchNotice) {
    let summary = node.summary();
    let frame = Frame::Watch { notice, summary };
    if node.registration.is_some() {
        // Connections to the whole hall are kept open.
        links::broadcast_to_connected(node, &frame);
    } else {
        links::broadcast_to_hall(node, &frame);
    }
}

/// Takes in what another node says of its calls to the platform, and what it knows.
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

/// Notes whether the platform answered.
pub fn set_reachable(node: &Rc<Node>, reachable: bool) {
    let mut state = node.platform_state.borrow_mut();
    if state.reachable != reachable {
        state.reachable = reachable;
        tracing::info!(reachable, "the platform's state changed");
    }
}

/// Pauses with jitter; returns the next, longer pause.
pub async fn back_off(pause: u64) -> u64 {
    let jittered = rand::rng().random_range(pause / 2..=pause);
    task::sleep(Duration::from_millis(jittered)).await;
    (pause * 2).min(MOST_PAUSE_MS)
}
