//! Declarations by operators: services, groups of upstreams, routes, client accounts, policies and
//! measuring budgets.
//!
//! A set of declarations is a directory: `services.ini`, the policies that it names, and optional
//! examples for each policy. A check covers all files and runs the examples.

mod bundle;
mod check;
mod check_accounts;
mod check_routes;
mod examples;
mod first;
mod model;
mod plain;
mod route;
mod steps;

pub use bundle::{Bundle, MAX_BUNDLE_BYTES, SERVICES_FILE};
pub use check::check;
pub use first::first_occurrences;
pub use model::{Declarations, Group, MeasuringBudget, Service};
pub use route::{CallerLimits, ColdStart, RegisteredService, Route, Share};
pub use steps::{check_incremental, BytesRead, IncrementalCheck, RouteSections};
