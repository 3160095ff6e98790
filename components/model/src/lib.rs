//! Model: nodes, upstreams and callers on one seeded clock.
//!
//! The decisions are those of the product: [`World`] carries out what `entry`, `home` and `returning` decide, in
//! virtual time. A [`Site`] says which VMs there are and what requests cost, a [`Load`] which requests come when;
//! the [`Report`] what became of them. The same seed gives the same report.
//!
//! A [`Scenario`] is a load that was read from a file: a site, a [`Demand`] from which callers are drawn, and what
//! happens to upstreams. A [`Comparison`] plays it under several policies.

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

pub use compare::{Comparison, Means, Played};
pub use connection::Connection;
pub use demand::{Demand, HallWave, Surge, SurgeKind};
pub use library::{names, LoadError};
pub use load::{Arrival, Load};
pub use policy::{Policy, UnknownPolicy};
pub use report::{ClassReport, Report};
pub use scenario::Scenario;
pub use site::{
    Account, Callers, Calls, Class, ColdBound, Pace, Service, Site, Tail, Trouble, TroubleKind, Vm,
};
pub use tally::{Row, Tally};
pub use world::{RefusedBesideFree, World};
