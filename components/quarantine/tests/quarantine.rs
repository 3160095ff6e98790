//! Verdicts on requests for notices received in any order and number.

use names::{AttemptId, BootId, Moment, Name, SECOND};
use proptest::prelude::*;
use quarantine::{suspect_order, Fingerprint, Quarantine, Suspect, Verdict};

/// Long after the node started.
const NOW: Moment = Moment(100 * SECOND);

fn request(body: &str) -> Fingerprint {
    Fingerprint::of("GET", "site.example", "/a/x", body.as_bytes())
}

fn termination(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(7),
        seq,
    }
}

fn suspect(fingerprint: Fingerprint, seq: u64, sole_suspect: bool) -> Suspect {
    Suspect {
        fingerprint,
        termination: termination(seq),
        sole_suspect,
    }
}

#[test]
fn requests_that_differ_in_any_part_have_different_fingerprints() {
    let fingerprint = Fingerprint::of("GET", "site.example", "/a/x", b"");
    let others = [
        Fingerprint::of("PUT", "site.example", "/a/x", b""),
        Fingerprint::of("GET", "sit.example", "e/a/x", b""),
        Fingerprint::of("GET", "site.example", "/a/", b"x"),
        Fingerprint::of("GET", "site.example", "/a/x", b"y"),
    ];
    assert!(others.iter().all(|other| *other != fingerprint));
    assert_eq!(
        fingerprint,
        Fingerprint::of("GET", "site.example", "/a/x", b"")
    );
}

#[test]
fn only_the_text_of_a_fingerprint_parses_as_one() {
    let fingerprint = request("x");
    assert_eq!(
        Fingerprint::try_from(fingerprint.to_string()),
        Ok(fingerprint)
    );
    for text in [
        "",
        "00",
        "+0000000000000000000000000000001",
        &format!("{fingerprint}0"),
    ] {
        assert!(Fingerprint::try_from(text.to_string()).is_err(), "{text}");
    }
}

#[test]
fn request_becomes_suspect_then_quarantined() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Free);
    quarantine.on_termination(NOW, suspect(fingerprint, 1, false));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Suspect);
    quarantine.on_termination(NOW, suspect(fingerprint, 2, true));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Held);
    assert_eq!(quarantine.verdict(NOW, request("y")), Verdict::Free);
}

#[test]
fn repeated_notice_of_a_termination_counts_once() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    assert!(quarantine.on_termination(NOW, suspect(fingerprint, 1, true)));
    assert!(!quarantine.on_termination(NOW, suspect(fingerprint, 1, true)));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Suspect);
    assert_eq!(quarantine.termination_count(fingerprint), 1);
}

#[test]
fn request_that_was_never_the_sole_suspect_is_quarantined_only_after_three_terminations() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    for seq in 1..=2 {
        quarantine.on_termination(NOW, suspect(fingerprint, seq, false));
        assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Suspect);
    }
    quarantine.on_termination(NOW, suspect(fingerprint, 3, false));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Held);
}

/// A node that has just started has not observed any completion yet.
#[test]
fn threshold_is_higher_after_node_start_except_for_a_sole_suspect() {
    let mut quarantine = Quarantine::new(NOW);
    let (shared, sole) = (request("x"), request("y"));
    for seq in 1..=4 {
        quarantine.on_termination(NOW, suspect(shared, seq, false));
        assert_eq!(quarantine.verdict(NOW, shared), Verdict::Suspect);
    }
    quarantine.on_termination(NOW, suspect(shared, 5, false));
    assert_eq!(quarantine.verdict(NOW, shared), Verdict::Held);
    for seq in 1..=2 {
        quarantine.on_termination(NOW, suspect(sole, seq, true));
    }
    assert_eq!(quarantine.verdict(NOW, sole), Verdict::Held);
}

#[test]
fn completion_clears_a_request() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    quarantine.on_termination(NOW, suspect(fingerprint, 1, true));
    assert!(quarantine.on_local_completion(NOW, fingerprint));
    assert!(!quarantine.on_local_completion(NOW, fingerprint));
    let later = NOW + 31 * SECOND;
    quarantine.on_termination(later, suspect(fingerprint, 2, true));
    assert_eq!(quarantine.verdict(later, fingerprint), Verdict::Suspect);
}

/// Notices travel by several paths, so the one that clears a request may overtake others.
#[test]
fn repeated_notice_of_a_termination_is_ignored_after_clearing() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    quarantine.on_termination(NOW, suspect(fingerprint, 1, true));
    assert!(quarantine.clear(fingerprint));
    assert!(!quarantine.on_termination(NOW, suspect(fingerprint, 1, true)));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Free);
    assert!(quarantine.on_termination(NOW, suspect(fingerprint, 2, true)));
}

/// Requests that many callers send are in progress wherever an upstream terminates. Quarantine would
/// refuse them to all of these callers.
#[test]
fn recently_completed_request_is_neither_suspect_nor_quarantined() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    quarantine.on_local_completion(NOW, fingerprint);
    for seq in 1..=3 {
        quarantine.on_termination(NOW, suspect(fingerprint, seq, false));
        assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Free);
    }
    assert!(quarantine.completed_recently(NOW + 30 * SECOND, fingerprint));
    let later = NOW + 31 * SECOND;
    assert_eq!(quarantine.verdict(later, fingerprint), Verdict::Held);
    quarantine.on_remote_completion(later, fingerprint);
    assert_eq!(quarantine.verdict(later, fingerprint), Verdict::Free);
}

#[test]
fn number_of_remembered_completions_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        quarantine.on_local_completion(NOW + number, request(&number.to_string()));
    }
    let now = NOW + 10_000;
    assert!(quarantine.completed_recently(now, request("9999")));
    assert!(!quarantine.completed_recently(now, request("0")));
}

#[test]
fn request_quarantined_by_another_node_is_quarantined() {
    let mut quarantine = Quarantine::default();
    let fingerprint = request("x");
    assert!(quarantine.on_peer_quarantine(NOW, fingerprint));
    assert!(!quarantine.on_peer_quarantine(NOW, fingerprint));
    assert_eq!(quarantine.verdict(NOW, fingerprint), Verdict::Held);
    assert!(!quarantine.was_observed_by(BootId(7), fingerprint));
    assert_eq!(
        quarantine.quarantined(NOW).collect::<Vec<_>>(),
        [fingerprint]
    );
}

#[test]
fn request_released_by_other_nodes_is_free_unless_terminations_are_known() {
    let mut quarantine = Quarantine::default();
    let (by_peer, observed) = (request("x"), request("y"));
    quarantine.on_peer_quarantine(NOW, by_peer);
    quarantine.on_peer_quarantine(NOW, observed);
    quarantine.on_termination(NOW, suspect(observed, 1, true));
    quarantine.on_peer_release(by_peer);
    quarantine.on_peer_release(observed);
    assert_eq!(quarantine.verdict(NOW, by_peer), Verdict::Free);
    assert_eq!(quarantine.verdict(NOW, observed), Verdict::Suspect);
}

#[test]
fn suspect_expires_after_an_hour_and_quarantine_after_a_day() {
    let mut quarantine = Quarantine::default();
    let (suspected, quarantined) = (request("x"), request("y"));
    quarantine.on_termination(NOW, suspect(suspected, 1, true));
    quarantine.on_peer_quarantine(NOW, quarantined);
    quarantine.expire(NOW + 3_600 * SECOND);
    assert_eq!(quarantine.verdict(NOW, suspected), Verdict::Suspect);
    quarantine.expire(NOW + 3_601 * SECOND);
    assert_eq!(quarantine.verdict(NOW, suspected), Verdict::Free);
    assert_eq!(quarantine.verdict(NOW, quarantined), Verdict::Held);
    quarantine.expire(NOW + 25 * 3_600 * SECOND);
    assert_eq!(quarantine.verdict(NOW, quarantined), Verdict::Free);
    assert!(quarantine.is_empty());
}

/// A caller that makes up thousands of requests evicts suspects before quarantined requests.
#[test]
fn full_table_evicts_suspects_before_quarantined_requests() {
    let mut quarantine = Quarantine::default();
    let quarantined = request("held");
    quarantine.on_peer_quarantine(NOW, quarantined);
    for number in 0..10_000 {
        let fingerprint = request(&number.to_string());
        quarantine.on_termination(NOW + number, suspect(fingerprint, number, true));
    }
    assert_eq!(quarantine.verdict(NOW, quarantined), Verdict::Held);
    let last = request("9999");
    assert_eq!(quarantine.verdict(NOW, last), Verdict::Suspect);
    assert_eq!(quarantine.verdict(NOW, request("0")), Verdict::Free);
}

#[test]
fn nodes_with_the_same_vms_choose_the_same_upstreams_for_a_suspect() {
    let vms: Vec<Name> = (0..20).map(|vm| Name::from(format!("vm-{vm}"))).collect();
    let fingerprint = request("x");
    let forward = suspect_order(fingerprint, vms.clone());
    let backward = suspect_order(fingerprint, vms.iter().rev().cloned());
    assert_eq!(forward, backward);
    // A VM that is unknown to a node does not change the order of the others.
    let without = suspect_order(fingerprint, vms.into_iter().filter(|vm| *vm != forward[0]));
    assert_eq!(without[..forward.len() - 1], forward[1..]);
}

proptest! {
    /// Notices may arrive twice and in any order, and lead to the same verdicts.
    #[test]
    fn nodes_that_receive_the_same_terminations_agree(
        terminations in prop::collection::vec((0u8..4, 0u64..6, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        // All nodes report the same about one termination of a request.
        let mut received: Vec<(u8, u64, bool)> = Vec::new();
        for (body, seq, sole) in terminations {
            if !received.iter().any(|(other, at, _)| (*other, *at) == (body, seq)) {
                received.push((body, seq, sole));
            }
        }
        let learn = |received: &[(u8, u64, bool)]| {
            let mut quarantine = Quarantine::default();
            for (body, seq, sole) in received {
                quarantine.on_termination(NOW, suspect(request(&body.to_string()), *seq, *sole));
            }
            quarantine
        };
        let first = learn(&received);
        let mut shuffled = received.clone();
        shuffled.extend_from_slice(&received);
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        let second = learn(&shuffled);
        for body in 0..4u8 {
            let fingerprint = request(&body.to_string());
            prop_assert_eq!(first.verdict(NOW, fingerprint), second.verdict(NOW, fingerprint));
        }
    }

    /// A request stays quarantined, whatever terminations are reported, until it completes.
    #[test]
    fn further_terminations_never_release_a_quarantined_request(
        terminations in prop::collection::vec((0u64..30, any::<bool>()), 0..30),
    ) {
        let mut quarantine = Quarantine::default();
        let fingerprint = request("x");
        let mut was_quarantined = false;
        for (seq, sole) in terminations {
            quarantine.on_termination(NOW, suspect(fingerprint, seq, sole));
            let is_quarantined = quarantine.verdict(NOW, fingerprint) == Verdict::Held;
            prop_assert!(is_quarantined || !was_quarantined);
            was_quarantined = is_quarantined;
        }
    }
}
