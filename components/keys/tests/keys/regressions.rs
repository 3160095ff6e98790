//! Failures that fuzzing has found, each as its shrunk sequence of steps.

use crate::world::World;

fn deliver(world: &mut World, times: usize) {
    for _ in 0..times {
        world.deliver(0, false);
        world.check();
    }
}

#[test]
fn a_repeat_late_in_the_window_is_not_run_again_by_the_first_in_the_ranking() {
    let mut world = World::new(2);
    world.request(true, 0, 1);
    deliver(&mut world, 5);
    world.advance(43);
    world.request(false, 0, 0);
    deliver(&mut world, 1);
    world.advance(78);
    deliver(&mut world, 4);
}

#[test]
fn a_request_that_was_on_the_way_for_longer_than_its_deadline_is_not_run() {
    let mut world = World::new(2);
    world.request(true, 0, 0);
    world.request(false, 0, 1);
    deliver(&mut world, 1);
    world.advance(170);
    deliver(&mut world, 8);
}
