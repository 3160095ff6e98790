//! Encoding of frames and handshakes, with valid and malformed input.

use home::{Load, Offer, Reason, Refusal};
use keys::KeyHash;
use names::{AttemptId, BootId};
use proptest::prelude::*;
use registry::{Incarnation, Record, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wire::{decode, decode_message, encode, Frame, Handshake, Hello, Request, Welcome};

const CASES: u32 = 2_000;

fn offer(body: Vec<u8>) -> Frame {
    Frame::Offer {
        offer: Offer {
            id: AttemptId {
                boot: BootId(7),
                seq: 9,
            },
            service: "prices".into(),
            remaining_us: 1_000,
            objective_us: None,
            priority: 3,
            level: 0,
            repeatable: true,
            may_queue: false,
            repeat: false,
            suspicion: home::Suspicion::None,
            returned: false,
            report_straggler: false,
            known_limit: None,
            account: None,
        },
        key: None,
        req: Arc::new(Request {
            service: "prices".into(),
            method: "GET".to_string(),
            target: "/a?b=c".to_string(),
            headers: vec![("accept".to_string(), "*/*".to_string())],
            body,
            level: 0,
            id: "-".to_string(),
            account: None,
        }),
        upstream: None,
    }
}

fn handshakes(key_of_a: &str, key_of_b: &str) -> (Handshake, Handshake) {
    (
        Handshake::new(key_of_a, "a".into(), BootId(1), 11),
        Handshake::new(key_of_b, "b".into(), BootId(2), 22),
    )
}

#[test]
fn frame_is_decoded_as_it_was_encoded() {
    let frame = offer(vec![0, 255, 10]);
    let envelope = decode("peer", &encode(42, &frame)).expect("a valid frame");
    assert_eq!(envelope.sent_us, 42);
    assert_eq!(envelope.frame, frame);
}

#[test]
fn body_is_encoded_with_little_overhead() {
    let empty = encode(0, &offer(Vec::new())).len();
    let full = encode(0, &offer(vec![200; 10_000])).len();
    assert!(full - empty <= 10_000 + 8);
}

#[test]
fn decode_error_names_the_step_and_the_peer() {
    let error = decode("10.0.0.7:80", b"\xff").expect_err("an invalid frame");
    assert!(error.to_string().starts_with("frame with 10.0.0.7:80: "));
}

#[test]
fn nodes_with_the_same_key_authenticate_each_other() {
    let (a, b) = handshakes("the key of the fleet", "the key of the fleet");
    let welcome = b.welcome(&a.hello()).expect("a valid hello");
    let proof = a.prove_to(&welcome).expect("a valid welcome");
    b.check(&a.hello(), &proof).expect("a valid proof");
}

#[test]
fn either_side_rejects_a_peer_without_the_key() {
    let (a, b) = handshakes("the key of the fleet", "another key");
    let welcome = b.welcome(&a.hello()).expect("a valid hello");
    assert!(a.prove_to(&welcome).is_err());
    let (a, b) = handshakes("the key of the fleet", "the key of the fleet");
    let welcome = b.welcome(&a.hello()).expect("a valid hello");
    let mut proof = a.prove_to(&welcome).expect("a valid welcome");
    proof.proof[0] ^= 1;
    assert!(b.check(&a.hello(), &proof).is_err());
}

#[test]
fn proof_can_not_be_replayed_or_reflected() {
    let key = "the key of the fleet";
    let (a, b) = handshakes(key, key);
    let welcome = b.welcome(&a.hello()).expect("a valid hello");
    let proof = a.prove_to(&welcome).expect("a valid welcome");
    let replayed_to = Handshake::new(key, "b".into(), BootId(2), 23);
    assert!(replayed_to.check(&a.hello(), &proof).is_err());
    let reflected = Welcome {
        hello: welcome.hello.clone(),
        proof: proof.proof.clone(),
    };
    assert!(a.prove_to(&reflected).is_err());
}

#[test]
fn peer_with_another_protocol_version_is_rejected() {
    let (a, b) = handshakes("k", "k");
    let hello = Hello {
        version: 99,
        ..a.hello()
    };
    let error = b.welcome(&hello).expect_err("another version");
    assert!(
        error
            .to_string()
            .contains("uses protocol version 99, this node uses"),
        "{error}"
    );
}

proptest! {
    #![proptest_config(fuzzing::config(CASES))]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        decode("peer", &bytes).ok();
        decode_message::<Hello>("peer", &bytes).ok();
        decode_message::<Welcome>("peer", &bytes).ok();
    }

    #[test]
    fn decoding_a_damaged_frame_does_not_panic(
        at in 0..200usize,
        byte in any::<u8>(),
        cut in 0..200usize,
    ) {
        let mut bytes = encode(1, &offer(vec![1, 2, 3]));
        let at = at % bytes.len();
        bytes[at] = byte;
        decode("peer", &bytes).ok();
        bytes.truncate(cut);
        decode("peer", &bytes).ok();
    }

    #[test]
    fn load_is_decoded_as_it_was_encoded(
        in_flight in any::<u32>(),
        service_us in any::<u64>(),
        leaving in any::<bool>(),
    ) {
        let load = Load { in_flight, service_us, leaving, ..Load::default() };
        let frame = Frame::Alive { load };
        let envelope = decode("peer", &encode(0, &frame)).expect("a valid frame");
        prop_assert_eq!(envelope.frame, frame);
    }
}

/// Frames of nodes that do not name the upstream they mean.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierFrame {
    Offer {
        offer: Offer,
        key: Option<KeyHash>,
        req: Request,
    },
    Refused {
        id: AttemptId,
        refusal: Refusal,
        load: Load,
    },
}

fn earlier_offer() -> EarlierFrame {
    let Frame::Offer { offer, req, .. } = offer(vec![7]) else {
        panic!("an offer");
    };
    EarlierFrame::Offer {
        offer,
        key: None,
        req: Arc::unwrap_or_clone(req),
    }
}

#[test]
fn offer_of_an_earlier_version_is_not_read() {
    let envelope = wire::Envelope {
        sent_us: 42,
        frame: earlier_offer(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&envelope, &mut bytes).expect("a frame");
    let read = decode("peer", &bytes).expect("a valid frame");
    assert_eq!(read.frame, offer(vec![7]));
}

#[test]
fn node_of_an_earlier_version_does_not_read_frames_that_name_the_upstream() {
    let Frame::Offer {
        offer, key, req, ..
    } = offer(vec![7])
    else {
        panic!("an offer");
    };
    let named = Frame::Offer {
        offer,
        key,
        req,
        upstream: Some(Incarnation {
            id: "i-1".into(),
            born_ms: Some(9),
        }),
    };
    let id = AttemptId {
        boot: BootId(7),
        seq: 9,
    };
    let refusal = Refusal {
        reason: Reason::NoUpstream,
        retry_after_ms: 100,
    };
    let record = Record {
        vm: "vm-1".into(),
        hall: "hall-a".into(),
        peers: "10.0.0.1:7".to_string(),
        boot: BootId(7),
        version: Version::default(),
        serving: true,
        upstream: None,
        quarantined: Vec::new(),
    };
    let load = Load::default();
    let refused = Frame::Refused {
        id,
        refusal,
        load,
        current: Some(Box::new(record)),
    };
    for (frame, earlier) in [
        (named, earlier_offer()),
        (refused, EarlierFrame::Refused { id, refusal, load }),
    ] {
        let bytes = encode(42, &frame);
        let read: wire::Envelope<EarlierFrame> = ciborium::from_reader(bytes.as_slice())
            .expect("a frame that the earlier version reads");
        assert_eq!(read.frame, earlier);
    }
}
