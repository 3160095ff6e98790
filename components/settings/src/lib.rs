//! Settings of a node: one INI file, checked whole at start.

mod node;

pub use node::{LogFormat, Settings};
