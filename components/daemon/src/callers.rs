//! The listener for callers: plain HTTP/1.1.

mod admission;
mod connection;
mod pipeline;
mod reading;
mod request;
mod response;
mod returned;
mod serve;
mod stopping;

pub use admission::run_lease_renewals;
pub use connection::run;
pub use returned::Try;
