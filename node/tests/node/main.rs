//! A node as a process, between stand-ins for the platform and the upstream.

mod doors;
mod fleet;
mod operators;
mod stop;
mod upstreams;
