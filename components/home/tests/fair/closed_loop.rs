//! Closed loops: accounts that send their next request after an answer. An account with queued attempts must not starve
//! behind accounts that come back to an empty line of their own.

use crate::duty::{id, offer, started, warm};
use home::{Action, Home, Offer, Verdict};
use names::{Moment, MILLISECOND, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SHORT_US: u64 = 40 * MILLISECOND;
const LONG_US: u64 = 440 * MILLISECOND;
const LASTS_US: u64 = 60 * SECOND;

/// An account that keeps `outstanding` requests under way; long ones are of the class that is not repeatable.
#[derive(Clone, Copy)]
struct Client {
    outstanding: usize,
    run_us: u64,
}

struct Loop<'a> {
    home: Home<u64>,
    clients: &'a [Client],
    now: Moment,
    next: u64,
    sender: BTreeMap<u64, usize>,
    ends: BinaryHeap<Reverse<(Moment, u64)>>,
    /// Slot time of each account, in microseconds.
    used_us: Vec<u64>,
}

impl Loop<'_> {
    fn send(&mut self, client: usize) {
        self.next += 1;
        let sent = Offer {
            remaining_us: 1_000 * SECOND,
            repeatable: self.clients[client].run_us != LONG_US,
            ..offer(self.next, &format!("account-{client}"))
        };
        self.sender.insert(self.next, client);
        let actions = self.home.offer(self.now, &sent);
        self.perform(&actions);
    }

    fn perform(&mut self, actions: &[Action]) {
        for seq in started(actions) {
            let run_us = self.clients[self.sender[&seq]].run_us;
            self.ends.push(Reverse((self.now + run_us, seq)));
        }
    }

    fn run(&mut self, until: Moment) {
        while let Some(Reverse((now, seq))) = self.ends.pop() {
            if now > until {
                return;
            }
            self.now = now;
            let client = self.sender[&seq];
            self.used_us[client] += self.clients[client].run_us;
            let actions = self.home.completed(now, id(seq), Verdict::Good, None);
            self.perform(&actions);
            self.send(client);
        }
    }
}

/// Slot time of each account in a minute, in microseconds.
fn slot_time(slots: u32, clients: &[Client]) -> Vec<u64> {
    let (home, now) = warm(slots, &[(true, SHORT_US), (false, LONG_US)]);
    let mut clients_loop = Loop {
        home,
        clients,
        now,
        next: 0,
        sender: BTreeMap::new(),
        ends: BinaryHeap::new(),
        used_us: vec![0; clients.len()],
    };
    for (client, kind) in clients.iter().enumerate() {
        for _ in 0..kind.outstanding {
            clients_loop.send(client);
        }
    }
    clients_loop.run(now + LASTS_US);
    clients_loop.used_us
}

fn check_half_of_equal_shares(slots: u32, clients: &[Client]) {
    let used_us = slot_time(slots, clients);
    let equal_us = u64::from(slots) * LASTS_US / clients.len() as u64;
    for used in &used_us {
        assert!(*used >= equal_us / 2, "{slots} slots: {used_us:?}");
    }
}

fn short(outstanding: usize) -> Client {
    Client {
        outstanding,
        run_us: SHORT_US,
    }
}

/// One account with a backlog beside two for each slot that send their next request after an answer.
fn check_a_backlog_beside_returning_accounts(slots: u32) {
    let mut clients = vec![short(1); 2 * slots as usize];
    clients.insert(1, short(6 * slots as usize));
    check_half_of_equal_shares(slots, &clients);
}

/// The same beside two accounts that have as many requests under way as there are slots.
fn check_a_backlog_beside_two(slots: u32) {
    let beside = short(slots as usize);
    let backlog = short(6 * slots as usize);
    check_half_of_equal_shares(slots, &[beside, backlog, beside]);
}

#[test]
fn a_backlog_gets_its_share_beside_accounts_that_come_back_at_one_slot() {
    check_a_backlog_beside_returning_accounts(1);
    check_a_backlog_beside_two(1);
}

#[test]
fn a_backlog_gets_its_share_beside_accounts_that_come_back_at_four_slots() {
    check_a_backlog_beside_returning_accounts(4);
    check_a_backlog_beside_two(4);
}

#[test]
fn a_backlog_gets_its_share_beside_accounts_that_come_back_at_twelve_slots() {
    check_a_backlog_beside_returning_accounts(12);
    check_a_backlog_beside_two(12);
}

#[test]
fn long_runs_sent_one_at_a_time_take_no_more_than_their_share_beside_a_backlog_of_short_ones() {
    // Guards against costs that are forgotten when an account has nothing queued or running for a moment.
    let long = Client {
        outstanding: 1,
        run_us: LONG_US,
    };
    check_half_of_equal_shares(1, &[long, short(6)]);
}
