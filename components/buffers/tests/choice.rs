//! Which connections are closed when memory or connections run out, in the crowds for which the rules
//! are made.

use buffers::{choose_displaced, choose_evicted, Activity, Holding, Limits};
use names::{Moment, MILLISECOND, SECOND};
use Activity::{Idle, Receiving, Sending, Serving};

const NOW: Moment = Moment(100 * SECOND);
const ALLOWANCE: usize = Limits::ALLOWANCE_BYTES;
const MB: usize = 1024 * 1024;

fn holding(id: u64, activity: Activity, held_ms: u64, bytes: usize) -> Holding {
    Holding {
        id,
        activity,
        since: Moment(NOW.0 - held_ms * MILLISECOND),
        bytes,
    }
}

/// 400 uploads stop short of their end, and a caller's upload is half way.
#[test]
fn ordinary_upload_is_evicted_beside_uploads_that_stopped() {
    let mut holdings: Vec<Holding> = (0..400)
        .map(|id| holding(id, Receiving, 2_000 + id, 200_000))
        .collect();
    holdings.push(holding(1_000, Receiving, 20, 500_000));
    let evicted = choose_evicted(NOW, 40 * MB, ALLOWANCE, &holdings);
    assert_eq!(evicted.len(), 210);
    // The oldest of the crowd go first.
    assert_eq!(evicted[..3], [399, 398, 397]);
    assert!(!evicted.contains(&1_000));
}

/// Answers that are read slowly, beside one that was just queued.
#[test]
fn answer_that_is_read_at_once_is_evicted_beside_slow_readers() {
    let mut holdings: Vec<Holding> = (0..20)
        .map(|id| holding(id, Sending, 3_000, 3 * MB))
        .collect();
    holdings.push(holding(1_000, Sending, 5, 3 * MB));
    let evicted = choose_evicted(NOW, 30 * MB, ALLOWANCE, &holdings);
    assert_eq!(evicted.len(), 10);
    assert!(!evicted.contains(&1_000));
}

#[test]
fn small_or_served_requests_are_evicted() {
    let holdings = [
        holding(1, Receiving, 5_000, ALLOWANCE),
        holding(2, Serving, 5_000, 4 * MB),
        holding(3, Idle { has_served: true }, 5_000, 0),
    ];
    assert!(choose_evicted(NOW, MB, ALLOWANCE, &holdings).is_empty());
}

#[test]
fn connections_are_evicted_although_memory_suffices() {
    let holdings = [holding(1, Receiving, 5_000, MB)];
    assert!(choose_evicted(NOW, 0, ALLOWANCE, &holdings).is_empty());
}

/// A crowd that holds every connection in one way, beside callers whose requests are served.
#[test]
fn crowd_that_holds_all_connections_keeps_a_new_caller_out() {
    let never_used = Idle { has_served: false };
    let kept = Idle { has_served: true };
    for (crowd, held_ms) in [(never_used, 1), (kept, 1), (Receiving, 1), (Sending, 1_500)] {
        let mut holdings = vec![
            holding(1, Serving, 9_000, 0),
            holding(2, Sending, 10, 10_000),
        ];
        holdings.extend((10..70).map(|id| holding(id, crowd, held_ms + id, 100)));
        let displaced = choose_displaced(NOW, &holdings);
        assert_eq!(displaced, Some(69), "{crowd:?}");
    }
}

/// Connections that callers keep between requests go after those that never carried one.
#[test]
fn kept_connection_is_displaced_before_one_that_was_never_used() {
    let holdings = [
        holding(1, Idle { has_served: true }, 10_000, 0),
        holding(2, Idle { has_served: false }, 50, 0),
        holding(3, Receiving, 20_000, 10_000),
    ];
    assert_eq!(choose_displaced(NOW, &holdings), Some(2));
}

#[test]
fn request_that_is_served_is_cut_for_a_new_caller() {
    let holdings = [
        holding(1, Serving, 9_000, 0),
        holding(2, Sending, 900, 10_000),
    ];
    assert_eq!(choose_displaced(NOW, &holdings), None);
}

/// The parts of the memory, for VMs of the deployments' sizes.
#[test]
fn limits_together_exceed_the_memory() {
    for memory_mb in [160, 260, 512, 1_024] {
        let memory = memory_mb * MB;
        let limits = Limits::new(memory);
        for connections in [0, 300, 2_000] {
            let sockets = connections * 32 * 1024;
            let heap = limits.heap_bytes(connections) + limits.peer_bytes();
            let used = heap + sockets;
            assert!(used <= memory - memory / 16, "{memory_mb}: {used}");
            // The largest message exists twice while it is passed on.
            assert!(2 * limits.message_bytes() <= limits.heap_bytes(connections));
        }
        assert!(limits.message_bytes() >= 16 * MB);
    }
}
