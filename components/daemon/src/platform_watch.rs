//! What a node asks of the platform: the head and the list of VMs.

use crate::audit::Origin;
use crate::configuration;
use crate::links;
use crate::local;
use crate::node::Node;
use async_std::task;
use errors::{Error, Result, Step};
use membership::{watchers, VmList};
use platform::Object;
use rand::Rng;
use rollout::{content_key, Configuration, Digest, Head, HEAD_KEY};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(10);
/// Shortest pause after a failed call; it doubles with each further one.
pub const LEAST_PAUSE_MS: u64 = 100;
/// Longest pause after a failed call.
const MOST_PAUSE_MS: u64 = 3_000;
/// Mean pause between two looks of a node that doesn't watch.
const POLL_MS: u64 = 60_000;
/// One watch in so many that ends without news is followed by a plain read.
const LOOK_BELOW_EVERY: u32 = 3;
/// Time after which a node without any knowledge asks again.
const BLANK_POLL_MS: u64 = 500;

/// What the platform last said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformState {
    /// Whether the last call got an answer.
    pub reachable: bool,
    /// Version of the head object last read.
    pub head_version: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Head,
    Vms,
}

/// Keeps the head up to date for as long as the node runs.
pub async fn run_head(node: Rc<Node>) {
    keep(node, Topic::Head).await
}

/// Keeps the list of VMs up to date for as long as the node runs.
pub async fn run_vms(node: Rc<Node>) {
    keep(node, Topic::Vms).await
}

async fn keep(node: Rc<Node>, topic: Topic) {
    let mut pause = LEAST_PAUSE_MS;
    loop {
        let watching = is_watcher(&node);
        match look(&node, topic, watching).await {
            Ok(()) => {
                set_reachable(&node, true);
                pause = LEAST_PAUSE_MS;
                if !watching {
                    wait_to_poll(&node, topic).await;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "the platform gave no answer");
                set_reachable(&node, false);
                ask_seeds(&node);
                pause = rest(pause).await;
            }
        }
    }
}

async fn look(node: &Rc<Node>, topic: Topic, watching: bool) -> Result<()> {
    let wait = if watching { WATCH } else { Duration::ZERO };
    match topic {
        Topic::Head => {
            let known = node.platform_state.borrow().head_version;
            let found = if watching {
                node.platform.watch(HEAD_KEY, known, wait).await?
            } else {
                node.platform.read(HEAD_KEY).await?
            };
            match found {
                Some(object) if object.version != known => take_head(node, object).await?,
                Some(_) => {}
                None if watching => look_below(node, known).await?,
                None => {}
            }
        }
        Topic::Vms => {
            let after = node.view.borrow().list().version;
            if let Some(object) = node.platform.watch_vms(after, wait).await? {
                take_vms(node, object)?;
            }
        }
    }
    Ok(())
}

async fn take_head(node: &Rc<Node>, object: Object) -> Result<()> {
    let head = Head::from_bytes(&object.value)
        .map_err(|error| Error::new(Step::Platform, HEAD_KEY, error))?;
    let wanted = node.rollout.borrow_mut().wants(&head);
    if wanted.is_ok() {
        let objects = fetch(node, &head).await?;
        configuration::take_in(node, Configuration { head, objects }, Origin::Store).await;
    } else if let Err(offered) = wanted {
        if offered != rollout::Offered::Same {
            tracing::warn!(?offered, revision = head.revision, "the platform went back");
        }
    }
    node.platform_state.borrow_mut().head_version = object.version;
    Ok(())
}

/// Reads the content of `head`, except for what is in force already.
async fn fetch(node: &Rc<Node>, head: &Head) -> Result<BTreeMap<Digest, ByteBuf>> {
    let in_force = node.in_force();
    let mut objects = BTreeMap::new();
    for digest in head.files.iter().flat_map(|file| &file.parts) {
        let known = in_force
            .as_ref()
            .and_then(|in_force| in_force.configuration.objects.get(digest));
        let bytes = match known {
            Some(bytes) => bytes.clone(),
            None => read_content(node, digest).await?,
        };
        objects.insert(digest.clone(), bytes);
    }
    Ok(objects)
}

async fn read_content(node: &Rc<Node>, digest: &Digest) -> Result<ByteBuf> {
    let key = content_key(digest);
    let object = node.platform.read(&key).await?;
    object
        .map(|object| ByteBuf::from(object.value))
        .ok_or_else(|| Error::new(Step::Platform, key, "a content object is missing"))
}

fn take_vms(node: &Rc<Node>, object: Object) -> Result<()> {
    let list: VmList = serde_json::from_slice(&object.value)
        .map_err(|error| Error::new(Step::Platform, "the list of VMs", error))?;
    configuration::take_in_vms(node, list);
    Ok(())
}

fn is_watcher(node: &Rc<Node>) -> bool {
    let view = node.view.borrow();
    watchers(&view, &node.cfg.hall).contains(&node.cfg.vm)
}

/// A watch sees only versions above the one that is known. A platform that was restored from an
/// old copy counts on from a lower one, so now and then the head is read whatever its version.
async fn look_below(node: &Rc<Node>, known: u64) -> Result<()> {
    if known == 0 {
        // A head that does not exist yet answers at once; don't ask in a tight loop.
        task::sleep(Duration::from_millis(BLANK_POLL_MS)).await;
        return Ok(());
    }
    if rand::rng().random_range(0..LOOK_BELOW_EVERY) != 0 {
        return Ok(());
    }
    match node.platform.read(HEAD_KEY).await? {
        Some(object) if object.version != known => take_head(node, object).await,
        _ => Ok(()),
    }
}

async fn wait_to_poll(node: &Rc<Node>, topic: Topic) {
    let blank = match topic {
        Topic::Head => node.in_force().is_none(),
        Topic::Vms => node.view.borrow().list().version == 0,
    };
    let mean = if blank { BLANK_POLL_MS } else { POLL_MS };
    let pause = rand::rng().random_range(mean / 2..mean * 3 / 2);
    task::sleep(Duration::from_millis(pause)).await;
}

/// Without the platform a node learns from the peers that its settings name.
fn ask_seeds(node: &Rc<Node>) {
    if node.view.borrow().list().version > 0 {
        return;
    }
    let node = node.clone();
    local::spawn(async move { links::ask_seeds(&node).await });
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
pub async fn rest(pause: u64) -> u64 {
    let jittered = rand::rng().random_range(pause / 2..=pause);
    task::sleep(Duration::from_millis(jittered)).await;
    (pause * 2).min(MOST_PAUSE_MS)
}
