//! Model of nodes, upstreams and callers on one seeded virtual clock.
//!
//! Decisions are made by the product's own code: [`World`] runs `entry`, `home` and `returning` in
//! virtual time. A [`Site`] describes the VMs and the cost of requests, a [`Load`] the arrivals,
//! and a [`Report`] the results. The same seed gives the same report.
//!
//! A [`Scenario`] is a load read from a file: a site, a [`Demand`] from which callers are drawn,
//! and faults of upstreams. A [`Comparison`] runs it under several policies.

mod caller;
mod capacity;
mod compare;
mod connection;
mod demand;
mod library;
mod load;
mod message;
mod plot;
mod policy;
mod read_site;
mod reading;
mod report;
mod scenario;
mod site;
mod table;
mod tally;
mod upstream;
mod world;

pub use compare::{Comparison, Means, PolicyResult};
pub use connection::Connection;
pub use demand::{Demand, HallWave, Surge, SurgeKind};
pub use library::{names, LoadError};
pub use load::{Arrival, Load};
pub use policy::{Policy, UnknownPolicy};
pub use report::{ClassReport, Report};
pub use scenario::Scenario;
pub use site::{
    Account, Callers, Calls, Class, ColdLimit, Fault, FaultKind, Service, Site, SpeedModel, Tail,
    Vm,
};
pub use tally::{Row, Tally};
pub use world::{AvoidableRefusals, World};
