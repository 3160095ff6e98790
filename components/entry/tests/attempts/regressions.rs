//! Sequences of events that violate an invariant if the mechanism that prevents it is removed.

use crate::world::World;
use entry::Outcome;
use home::Verdict;

#[test]
fn offer_that_arrives_after_its_query_is_not_started() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.set_paused(0, true);
    world.set_paused(1, true);
    world.cut_link(0, 0);
    world.cut_link(0, 1);
    world.set_paused(0, false);
    world.set_paused(1, false);
    // The query overtakes the offer, which is still in transit on the broken connection.
    world.deliver(1);
    world.deliver(1);
    world.settle();
    world.check_invariants();
    world.check_all_have_outcome();
}

#[test]
fn restarted_home_node_never_reports_not_run() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.deliver(0);
    world.restart_home(0);
    world.restart_home(1);
    world.settle();
    world.check_invariants();
    let unknown = world
        .oracle
        .outcomes
        .values()
        .all(|outcome| matches!(outcome, Outcome::Unknown(_)));
    assert!(
        unknown,
        "the outcome of a run at a restarted node must be unknown"
    );
}

#[test]
fn answer_after_the_deadline_is_dropped() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.deliver(0);
    world.advance(3_000);
    world.finish_run(0, 0, Verdict::Good);
    world.finish_run(1, 0, Verdict::Good);
    world.settle();
    world.check_invariants();
    assert!(matches!(
        world.oracle.outcomes.get(&1),
        Some(Outcome::Unknown(_))
    ));
    world.check_all_have_outcome();
}

#[test]
fn request_shed_by_an_upstream_moves_on_and_runs_once() {
    let mut world = World::new(1, 2);
    // Requests that deposit enough for a repeat at another upstream.
    for _ in 0..10 {
        world.call(0, true);
    }
    world.settle();
    world.call(0, true);
    world.deliver(0);
    world.finish_run(0, 0, Verdict::Shed);
    world.finish_run(1, 0, Verdict::Shed);
    world.settle();
    world.check_invariants();
    assert!(matches!(
        world.oracle.outcomes.get(&11),
        Some(Outcome::Answered(11))
    ));
}
