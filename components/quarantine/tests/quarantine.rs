//! What a node knows of requests under which upstreams ended, whatever it is told and in whatever order.

use names::{AttemptId, BootId, Moment, Name, SECOND};
use proptest::prelude::*;
use quarantine::{suspect_order, Fingerprint, Quarantine, Suspect, Verdict};

/// Long after the start of the node.
const NOW: Moment = Moment(100 * SECOND);

fn request(body: &str) -> Fingerprint {
    Fingerprint::of("GET", "site.example", "/a/x", body.as_bytes())
}

fn end(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(7),
        seq,
    }
}

fn suspect(fingerprint: Fingerprint, seq: u64, alone: bool) -> Suspect {
    Suspect {
        fingerprint,
        termination: end(seq),
        sole_suspect: alone,
    }
}

#[test]
fn requests_that_differ_in_a_part_have_different_fingerprints() {
    let one = Fingerprint::of("GET", "site.example", "/a/x", b"");
    let others = [
        Fingerprint::of("PUT", "site.example", "/a/x", b""),
        Fingerprint::of("GET", "sit.example", "e/a/x", b""),
        Fingerprint::of("GET", "site.example", "/a/", b"x"),
        Fingerprint::of("GET", "site.example", "/a/x", b"y"),
    ];
    assert!(others.iter().all(|other| *other != one));
    assert_eq!(one, Fingerprint::of("GET", "site.example", "/a/x", b""));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text_and_no_other_text_is_one() {
    let one = request("x");
    assert_eq!(Fingerprint::try_from(one.to_string()), Ok(one));
    for text in [
        "",
        "00",
        "+0000000000000000000000000000001",
        &format!("{one}0"),
    ] {
        assert!(Fingerprint::try_from(text.to_string()).is_err(), "{text}");
    }
}

#[test]
fn a_request_is_free_then_suspect_then_held() {
    let mut known = Quarantine::default();
    let one = request("x");
    assert_eq!(known.verdict(NOW, one), Verdict::Free);
    known.on_termination(NOW, suspect(one, 1, false));
    assert_eq!(known.verdict(NOW, one), Verdict::Suspect);
    known.on_termination(NOW, suspect(one, 2, true));
    assert_eq!(known.verdict(NOW, one), Verdict::Held);
    assert_eq!(known.verdict(NOW, request("y")), Verdict::Free);
}

#[test]
fn an_end_counts_once_however_often_it_is_told() {
    let mut known = Quarantine::default();
    let one = request("x");
    assert!(known.on_termination(NOW, suspect(one, 1, true)));
    assert!(!known.on_termination(NOW, suspect(one, 1, true)));
    assert_eq!(known.verdict(NOW, one), Verdict::Suspect);
    assert_eq!(known.termination_count(one), 1);
}

#[test]
fn a_request_that_was_never_the_only_suspect_is_held_after_its_third_end_alone() {
    let mut known = Quarantine::default();
    let one = request("x");
    for seq in 1..=2 {
        known.on_termination(NOW, suspect(one, seq, false));
        assert_eq!(known.verdict(NOW, one), Verdict::Suspect);
    }
    known.on_termination(NOW, suspect(one, 3, false));
    assert_eq!(known.verdict(NOW, one), Verdict::Held);
}

/// A node that has just started has seen nothing run well yet.
#[test]
fn a_node_that_has_just_started_holds_after_more_ends_unless_the_request_was_the_only_suspect() {
    let mut known = Quarantine::new(NOW);
    let (crowded, alone) = (request("x"), request("y"));
    for seq in 1..=4 {
        known.on_termination(NOW, suspect(crowded, seq, false));
        assert_eq!(known.verdict(NOW, crowded), Verdict::Suspect);
    }
    known.on_termination(NOW, suspect(crowded, 5, false));
    assert_eq!(known.verdict(NOW, crowded), Verdict::Held);
    for seq in 1..=2 {
        known.on_termination(NOW, suspect(alone, seq, true));
    }
    assert_eq!(known.verdict(NOW, alone), Verdict::Held);
}

#[test]
fn a_good_end_clears_a_request() {
    let mut known = Quarantine::default();
    let one = request("x");
    known.on_termination(NOW, suspect(one, 1, true));
    assert!(known.on_local_completion(NOW, one));
    assert!(!known.on_local_completion(NOW, one));
    let later = NOW + 31 * SECOND;
    known.on_termination(later, suspect(one, 2, true));
    assert_eq!(known.verdict(later, one), Verdict::Suspect);
}

/// Words travel by several ways, and the word that clears may come before one of them.
#[test]
fn an_end_that_is_told_again_after_a_good_end_says_nothing_new() {
    let mut known = Quarantine::default();
    let one = request("x");
    known.on_termination(NOW, suspect(one, 1, true));
    assert!(known.clear(one));
    assert!(!known.on_termination(NOW, suspect(one, 1, true)));
    assert_eq!(known.verdict(NOW, one), Verdict::Free);
    assert!(known.on_termination(NOW, suspect(one, 2, true)));
}

/// What many callers send is at work wherever an upstream ends. Held, it would be refused to all of them.
#[test]
fn what_has_run_well_lately_is_neither_suspect_nor_held() {
    let mut known = Quarantine::default();
    let one = request("x");
    known.on_local_completion(NOW, one);
    for seq in 1..=3 {
        known.on_termination(NOW, suspect(one, seq, false));
        assert_eq!(known.verdict(NOW, one), Verdict::Free);
    }
    assert!(known.completed_recently(NOW + 30 * SECOND, one));
    let later = NOW + 31 * SECOND;
    assert_eq!(known.verdict(later, one), Verdict::Held);
    known.on_remote_completion(later, one);
    assert_eq!(known.verdict(later, one), Verdict::Free);
}

#[test]
fn good_ends_are_remembered_up_to_a_bound() {
    let mut known = Quarantine::default();
    for number in 0..10_000 {
        known.on_local_completion(NOW + number, request(&number.to_string()));
    }
    let now = NOW + 10_000;
    assert!(known.completed_recently(now, request("9999")));
    assert!(!known.completed_recently(now, request("0")));
}

#[test]
fn what_another_node_holds_is_held() {
    let mut known = Quarantine::default();
    let one = request("x");
    assert!(known.on_peer_quarantine(NOW, one));
    assert!(!known.on_peer_quarantine(NOW, one));
    assert_eq!(known.verdict(NOW, one), Verdict::Held);
    assert!(!known.was_observed_by(BootId(7), one));
    assert_eq!(known.quarantined(NOW).collect::<Vec<_>>(), [one]);
}

#[test]
fn what_no_other_node_holds_any_more_is_free_unless_ends_are_known() {
    let mut known = Quarantine::default();
    let (told, seen) = (request("x"), request("y"));
    known.on_peer_quarantine(NOW, told);
    known.on_peer_quarantine(NOW, seen);
    known.on_termination(NOW, suspect(seen, 1, true));
    known.on_peer_release(told);
    known.on_peer_release(seen);
    assert_eq!(known.verdict(NOW, told), Verdict::Free);
    assert_eq!(known.verdict(NOW, seen), Verdict::Suspect);
}

#[test]
fn a_suspect_is_forgotten_after_an_hour_and_what_is_held_after_a_day() {
    let mut known = Quarantine::default();
    let (free, held) = (request("x"), request("y"));
    known.on_termination(NOW, suspect(free, 1, true));
    known.on_peer_quarantine(NOW, held);
    known.expire(NOW + 3_600 * SECOND);
    assert_eq!(known.verdict(NOW, free), Verdict::Suspect);
    known.expire(NOW + 3_601 * SECOND);
    assert_eq!(known.verdict(NOW, free), Verdict::Free);
    assert_eq!(known.verdict(NOW, held), Verdict::Held);
    known.expire(NOW + 25 * 3_600 * SECOND);
    assert_eq!(known.verdict(NOW, held), Verdict::Free);
    assert!(known.is_empty());
}

/// A caller who makes up thousands of requests drives out suspects before what is held.
#[test]
fn memory_is_bounded_and_what_is_held_stays_longest() {
    let mut known = Quarantine::default();
    let held = request("held");
    known.on_peer_quarantine(NOW, held);
    for number in 0..10_000 {
        let one = request(&number.to_string());
        known.on_termination(NOW + number, suspect(one, number, true));
    }
    assert_eq!(known.verdict(NOW, held), Verdict::Held);
    let last = request("9999");
    assert_eq!(known.verdict(NOW, last), Verdict::Suspect);
    assert_eq!(known.verdict(NOW, request("0")), Verdict::Free);
}

#[test]
fn nodes_that_know_the_same_vms_agree_where_a_suspect_runs() {
    let vms: Vec<Name> = (0..20).map(|vm| Name::from(format!("vm-{vm}"))).collect();
    let one = request("x");
    let there = suspect_order(one, vms.clone());
    let back = suspect_order(one, vms.iter().rev().cloned());
    assert_eq!(there, back);
    // One that is not known to a node changes nothing for the others.
    let without = suspect_order(one, vms.into_iter().filter(|vm| *vm != there[0]));
    assert_eq!(without[..there.len() - 1], there[1..]);
}

proptest! {
    /// Words come twice, and in any order: the same is known in the end.
    #[test]
    fn nodes_that_are_told_the_same_ends_agree(
        ends in prop::collection::vec((0u8..4, 0u64..6, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        // An end says one thing of a request, whoever tells it.
        let mut told: Vec<(u8, u64, bool)> = Vec::new();
        for (body, seq, alone) in ends {
            if !told.iter().any(|(other, at, _)| (*other, *at) == (body, seq)) {
                told.push((body, seq, alone));
            }
        }
        let learn = |told: &[(u8, u64, bool)]| {
            let mut known = Quarantine::default();
            for (body, seq, alone) in told {
                known.on_termination(NOW, suspect(request(&body.to_string()), *seq, *alone));
            }
            known
        };
        let first = learn(&told);
        let mut shuffled = told.clone();
        shuffled.extend_from_slice(&told);
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        let second = learn(&shuffled);
        for body in 0..4u8 {
            let one = request(&body.to_string());
            prop_assert_eq!(first.verdict(NOW, one), second.verdict(NOW, one));
        }
    }

    /// What is held stays so, whatever ends are told besides, until it has run to a good end.
    #[test]
    fn what_is_held_stays_held(
        ends in prop::collection::vec((0u64..30, any::<bool>()), 0..30),
    ) {
        let mut known = Quarantine::default();
        let one = request("x");
        let mut was_held = false;
        for (seq, alone) in ends {
            known.on_termination(NOW, suspect(one, seq, alone));
            let is_held = known.verdict(NOW, one) == Verdict::Held;
            prop_assert!(is_held || !was_held);
            was_held = is_held;
        }
    }
}
