//! The head that operators write and the list of VMs, on a platform that lists the VMs.

use super::{QueryMode, WATCH_WAIT};
use crate::configuration;
use crate::links;
use crate::local;
use crate::node::Node;
use crate::store::platform_call;
use async_std::task;
use audit::Origin;
use audit::Purpose;
use era::Position;
use errors::{Error, Result, Step};
use membership::VmList;
use platform::Object;
use rand::Rng;
use rollout::{content_key, Configuration, Digest, Head, HEAD_KEY};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One in this many watches that end without an update is followed by a plain read.
const PLAIN_READ_INTERVAL: u32 = 3;
/// Pause of a node that knows no head before it queries again.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Queries the head.
pub async fn head(node: &Rc<Node>, mode: QueryMode) -> Result<()> {
    let known = node.platform_state.borrow().head_version;
    let found = match mode {
        QueryMode::LongPoll => {
            let watch = node.platform.watch(HEAD_KEY, known, WATCH_WAIT);
            platform_call(node, Purpose::Watch, watch).await?
        }
        QueryMode::Startup | QueryMode::Now => read_head(node).await?,
    };
    match found {
        Some(object) if object.version != known => apply_head(node, object).await,
        None if mode == QueryMode::LongPoll => check_lower_version(node, known).await,
        _ => Ok(()),
    }
}

/// Queries the list of VMs.
pub async fn vms(node: &Rc<Node>, mode: QueryMode) -> Result<()> {
    let after = node.view.borrow().list().version;
    let (wait, purpose) = match mode {
        QueryMode::LongPoll => (WATCH_WAIT, Purpose::Watch),
        QueryMode::Startup | QueryMode::Now => (Duration::ZERO, Purpose::Fleet),
    };
    let watch = node.platform.watch_vms(after, wait);
    if let Some(object) = platform_call(node, purpose, watch).await? {
        apply_vms(node, object)?;
    }
    Ok(())
}

/// Queries the peers that the settings name, while this node has no list of VMs and the platform
/// does not answer.
pub fn query_seeds(node: &Rc<Node>) {
    if node.view.borrow().list().version > 0 {
        return;
    }
    let node = node.clone();
    local::spawn(async move { links::query_seeds(&node).await });
}

async fn read_head(node: &Rc<Node>) -> Result<Option<Object>> {
    let read = node.platform.read(HEAD_KEY);
    platform_call(node, Purpose::Declarations, read).await
}

async fn apply_head(node: &Rc<Node>, object: Object) -> Result<()> {
    let head = Head::from_bytes(&object.value)
        .map_err(|error| Error::new(Step::Platform, HEAD_KEY, error))?;
    let prechecked = node
        .rollout
        .borrow_mut()
        .precheck(&head, Position::default());
    if prechecked.is_ok() {
        let objects = fetch(node, &head).await?;
        configuration::apply_revision(
            node,
            Configuration {
                head,
                objects,
                read_at: Position::default(),
            },
            Origin::Store,
        )
        .await;
    } else if let Err(offered) = prechecked {
        if offered != rollout::Offered::Same {
            tracing::warn!(
                ?offered,
                revision = head.revision,
                "the platform returned an older or conflicting head"
            );
        }
    }
    node.platform_state.borrow_mut().head_version = object.version;
    Ok(())
}

/// Reads the content objects of `head` that the revision in force does not contain.
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
    let read = node.platform.read(&key);
    let object = platform_call(node, Purpose::Declarations, read).await?;
    object
        .map(|object| ByteBuf::from(object.value))
        .ok_or_else(|| Error::new(Step::Platform, key, "a content object is missing"))
}

fn apply_vms(node: &Rc<Node>, object: Object) -> Result<()> {
    let list: VmList = serde_json::from_slice(&object.value)
        .map_err(|error| Error::new(Step::Platform, "the list of VMs", error))?;
    configuration::apply_vm_list(node, list);
    Ok(())
}

/// A watch reports only versions above the known one. A platform that was restored from an old copy
/// continues from a lower version, so the head is occasionally read whatever its version.
async fn check_lower_version(node: &Rc<Node>, known: u64) -> Result<()> {
    if known == 0 {
        // A watch for a head that does not exist yet returns at once; this prevents a tight loop.
        task::sleep(STARTUP_POLL_INTERVAL).await;
        return Ok(());
    }
    if rand::rng().random_range(0..PLAIN_READ_INTERVAL) != 0 {
        return Ok(());
    }
    match read_head(node).await? {
        Some(object) if object.version != known => apply_head(node, object).await,
        _ => Ok(()),
    }
}
