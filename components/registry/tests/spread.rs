//! How records spread over halls, and what a lost message costs.

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

/// Nodes that all know all.
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

/// A message on its way: from, to, record.
type Told = (usize, usize, Record);

/// Delivers messages until none is left; `lost` says which ones get lost. Returns how many crossed
/// halls.
fn deliver(
    fleets: &mut [Fleet],
    mut waiting: VecDeque<Told>,
    mut lost: impl FnMut() -> bool,
) -> usize {
    let mut crossings = 0;
    while let Some((from, to, record)) = waiting.pop_front() {
        let crosses = fleets[from].own().hall != fleets[to].own().hall;
        crossings += usize::from(crosses);
        if lost() {
            continue;
        }
        let sender = vm(from);
        let merged = fleets[to].merge(record.clone());
        if !matches!(merged, MergeOutcome::Applied(_)) || !should_forward(&fleets[to], &sender) {
            continue;
        }
        let hall = fleets[to].own().hall.clone();
        let near = fleets[to].others().filter(|other| other.hall == hall);
        let near: Vec<usize> = near.map(|other| index_of(&other.vm)).collect();
        waiting.extend(near.into_iter().map(|other| (to, other, record.clone())));
    }
    crossings
}

/// Changes the record of a node and tells it.
fn change(fleets: &mut [Fleet], index: usize, lost: impl FnMut() -> bool) -> usize {
    let record = fleets[index].change_own(|own| own.serving = !own.serving);
    let told = announcement_targets(&fleets[index], |_| false);
    let waiting = told
        .iter()
        .map(|to| (index, index_of(to), record.clone()))
        .collect();
    deliver(fleets, waiting, lost)
}

/// One node compares with another, as nodes do once a second. Nothing that it learns is passed on.
fn exchange(fleets: &mut [Fleet], asker: usize, other: usize) {
    if digest(&fleets[asker]) == digest(&fleets[other]) {
        return;
    }
    let told = fleets[other].digests().to_bytes();
    let told = Digests::from_bytes(&told).expect("digests");
    let differing = fleets[asker].digests().differing(&told);
    let for_other_versions = versions(&fleets[asker], differing);
    let for_asker = compare(&fleets[other], &for_other_versions);
    merge_all(&mut fleets[asker], for_asker.updates);
    if for_asker.is_behind {
        let for_other = compare(&fleets[asker], &versions(&fleets[other], differing));
        merge_all(&mut fleets[other], for_other.updates);
    }
}

fn digest(fleet: &Fleet) -> u64 {
    fleet.digests().combined()
}

fn merge_all(fleet: &mut Fleet, news: Vec<Record>) {
    for record in news {
        fleet.merge(record);
    }
}

#[test]
fn a_change_reaches_every_node_and_crosses_to_each_hall_a_few_times() {
    let mut fleets = fleets(60, 4);
    let crossings = change(&mut fleets, 7, || false);
    assert_eq!(crossings, 3 * CONTACTS_PER_HALL);
    let first = digest(&fleets[0]);
    assert!(fleets.iter().all(|fleet| digest(fleet) == first));
}

#[test]
fn contacts_that_cannot_be_reached_are_passed_over() {
    let fleets = fleets(12, 3);
    let far = Name::from("hall-1");
    let down = contacts(&fleets[0], &far)[0].clone();
    let told = announcement_targets(&fleets[0], |vm| *vm == down);
    assert!(!told.contains(&down));
    let in_far = told.iter().filter(|vm| index_of(vm) % 3 == 1);
    assert_eq!(in_far.count(), CONTACTS_PER_HALL);
}

#[test]
fn a_node_that_knows_only_one_other_learns_of_all_from_it() {
    let mut fleets = fleets(30, 3);
    let own = fleets[4].own().clone();
    let other = fleets[20].own().clone();
    fleets[4] = Fleet::new(own);
    fleets[4].merge(other);
    exchange(&mut fleets, 4, 20);
    assert_eq!(fleets[4].len(), 30);
}

#[test]
fn a_single_difference_among_many_takes_the_versions_of_few_records() {
    let mut fleets = fleets(300, 5);
    let newer = fleets[7].change_own(|own| own.serving = false);
    let differing = fleets[7].digests().differing(fleets[200].digests());
    assert_eq!(differing.count_ones(), 1);
    let told = versions(&fleets[7], differing);
    assert!(told.known.len() <= 15, "{} versions", told.known.len());
    assert!(told.known.contains(&(newer.vm.clone(), newer.version)));
    fleets[200].merge(newer);
    assert_eq!(digest(&fleets[7]), digest(&fleets[200]));
}

#[test]
fn a_record_that_came_and_went_leaves_the_digests_as_they_were() {
    let mut fleet = fleets(10, 2).remove(0);
    let before = fleet.digests().clone();
    let stranger = record(77, 2);
    fleet.merge(stranger.clone());
    assert_ne!(*fleet.digests(), before);
    fleet.remove(&stranger.vm);
    assert_eq!(*fleet.digests(), before);
}

#[test]
fn nodes_prefer_different_contacts() {
    let fleets = fleets(60, 2);
    let far = Name::from("hall-1");
    let mut asked = vec![0; 60];
    for fleet in fleets.iter().filter(|fleet| fleet.own().hall != far) {
        for contact in contacts(fleet, &far).iter().take(CONTACTS_PER_HALL) {
            asked[index_of(contact)] += 1;
        }
    }
    assert!(asked.iter().all(|count| *count <= 8), "{asked:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn whatever_was_lost_is_found_by_comparisons(
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
        // Each node compares with the next one in its hall and with one of another hall.
        for _ in 0..nodes {
            for asker in 0..nodes {
                exchange(&mut fleets, asker, (asker + halls) % nodes);
                exchange(&mut fleets, asker, (asker + 1) % nodes);
            }
        }
        let first = digest(&fleets[0]);
        prop_assert!(fleets.iter().all(|fleet| digest(fleet) == first));
    }
}

#[test]
fn records_that_differ_under_one_version_are_found_by_a_comparison_on_both_sides() {
    let mut fleets = fleets(4, 2);
    let mut changed = record(3, 2);
    changed.serving = false;
    let mut other = Fleet::new(record(1, 2));
    for record in [record(0, 2), record(2, 2), changed.clone()] {
        other.merge(record);
    }
    let knows = &mut fleets[0];
    let differing = knows.digests().differing(other.digests());
    assert_ne!(differing, 0);
    let at_other = compare(&other, &versions(knows, differing));
    assert!(at_other.is_behind);
    assert!(at_other.updates.contains(&changed));
    let at_knows = compare(knows, &versions(&other, differing));
    assert!(at_knows.is_behind);
    assert!(at_knows.updates.contains(&record(3, 2)));
    assert_eq!(knows.merge(changed), MergeOutcome::Conflict);
}
