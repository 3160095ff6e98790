//! Which nodes query the platform: few, and always one that is answered, under any partition of the
//! hall.

mod first_read;
mod postponed;
mod world;

use names::{Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use world::{World, BOUND_US};

/// Number of nodes of a large hall.
const NODES: usize = 60;
/// Time within which a hall in which some node is answered has a watcher again: the notices time
/// out, one call may fail first, and another node makes the next one.
const REPLACEMENT_US: u64 = BOUND_US * 2 / 3;

#[test]
fn two_nodes_of_a_hall_watch_and_the_others_make_no_calls() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        assert_eq!(world.watchers().len(), 2, "seed {seed}");
        let from = world.now;
        world.run(60 * SECOND);
        // Two watches of 10 s each, for 60 s.
        assert!(world.calls_since(from) <= 14, "seed {seed}");
        // One poll per hall in each third of the bound, and in one case of ten both watchers poll.
        let polls = world.polls.iter().filter(|at| **at >= from).count();
        assert!(polls <= 66, "{polls} polls, seed {seed}");
    }
}

#[test]
fn change_arrives_within_half_of_the_bound_when_open_watches_stall() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND + seed * 70 * MILLISECOND);
        world.stall_watches();
        world.change();
        world.run(BOUND_US / 2);
        assert_eq!(world.up_to_date_nodes().len(), NODES, "seed {seed}");
        // The watches are restarted, so that the next change arrives at once.
        world.change();
        world.run(100 * MILLISECOND);
        assert_eq!(world.up_to_date_nodes().len(), NODES, "seed {seed}");
    }
}

#[test]
fn change_arrives_within_the_bound_when_calls_of_the_watchers_hang() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND + seed * 70 * MILLISECOND);
        for index in world.watchers() {
            world.set_hanging(index, true);
        }
        world.change();
        world.run(BOUND_US * 9 / 10);
        assert_eq!(world.up_to_date_nodes().len(), NODES, "seed {seed}");
    }
}

#[test]
fn state_is_confirmed_within_half_of_the_bound_without_faults() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for _ in 0..300 {
            world.run(100 * MILLISECOND);
            let max_age_us = world.max_age_us();
            assert!(max_age_us < BOUND_US / 2, "{max_age_us} us, seed {seed}");
        }
    }
}

#[test]
fn hall_finds_its_watchers_with_few_calls_after_a_start() {
    for seed in 0..5 {
        for first_start in [true, false] {
            let mut world = World::new(NODES, first_start, seed);
            world.run(10 * SECOND);
            let calls = world.calls.len();
            assert!(calls <= 16, "{calls} calls, seed {seed}");
        }
    }
}

/// The larger the hall, the longer its connections take to open, and the later notices are read.
#[test]
fn calls_at_a_fleet_start_do_not_grow_with_the_hall() {
    for first_start in [true, false] {
        for nodes in [50, 100, 200] {
            for seed in 0..3 {
                let mut world = World::new(nodes, first_start, seed);
                world.notice_delay_us = nodes as u64 * MILLISECOND;
                let connect_us = if first_start { 50 } else { 15 } * MILLISECOND;
                let known_us = if first_start { 5 * SECOND } else { SECOND / 2 };
                world.known_from = Moment(known_us);
                world.connect_until(nodes as u64 * connect_us);
                world.run(24 * SECOND);
                let calls = world.calls.len();
                assert!(calls <= 40, "{calls} calls of {nodes} nodes, seed {seed}");
                assert!(!world.watchers().is_empty());
            }
        }
    }
}

#[test]
fn only_the_lost_watcher_is_replaced() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        let before = world.watchers();
        world.set_running(before[0], false);
        let from = world.now;
        world.run(8 * SECOND);
        let after = world.watchers();
        assert!(after.contains(&before[1]), "seed {seed}");
        assert!(after.len() >= 2, "seed {seed}");
        assert!(world.calls_since(from) <= 6, "seed {seed}");
    }
}

#[test]
fn hall_without_watchers_finds_a_new_one_within_two_thirds_of_the_bound() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for index in world.watchers() {
            world.set_running(index, false);
        }
        let from = world.now;
        world.run(REPLACEMENT_US);
        assert!(!world.watchers().is_empty(), "seed {seed}");
        assert!(world.calls_since(from) <= 4, "seed {seed}");
    }
}

#[test]
fn unavailable_platform_is_retried_per_hall_and_not_per_node() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for index in 0..NODES {
            world.set_served(index, false);
        }
        let from = world.now;
        world.run(10 * SECOND);
        let calls = world.calls_since(from);
        // 60 nodes that retried on their own, with pauses of up to 3 s, made 7 or 8 calls each.
        assert!(calls <= 30, "{calls} calls, seed {seed}");
        for index in 0..NODES {
            world.set_served(index, true);
        }
        world.run(SECOND);
        assert!(!world.watchers().is_empty(), "seed {seed}");
    }
}

#[test]
fn rejected_nodes_leave_the_watch_to_others() {
    for seed in 0..10 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        let watchers = world.watchers();
        for index in (0..NODES).step_by(3).chain(watchers) {
            world.set_served(index, false);
        }
        let from = world.now;
        world.run(REPLACEMENT_US);
        assert!(!world.watchers().is_empty(), "seed {seed}");
        world.run(9 * SECOND);
        let calls = world.calls_since(from);
        assert!(calls <= 24, "{calls} calls, seed {seed}");
    }
}

#[test]
fn isolated_node_watches_for_itself() {
    let mut world = World::new(NODES, true, 1);
    world.run(30 * SECOND);
    let watchers = world.watchers();
    let index = (0..NODES).find(|index| !watchers.contains(index));
    let index = index.expect("one does not watch");
    world.set_connected(index, false);
    world.run(REPLACEMENT_US);
    assert!(world.watchers().contains(&index));
    world.set_connected(index, true);
    world.run(30 * SECOND);
    assert_eq!(world.watchers().len(), 2);
}

#[test]
fn lone_node_backs_off_when_the_platform_does_not_answer() {
    let mut world = World::new(1, false, 1);
    world.set_served(0, false);
    world.run(60 * SECOND);
    let calls: Vec<Moment> = world.calls.iter().map(|(at, _)| *at).collect();
    assert!(calls.len() <= 40, "{} calls", calls.len());
    let last = &calls[calls.len() - 2..];
    assert!(last[1].since(last[0]) >= 1_400 * MILLISECOND);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any sequence of partitions, rejections and crashes: once the faults stop changing,
    /// each running node receives notices of a watcher or watches itself, if it or any node that it
    /// can reach is answered.
    #[test]
    fn every_node_that_can_be_covered_by_a_watcher_is_covered(
        seed in 0u64..1_000,
        steps in prop::collection::vec((0usize..12, 0u8..3, any::<bool>(), 0u64..3_000), 1..40),
    ) {
        let mut world = World::new(12, false, seed);
        let mut state = [[true; 3]; 12];
        for (index, part, value, pause_ms) in steps {
            state[index][usize::from(part)] = value;
            match part {
                0 => world.set_running(index, value),
                1 => world.set_served(index, value),
                _ => world.set_connected(index, value),
            }
            world.run(pause_ms * MILLISECOND);
        }
        let is_running = |index: usize| state[index][0];
        let is_served = |index: usize| state[index][1];
        let is_connected = |index: usize| state[index][2];
        // In the worst case each rejected node tries once before one that is answered.
        let rejected = (0..12)
            .filter(|index| is_running(*index) && !is_served(*index))
            .count() as u64;
        world.run(4 * SECOND + rejected * SECOND);
        let watchers = world.watchers();
        for index in (0..12).filter(|index| is_running(*index)) {
            let can_receive_from = |other: &usize| is_connected(index) && is_connected(*other);
            let reaches = |other: &usize| *other == index || can_receive_from(other);
            let can_be_covered =
                (0..12).any(|other| is_running(other) && is_served(other) && reaches(&other));
            let is_covered = watchers.iter().any(reaches);
            prop_assert!(
                is_covered || !can_be_covered,
                "node {index}, watchers {watchers:?}, {state:?}"
            );
        }
    }
}
