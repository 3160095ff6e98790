//! A node as a process, with test doubles of the platform and the upstream.

mod doors;
mod fleet;
mod operators;
mod stop;
mod upstreams;
