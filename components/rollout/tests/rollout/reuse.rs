//! The cost of a change of a large set of declarations.
//!
//! Guards against checking the full set after each change. A node on a tenth of a core served no requests
//! for two seconds while it read and checked 4,200 routes, of the 2.5 s within which a change has to be in
//! force. Its log lines "a revision was received" showed a `check_ms` of 900 to 1,830.

use declarations::{Bundle, Route};
use era::Position;
use rollout::{split, Configuration, Offered, RevisionCheck, Rollout};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A revision with `count` routes. The route with the number `changed` has another deadline.
fn configuration(revision: u64, count: usize, changed: Option<usize>) -> Configuration {
    let mut text = "[registered one]\nhealth_path = /health\n\n".to_string();
    for i in 0..count {
        let deadline_ms = if changed == Some(i) { 700 } else { 900 };
        text += &format!("[route r-{i}]\nhost = one.example\npath = /{i}/\n");
        text += &format!("services = one:1\ndeadline_ms = {deadline_ms}\n\n");
    }
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    crate::revision(revision, &Bundle { files }, Position::default())
}

fn routes(rollout: &Rollout) -> BTreeMap<String, Arc<Route>> {
    let in_force = rollout.in_force().expect("a revision is in force");
    let routes = in_force.declarations.routes.values().flatten();
    routes
        .map(|route| (route.path.clone(), route.clone()))
        .collect()
}

#[test]
fn change_of_one_route_reuses_the_other_checked_routes() {
    let count = 500;
    let mut rollout = Rollout::default();
    assert_eq!(rollout.offer(configuration(1, count, None)), Offered::Taken);
    let before = routes(&rollout);
    assert_eq!(
        rollout.offer(configuration(2, count, Some(7))),
        Offered::Taken
    );
    let after = routes(&rollout);
    assert_eq!(after.len(), count);
    for (path, route) in &after {
        let is_same = Arc::ptr_eq(route, &before[path]);
        assert_eq!(is_same, path != "/7/", "{path}");
    }
    assert_eq!(after["/7/"].treatment.deadline_ms, 700);
}

/// Runs a check to its end. Returns the outcome and the number of steps.
fn finish(rollout: &mut Rollout, mut check: RevisionCheck) -> (Offered, usize) {
    let mut steps = 1;
    loop {
        if let Some(checked) = check.step() {
            return (rollout.end_check(check, checked), steps);
        }
        steps += 1;
    }
}

#[test]
fn large_set_is_checked_in_many_steps_and_a_small_change_in_few() {
    let mut rollout = Rollout::default();
    let check = rollout
        .begin_check(configuration(1, 3_000, None))
        .expect("new");
    let (offered, steps) = finish(&mut rollout, check);
    assert_eq!(offered, Offered::Taken);
    assert!(steps >= 20, "{steps} steps");
    let check = rollout
        .begin_check(configuration(2, 3_000, Some(9)))
        .expect("new");
    let (offered, steps) = finish(&mut rollout, check);
    assert_eq!(offered, Offered::Taken);
    assert!(steps <= 3, "{steps} steps");
}

#[test]
fn higher_of_two_revisions_checked_concurrently_stays_in_force() {
    let mut rollout = Rollout::default();
    let lower = rollout
        .begin_check(configuration(3, 10, None))
        .expect("new");
    assert_eq!((rollout.revision(), rollout.newest_revision()), (0, 3));
    let same = rollout.begin_check(configuration(3, 10, None));
    assert_eq!(same.expect_err("it is being checked"), Offered::UnderWay);
    let higher = rollout
        .begin_check(configuration(4, 10, Some(1)))
        .expect("new");
    assert_eq!(finish(&mut rollout, higher).0, Offered::Taken);
    assert_eq!(finish(&mut rollout, lower).0, Offered::Older);
    assert_eq!(rollout.revision(), 4);
}

#[test]
fn invalid_revision_does_not_block_another() {
    let mut rollout = Rollout::default();
    let mut forged = configuration(3, 10, None);
    let object = forged.objects.values_mut().next().expect("an object");
    object.push(b'x');
    assert!(matches!(rollout.begin_check(forged), Err(Offered::Bad(_))));
    let mut invalid = configuration(3, 10, None);
    let text = "[route r]\nhost = h\npath = /\nservices = nobody:1\n".to_string();
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    (invalid.head.files, invalid.objects) = split(&Bundle { files });
    let check = rollout
        .begin_check(invalid)
        .expect("its content is complete");
    assert!(matches!(finish(&mut rollout, check).0, Offered::Bad(_)));
    assert_eq!(rollout.offer(configuration(3, 10, None)), Offered::Taken);
}
