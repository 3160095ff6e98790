//! Callers of limited accounts wait for the first lease of a node that has just started.
//!
//! Guards against refusing all of them as `limit-unknown`. This happened when all nodes started at
//! once with large declarations, which came into force later than 0.3 s after the start: callers
//! waited for the first lease only within these 0.3 s, and were then refused until it was granted.

use accounts::{Account, Limit};
use async_std::task::block_on;
use names::{Moment, Name, MILLISECOND, SECOND};
use quota::{Admission, Bounds, Message, Peers, Quotas};
use std::cell::Cell;

/// No other node is reachable. Each reading of the clock advances it by 20 ms.
struct NoPeers(Cell<Moment>);

impl Peers for NoPeers {
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

/// Wait of a caller with 10 s until its deadline, in microseconds.
fn waited_us(quotas: &Quotas, peers: &NoPeers) -> u64 {
    waited_with_deadline_us(quotas, peers, 10 * SECOND)
}

/// Wait of a caller with `left_us` until its deadline, in microseconds.
fn waited_with_deadline_us(quotas: &Quotas, peers: &NoPeers, left_us: u64) -> u64 {
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

fn quotas_started_at_zero() -> Quotas {
    let bounds = Bounds {
        overshoot: 0.1,
        slack: 20.0,
        window_s: 5.0,
    };
    Quotas::new(bounds, Moment(0))
}

#[test]
fn callers_wait_for_the_first_lease_when_declarations_arrive_late() {
    let (quotas, peers) = (
        quotas_started_at_zero(),
        NoPeers(Cell::new(Moment(600 * MILLISECOND))),
    );
    let first = waited_us(&quotas, &peers);
    assert!(first >= 300 * MILLISECOND, "{first}");
    let second = waited_us(&quotas, &peers);
    assert!(
        second < 100 * MILLISECOND,
        "all callers wait until the same time: {second}"
    );
}

#[test]
fn callers_do_not_wait_at_a_node_that_started_long_ago() {
    let (quotas, peers) = (
        quotas_started_at_zero(),
        NoPeers(Cell::new(Moment(10 * SECOND))),
    );
    let waited = waited_us(&quotas, &peers);
    assert!(waited < 100 * MILLISECOND, "{waited}");
}

#[test]
fn callers_wait_no_longer_than_the_connect_timeout() {
    let (quotas, peers) = (
        quotas_started_at_zero(),
        NoPeers(Cell::new(Moment(1_400 * MILLISECOND))),
    );
    let waited = waited_us(&quotas, &peers);
    assert!(waited < 200 * MILLISECOND, "{waited}");
}

/// Guards against a wait for the first lease that leaves no time to run the request.
#[test]
fn a_caller_waits_at_most_a_quarter_of_its_remaining_time() {
    let (quotas, peers) = (
        quotas_started_at_zero(),
        NoPeers(Cell::new(Moment(600 * MILLISECOND))),
    );
    let waited = waited_with_deadline_us(&quotas, &peers, 400 * MILLISECOND);
    assert!(
        (80..200).contains(&(waited / MILLISECOND)),
        "{waited} us of 400 ms"
    );
    let waited = waited_with_deadline_us(&quotas, &peers, 0);
    assert!(waited < 100 * MILLISECOND, "{waited}");
}
