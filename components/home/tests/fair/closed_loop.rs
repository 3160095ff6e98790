//! Closed loops: accounts that send their next request after an answer. An account with a backlog must not
//! starve behind accounts that have one request at a time and nothing queued when they send the next.

use crate::duty::{id, offer, started, warm_home};
use home::{Action, Home, Offer, Verdict};
use names::{Moment, MILLISECOND, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SHORT_US: u64 = 40 * MILLISECOND;
const LONG_US: u64 = 440 * MILLISECOND;
const DURATION_US: u64 = 60 * SECOND;

/// An account that keeps `outstanding` requests in progress. Long requests are in the class that is not
/// repeatable.
#[derive(Clone, Copy)]
struct Client {
    outstanding: usize,
    run_us: u64,
}

struct ClosedLoop<'a> {
    home: Home<u64>,
    clients: &'a [Client],
    now: Moment,
    next_seq: u64,
    sender_of: BTreeMap<u64, usize>,
    ends: BinaryHeap<Reverse<(Moment, u64)>>,
    /// Slot time of each account, in microseconds.
    used_us: Vec<u64>,
}

impl ClosedLoop<'_> {
    fn send(&mut self, client: usize) {
        self.next_seq += 1;
        let sent = Offer {
            remaining_us: 1_000 * SECOND,
            repeatable: self.clients[client].run_us != LONG_US,
            ..offer(self.next_seq, &format!("account-{client}"))
        };
        self.sender_of.insert(self.next_seq, client);
        let actions = self.home.offer(self.now, &sent);
        self.perform(&actions);
    }

    fn perform(&mut self, actions: &[Action]) {
        for seq in started(actions) {
            let run_us = self.clients[self.sender_of[&seq]].run_us;
            self.ends.push(Reverse((self.now + run_us, seq)));
        }
    }

    fn run(&mut self, until: Moment) {
        while let Some(Reverse((now, seq))) = self.ends.pop() {
            if now > until {
                return;
            }
            self.now = now;
            let client = self.sender_of[&seq];
            self.used_us[client] += self.clients[client].run_us;
            let actions = self.home.completed(now, id(seq), Verdict::Good, None);
            self.perform(&actions);
            self.send(client);
        }
    }
}

/// Slot time of each account in one minute, in microseconds.
fn slot_time(slots: u32, clients: &[Client]) -> Vec<u64> {
    let (home, now) = warm_home(slots, &[(true, SHORT_US), (false, LONG_US)]);
    let mut closed_loop = ClosedLoop {
        home,
        clients,
        now,
        next_seq: 0,
        sender_of: BTreeMap::new(),
        ends: BinaryHeap::new(),
        used_us: vec![0; clients.len()],
    };
    for (client, kind) in clients.iter().enumerate() {
        for _ in 0..kind.outstanding {
            closed_loop.send(client);
        }
    }
    closed_loop.run(now + DURATION_US);
    closed_loop.used_us
}

fn check_half_of_equal_shares(slots: u32, clients: &[Client]) {
    let used_us = slot_time(slots, clients);
    let equal_share_us = u64::from(slots) * DURATION_US / clients.len() as u64;
    for used in &used_us {
        assert!(*used >= equal_share_us / 2, "{slots} slots: {used_us:?}");
    }
}

fn short(outstanding: usize) -> Client {
    Client {
        outstanding,
        run_us: SHORT_US,
    }
}

/// One account with a backlog, and per slot two accounts with one outstanding request each.
fn check_backlog_among_sequential_accounts(slots: u32) {
    let mut clients = vec![short(1); 2 * slots as usize];
    clients.insert(1, short(6 * slots as usize));
    check_half_of_equal_shares(slots, &clients);
}

/// One account with a backlog, and two with as many outstanding requests as there are slots.
fn check_backlog_among_two_concurrent_accounts(slots: u32) {
    let other = short(slots as usize);
    let backlog = short(6 * slots as usize);
    check_half_of_equal_shares(slots, &[other, backlog, other]);
}

#[test]
fn backlog_gets_its_share_among_closed_loop_accounts_at_one_slot() {
    check_backlog_among_sequential_accounts(1);
    check_backlog_among_two_concurrent_accounts(1);
}

#[test]
fn backlog_gets_its_share_among_closed_loop_accounts_at_four_slots() {
    check_backlog_among_sequential_accounts(4);
    check_backlog_among_two_concurrent_accounts(4);
}

#[test]
fn backlog_gets_its_share_among_closed_loop_accounts_at_twelve_slots() {
    check_backlog_among_sequential_accounts(12);
    check_backlog_among_two_concurrent_accounts(12);
}

#[test]
fn sequential_long_runs_take_no_more_than_their_share_among_a_backlog_of_short_ones() {
    // Guards against costs that are forgotten whenever an account has nothing queued or running.
    let long = Client {
        outstanding: 1,
        run_us: LONG_US,
    };
    check_half_of_equal_shares(1, &[long, short(6)]);
}
