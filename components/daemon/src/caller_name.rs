//! The name of the service in which calls from this VM are made, whatever their callers say.

use crate::audit;
use crate::node::Node;
use crate::registration;
use names::Name;
use registry::{Beside, Declared, Origin};
use std::cell::RefCell;

/// A service's name, and what said it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named {
    /// The service.
    pub service: Name,
    /// What said it.
    pub origin: Origin,
}

/// The name in use.
#[derive(Debug, Default)]
pub struct CallerName {
    last: RefCell<Option<Named>>,
}

impl CallerName {
    /// The name for a call that begins now, from what the sources say now. A change of it is logged.
    pub fn choose(
        &self,
        beside: &Beside,
        registered: Option<&Name>,
        declared: impl Fn(&Name) -> Declared,
    ) -> Option<Named> {
        let next = beside
            .service(registered, declared)
            .map(|(service, origin)| Named { service, origin });
        let before = self.last.replace(next.clone());
        if before != next {
            let settings = beside.service.as_ref();
            audit::caller_changed(before.as_ref(), next.as_ref(), settings, registered);
        }
        next
    }
}

/// The service in whose name calls from this VM are made, and what says so.
pub fn of(node: &Node) -> Option<Named> {
    let registered = node.registration.as_ref().and_then(|registration| {
        let local = registration.local.borrow();
        local.current().map(|run| run.service.clone())
    });
    let in_force = node.in_force();
    let declared = |service: &Name| registration::declared(in_force.as_deref(), service);
    let beside = registration::beside(node);
    node.caller_name
        .choose(&beside, registered.as_ref(), declared)
}
