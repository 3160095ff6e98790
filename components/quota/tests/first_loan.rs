//! Callers of limited accounts at a node that has just started.
//!
//! The load: all nodes start at once with a large set. Their declarations were in force after the 0.3 s from the start in which
//! callers waited for the first lease, so that all were refused as `limit-unknown` until it came.

use accounts::{Account, Limit};
use async_std::task::block_on;
use names::{Moment, Name, MILLISECOND, SECOND};
use quota::{Admission, Bounds, Message, Peers, Quotas};
use std::cell::Cell;

/// A node that reaches nobody; time goes on with each look at the clock.
struct Alone(Cell<Moment>);

impl Peers for Alone {
    fn now(&self) -> Moment {
        let now = self.0.get() + 20 * MILLISECOND;
        self.0.set(now);
        now
    }

    fn own_vm(&self) -> Name {
        Name::from("vm-0")
    }

    fn nodes(&self) -> Vec<Name> {
        vec![self.own_vm()]
    }

    fn in_hall(&self) -> Vec<Name> {
        ["vm-1", "vm-2", "vm-3"].map(Name::from).to_vec()
    }

    fn connected_in_hall(&self) -> Vec<Name> {
        Vec::new()
    }

    fn is_connected(&self, _: &Name) -> bool {
        false
    }

    fn send(&self, _: &Name, _: Message) {}
}

/// How long a caller waited that came so long after the start, in microseconds.
fn waited_us(quotas: &Quotas, peers: &Alone) -> u64 {
    waited_of_us(quotas, peers, 10 * SECOND)
}

/// The same for a caller that has so much time left.
fn waited_of_us(quotas: &Quotas, peers: &Alone, left_us: u64) -> u64 {
    let account = Account {
        name: Name::from("clinic"),
        priority: 0,
        limit: Some(Limit {
            requests_per_s: 10,
            burst: 1,
        }),
    };
    let before = peers.0.get();
    let admission = block_on(quotas.take(peers, &account, before + left_us));
    assert_eq!(admission, Admission::Unanswered);
    peers.0.get().since(before)
}

fn started() -> Quotas {
    let bounds = Bounds {
        overshoot: 0.1,
        slack: 20.0,
        window_s: 5.0,
    };
    Quotas::new(bounds, Moment(0))
}

#[test]
fn callers_of_a_node_whose_declarations_came_late_wait_for_the_first_loan() {
    let (quotas, peers) = (started(), Alone(Cell::new(Moment(600 * MILLISECOND))));
    let first = waited_us(&quotas, &peers);
    assert!(first >= 300 * MILLISECOND, "{first}");
    let next = waited_us(&quotas, &peers);
    assert!(
        next < 100 * MILLISECOND,
        "all wait for the same lease: {next}"
    );
}

#[test]
fn callers_of_a_node_that_runs_for_long_do_not_wait() {
    let (quotas, peers) = (started(), Alone(Cell::new(Moment(10 * SECOND))));
    let waited = waited_us(&quotas, &peers);
    assert!(waited < 100 * MILLISECOND, "{waited}");
}

#[test]
fn nobody_waits_beyond_the_time_in_which_a_node_connects() {
    let (quotas, peers) = (started(), Alone(Cell::new(Moment(1_400 * MILLISECOND))));
    let waited = waited_us(&quotas, &peers);
    assert!(waited < 200 * MILLISECOND, "{waited}");
}

/// Guards against a caller that waits for the first lease until it has no time left for its run.
#[test]
fn a_caller_waits_for_the_first_loan_for_a_quarter_of_its_time_at_most() {
    let (quotas, peers) = (started(), Alone(Cell::new(Moment(600 * MILLISECOND))));
    let waited = waited_of_us(&quotas, &peers, 400 * MILLISECOND);
    assert!(
        (80..200).contains(&(waited / MILLISECOND)),
        "{waited} us of 400 ms"
    );
    let waited = waited_of_us(&quotas, &peers, 0);
    assert!(waited < 100 * MILLISECOND, "{waited}");
}
