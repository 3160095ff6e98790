//! Declarations of the operators: services, groups of upstreams, policies and measuring budgets.
//!
//! Declarations are a set of files: `services.ini`, the policies it names, and examples beside
//! each policy. They are checked whole; the examples are run.

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
