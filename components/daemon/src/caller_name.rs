//! The name of the service in which calls from this VM are made, whatever their callers say.

use crate::audit;
use names::Name;
use std::cell::RefCell;

/// What says which service runs on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The settings.
    Settings,
    /// What the upstream beside this node says of itself.
    Registration,
}

impl Origin {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Settings => "settings",
            Origin::Registration => "registration",
        }
    }
}

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
    pub fn choose(&self, settings: Option<Name>, registered: Option<Name>) -> Option<Named> {
        let named = |service, origin| Named { service, origin };
        let next = registered
            .clone()
            .map(|service| named(service, Origin::Registration))
            .or_else(|| {
                settings
                    .clone()
                    .map(|service| named(service, Origin::Settings))
            });
        let before = self.last.replace(next.clone());
        if before != next {
            audit::caller_changed(
                before.as_ref(),
                next.as_ref(),
                settings.as_ref(),
                registered.as_ref(),
            );
        }
        next
    }
}
