//! Checked declarations, ready for use.

use crate::route::{CallerLimits, RegisteredService, Route};
use crate::steps::RouteSections;
use accounts::Accounts;
use names::Name;
use policy::Policy;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Group of upstreams that serves it.
    pub group: Name,
    /// The policy that treats its requests.
    pub policy: Policy,
    /// Headers that the policy may see, in lower case.
    pub inputs: Vec<String>,
    /// Response header by which an upstream says that it is leaving, in lower case.
    pub drain_header: Option<String>,
    /// Response header by which an upstream says that it did not start the request, in lower case.
    pub shed_header: Option<String>,
    /// Whether requests need no key of a client account.
    pub open: bool,
}

/// One group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub name: Name,
    /// The VMs, by their names in the platform's list.
    pub upstreams: Vec<Name>,
}

/// What one hall may spend on measuring.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MeasuringBudget {
    /// Messages per second.
    pub messages_per_s: f64,
    /// Slot time per second, in microseconds.
    pub slot_us_per_s: f64,
}

/// All declarations of one revision.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Groups by name.
    pub groups: BTreeMap<Name, Group>,
    /// Measuring budgets by hall.
    pub halls: BTreeMap<Name, MeasuringBudget>,
    /// Services by the value of `Host`.
    pub hosts: HashMap<String, Name>,
    /// Services by path prefix, the longest first.
    pub prefixes: Vec<(String, Name)>,
    /// Services whose upstreams register themselves.
    pub registered: BTreeMap<Name, RegisteredService>,
    /// Routes by host, the longest path first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// The sections of these routes, for the check of the next set.
    pub route_sections: RouteSections,
    /// Bounds on what callers send; none where the node's own settings hold.
    pub limits: Option<CallerLimits>,
    /// Client accounts; where there are none, requests need no key.
    pub accounts: Accounts,
}

impl Declarations {
    /// The service of a request, by its host without port, else by its path.
    pub fn find_service(&self, host: &str, path: &str) -> Option<&Service> {
        let name = self
            .hosts
            .get(host)
            .or_else(|| self.service_by_path(path))?;
        self.services.get(name)
    }

    /// The route with the longest path that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path))
    }

    /// The upstreams of a service.
    pub fn upstreams(&self, service: &Service) -> &[Name] {
        self.groups
            .get(&service.group)
            .map_or(&[], |group| &group.upstreams)
    }

    fn service_by_path(&self, path: &str) -> Option<&Name> {
        self.prefixes
            .iter()
            .find(|(prefix, _)| matches_prefix(path, prefix))
            .map(|(_, name)| name)
    }
}

/// Whether `path` is `prefix` or lies below it.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
