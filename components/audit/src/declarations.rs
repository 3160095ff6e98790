//! Log lines about the distribution of revisions.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::Name;
use rollout::{Advice, InForce, Offered, Summary};

/// Where a revision came from.
#[derive(Debug, Clone)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// Another node.
    Peer(Name),
    /// An operator's tool.
    Operator,
}

/// A revision with its content was received; checking it took `check_us`, including the pauses
/// between the steps.
pub fn revision_received(
    revision: u64,
    bytes: usize,
    origin: &Origin,
    offered: &Offered,
    check_us: u64,
) {
    if !allowed(Kind::Declarations) {
        return;
    }
    let origin = match origin {
        Origin::Store => "the store",
        Origin::Peer(vm) => vm.as_str(),
        Origin::Operator => "an operator",
    };
    let check_ms = check_us / 1_000;
    tracing::info!(
        revision,
        bytes,
        origin,
        ?offered,
        check_ms,
        "a revision was received"
    );
}

/// Another node has a newer revision or list of VMs; `advice` is what this node does about it.
/// `failures` requests for a copy have failed.
pub fn peer_has_newer(peer: &Name, own: &Summary, theirs: &Summary, advice: Advice, failures: u32) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            peer = %peer,
            revision = own.revision,
            theirs = theirs.revision,
            list_version = own.list_version,
            their_list_version = theirs.list_version,
            ?advice,
            missed = failures,
            "a peer has a newer revision or list of VMs"
        );
    }
}

/// A revision with its content was sent to a node whose revision, `theirs`, is older.
pub fn declarations_sent(to: &Name, theirs: u64, revision: u64, bytes: usize) {
    stats::declarations_sent(bytes);
    if allowed(Kind::Declarations) {
        tracing::info!(to = %to, theirs, revision, bytes, "declarations sent to a peer");
    }
}

/// A revision has come into force. The previous one was last confirmed `age_us` ago, if ever.
pub fn revision_in_force(before: Option<&InForce>, after: &InForce, age_us: Option<u64>) {
    tracing::info!(
        revision = after.configuration.head.revision,
        before = before.map_or(0, |before| before.configuration.head.revision),
        hosts = after.declarations.routes.len(),
        confirmed_ms_ago = age_us.map(|age_us| age_us / 1_000),
        "a revision is in force"
    );
}
