//! The memory that a node holds for others: bodies, answers, heads, and messages between nodes.
//!
//! One limit applies to all of it. [`heap`] counts what is allocated, whatever it is used for, so that
//! copies and the buffers of libraries count as well. Connections read through a [`GatedStream`], which
//! stops reading when the limit is reached, so that TCP holds the sender up. [`choose_evicted`] decides
//! which connections then close, and [`choose_displaced`] which one makes room for a new connection.

mod choice;
mod gate;
pub mod heap;
mod limits;
mod stream;

pub use choice::{choose_displaced, choose_evicted, Activity, Holding};
pub use gate::{Closed, Gate, Holder, Kind};
pub use limits::Limits;
pub use stream::GatedStream;
