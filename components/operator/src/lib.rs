//! What operators do: read what is in force, bring a change in, look at nodes.

mod change;
mod nodes;
mod read;

pub use change::apply;
pub use nodes::{drain, push, release, status, NodeStatus, QuarantinedRequest, Release};
pub use read::{configuration, head, history, vms};
