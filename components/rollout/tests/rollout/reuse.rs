//! What a change of a large set costs a node.
//!
//! *Symptom.* After each change of a large set of declarations a node answered nobody for as long as reading
//! and checking the whole set took: two seconds for 4,200 routes on a tenth of a core, of the 2.5 s within
//! which the change has to be in force. *Cause.* Every change was checked from the first line to the last,
//! whatever it changed. *What settled it.* The lines "a revision came", with a `check_ms` of 900 to 1,830
//! on such nodes.

use declarations::{Bundle, Route};
use era::Position;
use rollout::{split, Configuration, Offered, RevisionCheck, Rollout};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A set of `count` routes of which the one with this number has another time limit.
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
fn a_change_of_one_route_leaves_the_others_as_they_were_checked() {
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
        let same = Arc::ptr_eq(route, &before[path]);
        assert_eq!(same, path != "/7/", "{path}");
    }
    assert_eq!(after["/7/"].treatment.deadline_ms, 700);
}

/// Carries a check through; returns its outcome and in how many steps.
fn finish(rollout: &mut Rollout, mut checking: RevisionCheck) -> (Offered, usize) {
    let mut steps = 1;
    loop {
        if let Some(checked) = checking.step() {
            return (rollout.end_check(checking, checked), steps);
        }
        steps += 1;
    }
}

#[test]
fn a_large_set_is_checked_in_steps_and_a_small_change_of_it_in_few() {
    let mut rollout = Rollout::default();
    let checking = rollout
        .begin_check(configuration(1, 3_000, None))
        .expect("new");
    let (offered, steps) = finish(&mut rollout, checking);
    assert_eq!(offered, Offered::Taken);
    assert!(steps >= 20, "{steps} steps");
    let checking = rollout
        .begin_check(configuration(2, 3_000, Some(9)))
        .expect("new");
    let (offered, steps) = finish(&mut rollout, checking);
    assert_eq!(offered, Offered::Taken);
    assert!(steps <= 3, "{steps} steps");
}

#[test]
fn of_two_revisions_that_are_checked_at_the_same_time_the_higher_one_stays() {
    let mut rollout = Rollout::default();
    let lower = rollout
        .begin_check(configuration(3, 10, None))
        .expect("new");
    assert_eq!((rollout.revision(), rollout.newest_revision()), (0, 3));
    let same = rollout.begin_check(configuration(3, 10, None));
    assert_eq!(same.expect_err("once is enough"), Offered::UnderWay);
    let higher = rollout
        .begin_check(configuration(4, 10, Some(1)))
        .expect("new");
    assert_eq!(finish(&mut rollout, higher).0, Offered::Taken);
    assert_eq!(finish(&mut rollout, lower).0, Offered::Older);
    assert_eq!(rollout.revision(), 4);
}

#[test]
fn a_revision_that_was_bad_keeps_no_other_out() {
    let mut rollout = Rollout::default();
    let mut forged = configuration(3, 10, None);
    let part = forged.objects.values_mut().next().expect("a part");
    part.push(b'x');
    assert!(matches!(rollout.begin_check(forged), Err(Offered::Bad(_))));
    let mut bad = configuration(3, 10, None);
    let text = "[route r]\nhost = h\npath = /\nservices = nobody:1\n".to_string();
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    (bad.head.files, bad.objects) = split(&Bundle { files });
    let checking = rollout.begin_check(bad).expect("its content is whole");
    assert!(matches!(finish(&mut rollout, checking).0, Offered::Bad(_)));
    assert_eq!(rollout.offer(configuration(3, 10, None)), Offered::Taken);
}
