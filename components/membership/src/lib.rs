//! Membership: which VMs may exist, where they are, and which are leaving.
//!
//! The platform's list lags and may be wrong, so it is a hint. A list replaces an older one by its
//! version only. Facts that a node learned itself (a VM said that it is leaving) stand beside the
//! list and outlive it.

mod rendezvous;
mod view;

pub use rendezvous::rendezvous;
pub use view::{View, Vm, VmList};
