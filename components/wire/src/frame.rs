//! Frames: the messages between nodes after the handshake.

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

/// Maximum size of a frame beyond the body that it carries, in bytes.
pub const MAX_FRAME_OVERHEAD: usize = 64 * 1024;

/// Outcome of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// The complete answer.
    Answered(Arc<Answer>),
    /// No upstream has run the request, and none will.
    NotRun(Refusal),
    /// An upstream may have run the request.
    Unknown(Reason),
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to home: run this request.
    Offer {
        /// The offer.
        offer: Offer,
        /// Idempotency key of the request, hashed.
        key: Option<KeyHash>,
        /// The request.
        req: Arc<Request>,
        /// Incarnation of the upstream that was chosen. None from a node of an earlier version, and
        /// where the platform lists the VMs.
        #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
        upstream: Option<Incarnation>,
    },
    /// Home to entry: the attempt has not run and never will.
    Refused {
        /// The attempt.
        id: AttemptId,
        /// The reason, and when to try again.
        refusal: Refusal,
        /// State of the upstream.
        load: Load,
        /// The sender's record, if another upstream was offered the attempt than the one there.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        current: Option<Box<Record>>,
    },
    /// Home to entry: the attempt was removed from the queue without having run.
    Revoked {
        /// The attempt.
        id: AttemptId,
        /// State of the upstream.
        load: Load,
    },
    /// Home to entry: the complete answer.
    Answered {
        /// The attempt.
        id: AttemptId,
        /// The answer.
        answer: Arc<Answer>,
        /// State of the upstream.
        load: Load,
        /// Incarnation of the upstream that gave the answer, if it reports that it is draining.
        #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
        leaving: Option<Incarnation>,
    },
    /// Home to entry: the attempt runs for much longer than is typical.
    Straggles {
        /// The attempt.
        id: AttemptId,
    },
    /// Home to entry: the attempt has run, and there is no complete answer.
    Broken {
        /// The attempt.
        id: AttemptId,
        /// State of the upstream.
        load: Load,
        /// The suspicion against the request, if the upstream has terminated.
        ended: Option<Suspect>,
    },
    /// Home to all: the upstream terminated while it ran these requests.
    Ended(Vec<Suspect>),
    /// To all: the request is not harmful.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it has completed; otherwise an operator has released it.
        ran: bool,
    },
    /// Entry to home: query about an attempt. If the attempt has not started, it never will.
    Ask {
        /// The attempt.
        id: AttemptId,
        /// Boot of the home node to which it was offered; other boots have no record of it.
        boot: BootId,
    },
    /// Home to entry: the reply to [`Frame::Ask`].
    Told {
        /// The attempt.
        id: AttemptId,
        /// What the home duty knows of the attempt.
        reply: QueryReply<Arc<Answer>>,
    },
    /// Entry to home: no call waits for this attempt any more.
    Cancel {
        /// The attempt.
        id: AttemptId,
    },
    /// Checks whether the receiver is alive. Counts against the measuring budget.
    Heartbeat,
    /// The reply to [`Frame::Heartbeat`].
    Alive {
        /// State of the upstream.
        load: Load,
    },
    /// The sender's upstream is draining, or has ended its drain.
    Leaving {
        /// Whether it is draining.
        leaving: bool,
    },
    /// Coordinator to home: claims an idempotency key; no other coordinator may have it run there.
    Claim {
        /// ID of the query.
        id: AttemptId,
        /// The key.
        key: KeyHash,
    },
    /// Home to coordinator: the reply to [`Frame::Claim`].
    Claimed {
        /// ID of the query.
        id: AttemptId,
        /// The reply.
        reply: ClaimReply<Arc<Answer>>,
    },
    /// Coordinator to home: the key was not run and is free again.
    Release {
        /// Boot of the coordinator.
        by: BootId,
        /// The key.
        key: KeyHash,
    },
    /// A new boot to the other nodes of its groups: query for the keys that they know. They accept
    /// no further key from the sender's previous boots.
    Recover {
        /// ID of the query.
        id: AttemptId,
    },
    /// The reply to [`Frame::Recover`].
    Recovered {
        /// ID of the query.
        id: AttemptId,
        /// All keys that the sender knows; `None` if it can't list them all.
        keys: Option<Vec<KeyHash>>,
        /// For how long there may be further keys that the sender doesn't know, in microseconds.
        uncertain_us: u64,
    },
    /// Entry to the coordinator of an idempotency key: take over this request.
    Relay {
        /// ID of the relayed request.
        id: AttemptId,
        /// Time left until the caller's deadline, in microseconds.
        remaining_us: u64,
        /// How long the request has waited since it was read, in microseconds.
        waited_us: u64,
        /// The idempotency key.
        key: String,
        /// Priority assigned by the policy.
        priority: u8,
        /// Revision by which the sender chose the coordinator.
        revision: u64,
        /// The request.
        req: Arc<Request>,
    },
    /// Coordinator to entry: the outcome.
    Relayed {
        /// ID of the relayed request.
        id: AttemptId,
        /// The outcome.
        outcome: RelayOutcome,
    },
    /// A node's record of itself and of its local upstream.
    Registered(Box<Record>),
    /// To a node that can reach the platform's store: write this record of the sender to it.
    Store(Box<Record>),
    /// Digest of the records that the sender knows. A receiver with another digest replies with the
    /// digests of its buckets.
    RecordsDigest(u64),
    /// Digests of the sender's buckets of records. The receiver replies with the versions of its records
    /// in the buckets that differ.
    RecordBuckets(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Versions of the sender's records in some buckets. The receiver replies with the records that the
    /// sender lacks.
    RecordVersions(Versions),
    /// Records that the receiver lacks.
    Records(Vec<Record>),
    /// Summary of what the sender knows. A receiver that knows something newer replies with its own
    /// summary. One that lacks something requests it, if it has selected this node to fetch it from.
    Summary(Summary),
    /// Keep-alive notice of a watcher, and a summary of what it knows.
    Watch {
        /// What the sender reports of its own calls to the platform.
        #[serde(rename = "w")]
        notice: WatchNotice,
        /// Summary of what the sender knows.
        #[serde(rename = "k")]
        summary: Summary,
    },
    /// Request for everything newer than this summary of the sender. The receiver replies with the content.
    Want(Summary),
    /// A revision of the declarations with its content.
    Configuration(Arc<Configuration>),
    /// The platform's list of VMs.
    Vms(Arc<VmList>),
    /// Leases and tokens of client accounts with a rate limit.
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
    pub sent_us: u64,
    pub frame: F,
}

/// Encodes a frame that is sent at `sent_us`.
pub fn encode(sent_us: u64, frame: &Frame) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let envelope = Envelope { sent_us, frame };
    ciborium::into_writer(&envelope, &mut buf).expect("a frame always encodes");
    buf
}

/// Decodes a frame received from `peer`.
pub fn decode(peer: &str, bytes: &[u8]) -> Result<Envelope<Frame>> {
    ciborium::from_reader(bytes).map_err(|error| Error::new(Step::Frame, peer, error))
}
