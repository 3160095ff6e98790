//! Calls to the platform, told apart by what they are for.

use crate::audit;
use crate::node::Node;
use crate::stats;
use crate::store_eras;
use errors::Result;
use std::future::Future;
use std::rc::Rc;

/// What a call to the platform is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Reads what operators declared, at the start or after news.
    Declarations,
    /// Waits for news.
    Watch,
    /// Reads the nodes' records, or the list of VMs.
    Fleet,
    /// Writes or removes this node's own record.
    OwnRecord,
}

impl Purpose {
    /// A fixed lower-case name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Declarations => "declarations",
            Purpose::Watch => "watch",
            Purpose::Fleet => "fleet",
            Purpose::OwnRecord => "own-record",
        }
    }
}

/// Makes a call, counts it and writes a line.
pub async fn called<T>(
    node: &Rc<Node>,
    purpose: Purpose,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let began = node.now();
    let ended = call.await;
    let took_us = node.now().since(began);
    stats::platform_called(purpose, ended.is_ok());
    store_eras::answered(node);
    audit::platform_called(purpose, took_us, ended.as_ref().err());
    ended
}
