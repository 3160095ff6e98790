//! Tests of the distribution of records over halls, also when messages are lost.

use names::{BootId, Name};
use proptest::prelude::*;
use registry::{
    announcement_targets, compare, contacts, should_forward, versions, Digests, Fleet,
    MergeOutcome, Record, Version, CONTACTS_PER_HALL,
};
use std::collections::VecDeque;

fn vm(index: usize) -> Name {
    Name::from(format!("vm-{index}").as_str())
}

fn record(index: usize, halls: usize) -> Record {
    Record {
        vm: vm(index),
        hall: Name::from(format!("hall-{}", index % halls).as_str()),
        peers: format!("10.0.0.{index}:81"),
        boot: BootId(index as u64 + 1),
        version: Version {
            generation: 1,
            change: 0,
        },
        serving: true,
        upstream: None,
        quarantined: Vec::new(),
    }
}

/// Nodes that all have all records.
fn fleets(nodes: usize, halls: usize) -> Vec<Fleet> {
    let all: Vec<Record> = (0..nodes).map(|index| record(index, halls)).collect();
    let mut fleets: Vec<Fleet> = all.iter().cloned().map(Fleet::new).collect();
    for fleet in &mut fleets {
        for record in &all {
            fleet.merge(record.clone());
        }
    }
    fleets
}

fn index_of(vm: &Name) -> usize {
    vm.as_str()["vm-".len()..].parse().expect("a number")
}

/// A message in transit: sender, receiver, record.
type Message = (usize, usize, Record);

/// Delivers messages and those that they cause until none is left. `is_lost` decides about each
/// message. Returns how many were sent between halls.
fn deliver(
    fleets: &mut [Fleet],
    mut pending: VecDeque<Message>,
    mut is_lost: impl FnMut() -> bool,
) -> usize {
    let mut crossings = 0;
    while let Some((from, to, record)) = pending.pop_front() {
        let crosses = fleets[from].own().hall != fleets[to].own().hall;
        crossings += usize::from(crosses);
        if is_lost() {
            continue;
        }
        let sender = vm(from);
        let merged = fleets[to].merge(record.clone());
        if !matches!(merged, MergeOutcome::Applied(_)) || !should_forward(&fleets[to], &sender) {
            continue;
        }
        let hall = fleets[to].own().hall.clone();
        let in_hall = fleets[to].others().filter(|other| other.hall == hall);
        let in_hall: Vec<usize> = in_hall.map(|other| index_of(&other.vm)).collect();
        pending.extend(in_hall.into_iter().map(|other| (to, other, record.clone())));
    }
    crossings
}

/// Changes and announces the record of a node. Returns how many messages were sent between halls.
fn change(fleets: &mut [Fleet], index: usize, is_lost: impl FnMut() -> bool) -> usize {
    let record = fleets[index].change_own(|own| own.serving = !own.serving);
    let targets = announcement_targets(&fleets[index], |_| false);
    let pending = targets
        .iter()
        .map(|to| (index, index_of(to), record.clone()))
        .collect();
    deliver(fleets, pending, is_lost)
}

/// One node compares its records with those of another, as nodes do once a second. Records that it
/// receives are not forwarded.
fn exchange(fleets: &mut [Fleet], requester: usize, other: usize) {
    if digest(&fleets[requester]) == digest(&fleets[other]) {
        return;
    }
    let received = fleets[other].digests().to_bytes();
    let received = Digests::from_bytes(&received).expect("digests");
    let differing = fleets[requester].digests().differing(&received);
    let requester_versions = versions(&fleets[requester], differing);
    let at_other = compare(&fleets[other], &requester_versions);
    merge_all(&mut fleets[requester], at_other.updates);
    if at_other.is_behind {
        let at_requester = compare(&fleets[requester], &versions(&fleets[other], differing));
        merge_all(&mut fleets[other], at_requester.updates);
    }
}

fn digest(fleet: &Fleet) -> u64 {
    fleet.digests().combined()
}

fn merge_all(fleet: &mut Fleet, updates: Vec<Record>) {
    for record in updates {
        fleet.merge(record);
    }
}

#[test]
fn change_reaches_every_node_with_few_messages_between_halls() {
    let mut fleets = fleets(60, 4);
    let crossings = change(&mut fleets, 7, || false);
    assert_eq!(crossings, 3 * CONTACTS_PER_HALL);
    let first = digest(&fleets[0]);
    assert!(fleets.iter().all(|fleet| digest(fleet) == first));
}

#[test]
fn unreachable_contacts_are_skipped() {
    let fleets = fleets(12, 3);
    let other_hall = Name::from("hall-1");
    let down = contacts(&fleets[0], &other_hall)[0].clone();
    let targets = announcement_targets(&fleets[0], |vm| *vm == down);
    assert!(!targets.contains(&down));
    let in_hall = targets.iter().filter(|vm| index_of(vm) % 3 == 1);
    assert_eq!(in_hall.count(), CONTACTS_PER_HALL);
}

#[test]
fn node_that_knows_one_peer_receives_all_records_from_it() {
    let mut fleets = fleets(30, 3);
    let own = fleets[4].own().clone();
    let other = fleets[20].own().clone();
    fleets[4] = Fleet::new(own);
    fleets[4].merge(other);
    exchange(&mut fleets, 4, 20);
    assert_eq!(fleets[4].len(), 30);
}

#[test]
fn single_difference_requires_the_versions_of_few_records() {
    let mut fleets = fleets(300, 5);
    let newer = fleets[7].change_own(|own| own.serving = false);
    let differing = fleets[7].digests().differing(fleets[200].digests());
    assert_eq!(differing.count_ones(), 1);
    let sent = versions(&fleets[7], differing);
    assert!(sent.known.len() <= 15, "{} versions", sent.known.len());
    assert!(sent.known.contains(&(newer.vm.clone(), newer.version)));
    fleets[200].merge(newer);
    assert_eq!(digest(&fleets[7]), digest(&fleets[200]));
}

#[test]
fn adding_and_removing_a_record_restores_the_digests() {
    let mut fleet = fleets(10, 2).remove(0);
    let before = fleet.digests().clone();
    let added = record(77, 2);
    fleet.merge(added.clone());
    assert_ne!(*fleet.digests(), before);
    fleet.remove(&added.vm);
    assert_eq!(*fleet.digests(), before);
}

#[test]
fn nodes_prefer_different_contacts() {
    let fleets = fleets(60, 2);
    let other_hall = Name::from("hall-1");
    let mut uses = vec![0; 60];
    for fleet in fleets.iter().filter(|fleet| fleet.own().hall != other_hall) {
        for contact in contacts(fleet, &other_hall).iter().take(CONTACTS_PER_HALL) {
            uses[index_of(contact)] += 1;
        }
    }
    assert!(uses.iter().all(|count| *count <= 8), "{uses:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn comparisons_make_up_for_lost_messages(
        nodes in 3usize..24,
        halls in 1usize..5,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u64>()), 1..12),
    ) {
        let mut fleets = fleets(nodes, halls);
        for (index, losses) in &changes {
            let mut losses = *losses;
            change(&mut fleets, index.index(nodes), || {
                losses = losses.rotate_left(1);
                losses & 1 == 1
            });
        }
        // Each node compares with the next one of its hall and with one of another hall.
        for _ in 0..nodes {
            for requester in 0..nodes {
                exchange(&mut fleets, requester, (requester + halls) % nodes);
                exchange(&mut fleets, requester, (requester + 1) % nodes);
            }
        }
        let first = digest(&fleets[0]);
        prop_assert!(fleets.iter().all(|fleet| digest(fleet) == first));
    }
}

#[test]
fn comparison_detects_conflicting_records_with_one_version_on_both_nodes() {
    let mut fleets = fleets(4, 2);
    let mut changed = record(3, 2);
    changed.serving = false;
    let mut other = Fleet::new(record(1, 2));
    for record in [record(0, 2), record(2, 2), changed.clone()] {
        other.merge(record);
    }
    let original = &mut fleets[0];
    let differing = original.digests().differing(other.digests());
    assert_ne!(differing, 0);
    let at_other = compare(&other, &versions(original, differing));
    assert!(at_other.is_behind);
    assert!(at_other.updates.contains(&changed));
    let at_original = compare(original, &versions(&other, differing));
    assert!(at_original.is_behind);
    assert!(at_original.updates.contains(&record(3, 2)));
    assert_eq!(original.merge(changed), MergeOutcome::Conflict);
}
