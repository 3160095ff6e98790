//! Membership: which VMs exist, where they are, and which of them are leaving.
//!
//! The platform's list lags behind and may be wrong, so it is only a hint. A list is replaced only
//! by one with a higher version. Facts that a node learned itself, such as a VM's own departure
//! notice, are kept separately from the list and outlive it.

mod rendezvous;
mod view;

pub use rendezvous::rendezvous;
pub use view::{View, Vm, VmList};
