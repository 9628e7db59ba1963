//! Model check of configuration changes and their adoption.
//!
//! The search visits every state that a few operators and nodes can reach: with
//! lost, late and refused writes, stale reads from the store, offers from peers,
//! and restarts. It fails if a node goes back to a lower revision or holds one
//! that was never accepted, if a revision is accepted twice, or if an operator is
//! told a wrong outcome. The transitions call the state machines under test.

use std::collections::BTreeSet;

use guavacourse::modules::{
    adoption::{Adoption, Stamp},
    commit::{Commit, CommitOutcome, Proposal, Reply, Step},
    head::{HEAD_KEY, Head},
};
use pathfinding::prelude::bfs_reach;

/// A write that the store has not applied yet: key, expected version and value.
type Write = (String, u64, String);

/// Behaviour of the modelled system that a faulty variant changes.
#[derive(Clone, Copy)]
struct Variant {
    /// Offers a revision to a node.
    adopt: fn(&mut Adoption, Stamp),
    /// Returns what an operator receives if the reply to a write is lost.
    lost_reply: fn() -> Reply,
    /// Whether the store refuses a write whose expected version does not match.
    compares_versions: bool,
}

const CORRECT: Variant = Variant {
    adopt: |adoption, stamp| {
        // A refusal leaves the revision in force.
        let _ = adoption.adopt(stamp, stamp.digest);
    },
    lost_reply: || Reply::Uncertain,
    compares_versions: true,
};

/// One operator and its pending call.
#[derive(Clone, Eq, Hash, PartialEq)]
struct Operator {
    commit: Commit,
    step: Step,
}

/// One state of the search.
#[derive(Clone, Eq, Hash, PartialEq)]
struct State {
    operators: Vec<Operator>,
    /// Version of the head in the store.
    version: u64,
    head: Head,
    /// Stamp of each change that was ever accepted.
    accepted: Vec<Stamp>,
    /// Operations whose swap took effect.
    swapped: BTreeSet<String>,
    /// Writes without a reply that may still take effect.
    late_writes: BTreeSet<Write>,
    nodes: Vec<Adoption>,
    /// Highest revision that each node has had in force since it started.
    max_revisions: Vec<u64>,
    /// Restarts of a node that are left.
    restarts_left: u8,
}

fn proposal(name: &str) -> Proposal {
    Proposal {
        base: 0,
        above: 0,
        text: name.to_owned(),
        operation: name.to_owned(),
        author: name.to_owned(),
        seconds: 0,
    }
}

/// Returns the initial state, with one operator for each of `bases`, the revisions
/// that they edited from.
fn start(nodes: usize, max_retries: u8, bases: &[u64]) -> State {
    let operators = bases.iter().zip(["a", "b", "c"]).map(|(base, name)| {
        let commit = Commit::new(
            Proposal {
                base: *base,
                ..proposal(name)
            },
            max_retries,
        );
        let step = commit.begin();
        Operator { commit, step }
    });
    State {
        operators: operators.collect(),
        version: 0,
        head: Head::default(),
        accepted: Vec::new(),
        swapped: BTreeSet::new(),
        late_writes: BTreeSet::new(),
        nodes: vec![Adoption::default(); nodes],
        max_revisions: vec![0; nodes],
        restarts_left: 1,
    }
}

impl State {
    /// Returns the state after operator `i` has received a reply.
    fn after_reply(&self, i: usize, reply: Reply) -> Self {
        let mut next = self.clone();
        let operator = &mut next.operators[i];
        operator.step = operator.commit.reply(reply);
        next
    }

    /// Applies a write to the store; returns whether it took effect.
    fn write(&mut self, write: &Write, variant: Variant) -> bool {
        let (key, if_version, value) = write;
        if key != HEAD_KEY {
            return true;
        }
        if variant.compares_versions && *if_version != self.version {
            return false;
        }
        let head: Head = serde_json::from_str(value).expect("a valid head");
        let last = head.current().expect("an accepted change").clone();
        self.head = head;
        self.version += 1;
        self.accepted.push(last.stamp);
        self.swapped.insert(last.operation);
        true
    }

    fn operator_steps(&self, i: usize, variant: Variant, out: &mut Vec<Self>) {
        match &self.operators[i].step {
            Step::End(_) => {}
            Step::Read => {
                let head = Reply::Head(self.version, self.head.clone());
                out.push(self.after_reply(i, head));
                out.push(self.after_reply(i, Reply::Failed));
            }
            Step::Write {
                key,
                if_version,
                value,
            } => {
                let write = (key.clone(), *if_version, value.clone());
                let mut written = self.clone();
                let reply = if written.write(&write, variant) {
                    Reply::Written
                } else {
                    Reply::Conflict
                };
                out.push(written.after_reply(i, reply));
                out.push(written.after_reply(i, (variant.lost_reply)()));
                out.push(self.after_reply(i, Reply::Failed));
                let mut late = self.clone();
                late.late_writes.insert(write);
                out.push(late.after_reply(i, (variant.lost_reply)()));
            }
        }
    }

    /// Returns the state after a revision was offered to a node.
    fn offer(&self, node: usize, stamp: Stamp, variant: Variant) -> Self {
        let mut next = self.clone();
        (variant.adopt)(&mut next.nodes[node], stamp);
        next.max_revisions[node] =
            next.max_revisions[node].max(next.nodes[node].current().revision);
        next
    }

    fn node_steps(&self, node: usize, variant: Variant, out: &mut Vec<Self>) {
        // Offers from the store, whose reads may be stale.
        for stamp in &self.accepted {
            out.push(self.offer(node, *stamp, variant));
        }
        for peer in 0..self.nodes.len() {
            out.push(self.offer(node, self.nodes[peer].current(), variant));
        }
        if self.restarts_left > 0 {
            let mut next = self.clone();
            next.restarts_left -= 1;
            next.nodes[node] = Adoption::default();
            next.max_revisions[node] = 0;
            let held = next.nodes.iter().map(Adoption::current);
            let highest = held.max().unwrap_or_default();
            out.push(next.offer(node, highest, variant));
        }
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut out = Vec::new();
        for i in 0..self.operators.len() {
            self.operator_steps(i, variant, &mut out);
        }
        for write in &self.late_writes {
            let mut next = self.clone();
            next.late_writes.remove(write);
            next.write(write, variant);
            out.push(next);
        }
        for node in 0..self.nodes.len() {
            self.node_steps(node, variant, &mut out);
        }
        out
    }

    /// Returns the first invariant that this state violates.
    fn violation(&self) -> Option<&'static str> {
        for (i, node) in self.nodes.iter().enumerate() {
            let held = node.current();
            if held.revision < self.max_revisions[i] {
                return Some("a node went back to a lower revision");
            }
            if held.revision > 0 && !self.accepted.contains(&held) {
                return Some("a node holds a revision that was never accepted");
            }
        }
        let revisions: BTreeSet<u64> = self.accepted.iter().map(|s| s.revision).collect();
        if revisions.len() < self.accepted.len() {
            return Some("one revision was accepted twice");
        }
        for operator in &self.operators {
            let Step::End(outcome) = &operator.step else {
                continue;
            };
            let swapped = |operation: &str| self.swapped.contains(operation);
            let operation = operator.commit.body_key();
            let operation = operation.rsplit('/').next().unwrap_or_default();
            match outcome {
                CommitOutcome::Accepted(..) if !swapped(operation) => {
                    return Some("an operator was told that a change was accepted, but it was not");
                }
                CommitOutcome::Conflict { .. } | CommitOutcome::NotApplied
                    if swapped(operation) =>
                {
                    return Some("an operator was told that nothing changed, but it did");
                }
                _ => {}
            }
        }
        None
    }
}

/// Visits states until one violates an invariant or none is left; returns their
/// number and the violation.
fn search(start: State, variant: Variant) -> (usize, Option<&'static str>) {
    let mut states = 0;
    let reached = bfs_reach(start, |state| {
        // The search ends at a violation, so no successors are needed.
        if state.violation().is_some() {
            return Vec::new();
        }
        state.successors(variant)
    });
    for state in reached {
        states += 1;
        if let Some(violation) = state.violation() {
            return (states, Some(violation));
        }
    }
    (states, None)
}

/// Returns the initial state of two racing operators and a third whose change is
/// based on the first accepted revision.
fn three_operators(nodes: usize, max_retries: u8) -> State {
    start(nodes, max_retries, &[0, 0, 1])
}

#[test]
fn every_state_keeps_the_invariants() {
    let sizes = [
        ("2 operators, 3 nodes, 2 retries", start(3, 2, &[0, 0])),
        ("3 operators, 1 node, 1 retry", three_operators(1, 1)),
    ];
    let found: Vec<String> = sizes
        .into_iter()
        .map(|(name, state)| {
            let (states, broken) = search(state, CORRECT);
            format!("{name}: {states} states, broken: {broken:?}")
        })
        .collect();
    insta::assert_snapshot!(found.join("\n"));
}

#[test]
fn broken_variants_are_found() {
    let adopts_any = Variant {
        adopt: |adoption, stamp| {
            let mut fresh = Adoption::default();
            let _ = fresh.adopt(stamp, stamp.digest);
            *adoption = fresh;
        },
        ..CORRECT
    };
    let lost_is_failure = Variant {
        lost_reply: || Reply::Failed,
        ..CORRECT
    };
    let unconditional_write = Variant {
        compares_versions: false,
        ..CORRECT
    };
    let found: Vec<String> = [
        ("adopts any revision", adopts_any),
        ("takes a lost reply for a failure", lost_is_failure),
        ("writes the head without comparing", unconditional_write),
    ]
    .into_iter()
    .map(|(name, variant)| format!("{name}: {:?}", search(three_operators(2, 1), variant).1))
    .collect();
    insta::assert_snapshot!(found.join("\n"));
}
