//! HTTP/1.1 messages byte for byte, for both sides of a proxy.
//!
//! `httparse` reads heads and chunk sizes. What is built here is what a proxy owes: targets and
//! header values are kept as they came, a body ends exactly where its framing says, and bytes behind
//! a message stay on the connection, so that they are noticed and never taken for the next one.

mod call;
mod connection;
mod framing;
mod head;
mod patience;
mod write;

pub use call::{call, call_with_callback, enable_dead_peer_detection};
pub use connection::{Connection, Fault};
pub use framing::{request_framing, response_framing, CloseDelimited, Framing};
pub use head::{header_value, is_hop_header, unique_header, Header, RequestHead, ResponseHead};
pub use patience::ResponseTimeouts;
pub use write::{request_bytes, response_bytes};
