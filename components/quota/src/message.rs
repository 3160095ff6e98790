//! What nodes tell each other of tokens.

use names::Name;
use serde::{Deserialize, Serialize};

/// A message about shares and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender lends its part of every limit.
    #[serde(rename = "Lend")]
    LeaseGranted {
        /// The part.
        #[serde(rename = "p")]
        share: f64,
        /// For how long, in microseconds.
        #[serde(rename = "t")]
        duration_us: u64,
    },
    /// The sender wants a token.
    #[serde(rename = "Take")]
    TokenRequest {
        /// Identity of the question.
        #[serde(rename = "i")]
        id: u64,
        /// Of this account.
        #[serde(rename = "a")]
        account: Name,
    },
    /// The answer to [`Message::TokenRequest`].
    #[serde(rename = "Taken")]
    TokenReply {
        /// Identity of the question.
        #[serde(rename = "i")]
        id: u64,
        /// The answer.
        #[serde(rename = "r")]
        answer: Answer,
    },
    /// A token was not used.
    #[serde(rename = "GiveBack")]
    TokenReturned {
        /// Of this account.
        #[serde(rename = "a")]
        account: Name,
    },
}

impl Message {
    /// Takes the time that a message spent waiting on its way off the time that it grants.
    pub fn subtract_delay(&mut self, delay_us: u64) {
        if let Message::LeaseGranted { duration_us, .. } = self {
            *duration_us = duration_us.saturating_sub(delay_us);
        }
    }
}

/// What a collector says when a token is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Here it is.
    Granted,
    /// There is none.
    #[serde(rename = "Short")]
    NoToken {
        /// When there is one, in microseconds; none when it isn't known.
        #[serde(rename = "w")]
        wait_us: Option<u64>,
    },
    /// The collector doesn't know the account, or knows no limit of it.
    Unknown,
}
