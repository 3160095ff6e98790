//! How a node stands to one key: whether it must claim it, from whom, and where it may run.

use crate::claims::ClaimReply;
use names::Name;

/// One node's standing to one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorView {
    /// The node's own VM.
    pub own_vm: Name,
    /// The service's upstreams in the key's ranking.
    pub ranking: Vec<Name>,
    /// Every upstream that was in the service's group within the key window.
    pub members: Vec<Name>,
    /// Whether this boot may not know all that was done in its VM's name.
    pub is_uncertain: bool,
}

impl CoordinatorView {
    /// The first in the ranking may run a key it has no record of, if it has been first all along
    /// and knows all that it did. Anyone else must claim the key.
    pub fn must_claim(&self) -> bool {
        let first = self.ranking.first() == Some(&self.own_vm);
        !first || self.has_moved() || self.is_uncertain
    }

    /// The VMs whose nodes must grant the key. The first in the ranking never runs the key on its
    /// own upstream, so it is spared.
    pub fn claim_targets(&self) -> impl Iterator<Item = &Name> {
        let spared = self.spared().filter(|_| !self.has_moved());
        self.members.iter().filter(move |vm| Some(*vm) != spared)
    }

    /// Whether the key may run at the upstream of `vm`: not at the own, so that a run is always
    /// known to two nodes. In a group of one there is no other.
    pub fn may_run_at(&self, vm: &Name) -> bool {
        *vm != self.own_vm || self.ranking.len() == 1
    }

    fn has_moved(&self) -> bool {
        self.members.len() != self.ranking.len()
    }

    /// In a group of one the first has to run its keys itself.
    fn spared(&self) -> Option<&Name> {
        self.ranking.first().filter(|_| self.ranking.len() > 1)
    }
}

/// What several answers to a claim amount to: granted only if every node granted it.
pub fn combine_replies<A>(replies: impl IntoIterator<Item = ClaimReply<A>>) -> ClaimReply<A> {
    let mut whole = ClaimReply::Granted;
    for reply in replies {
        match reply {
            ClaimReply::Granted => {}
            ClaimReply::Answered(answer) => return ClaimReply::Answered(answer),
            other => whole = other,
        }
    }
    whole
}
