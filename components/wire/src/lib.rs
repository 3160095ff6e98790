//! Frames between nodes, their encoding, and the authentication of peers.

mod frame;
mod handshake;
mod http;

pub use frame::{decode, encode, Envelope, Frame, RelayOutcome, MAX_FRAME_OVERHEAD};
pub use handshake::{
    decode_message, encode_message, Handshake, Hello, Proof, Welcome, PROTOCOL_VERSION,
};
pub use http::{Answer, Request};
