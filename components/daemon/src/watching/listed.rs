//! The head that operators write and the list of VMs, where the platform lists them.

use super::{Manner, WATCH};
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

/// One watch in so many that ends without news is followed by a plain read.
const LOOK_BELOW_EVERY: u32 = 3;
/// Time after which a node without any knowledge asks again.
const BLANK_POLL: Duration = Duration::from_millis(500);

/// Asks for the head.
pub async fn head(node: &Rc<Node>, manner: Manner) -> Result<()> {
    let known = node.platform_state.borrow().head_version;
    let found = match manner {
        Manner::Wait => {
            let watch = node.platform.watch(HEAD_KEY, known, WATCH);
            platform_call(node, Purpose::Watch, watch).await?
        }
        Manner::Start | Manner::Now => read_head(node).await?,
    };
    match found {
        Some(object) if object.version != known => take_head(node, object).await,
        None if manner == Manner::Wait => look_below(node, known).await,
        _ => Ok(()),
    }
}

/// Asks for the list of VMs.
pub async fn vms(node: &Rc<Node>, manner: Manner) -> Result<()> {
    let after = node.view.borrow().list().version;
    let (wait, purpose) = match manner {
        Manner::Wait => (WATCH, Purpose::Watch),
        Manner::Start | Manner::Now => (Duration::ZERO, Purpose::Fleet),
    };
    let watch = node.platform.watch_vms(after, wait);
    if let Some(object) = platform_call(node, purpose, watch).await? {
        take_vms(node, object)?;
    }
    Ok(())
}

/// Without the platform a node learns from the peers that its settings name.
pub fn ask_seeds(node: &Rc<Node>) {
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

async fn take_head(node: &Rc<Node>, object: Object) -> Result<()> {
    let head = Head::from_bytes(&object.value)
        .map_err(|error| Error::new(Step::Platform, HEAD_KEY, error))?;
    let wanted = node
        .rollout
        .borrow_mut()
        .precheck(&head, Position::default());
    if wanted.is_ok() {
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
    let read = node.platform.read(&key);
    let object = platform_call(node, Purpose::Declarations, read).await?;
    object
        .map(|object| ByteBuf::from(object.value))
        .ok_or_else(|| Error::new(Step::Platform, key, "a content object is missing"))
}

fn take_vms(node: &Rc<Node>, object: Object) -> Result<()> {
    let list: VmList = serde_json::from_slice(&object.value)
        .map_err(|error| Error::new(Step::Platform, "the list of VMs", error))?;
    configuration::apply_vm_list(node, list);
    Ok(())
}

/// A watch sees only versions above the one that is known. A platform that was restored from an
/// old copy counts on from a lower one, so now and then the head is read whatever its version.
async fn look_below(node: &Rc<Node>, known: u64) -> Result<()> {
    if known == 0 {
        // A head that does not exist yet answers at once; don't ask in a tight loop.
        task::sleep(BLANK_POLL).await;
        return Ok(());
    }
    if rand::rng().random_range(0..LOOK_BELOW_EVERY) != 0 {
        return Ok(());
    }
    match read_head(node).await? {
        Some(object) if object.version != known => take_head(node, object).await,
        _ => Ok(()),
    }
}
