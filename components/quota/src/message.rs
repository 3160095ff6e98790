//! Messages between nodes about leases and tokens.

use names::Name;
use serde::{Deserialize, Serialize};

/// A message about leases and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender leases its share of every limit to the receiver.
    #[serde(rename = "Lend")]
    LeaseGranted {
        #[serde(rename = "p")]
        share: f64,
        #[serde(rename = "t")]
        duration_us: u64,
    },
    /// The sender requests a token.
    #[serde(rename = "Take")]
    TokenRequest {
        #[serde(rename = "i")]
        id: u64,
        #[serde(rename = "a")]
        account: Name,
    },
    /// The answer to [`Message::TokenRequest`].
    #[serde(rename = "Taken")]
    TokenReply {
        /// Identity of the request.
        #[serde(rename = "i")]
        id: u64,
        #[serde(rename = "r")]
        answer: Answer,
    },
    /// The sender returns an unused token.
    #[serde(rename = "GiveBack")]
    TokenReturned {
        #[serde(rename = "a")]
        account: Name,
    },
}

impl Message {
    /// Subtracts the time that the message was delayed in transit from the duration of its lease.
    pub fn subtract_delay(&mut self, delay_us: u64) {
        if let Message::LeaseGranted { duration_us, .. } = self {
            *duration_us = duration_us.saturating_sub(delay_us);
        }
    }
}

/// Answer of a token holder to a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A token was taken for the requester.
    Granted,
    /// No token is available.
    #[serde(rename = "Short")]
    NoToken {
        /// Time until one is available, in microseconds; `None` if unknown.
        #[serde(rename = "w")]
        wait_us: Option<u64>,
    },
    /// The holder knows no such account, or no limit of it.
    Unknown,
}
