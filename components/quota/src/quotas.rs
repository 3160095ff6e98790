//! The quota duty of one node: grants leases of its share, keeps the tokens of shares leased to it,
//! and takes tokens for its callers.

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

/// Timeout for the answer of a token holder, after which the next holder is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time for which no token is requested from a holder without one, in microseconds, whatever
/// wait it reported: limits may be raised, and shares may be leased to it again.
const MAX_BACKOFF_US: u64 = 500 * MILLISECOND;
/// The same for a holder without a lease, in microseconds.
const UNLEASED_BACKOFF_US: u64 = 50 * MILLISECOND;
/// Time for which a departed node is still counted, in microseconds; the leases that it granted
/// expire before.
const DEPARTED_COUNTED_US: u64 = 3_000 * MILLISECOND;
/// A node that has just started grants no lease for this time, in microseconds, unless it connects
/// to the token holders of its hall earlier: a share leased to other holders meanwhile could not be
/// leased to these until the lease expires.
const CONNECT_TIMEOUT_US: u64 = 1_500 * MILLISECOND;
/// After this time, in microseconds, connections to half of the hall are enough: its token holders
/// may be down.
const HOLDERS_TIMEOUT_US: u64 = 300 * MILLISECOND;
/// Maximum wait of callers for the first lease of a node that has just started, in microseconds; it
/// ends no later than [`CONNECT_TIMEOUT_US`].
const FIRST_LEASE_TIMEOUT_US: u64 = 300 * MILLISECOND;
/// Callers wait for the first lease for at most this fraction (1/n) of their remaining time: the
/// rest is enough for most requests.
const FIRST_LEASE_WAIT_DIVISOR: u64 = 4;
/// Interval between checks for the first lease.
const FIRST_LEASE_POLL: Duration = Duration::from_millis(10);
/// Topic of the rendezvous order that selects token holders.
const RENDEZVOUS_TOPIC: &str = "quota";

/// This node's view of the others.
pub trait Peers {
    fn now(&self) -> Moment;
    fn own_vm(&self) -> Name;
    /// The known nodes, including this one, except those that have announced the departure of their
    /// VM.
    fn nodes(&self) -> Vec<Name>;
    /// The other known nodes of this hall.
    fn in_hall(&self) -> Vec<Name>;
    /// The other nodes of this hall with an open connection.
    fn connected_in_hall(&self) -> Vec<Name>;
    /// Whether a connection to the node is open.
    fn is_connected(&self, vm: &Name) -> bool;
    fn send(&self, to: &Name, message: Message);
}

/// A token that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    account: Name,
    /// The token holder that it was taken from.
    holder: Name,
}

/// Whether a request of a limited account is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Admitted with this token.
    Granted(Token),
    /// The account has exhausted its limit.
    OverLimit {
        /// Time until a token is available, in microseconds.
        wait_us: u64,
    },
    /// No token holder gave a conclusive answer.
    Unanswered,
}

/// Leases and tokens of one node.
#[derive(Debug)]
pub struct Quotas {
    started: Moment,
    granter: RefCell<LeaseGranter>,
    holder: RefCell<TokenHolder>,
    /// Whether leases were granted so far.
    has_granted: Cell<bool>,
    /// When a token was first requested.
    first_requested: Cell<Option<Moment>>,
    /// When each node was last among [`Peers::nodes`].
    last_active: RefCell<HashMap<Name, Moment>>,
    /// Until when a holder has no token of an account; the key is the account and the holder.
    no_token_until: RefCell<HashMap<(Name, Name), Moment>>,
    /// Requests to other holders, by their identity in messages.
    pending: RefCell<HashMap<u64, Sender<Answer>>>,
    next_id: Cell<u64>,
}

impl Quotas {
    /// The quotas of a node that started at `started`.
    pub fn new(bounds: Bounds, started: Moment) -> Quotas {
        Quotas {
            started,
            granter: RefCell::new(LeaseGranter::new(started + JOIN_DELAY_US)),
            holder: RefCell::new(TokenHolder::new(bounds)),
            has_granted: Cell::new(false),
            first_requested: Cell::new(None),
            last_active: RefCell::default(),
            no_token_until: RefCell::default(),
            pending: RefCell::default(),
            next_id: Cell::new(0),
        }
    }

    /// Records that an earlier process of this node ran on its VM, so that the others count it
    /// already.
    pub fn restarted(&self) {
        self.granter.borrow_mut().own_share_now();
        let mut holder = self.holder.borrow_mut();
        holder.restarted(self.started);
    }

    /// Grants or renews the leases of this node's share. Returns whether leases were granted so
    /// far.
    pub fn renew_leases(&self, peers: &impl Peers) -> bool {
        let now = peers.now();
        if !self.has_granted.get() && !self.may_grant(peers) {
            return false;
        }
        let own_vm = peers.own_vm();
        let nodes = peers.nodes();
        let ranked = ranked(peers, peers.connected_in_hall());
        let mut granter = self.granter.borrow_mut();
        if !nodes.contains(&own_vm) {
            granter.on_departure(now);
        }
        let leases = granter.renew(now, self.count_nodes(now, nodes), &ranked);
        drop(granter);
        self.has_granted.set(true);
        self.no_token_until
            .borrow_mut()
            .retain(|_, until| now < *until);
        for lease in leases {
            let (share, duration_us) = (lease.share, lease.duration_us);
            if lease.to == own_vm {
                self.add_lease(now, &own_vm, share, duration_us);
            } else {
                peers.send(&lease.to, Message::LeaseGranted { share, duration_us });
            }
        }
        self.has_granted.get()
    }

    /// Number of nodes that own a share, or did within [`DEPARTED_COUNTED_US`].
    fn count_nodes(&self, now: Moment, nodes: Vec<Name>) -> usize {
        let mut last_active = self.last_active.borrow_mut();
        last_active.extend(nodes.into_iter().map(|vm| (vm, now)));
        last_active.retain(|_, at| now.since(*at) < DEPARTED_COUNTED_US);
        last_active.len()
    }

    /// Whether a node that has just started may grant its first leases: it is connected to the
    /// token holders of its hall, or has waited long enough for them.
    fn may_grant(&self, peers: &impl Peers) -> bool {
        let now = peers.now();
        let hall = peers.in_hall();
        let reaches_half = 2 * peers.connected_in_hall().len() >= hall.len();
        let holders_may_be_down = now >= self.started + HOLDERS_TIMEOUT_US;
        Self::token_holders(peers)
            .iter()
            .all(|vm| peers.is_connected(vm))
            || reaches_half && holders_may_be_down
            || now >= self.started + CONNECT_TIMEOUT_US
    }

    /// The share of every limit for which this node keeps tokens now.
    pub fn share(&self, now: Moment) -> f64 {
        self.holder.borrow_mut().share(now)
    }

    /// Takes a token for a request whose caller waits until `deadline`.
    pub async fn take(&self, peers: &impl Peers, account: &Account, deadline: Moment) -> Admission {
        let now = peers.now();
        let caller_limit = now + deadline.since(now) / FIRST_LEASE_WAIT_DIVISOR;
        let until = self.first_lease_deadline(now).min(caller_limit);
        while !self.has_granted.get() && peers.now() < until {
            task::sleep(FIRST_LEASE_POLL).await;
        }
        let holders = self.granter.borrow().holders_for(&account.name);
        let mut min_wait_us: Option<u64> = None;
        for holder in holders {
            let answer = self.request_token(peers, &holder, account).await;
            match answer {
                Answer::Granted => {
                    let account = account.name.clone();
                    return Admission::Granted(Token { account, holder });
                }
                Answer::NoToken { wait_us } => {
                    let waits = min_wait_us.into_iter().chain(wait_us);
                    min_wait_us = waits.min();
                }
                Answer::Unknown => {}
            }
        }
        match min_wait_us {
            Some(wait_us) => Admission::OverLimit { wait_us },
            None => Admission::Unanswered,
        }
    }

    /// Until when callers wait for the first lease. Declarations come into force before the node
    /// connects to its hall, so the time counts from the first request for a token.
    fn first_lease_deadline(&self, now: Moment) -> Moment {
        let first_requested = self.first_requested.get().unwrap_or(now);
        self.first_requested.set(Some(first_requested));
        let latest = self.started + CONNECT_TIMEOUT_US;
        latest.min(first_requested + FIRST_LEASE_TIMEOUT_US)
    }

    /// The other nodes that this one would lease its share to if it were connected to all nodes of
    /// its hall.
    pub fn token_holders(peers: &impl Peers) -> Vec<Name> {
        let holders = ranked(peers, peers.in_hall())
            .into_iter()
            .take(TOKEN_HOLDERS);
        holders.filter(|vm| *vm != peers.own_vm()).collect()
    }

    /// Returns the token of a request that will never run.
    pub fn give_back(&self, peers: &impl Peers, token: Token) {
        let Token { account, holder } = token;
        if holder == peers.own_vm() {
            let now = peers.now();
            self.holder.borrow_mut().give_back(now, &account);
        } else if peers.is_connected(&holder) {
            peers.send(&holder, Message::TokenReturned { account });
        }
    }

    /// Handles a message from another node and returns the reply, if any.
    pub fn on_message(
        &self,
        now: Moment,
        from: &Name,
        message: Message,
        accounts: Option<&Accounts>,
    ) -> Option<Message> {
        match message {
            Message::LeaseGranted { share, duration_us } => {
                self.add_lease(now, from, share, duration_us)
            }
            Message::TokenRequest { id, account } => {
                let account = accounts.and_then(|accounts| accounts.get(account.as_str()));
                let answer = self.take_own(now, account.map(AsRef::as_ref));
                return Some(Message::TokenReply { id, answer });
            }
            Message::TokenReply { id, answer } => {
                if let Some(tx) = self.pending.borrow_mut().remove(&id) {
                    // The requester may have timed out.
                    tx.try_send(answer).ok();
                }
            }
            Message::TokenReturned { account } => {
                self.holder.borrow_mut().give_back(now, &account);
            }
        }
        None
    }

    fn add_lease(&self, now: Moment, granter: &Name, share: f64, duration_us: u64) {
        let mut holder = self.holder.borrow_mut();
        holder.add_lease(now, granter, share, duration_us);
    }

    /// Takes a token from this node's own holder.
    fn take_own(&self, now: Moment, account: Option<&Account>) -> Answer {
        let limited = account.and_then(|account| Some((&account.name, account.limit?)));
        let Some((name, limit)) = limited else {
            return Answer::Unknown;
        };
        match self.holder.borrow_mut().take(now, name, limit) {
            Ok(()) => Answer::Granted,
            Err(NoToken { wait_us }) => Answer::NoToken { wait_us },
        }
    }

    /// Requests a token from a holder, unless it recently reported that none is available yet.
    /// Otherwise an account far beyond its limit would cause a message per request, each answered
    /// that there is no token.
    async fn request_token(&self, peers: &impl Peers, holder: &Name, account: &Account) -> Answer {
        let key = (account.name.clone(), holder.clone());
        let now = peers.now();
        let until = self.no_token_until.borrow().get(&key).copied();
        if let Some(until) = until.filter(|until| now < *until) {
            let wait_us = Some(until.since(now));
            return Answer::NoToken { wait_us };
        }
        let answer = if *holder == peers.own_vm() {
            self.take_own(now, Some(account))
        } else if peers.is_connected(holder) {
            self.request_from_peer(peers, holder, account).await
        } else {
            Answer::Unknown
        };
        if let Answer::NoToken { wait_us } = answer {
            let backoff_us = wait_us.unwrap_or(UNLEASED_BACKOFF_US).min(MAX_BACKOFF_US);
            let until = peers.now() + backoff_us;
            self.no_token_until.borrow_mut().insert(key, until);
        }
        answer
    }

    async fn request_from_peer(
        &self,
        peers: &impl Peers,
        holder: &Name,
        account: &Account,
    ) -> Answer {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(id, tx);
        let account = account.name.clone();
        peers.send(holder, Message::TokenRequest { id, account });
        let answer = timeout(ANSWER_TIMEOUT, rx.recv()).await;
        self.pending.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown,
        }
    }
}

/// These nodes and this one, in an order that is the same on all nodes.
fn ranked(peers: &impl Peers, others: Vec<Name>) -> Vec<Name> {
    let mut ranked = others;
    ranked.push(peers.own_vm());
    ranked.sort_by_cached_key(|vm| rendezvous(RENDEZVOUS_TOPIC, vm));
    ranked.dedup();
    ranked
}
