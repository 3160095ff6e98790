//! The frames.

use crate::http::{Answer, Request};
use errors::{Error, Result, Step};
use home::{Load, Offer, QueryReply, Reason, Refusal};
use keys::{ClaimReply, KeyHash};
use membership::VmList;
use names::{AttemptId, BootId};
use quarantine::{Fingerprint, Suspect};
use registry::{Incarnation, Record, Versions};
use rollout::{Configuration, Summary};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use watch::WatchNotice;

/// Bytes that a frame may have beyond the body it carries.
pub const MAX_FRAME_OVERHEAD: usize = 64 * 1024;

/// The outcome of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// The whole answer.
    Answered(Arc<Answer>),
    /// Not run anywhere, and never will be.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Reason),
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to home: run this.
    Offer {
        /// The offer.
        offer: Offer,
        /// Idempotency key of the request, hashed.
        key: Option<KeyHash>,
        /// The request.
        req: Arc<Request>,
    },
    /// Home to entry: not run, and never will be.
    Refused {
        /// The attempt.
        id: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
        /// State of the upstream.
        load: Load,
    },
    /// Home to entry: handed back from the queue, not run.
    Revoked {
        /// The attempt.
        id: AttemptId,
        /// State of the upstream.
        load: Load,
    },
    /// Home to entry: the whole answer.
    Answered {
        /// The attempt.
        id: AttemptId,
        /// The answer.
        answer: Arc<Answer>,
        /// State of the upstream.
        load: Load,
        /// The start of the upstream that gave the answer, if it says that it leaves.
        #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
        leaving: Option<Incarnation>,
    },
    /// Home to entry: the run takes much longer than usual.
    Straggles {
        /// The attempt.
        id: AttemptId,
    },
    /// Home to entry: it ran, and there is no whole answer.
    Broken {
        /// The attempt.
        id: AttemptId,
        /// State of the upstream.
        load: Load,
        /// What follows for the request where the upstream has ended.
        ended: Option<Suspect>,
    },
    /// Home to all: the upstream ended while it ran these requests.
    Ended(Vec<Suspect>),
    /// To all: nothing is to be feared of the request.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it has run to a good end; otherwise an operator says so.
        ran: bool,
    },
    /// Entry to home: what became of this attempt? If it has not started, it never will.
    Ask {
        /// The attempt.
        id: AttemptId,
        /// Boot of the home node to which it was offered; another boot knows nothing of it.
        boot: BootId,
    },
    /// Home to entry: the answer to [`Frame::Ask`].
    Told {
        /// The attempt.
        id: AttemptId,
        /// What is known.
        reply: QueryReply<Arc<Answer>>,
    },
    /// Entry to home: nobody waits for this attempt.
    Cancel {
        /// The attempt.
        id: AttemptId,
    },
    /// Are you there? Passes the measuring budget.
    Heartbeat,
    /// Yes.
    Alive {
        /// State of the upstream.
        load: Load,
    },
    /// The sender's upstream is leaving, or stays after all.
    Leaving {
        /// Whether it leaves.
        leaving: bool,
    },
    /// Coordinator to home: nobody but me may run this key there.
    Claim {
        /// Identity of the question.
        id: AttemptId,
        /// The key.
        key: KeyHash,
    },
    /// Home to coordinator: the answer to [`Frame::Claim`].
    Claimed {
        /// Identity of the question.
        id: AttemptId,
        /// The answer.
        reply: ClaimReply<Arc<Answer>>,
    },
    /// Coordinator to home: the key was not run and is free again.
    Release {
        /// Boot of the coordinator.
        by: BootId,
        /// The key.
        key: KeyHash,
    },
    /// A new boot to the other nodes of its groups: which keys do you know, and no longer take any
    /// from my predecessor.
    Recover {
        /// Identity of the question.
        id: AttemptId,
    },
    /// The answer to [`Frame::Recover`].
    Recovered {
        /// Identity of the question.
        id: AttemptId,
        /// Every key that the sender knows; none when it can't say.
        keys: Option<Vec<KeyHash>>,
        /// For how long there may be others that the sender doesn't know, in microseconds.
        uncertain_us: u64,
    },
    /// Entry to the coordinator of an idempotency key: carry this request through.
    Relay {
        /// Identity of the relay.
        id: AttemptId,
        /// Time left until the caller's deadline, in microseconds.
        remaining_us: u64,
        /// How long the request has waited since it was read, in microseconds.
        waited_us: u64,
        /// The idempotency key.
        key: String,
        /// Priority from the policy.
        priority: u8,
        /// Revision by which the sender chose the coordinator.
        revision: u64,
        /// The request.
        req: Arc<Request>,
    },
    /// Coordinator to entry: the outcome.
    Relayed {
        /// Identity of the relay.
        id: AttemptId,
        /// The outcome.
        outcome: RelayOutcome,
    },
    /// A node's record of itself and of the upstream beside it.
    Registered(Box<Record>),
    /// To a node that reaches the platform's store: write this record of the sender there.
    Store(Box<Record>),
    /// The digest of the records that the sender knows; a receiver that knows others answers with the
    /// digests of its buckets.
    RecordsDigest(u64),
    /// The digests of the buckets of records that the sender knows; the receiver answers with the versions
    /// of its records where they differ.
    RecordBuckets(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The versions of the records that the sender knows in some buckets; the receiver answers with those
    /// that the sender lacks.
    RecordVersions(Versions),
    /// Records that the receiver was found to lack.
    Records(Vec<Record>),
    /// What the sender knows. A receiver that knows something newer answers with its own summary, one that
    /// lacks something asks for it when it wants it from this node.
    Summary(Summary),
    /// What the sender says of its own calls to the platform, and what it knows.
    Watch {
        /// What it says.
        #[serde(rename = "w")]
        notice: WatchNotice,
        /// What it knows.
        #[serde(rename = "k")]
        summary: Summary,
    },
    /// What the sender knows; the receiver answers with the content of what is newer.
    Want(Summary),
    /// A revision with its content.
    Configuration(Arc<Configuration>),
    /// The platform's list.
    Vms(Arc<VmList>),
    /// Shares and tokens of limited client accounts.
    Quota(quota::Message),
}

impl Frame {
    /// A fixed lower-case name, used as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Offer { .. } => "offer",
            Frame::Refused { .. } => "refused",
            Frame::Revoked { .. } => "revoked",
            Frame::Answered { .. } => "answered",
            Frame::Broken { .. } => "broken",
            Frame::Straggles { .. } => "straggles",
            Frame::Ended(_) => "upstream-ended",
            Frame::Cleared { .. } => "cleared",
            Frame::Ask { .. } => "ask",
            Frame::Told { .. } => "told",
            Frame::Cancel { .. } => "cancel",
            Frame::Heartbeat => "heartbeat",
            Frame::Alive { .. } => "alive",
            Frame::Leaving { .. } => "leaving",
            Frame::Claim { .. } => "claim",
            Frame::Claimed { .. } => "claimed",
            Frame::Release { .. } => "release",
            Frame::Recover { .. } => "recover",
            Frame::Recovered { .. } => "recovered",
            Frame::Relay { .. } => "relay",
            Frame::Relayed { .. } => "relayed",
            Frame::Registered(_) => "registered",
            Frame::Store(_) => "store",
            Frame::RecordsDigest(_) => "records-digest",
            Frame::RecordBuckets(_) => "record-buckets",
            Frame::RecordVersions(_) => "record-versions",
            Frame::Records(_) => "records",
            Frame::Summary(_) => "summary",
            Frame::Watch { .. } => "watch",
            Frame::Want(_) => "want",
            Frame::Configuration(_) => "configuration",
            Frame::Vms(_) => "vms",
            Frame::Quota(_) => "quota",
        }
    }
}

/// A frame with its send time on the sender's monotonic clock, in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<F> {
    /// When it was sent.
    pub sent_us: u64,
    /// The frame.
    pub frame: F,
}

/// Encodes a frame that is sent now.
pub fn encode(sent_us: u64, frame: &Frame) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let envelope = Envelope { sent_us, frame };
    ciborium::into_writer(&envelope, &mut buf).expect("a frame always encodes");
    buf
}

/// Decodes a frame that came from `peer`.
pub fn decode(peer: &str, bytes: &[u8]) -> Result<Envelope<Frame>> {
    ciborium::from_reader(bytes).map_err(|error| Error::new(Step::Frame, peer, error))
}
