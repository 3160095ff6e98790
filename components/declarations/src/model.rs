//! Declarations that have passed the check.

use crate::route::{CallerLimits, RegisteredService, Route};
use crate::steps::RouteSections;
use accounts::Accounts;
use names::Name;
use policy::Policy;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A service with a declared group of upstreams and a policy.
#[derive(Debug, Clone)]
pub struct Service {
    pub name: Name,
    /// Group of upstreams that serves the requests.
    pub group: Name,
    /// Policy that decides how requests are treated.
    pub policy: Policy,
    /// Request headers that are passed to the policy, in lower case.
    pub inputs: Vec<String>,
    /// Response header by which an upstream reports that it is draining, in lower case.
    pub drain_header: Option<String>,
    /// Response header by which an upstream reports that it did not start the request, in lower
    /// case.
    pub shed_header: Option<String>,
    /// Whether requests need no key of a client account.
    pub open: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    pub name: Name,
    /// VMs of the upstreams, by their names in the platform's list.
    pub upstreams: Vec<Name>,
}

/// Measuring budget of a data hall.
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
    /// Measuring budgets by data hall.
    pub halls: BTreeMap<Name, MeasuringBudget>,
    /// Services by host without port, in lower case.
    pub hosts: HashMap<String, Name>,
    /// Services by path prefix, longest first.
    pub prefixes: Vec<(String, Name)>,
    /// Services whose upstreams register with their local nodes.
    pub registered: BTreeMap<Name, RegisteredService>,
    /// Routes by host, longest path first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Source text of the routes, so that the check of the next set can reuse unchanged ones.
    pub route_sections: RouteSections,
    /// Limits on requests of callers; `None`: the node's own limits apply.
    pub limits: Option<CallerLimits>,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Accounts,
}

impl Declarations {
    /// The service of a request: by its host without port if one is declared for it, else by the
    /// longest matching path prefix.
    pub fn find_service(&self, host: &str, path: &str) -> Option<&Service> {
        let name = self
            .hosts
            .get(host)
            .or_else(|| self.service_by_path(path))?;
        self.services.get(name)
    }

    /// The route of `host` with the longest path that is a prefix of `path`.
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

/// Whether `path` equals `prefix` or is below it.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
