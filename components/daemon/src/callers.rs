//! The callers' door: plain HTTP/1.1.

mod admission;
mod connection;
mod reading;
mod request;
mod response;
mod returned;
mod row;
mod serve;

pub use admission::run_loans;
pub use connection::run;
pub use returned::Try;
