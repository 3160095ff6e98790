//! The list of VMs as a hint, facts beside it, and the choice of watchers.

use membership::{watchers, View, Vm, VmList};
use names::{BootId, Name};

fn vm(name: &str, hall: &str, leaving: bool) -> Vm {
    Vm {
        name: name.into(),
        hall: hall.into(),
        peers: "127.0.0.1:1".to_string(),
        operators: "127.0.0.1:2".to_string(),
        leaving,
    }
}

fn list(version: u64, vms: Vec<Vm>) -> VmList {
    VmList { version, vms }
}

#[test]
fn an_older_list_never_replaces_a_newer_one() {
    let mut view = View::default();
    assert!(view.update(list(2, vec![vm("a", "north", true)])));
    assert!(!view.update(list(1, vec![vm("a", "north", false)])));
    assert!(!view.update(list(2, vec![vm("a", "north", false)])));
    assert!(view.is_leaving(&"a".into()));
}

#[test]
fn a_vm_that_vanished_from_the_list_can_still_be_reached() {
    let mut view = View::default();
    view.update(list(1, vec![vm("a", "north", false)]));
    view.update(list(2, vec![]));
    assert!(view.vm(&"a".into()).is_some());
    assert_eq!(view.in_hall(&"north".into()).count(), 0);
}

#[test]
fn the_word_of_a_boot_that_leaves_is_not_held_against_its_successor() {
    let mut view = View::default();
    let name = Name::from("a");
    view.update(list(1, vec![vm("a", "north", false)]));
    view.met(&name, BootId(1));
    view.leaving(&name, BootId(1));
    assert!(view.is_leaving(&name));
    assert!(view.met(&name, BootId(2)), "another boot stands there now");
    assert!(!view.is_leaving(&name));
}

#[test]
fn two_nodes_of_each_hall_watch_and_all_views_agree_on_them() {
    let vms: Vec<Vm> = (0..95)
        .map(|n| vm(&format!("vm-{n}"), "north", false))
        .collect();
    let mut view = View::default();
    view.update(list(1, vms.clone()));
    let mut shuffled = View::default();
    shuffled.update(list(1, vms.into_iter().rev().collect()));
    let hall = Name::from("north");
    let chosen = watchers(&view, &hall);
    assert_eq!(chosen.len(), 2);
    assert_eq!(chosen, watchers(&shuffled, &hall));
}

#[test]
fn when_a_watcher_leaves_only_its_place_is_filled_anew() {
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    let hall = Name::from("north");
    let mut view = View::default();
    view.update(list(
        1,
        names.iter().map(|name| vm(name, "north", false)).collect(),
    ));
    let before = watchers(&view, &hall);
    let rows = names
        .iter()
        .map(|name| vm(name, "north", before[0].as_str() == name))
        .collect();
    view.update(list(2, rows));
    let after = watchers(&view, &hall);
    assert_eq!(after[0], before[1]);
    assert!(!after.contains(&before[0]));
}
