//! Reads and writes HTTP/1.1 messages, for both sides of a proxy.
//!
//! `httparse` parses heads and chunk sizes. This crate adds what a proxy needs: request targets and
//! header values are kept as received, a body ends exactly where its framing says, and bytes after a
//! message stay in the buffer of the connection, where they are detected and not taken for the next
//! message.

mod buffer;
mod call;
mod connection;
mod framing;
mod head;
mod limited;
mod patience;
mod write;

pub use call::{call, call_with_callback, enable_dead_peer_detection};
pub use connection::{Connection, Fault};
pub use framing::{request_framing, response_framing, CloseDelimited, Framing};
pub use head::{header_value, is_hop_header, unique_header, Header, RequestHead, ResponseHead};
pub use limited::LimitedStream;
pub use patience::ResponseTimeouts;
pub use write::{request_bytes, request_parts, response_bytes, response_parts};
