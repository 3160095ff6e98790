//! Recognition of tries that follow a refusal.

use names::{Moment, MILLISECOND};
use proptest::prelude::*;
use returning::{CallerRetries, DEADLINE_TOLERANCE_US, MAX_REMEMBERED};
use std::collections::BTreeMap;

fn at(ms: u64) -> Moment {
    Moment(ms * MILLISECOND)
}

#[test]
fn second_try_is_recognised_by_request_and_deadline() {
    let mut retries = CallerRetries::default();
    retries.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let first = retries.first_try(at(1_210), &"GET /lobbies/7", at(1_755));
    assert_eq!(first, Some(at(1_000)));
}

#[test]
fn equal_request_of_another_caller_is_a_first_try() {
    // Guards against queueing new callers of a popular request behind all others.
    let mut retries = CallerRetries::default();
    retries.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let other = retries.first_try(at(1_210), &"GET /lobbies/7", at(1_990));
    assert_eq!(other, None);
}

#[test]
fn different_request_is_a_first_try() {
    let mut retries = CallerRetries::default();
    retries.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let other = retries.first_try(at(1_210), &"GET /lobbies/8", at(1_760));
    assert_eq!(other, None);
}

#[test]
fn callers_refused_with_equal_requests_are_distinguished() {
    // Guards against overwriting an entry when the next caller of a popular request is refused.
    let mut retries = CallerRetries::default();
    retries.record_refusal(at(1_010), "GET /lobbies/7", at(1_000), at(1_800));
    retries.record_refusal(at(1_020), "GET /lobbies/7", at(1_010), at(2_000));
    let first = |deadline_ms| retries.first_try(at(1_200), &"GET /lobbies/7", at(deadline_ms));
    assert_eq!(first(1_800), Some(at(1_000)));
    assert_eq!(first(2_000), Some(at(1_010)));
}

#[test]
fn third_try_still_counts_from_the_first() {
    let mut retries = CallerRetries::default();
    retries.record_refusal(at(1_030), 7, at(1_000), at(3_000));
    let first = retries
        .first_try(at(1_500), &7, at(3_000))
        .expect("a recorded first try");
    retries.record_refusal(at(1_510), 7, first, at(3_000));
    assert_eq!(retries.first_try(at(2_000), &7, at(3_000)), Some(at(1_000)));
}

#[test]
fn entries_expire_when_callers_give_up() {
    let mut retries = CallerRetries::default();
    for n in 0..100 {
        retries.record_refusal(at(1_000), n, at(1_000), at(1_500 + n));
    }
    assert_eq!(retries.first_try(at(1_600), &0, at(1_500)), None);
    retries.record_refusal(at(1_600), 1_000, at(1_600), at(9_000));
    assert_eq!(retries.len(), 1);
}

#[test]
fn table_size_is_bounded() {
    let mut retries = CallerRetries::default();
    for n in 0..3 * MAX_REMEMBERED as u64 {
        retries.record_refusal(at(1_000), n, at(1_000), at(60_000));
    }
    assert_eq!(retries.len(), MAX_REMEMBERED);
    // An existing entry can still be updated.
    retries.record_refusal(at(1_100), 5, at(900), at(60_000));
    assert_eq!(retries.first_try(at(1_200), &5, at(60_000)), Some(at(900)));
}

/// A service is short of capacity for two seconds and refuses two of three of its 300 requests per
/// second. The refused callers try again 100 to 300 ms after their first try.
#[test]
fn in_a_shortage_exactly_the_second_tries_are_recognised() {
    let mut retries = CallerRetries::default();
    let mut scheduled: BTreeMap<(u64, u64), (u64, u64)> = BTreeMap::new();
    let mut recognised = 0;
    for n in 0..600u64 {
        let now = 1_000 + n * 10 / 3;
        while let Some(next) = scheduled.first_entry().filter(|next| next.key().0 <= now) {
            let ((_, id), (first, deadline)) = next.remove_entry();
            let known = retries.first_try(at(now), &id, at(deadline));
            assert_eq!(known, Some(at(first)), "request {id}");
            recognised += 1;
        }
        let deadline = now + 680 + n * 37 % 120;
        assert_eq!(retries.first_try(at(now), &n, at(deadline)), None);
        if n % 3 != 0 {
            retries.record_refusal(at(now + 20), n, at(now), at(deadline));
            scheduled.insert((now + 100 + n * 53 % 200, n), (now, deadline));
        }
    }
    assert!(recognised > 300, "{recognised}");
}

proptest! {
    #[test]
    fn recorded_first_try_is_never_later_than_the_current_try(
        tries in prop::collection::vec((0..4u8, 0..2_000u64, 1..1_000u64), 1..60)
    ) {
        let mut retries = CallerRetries::default();
        let mut now_ms = 0;
        for (request, wait_ms, left_ms) in tries {
            now_ms += wait_ms;
            let deadline = at(now_ms + left_ms);
            let first = retries.first_try(at(now_ms), &request, deadline);
            if let Some(first) = first {
                prop_assert!(first <= at(now_ms));
                // The recorded deadline had not passed and was the caller's own.
                prop_assert!(deadline.0 + DEADLINE_TOLERANCE_US > now_ms * MILLISECOND);
            }
            retries.record_refusal(at(now_ms), request, first.unwrap_or(at(now_ms)), deadline);
        }
    }
}
