//! A node that has one of the recent revisions is sent only what it lacks of the newest.
//!
//! Guards against full copies for each change. They would keep the links of a hall busy for longer than a
//! change may take, so each of 984 nodes read the full set from the platform's store instead.

use declarations::Bundle;
use era::Position;
use proptest::prelude::*;
use rollout::{split_sections, Change, Configuration, Head, Offered, Rollout, LARGE_BYTES};
use std::collections::BTreeMap;

/// A revision with routes of these numbers and deadlines.
fn configuration(revision: u64, routes: &BTreeMap<u32, u32>) -> Configuration {
    let mut text = "[registered one]\nhealth_path=/health\n".to_string();
    for (number, deadline_ms) in routes {
        text += &format!("\n[route r-{number}]\nhost=one.example\npath=/{number}/\n");
        text += &format!("services=one:1\ndeadline_ms={deadline_ms}\n");
    }
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    let (files, objects) = split_sections(&Bundle { files });
    let change = Change {
        id: format!("change-{revision}"),
        who: "test".to_string(),
        when_ms: 0,
        why: String::new(),
    };
    Configuration {
        head: Head {
            revision,
            previous: None,
            change,
            files,
        },
        objects,
        read_at: Position::default(),
    }
}

fn routes(count: u32) -> BTreeMap<u32, u32> {
    (0..count).map(|number| (number, 900)).collect()
}

#[test]
fn delta_of_a_change_does_not_grow_with_the_set() {
    for count in [500, 2_000, 8_000] {
        let mut sender = Rollout::default();
        let mut receiver = Rollout::default();
        let mut routes = routes(count);
        let first = configuration(1, &routes);
        assert_eq!(sender.offer(first.clone()), Offered::Taken);
        assert_eq!(receiver.offer(first), Offered::Taken);
        routes.insert(7, 700);
        routes.remove(&(count / 2));
        let second = configuration(2, &routes);
        assert_eq!(sender.offer(second.clone()), Offered::Taken);
        let delta = sender
            .delta_for(receiver.content_id())
            .expect("it is in force");
        assert!(
            delta.size() < 16_000,
            "{} bytes of {count} routes",
            delta.size()
        );
        assert!(sender.change_bytes() < LARGE_BYTES);
        assert!(sender.bytes() > 30 * u64::from(count));
        assert_eq!(receiver.offer(delta), Offered::Taken);
        let in_force = receiver.in_force().expect("it is in force");
        assert_eq!(in_force.configuration, second);
    }
}

#[test]
fn node_with_unknown_content_is_sent_the_full_revision() {
    let mut sender = Rollout::default();
    let only = configuration(5, &routes(100));
    assert_eq!(sender.offer(only.clone()), Offered::Taken);
    assert_eq!(sender.delta_for(0), Some(only.clone()));
    assert_eq!(sender.delta_for(12_345), Some(only));
}

#[test]
fn delta_is_rejected_without_its_base() {
    let mut sender = Rollout::default();
    let mut routes = routes(200);
    sender.offer(configuration(1, &routes));
    let base = sender.content_id();
    routes.insert(7, 700);
    sender.offer(configuration(2, &routes));
    let delta = sender.delta_for(base).expect("it is in force");
    let mut empty = Rollout::default();
    assert!(matches!(empty.offer(delta), Offered::Bad(_)));
    assert_eq!(empty.revision(), 0);
}

proptest! {
    /// Whichever earlier revision a node has, the delta gives exactly the newest.
    #[test]
    fn delta_from_any_earlier_revision_gives_the_newest(
        changes in prop::collection::vec((0..60_u32, prop::option::of(1..2_000_u32)), 1..12),
        behind in 0..12_usize,
    ) {
        let mut set = routes(50);
        let mut sender = Rollout::default();
        let mut all = vec![configuration(1, &set)];
        for (i, (number, deadline_ms)) in changes.into_iter().enumerate() {
            match deadline_ms {
                Some(deadline_ms) => set.insert(number, deadline_ms),
                None => set.remove(&number),
            };
            all.push(configuration(i as u64 + 2, &set));
        }
        for one in &all {
            sender.offer(one.clone());
        }
        let mut receiver = Rollout::default();
        receiver.offer(all[behind.min(all.len() - 1)].clone());
        let delta = sender.delta_for(receiver.content_id()).expect("it is in force");
        receiver.offer(delta);
        let in_force = receiver.in_force().expect("it is in force");
        prop_assert_eq!(&in_force.configuration, all.last().expect("one at least"));
    }
}
