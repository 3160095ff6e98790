//! Which tries are taken for a caller's second one.

use names::{Moment, MILLISECOND};
use proptest::prelude::*;
use returning::{CallerRetries, DEADLINE_TOLERANCE_US, MAX_REMEMBERED};
use std::collections::BTreeMap;

fn at(ms: u64) -> Moment {
    Moment(ms * MILLISECOND)
}

#[test]
fn a_second_try_is_known_by_its_request_and_its_deadline() {
    let mut returning = CallerRetries::default();
    returning.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let first = returning.first_try(at(1_210), &"GET /lobbies/7", at(1_755));
    assert_eq!(first, Some(at(1_000)));
}

#[test]
fn an_equal_request_of_another_caller_is_a_first_try() {
    // Guards against sending callers of a popular request behind all others.
    let mut returning = CallerRetries::default();
    returning.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let other = returning.first_try(at(1_210), &"GET /lobbies/7", at(1_990));
    assert_eq!(other, None);
}

#[test]
fn another_request_is_a_first_try() {
    let mut returning = CallerRetries::default();
    returning.record_refusal(at(1_030), "GET /lobbies/7", at(1_000), at(1_760));
    let other = returning.first_try(at(1_210), &"GET /lobbies/8", at(1_760));
    assert_eq!(other, None);
}

#[test]
fn callers_that_were_refused_the_same_request_are_told_apart() {
    // Guards against an entry that is overwritten by the next caller of a popular request.
    let mut returning = CallerRetries::default();
    returning.record_refusal(at(1_010), "GET /lobbies/7", at(1_000), at(1_800));
    returning.record_refusal(at(1_020), "GET /lobbies/7", at(1_010), at(2_000));
    let first = |deadline_ms| returning.first_try(at(1_200), &"GET /lobbies/7", at(deadline_ms));
    assert_eq!(first(1_800), Some(at(1_000)));
    assert_eq!(first(2_000), Some(at(1_010)));
}

#[test]
fn a_third_try_still_counts_from_the_first() {
    let mut returning = CallerRetries::default();
    returning.record_refusal(at(1_030), 7, at(1_000), at(3_000));
    let first = returning
        .first_try(at(1_500), &7, at(3_000))
        .expect("known");
    returning.record_refusal(at(1_510), 7, first, at(3_000));
    assert_eq!(
        returning.first_try(at(2_000), &7, at(3_000)),
        Some(at(1_000))
    );
}

#[test]
fn requests_are_forgotten_when_their_callers_have_given_up() {
    let mut returning = CallerRetries::default();
    for n in 0..100 {
        returning.record_refusal(at(1_000), n, at(1_000), at(1_500 + n));
    }
    assert_eq!(returning.first_try(at(1_600), &0, at(1_500)), None);
    returning.record_refusal(at(1_600), 1_000, at(1_600), at(9_000));
    assert_eq!(returning.len(), 1);
}

#[test]
fn the_table_is_bounded_whatever_is_refused() {
    let mut returning = CallerRetries::default();
    for n in 0..3 * MAX_REMEMBERED as u64 {
        returning.record_refusal(at(1_000), n, at(1_000), at(60_000));
    }
    assert_eq!(returning.len(), MAX_REMEMBERED);
    // What is remembered already can still be updated.
    returning.record_refusal(at(1_100), 5, at(900), at(60_000));
    assert_eq!(
        returning.first_try(at(1_200), &5, at(60_000)),
        Some(at(900))
    );
}

/// Load pattern: a service is short of capacity for two seconds and refuses two in three of 300 requests a second, whose
/// callers come back 100 to 300 ms after their first try. All of these must be recognised, and none of the first tries.
#[test]
fn in_a_shortage_every_second_try_is_recognised_and_no_first_one() {
    let mut returning = CallerRetries::default();
    let mut come_back: BTreeMap<(u64, u64), (u64, u64)> = BTreeMap::new();
    let mut recognised = 0;
    for n in 0..600u64 {
        let now = 1_000 + n * 10 / 3;
        while let Some(next) = come_back.first_entry().filter(|next| next.key().0 <= now) {
            let ((_, id), (first, deadline)) = next.remove_entry();
            let known = returning.first_try(at(now), &id, at(deadline));
            assert_eq!(known, Some(at(first)), "request {id}");
            recognised += 1;
        }
        let deadline = now + 680 + n * 37 % 120;
        assert_eq!(returning.first_try(at(now), &n, at(deadline)), None);
        if n % 3 != 0 {
            returning.record_refusal(at(now + 20), n, at(now), at(deadline));
            come_back.insert((now + 100 + n * 53 % 200, n), (now, deadline));
        }
    }
    assert!(recognised > 300, "{recognised}");
}

proptest! {
    #[test]
    fn no_try_is_moved_to_a_moment_after_it(
        tries in prop::collection::vec((0..4u8, 0..2_000u64, 1..1_000u64), 1..60)
    ) {
        let mut returning = CallerRetries::default();
        let mut now_ms = 0;
        for (request, wait_ms, left_ms) in tries {
            now_ms += wait_ms;
            let deadline = at(now_ms + left_ms);
            let first = returning.first_try(at(now_ms), &request, deadline);
            if let Some(first) = first {
                prop_assert!(first <= at(now_ms));
                // The kept deadline had not passed, and was the caller's own.
                prop_assert!(deadline.0 + DEADLINE_TOLERANCE_US > now_ms * MILLISECOND);
            }
            returning.record_refusal(at(now_ms), request, first.unwrap_or(at(now_ms)), deadline);
        }
    }
}
