//! A store that loses answers and is late, operators that race, nodes that pass revisions on, and
//! an oracle of what was accepted.

use declarations::Bundle;
use era::Position;
use rollout::{
    Apply, ApplyAction, ApplyEvent, ApplyOutcome, Change, Configuration, Digest, Head, Offered,
    Plan, Rollout,
};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

const SERVICES: &str = "\
[group one]
upstreams = vm-1

[service one]
group = one
host = one.example
policy = one.rhai
";

/// What becomes of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It is lost before it takes effect.
    Lost,
    /// It takes effect later; there is no answer.
    Late,
}

#[derive(Debug, Default)]
struct Store {
    head: Option<(u64, Vec<u8>)>,
    contents: BTreeMap<Digest, Vec<u8>>,
    version: u64,
    late: Vec<(Option<u64>, Vec<u8>)>,
}

impl Store {
    fn write_head(&mut self, expected: Option<u64>, bytes: Vec<u8>) -> ApplyEvent {
        if self.head.as_ref().map(|(version, _)| *version) != expected {
            return ApplyEvent::Conflict;
        }
        self.version += 1;
        self.head = Some((self.version, bytes));
        ApplyEvent::Written
    }

    fn perform(&mut self, action: ApplyAction) -> ApplyEvent {
        match action {
            ApplyAction::ReadHead => ApplyEvent::Read(self.head.clone()),
            ApplyAction::ReadContent(digest) => {
                ApplyEvent::Read(self.contents.get(&digest).map(|bytes| (1, bytes.clone())))
            }
            ApplyAction::WriteContent(digest, bytes) => {
                self.contents.insert(digest, bytes);
                ApplyEvent::Written
            }
            ApplyAction::WriteHead(expected, bytes) => self.write_head(expected, bytes),
            ApplyAction::Done(outcome) => panic!("{outcome:?} is no call"),
        }
    }

    fn head(&self) -> Option<Head> {
        let (_, bytes) = self.head.as_ref()?;
        Some(Head::from_bytes(bytes).expect("the head was written by an operator"))
    }

    /// The heads from the one in force backwards.
    fn chain(&self) -> Vec<Head> {
        let mut chain = Vec::new();
        let mut next = self.head();
        while let Some(head) = next {
            next = head.previous.as_ref().map(|digest| {
                let bytes = self
                    .contents
                    .get(digest)
                    .expect("every head of the chain is kept");
                Head::from_bytes(bytes).expect("a head")
            });
            chain.push(head);
        }
        chain
    }
}

struct Operator {
    apply: Option<(Apply, ApplyAction)>,
    plan: Option<Plan>,
    /// A change whose outcome is unknown and has to be asked for again.
    unknown: Option<Plan>,
}

/// The world.
pub struct World {
    store: Store,
    operators: Vec<Operator>,
    nodes: Vec<Rollout>,
    /// The highest revision each running node has had.
    seen: Vec<u64>,
    accepted: BTreeSet<String>,
    refused: BTreeSet<String>,
    next_change: u64,
}

impl World {
    /// Two operators and `nodes` nodes.
    pub fn new(nodes: usize) -> World {
        World {
            store: Store::default(),
            operators: (0..2)
                .map(|_| Operator {
                    apply: None,
                    plan: None,
                    unknown: None,
                })
                .collect(),
            nodes: (0..nodes).map(|_| Rollout::default()).collect(),
            seen: vec![0; nodes],
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            next_change: 1,
        }
    }

    /// An operator plans on what is in the store now, or asks again for an unknown change.
    pub fn plan(&mut self, operator: usize) {
        let base = self.store.head().map_or(0, |head| head.revision);
        let operator = &mut self.operators[operator % 2];
        if operator.apply.is_some() {
            return;
        }
        let plan = operator.unknown.take().unwrap_or_else(|| {
            let number = self.next_change;
            self.next_change += 1;
            plan(base, number)
        });
        let mut apply = Apply::new(plan.clone(), 1);
        let action = apply.step(ApplyEvent::Begin);
        operator.plan = Some(plan);
        operator.apply = Some((apply, action));
    }

    /// An operator's next call to the store, with its fate.
    pub fn step(&mut self, operator: usize, fate: Fate) {
        let index = operator % 2;
        let Some((mut apply, action)) = self.operators[index].apply.take() else {
            return;
        };
        if let ApplyAction::Done(outcome) = action {
            self.done(index, outcome);
            return;
        }
        let event = match fate {
            Fate::Answered => self.store.perform(action),
            Fate::AnswerLost => {
                self.store.perform(action);
                ApplyEvent::NoAnswer
            }
            Fate::Lost => ApplyEvent::NoAnswer,
            Fate::Late => {
                if let ApplyAction::WriteHead(expected, bytes) = action {
                    self.store.late.push((expected, bytes));
                }
                ApplyEvent::NoAnswer
            }
        };
        let next = apply.step(event);
        self.operators[index].apply = Some((apply, next));
    }

    /// A write that was on its way takes effect, if its condition still holds.
    pub fn late_write(&mut self, pick: usize) {
        if self.store.late.is_empty() {
            return;
        }
        let index = pick % self.store.late.len();
        let (expected, bytes) = self.store.late.remove(index);
        self.store.write_head(expected, bytes);
    }

    /// A node reads the store.
    pub fn read(&mut self, node: usize) {
        let Some(head) = self.store.head() else {
            return;
        };
        let configuration = self.configuration(head);
        self.offer(node % self.nodes.len(), configuration);
    }

    /// A node reads an earlier revision from a store that was restored from an old copy.
    pub fn read_old(&mut self, node: usize, back: usize) {
        let chain = self.store.chain();
        if let Some(head) = chain.get(back) {
            let configuration = self.configuration(head.clone());
            self.offer(node % self.nodes.len(), configuration);
        }
    }

    /// A node passes what it has to another.
    pub fn pass_on(&mut self, from: usize, to: usize) {
        let Some(in_force) = self.nodes[from % self.nodes.len()].in_force() else {
            return;
        };
        let configuration = in_force.configuration.clone();
        self.offer(to % self.nodes.len(), configuration);
    }

    /// A node starts again with nothing.
    pub fn restart(&mut self, node: usize) {
        let node = node % self.nodes.len();
        self.nodes[node] = Rollout::default();
        self.seen[node] = 0;
    }

    /// Every node reads the store once.
    pub fn settle(&mut self) {
        for node in 0..self.nodes.len() {
            self.read(node);
        }
        let revision = self.store.head().map_or(0, |head| head.revision);
        for node in &self.nodes {
            assert_eq!(
                node.revision(),
                revision,
                "all nodes have the last revision"
            );
        }
    }

    /// What holds at every moment.
    pub fn check(&self) {
        let chain = self.store.chain();
        let ids: BTreeSet<&String> = chain.iter().map(|head| &head.change.id).collect();
        assert_eq!(ids.len(), chain.len(), "no change is in the chain twice");
        for id in &self.accepted {
            assert!(ids.contains(id), "change {id} was accepted and is lost");
        }
        for id in &self.refused {
            assert!(!ids.contains(id), "change {id} was refused and took effect");
        }
        for pair in chain.windows(2) {
            assert!(pair[0].revision > pair[1].revision, "revisions rise");
        }
        for head in &chain {
            assert!(!head.change.who.is_empty(), "each change has its record");
        }
        for (node, seen) in self.nodes.iter().zip(&self.seen) {
            assert!(node.revision() >= *seen, "a node went back");
        }
    }

    fn offer(&mut self, node: usize, configuration: Configuration) {
        let offered = self.nodes[node].offer(configuration);
        assert!(
            !matches!(offered, Offered::Bad(_) | Offered::Differs),
            "{offered:?}"
        );
        self.seen[node] = self.seen[node].max(self.nodes[node].revision());
    }

    fn configuration(&self, head: Head) -> Configuration {
        let objects = head
            .files
            .iter()
            .flat_map(|file| &file.parts)
            .map(|digest| {
                let bytes = self
                    .store
                    .contents
                    .get(digest)
                    .expect("content is written before the head that names it");
                (digest.clone(), ByteBuf::from(bytes.clone()))
            })
            .collect();
        Configuration {
            head,
            objects,
            read_at: Position::default(),
        }
    }

    fn done(&mut self, index: usize, outcome: ApplyOutcome) {
        let operator = &mut self.operators[index];
        let plan = operator.plan.take().expect("an outcome follows a plan");
        let id = plan.change.id.clone();
        match outcome {
            ApplyOutcome::Accepted(head) => {
                assert_eq!(head.change.id, id, "the change of another was accepted");
                self.accepted.insert(id);
            }
            ApplyOutcome::Conflict { .. } => {
                self.refused.insert(id);
            }
            ApplyOutcome::Unknown => operator.unknown = Some(plan),
            ApplyOutcome::Damaged(text) => panic!("{text}"),
        }
    }
}

fn plan(base: u64, number: u64) -> Plan {
    let files = BTreeMap::from([
        ("services.ini".to_string(), SERVICES.to_string()),
        (
            "one.rhai".to_string(),
            format!("// change {number}\n#{{ repeatable: true }}\n"),
        ),
    ]);
    Plan {
        base,
        bundle: Bundle { files },
        change: Change {
            id: format!("change-{number}"),
            who: "operator".to_string(),
            when_ms: number,
            why: "fuzzing".to_string(),
        },
        floor: 0,
    }
}
