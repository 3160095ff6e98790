//! Operators' actions: reading the revision in force, applying a change, querying and controlling
//! nodes.

mod change;
mod nodes;
mod read;

pub use change::apply;
pub use nodes::{drain, push, release, status, NodeStatus, QuarantinedRequest, Release};
pub use read::{configuration, head, history, vms};
