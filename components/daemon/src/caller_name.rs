//! The service to which calls from this VM are attributed, regardless of what the callers claim.

use names::Name;
use registry::{ConfiguredUpstream, LocalService};
use std::cell::RefCell;

/// The caller name in use.
#[derive(Debug, Default)]
pub struct CallerName {
    last: RefCell<Option<LocalService>>,
}

impl CallerName {
    /// The name for a call that starts now, from the settings and from the service in the
    /// upstream's last accepted registration. A change is logged.
    pub fn choose(
        &self,
        configured: &ConfiguredUpstream,
        registered: Option<&Name>,
    ) -> Option<LocalService> {
        let next = configured.service(registered);
        let before = self.last.replace(next.clone());
        if before != next {
            let settings = configured.service.as_ref();
            audit::caller_changed(before.as_ref(), next.as_ref(), settings, registered);
        }
        next
    }
}
