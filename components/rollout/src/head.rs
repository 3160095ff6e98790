//! The head object and the content it names.

use declarations::Bundle;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// Key of the head object in the platform's object API.
pub const HEAD_KEY: &str = "drumwheel/head";
/// Largest content object, in bytes; a longer file is split.
pub const MAX_OBJECT_BYTES: usize = 512 * 1024;

/// SHA-256 of some content, in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub String);

/// The digest of `bytes`.
pub fn digest(bytes: &[u8]) -> Digest {
    let hash = Sha256::digest(bytes);
    Digest(hash.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Key of a content object.
pub fn content_key(digest: &Digest) -> String {
    format!("drumwheel/content/{}", digest.0)
}

/// Who made a change, when and why. Part of the head, so no change can exist without it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identity of the change, drawn by the operator's tool; tells after a lost answer whether it
    /// took effect.
    pub id: String,
    /// Who made it.
    pub who: String,
    /// When, in milliseconds since the Unix epoch on the operator's clock.
    pub when_ms: u64,
    /// Why.
    pub why: String,
}

/// One file of a revision, as the digests of its parts in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRef {
    /// Name within the set.
    pub path: String,
    /// Digests of its parts.
    pub parts: Vec<Digest>,
}

/// The revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Rises by at least one with each change.
    pub revision: u64,
    /// Digest of the head before this one; none for the first.
    pub previous: Option<Digest>,
    /// The audit record.
    pub change: Change,
    /// The files.
    pub files: Vec<FileRef>,
}

impl Head {
    /// The bytes of the head object.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head always serialises")
    }

    /// Reads a head object; an error says what is wrong with it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Head, String> {
        serde_json::from_slice(bytes).map_err(|error| error.to_string())
    }

    /// The first bytes of the digest, as a number: tells contents of one revision apart.
    pub fn short_digest(&self) -> u64 {
        let hash = Sha256::digest(self.to_bytes());
        let first = hash.first_chunk().copied();
        u64::from_be_bytes(first.unwrap_or_default())
    }

    /// Digest of the head object.
    pub fn digest(&self) -> Digest {
        digest(&self.to_bytes())
    }
}

/// Splits the files of `bundle` into content objects; returns the references and the objects.
pub fn split(bundle: &Bundle) -> (Vec<FileRef>, BTreeMap<Digest, ByteBuf>) {
    let mut refs = Vec::new();
    let mut objects = BTreeMap::new();
    for (path, text) in &bundle.files {
        let mut parts = Vec::new();
        for part in text.as_bytes().chunks(MAX_OBJECT_BYTES) {
            let digest = digest(part);
            objects.insert(digest.clone(), ByteBuf::from(part));
            parts.push(digest);
        }
        refs.push(FileRef {
            path: path.clone(),
            parts,
        });
    }
    (refs, objects)
}

/// Sections of a file that stand in one object, on average: an object of routes has some 3 KB then.
const SECTIONS_A_PART: u64 = 16;

/// The same in small objects that begin and end with sections. Whether an object ends before a section hangs on the
/// section's heading alone, so that two sets that differ in a few sections share all other objects, and a node that
/// has one of them needs only the rest of the other.
pub fn split_sections(bundle: &Bundle) -> (Vec<FileRef>, BTreeMap<Digest, ByteBuf>) {
    let mut refs = Vec::new();
    let mut objects = BTreeMap::new();
    for (path, text) in &bundle.files {
        let mut parts = Vec::new();
        for part in section_parts(text) {
            let digest = digest(part.as_bytes());
            objects.insert(digest.clone(), ByteBuf::from(part));
            parts.push(digest);
        }
        refs.push(FileRef {
            path: path.clone(),
            parts,
        });
    }
    (refs, objects)
}

fn section_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    for (at, _) in text.match_indices("\n[") {
        let heading = &text[at + 1..];
        let heading = heading.lines().next().unwrap_or_default();
        if ends_part(heading) {
            parts.push(&text[start..at + 1]);
            start = at + 1;
        }
    }
    parts.push(&text[start..]);
    parts
}

/// Whether an object ends before the section of this heading: one section in [`SECTIONS_A_PART`], the same on all
/// nodes.
fn ends_part(heading: &str) -> bool {
    let hash = Sha256::digest(heading.as_bytes());
    let first = hash.first_chunk().copied().unwrap_or_default();
    u64::from_be_bytes(first) % SECTIONS_A_PART == 0
}

/// Puts the files of `head` together from content objects; an error names the file.
pub(crate) fn join(head: &Head, objects: &BTreeMap<Digest, ByteBuf>) -> Result<Bundle, String> {
    let mut files = BTreeMap::new();
    for file in &head.files {
        let mut bytes = Vec::new();
        for part in &file.parts {
            let Some(object) = objects.get(part) else {
                return Err(format!("{}: part {} is missing", file.path, part.0));
            };
            if digest(object) != *part {
                return Err(format!("{}: part {} is not its content", file.path, part.0));
            }
            bytes.extend_from_slice(object);
        }
        let text = String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8", file.path))?;
        files.insert(file.path.clone(), text);
    }
    Ok(Bundle { files })
}
