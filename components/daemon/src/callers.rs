//! The callers' door: plain HTTP/1.1.

mod connection;
mod request;
mod response;
mod serve;

pub use connection::run;
