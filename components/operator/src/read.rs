//! Reading from the platform.

use era::Position;
use errors::{Error, Result, Step};
use membership::VmList;
use platform::Client;
use rollout::{content_key, Configuration, Digest, Head, HEAD_KEY};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::time::Duration;

/// The head in force; none before the first revision.
pub async fn head(client: &Client) -> Result<Option<Head>> {
    let Some(object) = client.read(HEAD_KEY).await? else {
        return Ok(None);
    };
    parse(HEAD_KEY, &object.value).map(Some)
}

/// A head with all its content.
pub async fn configuration(client: &Client, head: Head) -> Result<Configuration> {
    let mut objects = BTreeMap::new();
    for digest in head.files.iter().flat_map(|file| &file.parts) {
        let bytes = content(client, digest).await?;
        objects.insert(digest.clone(), ByteBuf::from(bytes));
    }
    Ok(Configuration {
        head,
        objects,
        read_at: Position::default(),
    })
}

/// The newest heads, starting with the one in force; at most `max`.
pub async fn history(client: &Client, max: usize) -> Result<Vec<Head>> {
    let mut heads = Vec::new();
    let mut next = head(client).await?;
    while let Some(head) = next {
        let previous = head.previous.clone();
        heads.push(head);
        next = match previous {
            Some(digest) if heads.len() < max => {
                let bytes = content(client, &digest).await?;
                Some(parse(&digest.0, &bytes)?)
            }
            _ => None,
        };
    }
    Ok(heads)
}

/// The platform's list of VMs.
pub async fn vms(client: &Client) -> Result<VmList> {
    let object = client.watch_vms(0, Duration::ZERO).await?;
    let Some(object) = object else {
        return Ok(VmList::default());
    };
    serde_json::from_slice(&object.value)
        .map_err(|error| Error::new(Step::Platform, "the list of VMs", error))
}

pub(crate) async fn content(client: &Client, digest: &Digest) -> Result<Vec<u8>> {
    let key = content_key(digest);
    let object = client.read(&key).await?;
    object
        .map(|object| object.value)
        .ok_or_else(|| Error::new(Step::Platform, key, "a content object is missing"))
}

fn parse(key: &str, bytes: &[u8]) -> Result<Head> {
    Head::from_bytes(bytes).map_err(|error| Error::new(Step::Platform, key, error))
}
