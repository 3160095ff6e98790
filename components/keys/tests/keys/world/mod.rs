//! Simulated nodes of one service that coordinate idempotency keys over messages that may be
//! delayed, lost and reordered, and an oracle that counts runs.

mod protocol;

use keys::{
    ranked, ClaimReply, Claims, CoordinatorView, KeyHash, KeyTable, KEY_RETENTION_US, KEY_WINDOW_US,
};
use names::{AttemptId, BootId, Moment, Name, SECOND};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Number of a key; also its answer.
pub type Key = u64;
type ReportedOutcome = Option<Outcome>;

/// A request or an offer that took longer to arrive is past its caller's deadline, which the receiver
/// derives from the time of sending.
const DEADLINE_US: u64 = 5 * SECOND;

/// Outcome reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone)]
enum Body {
    Relay {
        request: usize,
    },
    Claim {
        key: Key,
    },
    Claimed {
        key: Key,
        from: usize,
        reply: ClaimReply<Key>,
    },
    Offer {
        key: Key,
        id: AttemptId,
    },
    Offered {
        key: Key,
        from: usize,
        reply: OfferReply,
    },
    Release {
        key: Key,
    },
    Recover,
    Recovered {
        from: usize,
        keys: Option<(Vec<KeyHash>, u64)>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OfferReply {
    Ran,
    Busy,
    KeyUsed,
    Uncertain,
}

/// Message from one boot to another; it is lost if the receiving boot has terminated.
#[derive(Debug, Clone)]
struct Message {
    from: BootId,
    to: BootId,
    sent: Moment,
    body: Body,
}

struct ActiveKey {
    started: Moment,
    claimed: bool,
    awaited: Vec<usize>,
    replies: Vec<ClaimReply<Key>>,
    candidates: Vec<usize>,
    contacted: bool,
    requests: Vec<usize>,
}

struct Node {
    vm: usize,
    boot: BootId,
    table: KeyTable<Key>,
    claims: Claims,
    active_keys: BTreeMap<Key, ActiveKey>,
    ran_attempts: HashMap<AttemptId, Key>,
    paused: bool,
    /// Resumed, and not yet confirmed by the platform as the latest boot.
    resumed: bool,
    /// No longer the latest boot of its VM.
    replaced: bool,
    uncertain_until: Moment,
    /// Nodes whose reply a new boot awaits, keys received so far, and until when those nodes are
    /// uncertain.
    recovering: Option<(Vec<usize>, Vec<KeyHash>, Moment)>,
    next_seq: u64,
}

struct Request {
    key: Key,
    reported: ReportedOutcome,
}

pub struct World {
    now: Moment,
    vms: usize,
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    requests: Vec<Request>,
    first_use: BTreeMap<Key, Moment>,
    run_counts: HashMap<Key, u32>,
    vm_of_boot: HashMap<BootId, usize>,
    /// Claims to release, with the earliest time of release.
    releases: Vec<(Moment, BootId, Key)>,
    /// Keys whose last request was reported as not run and that have no request in progress.
    not_run_keys: BTreeSet<Key>,
    next_key: Key,
    next_boot: u64,
}

impl World {
    /// Creates a service with `vms` upstreams.
    pub fn new(vms: usize) -> World {
        let mut world = World {
            now: Moment(1),
            vms,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            requests: Vec::new(),
            first_use: BTreeMap::new(),
            run_counts: HashMap::new(),
            vm_of_boot: HashMap::new(),
            releases: Vec::new(),
            not_run_keys: BTreeSet::new(),
            next_key: 1,
            next_boot: 1,
        };
        for vm in 0..vms {
            let node = world.new_node(vm);
            world.nodes.push(node);
        }
        world
    }

    /// A caller sends a request with a key, new or used within its window, to the `rank`th VM of
    /// its ranking.
    pub fn request(&mut self, fresh: bool, pick: usize, rank: usize) {
        let usable: Vec<Key> = self
            .first_use
            .iter()
            .filter(|(_, at)| self.now.since(**at) < KEY_WINDOW_US)
            .map(|(key, _)| *key)
            .collect();
        let key = match usable.get(pick % usable.len().max(1)) {
            Some(key) if !fresh => *key,
            _ => {
                self.next_key += 1;
                self.next_key
            }
        };
        self.first_use.entry(key).or_insert(self.now);
        self.not_run_keys.remove(&key);
        let request = self.requests.len();
        self.requests.push(Request {
            key,
            reported: None,
        });
        let vm = self.ranking(key)[rank % self.vms.min(3)];
        let to = self.latest(vm).boot;
        self.send(BootId(0), to, Body::Relay { request });
    }

    /// Delivers a message; a busy upstream refuses an offer.
    pub fn deliver(&mut self, pick: usize, busy: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let message = self.in_flight.remove(pick % self.in_flight.len());
        let Some(index) = self.nodes.iter().position(|node| node.boot == message.to) else {
            self.fail_delivery(message);
            return;
        };
        if self.nodes[index].paused {
            self.in_flight.push(message);
            return;
        }
        self.handle(index, message, busy);
    }

    /// The sender of a message assumes that it is lost; it may still arrive.
    pub fn time_out(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let message = self.in_flight[pick % self.in_flight.len()].clone();
        self.fail_delivery(message);
    }

    /// A VM crashes and is replaced, without a handover of keys.
    pub fn kill(&mut self, vm: usize) {
        let vm = vm % self.vms;
        self.nodes.retain(|node| node.vm != vm || node.replaced);
        self.replace(vm);
    }

    /// A paused VM is assumed to have crashed and is replaced; it may resume later.
    pub fn replace_paused(&mut self, vm: usize) {
        let vm = vm % self.vms;
        let index = self.latest_index(vm);
        if self.nodes[index].paused {
            self.nodes[index].replaced = true;
            self.replace(vm);
        }
    }

    /// A planned restart, only while no key is active; hands the keys over to the successor.
    pub fn restart(&mut self, vm: usize) {
        let vm = vm % self.vms;
        let index = self.latest_index(vm);
        let node = &self.nodes[index];
        let known = !node.claims.is_uncertain(self.now);
        if node.paused || !node.active_keys.is_empty() || !known {
            return;
        }
        let mut keys: Vec<KeyHash> = node.table.known_keys().collect();
        keys.extend(node.claims.known_keys());
        self.nodes.remove(index);
        let mut successor = self.new_node(vm);
        successor.table.adopt_keys(self.now, &keys);
        successor.claims.adopt_keys(self.now, &keys);
        self.nodes.push(successor);
    }

    /// Pauses a node.
    pub fn pause(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        self.nodes[index].paused = true;
    }

    /// Resumes a paused node, which detects the pause before it acts.
    pub fn resume(&mut self, pick: usize) {
        let paused: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].paused)
            .collect();
        if let Some(index) = paused.get(pick % paused.len().max(1)) {
            let node = &mut self.nodes[*index];
            node.paused = false;
            node.resumed = true;
            node.claims.set_uncertain_until(Moment(u64::MAX));
        }
    }

    /// The platform confirms to a resumed node that it is the latest boot.
    pub fn confirm(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        let node = &mut self.nodes[index];
        if !node.paused {
            node.resumed = false;
            node.claims.clear_uncertainty();
            node.claims.set_uncertain_until(node.uncertain_until);
        }
    }

    /// A boot without its predecessor's keys queries the other nodes.
    pub fn recover(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        let node = &mut self.nodes[index];
        if node.paused || node.uncertain_until <= self.now {
            return;
        }
        let (own_vm, boot) = (node.vm, node.boot);
        let others: Vec<usize> = (0..self.vms).filter(|vm| *vm != own_vm).collect();
        node.recovering = Some((others.clone(), Vec::new(), self.now));
        for vm in others {
            let to = self.latest(vm).boot;
            self.send(boot, to, Body::Recover);
        }
    }

    pub fn advance(&mut self, seconds: u64) {
        self.now = self.now + seconds * SECOND;
        self.release_due();
        for index in 0..self.nodes.len() {
            let expired: Vec<Key> = self.nodes[index]
                .active_keys
                .iter()
                .filter(|(_, active)| self.now.since(active.started) > DEADLINE_US)
                .map(|(key, _)| *key)
                .collect();
            for key in expired {
                self.end(index, key, Outcome::Unknown);
            }
        }
    }

    fn release_due(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.releases)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now);
        self.releases = later;
        for (_, boot, key) in due {
            let index = self.nodes.iter().position(|node| node.boot == boot);
            if let Some(index) = index.filter(|index| !self.nodes[*index].table.contains(hash(key)))
            {
                self.release(index, key);
            }
        }
    }

    /// First VM in the ranking of the most recently created key.
    pub fn first_of_last_key(&self) -> usize {
        self.ranking(self.next_key)[0]
    }

    /// Asserts that each key ran at most once.
    pub fn check(&self) {
        for (key, runs) in &self.run_counts {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }

    fn new_node(&mut self, vm: usize) -> Node {
        self.next_boot += 1;
        self.vm_of_boot.insert(BootId(self.next_boot), vm);
        Node {
            vm,
            boot: BootId(self.next_boot),
            table: KeyTable::new(100, 2),
            claims: Claims::new(100),
            active_keys: BTreeMap::new(),
            ran_attempts: HashMap::new(),
            paused: false,
            resumed: false,
            replaced: false,
            uncertain_until: Moment(0),
            recovering: None,
            next_seq: 0,
        }
    }

    fn replace(&mut self, vm: usize) {
        let mut successor = self.new_node(vm);
        successor.uncertain_until = self.now + KEY_RETENTION_US;
        successor
            .claims
            .set_uncertain_until(successor.uncertain_until);
        self.nodes.push(successor);
    }

    fn latest_index(&self, vm: usize) -> usize {
        self.nodes
            .iter()
            .position(|node| node.vm == vm && !node.replaced)
            .expect("each VM has a latest boot")
    }

    fn latest(&self, vm: usize) -> &Node {
        &self.nodes[self.latest_index(vm)]
    }

    fn names(&self) -> Vec<Name> {
        (0..self.vms).map(name).collect()
    }

    fn ranking(&self, key: Key) -> Vec<usize> {
        ranked(&"s".into(), &key.to_string(), &self.names())
            .iter()
            .map(index_of)
            .collect()
    }

    fn coordinator_view(&self, index: usize, key: Key) -> CoordinatorView {
        let node = &self.nodes[index];
        CoordinatorView {
            own_vm: name(node.vm),
            ranking: ranked(&"s".into(), &key.to_string(), &self.names()),
            members: self.names(),
            is_uncertain: node.claims.is_uncertain(self.now),
        }
    }

    fn send(&mut self, from: BootId, to: BootId, body: Body) {
        let sent = self.now;
        self.in_flight.push(Message {
            from,
            to,
            sent,
            body,
        });
    }
}

fn hash(key: Key) -> KeyHash {
    KeyHash::new(&"s".into(), &key.to_string())
}

fn name(vm: usize) -> Name {
    Name::from(format!("vm-{vm}"))
}

fn index_of(vm: &Name) -> usize {
    vm.as_str()
        .trim_start_matches("vm-")
        .parse()
        .expect("a VM of this world")
}
