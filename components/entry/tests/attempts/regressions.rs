//! Sequences of events that break a promise when the mechanism against them is switched off.

use crate::world::World;
use entry::Outcome;
use home::Verdict;

#[test]
fn an_offer_that_arrives_after_the_question_about_it_is_never_started() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.pause(0, true);
    world.pause(1, true);
    world.cut(0, 0);
    world.cut(0, 1);
    world.pause(0, false);
    world.pause(1, false);
    // The question overtakes the offer, which is still on the way of the broken connection.
    world.deliver(1);
    world.deliver(1);
    world.settle();
    world.check();
    world.check_settled();
}

#[test]
fn a_home_node_that_came_back_with_another_boot_never_says_not_run() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.deliver(0);
    world.kill(0);
    world.kill(1);
    world.settle();
    world.check();
    let unknown = world
        .oracle
        .told
        .values()
        .all(|outcome| matches!(outcome, Outcome::Unknown(_)));
    assert!(unknown, "the outcome of a run at a dead node is unknown");
}

#[test]
fn an_answer_that_comes_after_the_caller_gave_up_is_dropped() {
    let mut world = World::new(1, 2);
    world.call(0, true);
    world.deliver(0);
    world.advance(3_000);
    world.finish(0, 0, Verdict::Good);
    world.finish(1, 0, Verdict::Good);
    world.settle();
    world.check();
    assert!(matches!(
        world.oracle.told.get(&1),
        Some(Outcome::Unknown(_))
    ));
    world.check_settled();
}

#[test]
fn a_request_that_an_upstream_shed_moves_on_and_runs_once() {
    let mut world = World::new(1, 2);
    // Requests that earn the budget for another upstream.
    for _ in 0..10 {
        world.call(0, true);
    }
    world.settle();
    world.call(0, true);
    world.deliver(0);
    world.finish(0, 0, Verdict::Shed);
    world.finish(1, 0, Verdict::Shed);
    world.settle();
    world.check();
    assert!(matches!(
        world.oracle.told.get(&11),
        Some(Outcome::Answered(11))
    ));
}
