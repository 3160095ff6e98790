//! The name of the service in which calls from this VM are made, whatever their callers say.

use names::Name;
use registry::{ConfiguredUpstream, LocalService};
use std::cell::RefCell;

/// The name in use.
#[derive(Debug, Default)]
pub struct CallerName {
    last: RefCell<Option<LocalService>>,
}

impl CallerName {
    /// The name for a call that begins now, from what the settings say and what the upstream last said and was
    /// believed. A change of it is logged.
    pub fn choose(
        &self,
        beside: &ConfiguredUpstream,
        believed: Option<&Name>,
    ) -> Option<LocalService> {
        let next = beside.service(believed);
        let before = self.last.replace(next.clone());
        if before != next {
            let settings = beside.service.as_ref();
            audit::caller_changed(before.as_ref(), next.as_ref(), settings, believed);
        }
        next
    }
}
