//! Nodes of one service that coordinate idempotency keys over messages that may be delayed, lost
//! and reordered, and an oracle that counts runs.

mod protocol;

use keys::{
    ranked, ClaimReply, Claims, CoordinatorView, KeyHash, KeyTable, KEY_RETENTION_US, KEY_WINDOW_US,
};
use names::{AttemptId, BootId, Moment, Name, SECOND};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A key's number; also its answer.
pub type Key = u64;
type Told = Option<Outcome>;

/// A request or an offer that was longer on the way is past its caller's deadline: the receiver
/// sees that from the times of sending.
const DEADLINE_US: u64 = 5 * SECOND;

/// What a request was told.
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

/// From one boot to another: a message for a boot that is gone is lost.
#[derive(Debug, Clone)]
struct Message {
    from: BootId,
    to: BootId,
    sent: Moment,
    body: Body,
}

struct Work {
    began: Moment,
    claimed: bool,
    waiting: Vec<usize>,
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
    works: BTreeMap<Key, Work>,
    ran: HashMap<AttemptId, Key>,
    paused: bool,
    /// Thawed, and not yet told by the platform that it is the latest boot.
    thawed: bool,
    /// Not the latest boot of its VM any more.
    replaced: bool,
    unclean_until: Moment,
    /// Nodes whose answer a new boot waits for, and the keys learned so far.
    recovering: Option<(Vec<usize>, Vec<KeyHash>, Moment)>,
    next_seq: u64,
}

struct Request {
    key: Key,
    told: Told,
}

/// The world.
pub struct World {
    now: Moment,
    vms: usize,
    nodes: Vec<Node>,
    pool: Vec<Message>,
    requests: Vec<Request>,
    first_use: BTreeMap<Key, Moment>,
    runs: HashMap<Key, u32>,
    vm_of_boot: HashMap<BootId, usize>,
    /// Claims to be given back, not before these moments.
    releases: Vec<(Moment, BootId, Key)>,
    /// Keys whose last request was told not-run, while no other is under way.
    barred: BTreeSet<Key>,
    next_key: Key,
    next_boot: u64,
}

impl World {
    /// A service with `vms` upstreams.
    pub fn new(vms: usize) -> World {
        let mut world = World {
            now: Moment(1),
            vms,
            nodes: Vec::new(),
            pool: Vec::new(),
            requests: Vec::new(),
            first_use: BTreeMap::new(),
            runs: HashMap::new(),
            vm_of_boot: HashMap::new(),
            releases: Vec::new(),
            barred: BTreeSet::new(),
            next_key: 1,
            next_boot: 1,
        };
        for vm in 0..vms {
            let node = world.node(vm);
            world.nodes.push(node);
        }
        world
    }

    /// A caller uses a key, new or used within its window, through the `rank`th of its ranking.
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
        self.barred.remove(&key);
        let request = self.requests.len();
        self.requests.push(Request { key, told: None });
        let vm = self.ranking(key)[rank % self.vms.min(3)];
        let to = self.latest(vm).boot;
        self.send(BootId(0), to, Body::Relay { request });
    }

    /// A message arrives; a busy upstream refuses an offer.
    pub fn deliver(&mut self, pick: usize, busy: bool) {
        if self.pool.is_empty() {
            return;
        }
        let message = self.pool.remove(pick % self.pool.len());
        let Some(index) = self.nodes.iter().position(|node| node.boot == message.to) else {
            self.bounce(message);
            return;
        };
        if self.nodes[index].paused {
            self.pool.push(message);
            return;
        }
        self.arrive(index, message, busy);
    }

    /// A message is taken for lost by its sender, and may arrive all the same.
    pub fn give_up_on(&mut self, pick: usize) {
        if self.pool.is_empty() {
            return;
        }
        let message = self.pool[pick % self.pool.len()].clone();
        self.bounce(message);
    }

    /// A VM fails and is replaced; nothing is handed over.
    pub fn kill(&mut self, vm: usize) {
        let vm = vm % self.vms;
        self.nodes.retain(|node| node.vm != vm || node.replaced);
        self.replace(vm);
    }

    /// A frozen VM is taken for dead and replaced; it may thaw later.
    pub fn replace_frozen(&mut self, vm: usize) {
        let vm = vm % self.vms;
        let index = self.latest_index(vm);
        if self.nodes[index].paused {
            self.nodes[index].replaced = true;
            self.replace(vm);
        }
    }

    /// A planned stop: waits for its work, hands its keys over.
    pub fn restart(&mut self, vm: usize) {
        let vm = vm % self.vms;
        let index = self.latest_index(vm);
        let node = &self.nodes[index];
        let known = !node.claims.is_uncertain(self.now);
        if node.paused || !node.works.is_empty() || !known {
            return;
        }
        let mut keys: Vec<KeyHash> = node.table.known_keys().collect();
        keys.extend(node.claims.known_keys());
        self.nodes.remove(index);
        let mut successor = self.node(vm);
        successor.table.adopt_keys(self.now, &keys);
        successor.claims.adopt_keys(self.now, &keys);
        self.nodes.push(successor);
    }

    /// A node is frozen.
    pub fn pause(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        self.nodes[index].paused = true;
    }

    /// A frozen node thaws; it notices the pause before it acts.
    pub fn thaw(&mut self, pick: usize) {
        let frozen: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].paused)
            .collect();
        if let Some(index) = frozen.get(pick % frozen.len().max(1)) {
            let node = &mut self.nodes[*index];
            node.paused = false;
            node.thawed = true;
            node.claims.set_uncertain_until(Moment(u64::MAX));
        }
    }

    /// The platform tells a node that thawed whether it is the latest boot.
    pub fn confirm(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        let node = &mut self.nodes[index];
        if !node.paused {
            node.thawed = false;
            node.claims.clear_uncertainty();
            node.claims.set_uncertain_until(node.unclean_until);
        }
    }

    /// A boot that knows nothing of its predecessor asks the others.
    pub fn recover(&mut self, vm: usize) {
        let index = self.latest_index(vm % self.vms);
        let node = &mut self.nodes[index];
        if node.paused || node.unclean_until <= self.now {
            return;
        }
        let (me, boot) = (node.vm, node.boot);
        let others: Vec<usize> = (0..self.vms).filter(|vm| *vm != me).collect();
        node.recovering = Some((others.clone(), Vec::new(), self.now));
        for vm in others {
            let to = self.latest(vm).boot;
            self.send(boot, to, Body::Recover);
        }
    }

    /// Time passes.
    pub fn advance(&mut self, seconds: u64) {
        self.now = self.now + seconds * SECOND;
        self.release_due();
        for index in 0..self.nodes.len() {
            let late: Vec<Key> = self.nodes[index]
                .works
                .iter()
                .filter(|(_, work)| self.now.since(work.began) > DEADLINE_US)
                .map(|(key, _)| *key)
                .collect();
            for key in late {
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

    /// The VM that is first in the ranking of the key used last.
    pub fn first_of_last_key(&self) -> usize {
        self.ranking(self.next_key)[0]
    }

    /// At most one run for each key.
    pub fn check(&self) {
        for (key, runs) in &self.runs {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }

    fn node(&mut self, vm: usize) -> Node {
        self.next_boot += 1;
        self.vm_of_boot.insert(BootId(self.next_boot), vm);
        Node {
            vm,
            boot: BootId(self.next_boot),
            table: KeyTable::new(100, 2),
            claims: Claims::new(100),
            works: BTreeMap::new(),
            ran: HashMap::new(),
            paused: false,
            thawed: false,
            replaced: false,
            unclean_until: Moment(0),
            recovering: None,
            next_seq: 0,
        }
    }

    fn replace(&mut self, vm: usize) {
        let mut successor = self.node(vm);
        successor.unclean_until = self.now + KEY_RETENTION_US;
        successor
            .claims
            .set_uncertain_until(successor.unclean_until);
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

    fn standing(&self, index: usize, key: Key) -> CoordinatorView {
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
        self.pool.push(Message {
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
