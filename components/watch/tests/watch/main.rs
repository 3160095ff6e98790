//! Who asks the platform: few nodes, and always one that can, whatever is cut off from whom.

mod first_read;
mod postponed;
mod world;

use names::{Moment, MILLISECOND, SECOND};
use proptest::prelude::*;
use world::{World, BOUND_US};

/// Nodes of a large hall.
const NODES: usize = 60;
/// Time within which a hall in which some node is answered has a watcher again: silence is noticed, one call
/// may fail first, the next is made by another node.
const FOUND_US: u64 = BOUND_US * 2 / 3;

#[test]
fn two_nodes_of_a_hall_watch_and_the_others_ask_nothing() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        assert_eq!(world.watchers().len(), 2, "seed {seed}");
        let from = world.now;
        world.run(60 * SECOND);
        // Two watches of 10 s each, for 60 s.
        assert!(world.calls_since(from) <= 14, "seed {seed}");
        // One look of the hall each third of the bound, and in one case of ten both watchers look.
        let looks = world.looks.iter().filter(|at| **at >= from).count();
        assert!(looks <= 66, "{looks} looks, seed {seed}");
    }
}

#[test]
fn a_hall_whose_open_watches_have_fallen_silent_holds_a_change_within_half_of_the_bound() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND + seed * 70 * MILLISECOND);
        world.mute_watches();
        world.change();
        world.run(BOUND_US / 2);
        assert_eq!(world.informed().len(), NODES, "seed {seed}");
        // The watches are open again, so that the next change comes at once.
        world.change();
        world.run(100 * MILLISECOND);
        assert_eq!(world.informed().len(), NODES, "seed {seed}");
    }
}

#[test]
fn a_hall_whose_watchers_the_platform_leaves_without_an_answer_holds_a_change_within_the_bound() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND + seed * 70 * MILLISECOND);
        for index in world.watchers() {
            world.set_unanswered(index, true);
        }
        world.change();
        world.run(BOUND_US * 9 / 10);
        assert_eq!(world.informed().len(), NODES, "seed {seed}");
    }
}

#[test]
fn what_nodes_hold_is_never_older_than_half_of_the_bound_while_nothing_is_wrong() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for _ in 0..300 {
            world.run(100 * MILLISECOND);
            let oldest_us = world.oldest_us();
            assert!(oldest_us < BOUND_US / 2, "{oldest_us} us, seed {seed}");
        }
    }
}

#[test]
fn a_hall_that_starts_anew_finds_its_watchers_with_few_calls() {
    for seed in 0..5 {
        for first_start in [true, false] {
            let mut world = World::new(NODES, first_start, seed);
            world.run(10 * SECOND);
            let calls = world.calls.len();
            assert!(calls <= 16, "{calls} calls, seed {seed}");
        }
    }
}

/// The larger the hall, the longer its connections take to open, and the later words are read.
#[test]
fn calls_at_a_start_of_the_whole_fleet_do_not_grow_with_the_hall() {
    for first_start in [true, false] {
        for nodes in [50, 100, 200] {
            for seed in 0..3 {
                let mut world = World::new(nodes, first_start, seed);
                world.way_us = nodes as u64 * MILLISECOND;
                let opens_us = if first_start { 50 } else { 15 } * MILLISECOND;
                let known_us = if first_start { 5 * SECOND } else { SECOND / 2 };
                world.known_from = Moment(known_us);
                world.connect_until(nodes as u64 * opens_us);
                world.run(24 * SECOND);
                let calls = world.calls.len();
                assert!(calls <= 40, "{calls} calls of {nodes} nodes, seed {seed}");
                assert!(!world.watchers().is_empty());
            }
        }
    }
}

#[test]
fn when_a_watcher_goes_only_its_place_is_filled_anew() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        let before = world.watchers();
        world.set_up(before[0], false);
        let from = world.now;
        world.run(8 * SECOND);
        let after = world.watchers();
        assert!(after.contains(&before[1]), "seed {seed}");
        assert!(after.len() >= 2, "seed {seed}");
        assert!(world.calls_since(from) <= 6, "seed {seed}");
    }
}

#[test]
fn a_hall_that_loses_all_its_watchers_asks_again_within_two_thirds_of_the_bound() {
    for seed in 0..20 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for index in world.watchers() {
            world.set_up(index, false);
        }
        let from = world.now;
        world.run(FOUND_US);
        assert!(!world.watchers().is_empty(), "seed {seed}");
        assert!(world.calls_since(from) <= 4, "seed {seed}");
    }
}

#[test]
fn a_platform_that_is_away_is_tried_for_the_hall_and_not_by_each_node() {
    for seed in 0..5 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        for index in 0..NODES {
            world.set_served(index, false);
        }
        let from = world.now;
        world.run(10 * SECOND);
        let calls = world.calls_since(from);
        // Each of 60 nodes alone, with pauses up to 3 s, made 7 or 8.
        assert!(calls <= 30, "{calls} calls, seed {seed}");
        for index in 0..NODES {
            world.set_served(index, true);
        }
        world.run(SECOND);
        assert!(!world.watchers().is_empty(), "seed {seed}");
    }
}

#[test]
fn nodes_that_are_turned_away_leave_the_watch_to_others() {
    for seed in 0..10 {
        let mut world = World::new(NODES, true, seed);
        world.run(30 * SECOND);
        let watchers = world.watchers();
        for index in (0..NODES).step_by(3).chain(watchers) {
            world.set_served(index, false);
        }
        let from = world.now;
        world.run(FOUND_US);
        assert!(!world.watchers().is_empty(), "seed {seed}");
        world.run(9 * SECOND);
        let calls = world.calls_since(from);
        assert!(calls <= 24, "{calls} calls, seed {seed}");
    }
}

#[test]
fn a_node_that_hears_nobody_asks_for_itself() {
    let mut world = World::new(NODES, true, 1);
    world.run(30 * SECOND);
    let watchers = world.watchers();
    let index = (0..NODES).find(|index| !watchers.contains(index));
    let index = index.expect("one does not watch");
    world.set_connected(index, false);
    world.run(FOUND_US);
    assert!(world.watchers().contains(&index));
    world.set_connected(index, true);
    world.run(30 * SECOND);
    assert_eq!(world.watchers().len(), 2);
}

#[test]
fn a_node_that_is_alone_and_gets_no_answer_pauses_longer_each_time() {
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

    /// Whatever is cut off, turned away or down, and for however long: once things stand still, each node
    /// that runs hears of a watcher or watches itself, as far as any node that it hears is answered.
    #[test]
    fn whoever_can_be_told_of_changes_is(
        seed in 0u64..1_000,
        steps in prop::collection::vec((0usize..12, 0u8..3, any::<bool>(), 0u64..3_000), 1..40),
    ) {
        let mut world = World::new(12, false, seed);
        let mut is = [[true; 3]; 12];
        for (index, what, value, pause_ms) in steps {
            is[index][usize::from(what)] = value;
            match what {
                0 => world.set_up(index, value),
                1 => world.set_served(index, value),
                _ => world.set_connected(index, value),
            }
            world.run(pause_ms * MILLISECOND);
        }
        let is_up = |index: usize| is[index][0];
        let is_served = |index: usize| is[index][1];
        let is_connected = |index: usize| is[index][2];
        // In the worst case each node that is turned away tries once before one that is answered.
        let turned_away = (0..12).filter(|index| is_up(*index) && !is_served(*index)).count() as u64;
        world.run(4 * SECOND + turned_away * SECOND);
        let watchers = world.watchers();
        for index in (0..12).filter(|index| is_up(*index)) {
            let can_hear = |other: &usize| is_connected(index) && is_connected(*other);
            let reaches = |other: &usize| *other == index || can_hear(other);
            let may_know = (0..12).any(|other| is_up(other) && is_served(other) && reaches(&other));
            let knows = watchers.iter().any(reaches);
            prop_assert!(knows || !may_know, "node {index}, watchers {watchers:?}, {is:?}");
        }
    }
}
