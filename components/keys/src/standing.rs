//! A coordinator's view of one key: whether it must claim the key, from which nodes, and where it
//! may run.

use crate::claims::ClaimReply;
use names::Name;

/// What one node knows about the coordination of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorView {
    pub own_vm: Name,
    /// VMs of the service's upstreams, in the key's ranking.
    pub ranking: Vec<Name>,
    /// VMs of all upstreams that were in the service's group within the key window.
    pub members: Vec<Name>,
    /// Whether earlier boots of this VM may have used keys that this boot doesn't know.
    pub is_uncertain: bool,
}

impl CoordinatorView {
    /// Whether this node must claim the key before it runs it. Only the first in the ranking may run
    /// a key without a record, if it has been the first throughout the key window and has a complete
    /// record of its own runs.
    pub fn must_claim(&self) -> bool {
        let is_first = self.ranking.first() == Some(&self.own_vm);
        !is_first || self.has_group_changed() || self.is_uncertain
    }

    /// VMs whose nodes must grant the key. The first in the ranking is exempt, since it never runs
    /// the key on its local upstream.
    pub fn claim_targets(&self) -> impl Iterator<Item = &Name> {
        let exempt = self.exempt().filter(|_| !self.has_group_changed());
        self.members.iter().filter(move |vm| Some(*vm) != exempt)
    }

    /// Whether the key may run at the upstream of `vm`. The local upstream is excluded unless it is
    /// the only one, so that each run is recorded by two nodes.
    pub fn may_run_at(&self, vm: &Name) -> bool {
        *vm != self.own_vm || self.ranking.len() == 1
    }

    fn has_group_changed(&self) -> bool {
        self.members.len() != self.ranking.len()
    }

    /// The first in the ranking, whose node need not grant the key; none in a group of one, where
    /// it runs its keys itself.
    fn exempt(&self) -> Option<&Name> {
        self.ranking.first().filter(|_| self.ranking.len() > 1)
    }
}

/// Combines the replies of several nodes to a claim: granted only if every node granted it.
pub fn combine_replies<A>(replies: impl IntoIterator<Item = ClaimReply<A>>) -> ClaimReply<A> {
    let mut combined = ClaimReply::Granted;
    for reply in replies {
        match reply {
            ClaimReply::Granted => {}
            ClaimReply::Answered(answer) => return ClaimReply::Answered(answer),
            other => combined = other,
        }
    }
    combined
}
