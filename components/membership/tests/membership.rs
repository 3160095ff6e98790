//! Tests of the fleet view: the platform's list, and facts that the node learned itself.

use membership::{View, Vm, VmList};
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
fn older_or_equal_list_does_not_replace_the_current_one() {
    let mut view = View::default();
    assert!(view.update(list(2, vec![vm("a", "north", true)])));
    assert!(!view.update(list(1, vec![vm("a", "north", false)])));
    assert!(!view.update(list(2, vec![vm("a", "north", false)])));
    assert!(view.is_leaving(&"a".into()));
}

#[test]
fn vm_missing_from_the_list_is_still_known() {
    let mut view = View::default();
    view.update(list(1, vec![vm("a", "north", false)]));
    view.update(list(2, vec![]));
    assert!(view.vm(&"a".into()).is_some());
    assert_eq!(view.in_hall(&"north".into()).count(), 0);
}

#[test]
fn leaving_boot_does_not_affect_the_next_boot_of_its_vm() {
    let mut view = View::default();
    let name = Name::from("a");
    view.update(list(1, vec![vm("a", "north", false)]));
    view.record_boot(&name, BootId(1));
    view.mark_leaving(&name, BootId(1));
    assert!(view.is_leaving(&name));
    assert!(
        view.record_boot(&name, BootId(2)),
        "another boot answers now"
    );
    assert!(!view.is_leaving(&name));
}
