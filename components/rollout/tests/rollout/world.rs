//! A simulation of a store that loses and delays calls, operators that race, and nodes that forward
//! revisions. It records which changes were accepted and checks the invariants.

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

/// Result of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It takes effect and is answered at once.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It is lost and has no effect.
    Lost,
    /// It takes effect later, without an answer.
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
            ApplyAction::Done(outcome) => panic!("{outcome:?} is not a call to the store"),
        }
    }

    fn head(&self) -> Option<Head> {
        let (_, bytes) = self.head.as_ref()?;
        Some(Head::from_bytes(bytes).expect("the head was written by an operator"))
    }

    /// All heads, the newest first.
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
    /// A change whose outcome is unknown, which has to be applied again.
    unknown: Option<Plan>,
}

/// The store, its operators and the nodes.
pub struct World {
    store: Store,
    operators: Vec<Operator>,
    nodes: Vec<Rollout>,
    /// The highest revision that each node has had in force since it started.
    highest: Vec<u64>,
    /// Ids of the accepted changes.
    accepted: BTreeSet<String>,
    /// Ids of the changes that ended in a conflict.
    conflicted: BTreeSet<String>,
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
            highest: vec![0; nodes],
            accepted: BTreeSet::new(),
            conflicted: BTreeSet::new(),
            next_change: 1,
        }
    }

    /// An operator plans a change on the store's head, or applies one with unknown outcome again.
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

    /// Carries out an operator's next call to the store, with this result.
    pub fn call_store(&mut self, operator: usize, result: CallResult) {
        let index = operator % 2;
        let Some((mut apply, action)) = self.operators[index].apply.take() else {
            return;
        };
        if let ApplyAction::Done(outcome) = action {
            self.record_outcome(index, outcome);
            return;
        }
        let event = match result {
            CallResult::Answered => self.store.perform(action),
            CallResult::AnswerLost => {
                self.store.perform(action);
                ApplyEvent::NoAnswer
            }
            CallResult::Lost => ApplyEvent::NoAnswer,
            CallResult::Late => {
                if let ApplyAction::WriteHead(expected, bytes) = action {
                    self.store.late.push((expected, bytes));
                }
                ApplyEvent::NoAnswer
            }
        };
        let next = apply.step(event);
        self.operators[index].apply = Some((apply, next));
    }

    /// A delayed write takes effect if its condition still holds.
    pub fn apply_late_write(&mut self, pick: usize) {
        if self.store.late.is_empty() {
            return;
        }
        let index = pick % self.store.late.len();
        let (expected, bytes) = self.store.late.remove(index);
        self.store.write_head(expected, bytes);
    }

    /// A node reads the store.
    pub fn read_store(&mut self, node: usize) {
        let Some(head) = self.store.head() else {
            return;
        };
        let configuration = self.configuration(head);
        self.offer(node % self.nodes.len(), configuration);
    }

    /// A node reads an earlier revision, as from a store that was restored from an older copy.
    pub fn read_older(&mut self, node: usize, back: usize) {
        let chain = self.store.chain();
        if let Some(head) = chain.get(back) {
            let configuration = self.configuration(head.clone());
            self.offer(node % self.nodes.len(), configuration);
        }
    }

    /// A node sends its revision to another one.
    pub fn forward(&mut self, from: usize, to: usize) {
        let Some(in_force) = self.nodes[from % self.nodes.len()].in_force() else {
            return;
        };
        let configuration = in_force.configuration.clone();
        self.offer(to % self.nodes.len(), configuration);
    }

    /// A node restarts without any revision.
    pub fn restart(&mut self, node: usize) {
        let node = node % self.nodes.len();
        self.nodes[node] = Rollout::default();
        self.highest[node] = 0;
    }

    /// Every node reads the store once; all have its revision then.
    pub fn converge(&mut self) {
        for node in 0..self.nodes.len() {
            self.read_store(node);
        }
        let revision = self.store.head().map_or(0, |head| head.revision);
        for node in &self.nodes {
            assert_eq!(
                node.revision(),
                revision,
                "all nodes have the newest revision"
            );
        }
    }

    /// Checks the invariants.
    pub fn check(&self) {
        let chain = self.store.chain();
        let ids: BTreeSet<&String> = chain.iter().map(|head| &head.change.id).collect();
        assert_eq!(ids.len(), chain.len(), "no change is in the chain twice");
        for id in &self.accepted {
            assert!(ids.contains(id), "accepted change {id} is lost");
        }
        for id in &self.conflicted {
            assert!(
                !ids.contains(id),
                "change {id} took effect despite its conflict"
            );
        }
        for pair in chain.windows(2) {
            assert!(pair[0].revision > pair[1].revision, "revisions increase");
        }
        for head in &chain {
            assert!(
                !head.change.who.is_empty(),
                "each change has its audit record"
            );
        }
        for (node, highest) in self.nodes.iter().zip(&self.highest) {
            assert!(node.revision() >= *highest, "a node went back");
        }
    }

    fn offer(&mut self, node: usize, configuration: Configuration) {
        let offered = self.nodes[node].offer(configuration);
        assert!(
            !matches!(offered, Offered::Bad(_) | Offered::Differs),
            "{offered:?}"
        );
        self.highest[node] = self.highest[node].max(self.nodes[node].revision());
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

    fn record_outcome(&mut self, index: usize, outcome: ApplyOutcome) {
        let operator = &mut self.operators[index];
        let plan = operator.plan.take().expect("an outcome follows a plan");
        let id = plan.change.id.clone();
        match outcome {
            ApplyOutcome::Accepted(head) => {
                assert_eq!(head.change.id, id, "another change was accepted");
                self.accepted.insert(id);
            }
            ApplyOutcome::Conflict { .. } => {
                self.conflicted.insert(id);
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
