//! The duty of one node: lends its share, keeps what is lent to it, and takes tokens for its callers.

use crate::bounds::Bounds;
use crate::collector::{NoToken, TokenHolder};
use crate::lender::{LeaseGranter, JOIN_DELAY_US, TOKEN_HOLDERS};
use crate::message::{Answer, Message};
use accounts::{Account, Accounts};
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use membership::rendezvous;
use names::{Moment, Name, MILLISECOND};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// How long a collector's answer is waited for before the next one is asked.
const PATIENCE: Duration = Duration::from_millis(150);
/// A collector that has no token is left alone for so long at most, in microseconds, whatever wait it told: limits rise,
/// and shares come back.
const MOST_REST_US: u64 = 500 * MILLISECOND;
/// The same for one to which nothing is lent yet, in microseconds.
const UNLENT_REST_US: u64 = 50 * MILLISECOND;
/// A node that goes is counted for so long after, in microseconds: what it has lent lapses before.
const COUNTED_US: u64 = 3_000 * MILLISECOND;
/// A node that has just started lends nothing for so long, in microseconds, unless it is connected to the collectors of
/// its hall before: what it lent to others meanwhile could not be lent to them until the lease has lapsed.
const CONNECT_US: u64 = 1_500 * MILLISECOND;
/// After this time, in microseconds, connections to half of the hall are enough: its collectors may have ended.
const HOLDERS_TIMEOUT_US: u64 = 300 * MILLISECOND;
/// Callers of a node that has just started wait for its first lease so long at most, in microseconds, and not beyond
/// [`CONNECT_US`].
const FIRST_LEASE_TIMEOUT_US: u64 = 300 * MILLISECOND;
/// They wait for so great a part of the time that they have left, at most: what remains is enough for most runs.
const FIRST_LEASE_WAIT_DIVISOR: u64 = 4;
/// Time between two looks for it.
const FIRST_LEASE_POLL: Duration = Duration::from_millis(10);
/// What the places of collectors are drawn for.
const TOPIC: &str = "quota";

/// The node's own view of the others.
pub trait Peers {
    /// The present moment.
    fn now(&self) -> Moment;
    /// This node's VM.
    fn own_vm(&self) -> Name;
    /// The nodes that are known, this one included; those that are about to go with their VM excepted.
    fn nodes(&self) -> Vec<Name>;
    /// The other nodes of this hall that are known.
    fn in_hall(&self) -> Vec<Name>;
    /// The nodes of this hall to which a connection is open.
    fn connected_in_hall(&self) -> Vec<Name>;
    /// Whether a connection to a node is open.
    fn is_connected(&self, vm: &Name) -> bool;
    /// Sends a message.
    fn send(&self, to: &Name, message: Message);
}

/// A token that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Whose it is.
    account: Name,
    /// Who gave it.
    from: Name,
}

/// Whether a request of a limited account goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It does.
    Granted(Token),
    /// The account has used up its limit.
    OverLimit {
        /// When there is a token again, in microseconds.
        wait_us: u64,
    },
    /// No collector could tell.
    Unanswered,
}

/// Shares and tokens of one node.
#[derive(Debug)]
pub struct Quotas {
    started: Moment,
    lender: RefCell<LeaseGranter>,
    collector: RefCell<TokenHolder>,
    /// Whether anything was lent so far.
    has_lent: Cell<bool>,
    /// When a token was first asked for.
    first_asked: Cell<Option<Moment>>,
    /// When each node was last known as one that stays.
    counted: RefCell<HashMap<Name, Moment>>,
    /// Until when a collector has no token of an account.
    short: RefCell<HashMap<(Name, Name), Moment>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
    next_id: Cell<u64>,
}

impl Quotas {
    /// A node that starts now.
    pub fn new(bounds: Bounds, started: Moment) -> Quotas {
        Quotas {
            started,
            lender: RefCell::new(LeaseGranter::new(started + JOIN_DELAY_US)),
            collector: RefCell::new(TokenHolder::new(bounds)),
            has_lent: Cell::new(false),
            first_asked: Cell::new(None),
            counted: RefCell::default(),
            short: RefCell::default(),
            waiting: RefCell::default(),
            next_id: Cell::new(0),
        }
    }

    /// This node follows another start on its VM, which the others have counted for long.
    pub fn restarted(&self) {
        self.lender.borrow_mut().own_share_now();
        let mut collector = self.collector.borrow_mut();
        collector.restarted(self.started);
    }

    /// Lends this node's share for a further while. Returns whether it has lent anything so far.
    pub fn renew_leases(&self, peers: &impl Peers) -> bool {
        let now = peers.now();
        if !self.has_lent.get() && !self.may_grant(peers) {
            return false;
        }
        let me = peers.own_vm();
        let nodes = peers.nodes();
        let ranked = ranked(peers, peers.connected_in_hall());
        let mut lender = self.lender.borrow_mut();
        if !nodes.contains(&me) {
            lender.on_departure(now);
        }
        let leases = lender.renew(now, self.count(now, nodes), &ranked);
        drop(lender);
        self.has_lent.set(true);
        self.short.borrow_mut().retain(|_, until| now < *until);
        for lease in leases {
            let (share, duration_us) = (lease.share, lease.duration_us);
            if lease.to == me {
                self.lent(now, &me, share, duration_us);
            } else {
                peers.send(&lease.to, Message::LeaseGranted { share, duration_us });
            }
        }
        self.has_lent.get()
    }

    /// Number of nodes that own a share, or did a moment ago.
    fn count(&self, now: Moment, nodes: Vec<Name>) -> usize {
        let mut counted = self.counted.borrow_mut();
        counted.extend(nodes.into_iter().map(|vm| (vm, now)));
        counted.retain(|_, at| now.since(*at) < COUNTED_US);
        counted.len()
    }

    /// Whether this node, which has just started, reaches those to whom it would lend if it reached all.
    fn may_grant(&self, peers: &impl Peers) -> bool {
        let now = peers.now();
        let hall = peers.in_hall();
        let reaches_half = 2 * peers.connected_in_hall().len() >= hall.len();
        let may_have_ended = now >= self.started + HOLDERS_TIMEOUT_US;
        Self::token_holders(peers)
            .iter()
            .all(|vm| peers.is_connected(vm))
            || reaches_half && may_have_ended
            || now >= self.started + CONNECT_US
    }

    /// The part of every limit that this node keeps tokens for now.
    pub fn share(&self, now: Moment) -> f64 {
        self.collector.borrow_mut().share(now)
    }

    /// Takes a token for a request whose caller waits until `deadline`.
    pub async fn take(&self, peers: &impl Peers, account: &Account, deadline: Moment) -> Admission {
        let now = peers.now();
        let callers_part = now + deadline.since(now) / FIRST_LEASE_WAIT_DIVISOR;
        let until = self.first_lease_deadline(now).min(callers_part);
        while !self.has_lent.get() && peers.now() < until {
            task::sleep(FIRST_LEASE_POLL).await;
        }
        let asked = self.lender.borrow().holders_for(&account.name);
        let mut soonest_us: Option<u64> = None;
        for from in asked {
            let answer = self.ask(peers, &from, account).await;
            match answer {
                Answer::Granted => {
                    let account = account.name.clone();
                    return Admission::Granted(Token { account, from });
                }
                Answer::NoToken { wait_us } => {
                    let known = soonest_us.into_iter().chain(wait_us);
                    soonest_us = known.min();
                }
                Answer::Unknown => {}
            }
        }
        match soonest_us {
            Some(wait_us) => Admission::OverLimit { wait_us },
            None => Admission::Unanswered,
        }
    }

    /// Until when callers wait for the first lease. A node brings its declarations into force before it connects to its
    /// hall, so the time runs from the first token that is asked for.
    fn first_lease_deadline(&self, now: Moment) -> Moment {
        let first_asked = self.first_asked.get().unwrap_or(now);
        self.first_asked.set(Some(first_asked));
        let latest = self.started + CONNECT_US;
        latest.min(first_asked + FIRST_LEASE_TIMEOUT_US)
    }

    /// The nodes to which this one would lend if it were connected to its whole hall.
    pub fn token_holders(peers: &impl Peers) -> Vec<Name> {
        let collectors = ranked(peers, peers.in_hall())
            .into_iter()
            .take(TOKEN_HOLDERS);
        collectors.filter(|vm| *vm != peers.own_vm()).collect()
    }

    /// Gives a token back whose request has not run and never will.
    pub fn give_back(&self, peers: &impl Peers, token: Token) {
        let Token { account, from } = token;
        if from == peers.own_vm() {
            let now = peers.now();
            self.collector.borrow_mut().give_back(now, &account);
        } else if peers.is_connected(&from) {
            peers.send(&from, Message::TokenReturned { account });
        }
    }

    /// Takes in a message of another node; what is to be answered, if anything.
    pub fn on_message(
        &self,
        now: Moment,
        from: &Name,
        message: Message,
        accounts: Option<&Accounts>,
    ) -> Option<Message> {
        match message {
            Message::LeaseGranted { share, duration_us } => {
                self.lent(now, from, share, duration_us)
            }
            Message::TokenRequest { id, account } => {
                let account = accounts.and_then(|accounts| accounts.get(account.as_str()));
                let answer = self.answer(now, account.map(AsRef::as_ref));
                return Some(Message::TokenReply { id, answer });
            }
            Message::TokenReply { id, answer } => {
                if let Some(tx) = self.waiting.borrow_mut().remove(&id) {
                    // Who waited may have given up.
                    tx.try_send(answer).ok();
                }
            }
            Message::TokenReturned { account } => {
                self.collector.borrow_mut().give_back(now, &account);
            }
        }
        None
    }

    fn lent(&self, now: Moment, from: &Name, share: f64, duration_us: u64) {
        let mut collector = self.collector.borrow_mut();
        collector.add_lease(now, from, share, duration_us);
    }

    fn answer(&self, now: Moment, account: Option<&Account>) -> Answer {
        let limited = account.and_then(|account| Some((&account.name, account.limit?)));
        let Some((name, limit)) = limited else {
            return Answer::Unknown;
        };
        match self.collector.borrow_mut().take(now, name, limit) {
            Ok(()) => Answer::Granted,
            Err(NoToken { wait_us }) => Answer::NoToken { wait_us },
        }
    }

    /// Asks a collector, unless it said a moment ago that it will have no token yet: while an account asks far beyond its
    /// limit, collectors would answer nothing else.
    async fn ask(&self, peers: &impl Peers, from: &Name, account: &Account) -> Answer {
        let place = (account.name.clone(), from.clone());
        let now = peers.now();
        let until = self.short.borrow().get(&place).copied();
        if let Some(until) = until.filter(|until| now < *until) {
            let wait_us = Some(until.since(now));
            return Answer::NoToken { wait_us };
        }
        let answer = if *from == peers.own_vm() {
            self.answer(now, Some(account))
        } else if peers.is_connected(from) {
            self.ask_peer(peers, from, account).await
        } else {
            Answer::Unknown
        };
        if let Answer::NoToken { wait_us } = answer {
            let rest_us = wait_us.unwrap_or(UNLENT_REST_US).min(MOST_REST_US);
            let until = peers.now() + rest_us;
            self.short.borrow_mut().insert(place, until);
        }
        answer
    }

    async fn ask_peer(&self, peers: &impl Peers, from: &Name, account: &Account) -> Answer {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(id, tx);
        let account = account.name.clone();
        peers.send(from, Message::TokenRequest { id, account });
        let answer = timeout(PATIENCE, rx.recv()).await;
        self.waiting.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown,
        }
    }
}

/// These nodes and this one, in an order on which all agree.
fn ranked(peers: &impl Peers, others: Vec<Name>) -> Vec<Name> {
    let mut ranked = others;
    ranked.push(peers.own_vm());
    ranked.sort_by_cached_key(|vm| rendezvous(TOPIC, vm));
    ranked.dedup();
    ranked
}
