//! Failures found by fuzzing, each as its shrunk sequence of steps.

use crate::world::World;

fn deliver(world: &mut World, times: usize) {
    for _ in 0..times {
        world.deliver(0, false);
        world.check();
    }
}

#[test]
fn late_repeat_within_the_window_is_not_run_again_by_the_first_in_the_ranking() {
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
fn request_delivered_after_its_deadline_is_not_run() {
    let mut world = World::new(2);
    world.request(true, 0, 0);
    world.request(false, 0, 1);
    deliver(&mut world, 1);
    world.advance(170);
    deliver(&mut world, 8);
}

#[test]
fn offer_of_a_replaced_boot_is_not_run_after_its_successor_has_recovered() {
    // The order in which upstreams are offered a key depends on the boot: try several successors.
    for earlier_boots in 0..3 {
        let mut world = World::new(4);
        world.request(true, 0, 0);
        deliver(&mut world, 1);
        let first = world.first_of_last_key();
        for _ in 0..=earlier_boots {
            world.kill(first);
        }
        world.recover(first);
        for _ in 0..6 {
            world.deliver(1, false);
        }
        world.request(false, 0, 0);
        for _ in 0..2 {
            world.deliver(1, false);
        }
        deliver(&mut world, 4);
    }
}
