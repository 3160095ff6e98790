//! Lines of revisions on their way.

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

/// A revision with its content arrived; checking it took `check_us`, with the pauses between its steps.
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
        "a revision came"
    );
}

/// Another node knows something newer, and this is what is done about it. `missed` copies were asked for in vain.
pub fn peer_has_newer(peer: &Name, mine: &Summary, theirs: &Summary, advice: Advice, missed: u32) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            peer = %peer,
            revision = mine.revision,
            theirs = theirs.revision,
            list_version = mine.list_version,
            their_list_version = theirs.list_version,
            ?advice,
            missed,
            "a peer knows something newer"
        );
    }
}

/// A revision with its content was sent to a node that has an older one.
pub fn declarations_sent(to: &Name, theirs: u64, revision: u64, bytes: usize) {
    stats::declarations_sent(bytes);
    if allowed(Kind::Declarations) {
        tracing::info!(to = %to, theirs, revision, bytes, "declarations sent to a peer");
    }
}

/// A revision is in force from now on. The one before it was last confirmed `age_us` ago, if ever.
pub fn revision_in_force(before: Option<&InForce>, after: &InForce, age_us: Option<u64>) {
    tracing::info!(
        revision = after.configuration.head.revision,
        before = before.map_or(0, |before| before.configuration.head.revision),
        hosts = after.declarations.routes.len(),
        confirmed_ms_ago = age_us.map(|age_us| age_us / 1_000),
        "a revision is in force"
    );
}
