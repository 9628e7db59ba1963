//! A small builder round the core of a relay.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    admission::{Admission, After, Answer, Ending, JobKey, SessionId, Step},
    call::{AttemptId, Call, NotRun, Outcome, Part, Reply, Rows, Unknown},
    catalog::{Catalog, LeafId},
    inventory::{Config, Leaf, LeafState, Policy, Service},
    keys::{KEY_SPACE, KeyRange},
    time::Time,
    view::View,
};

/// The session of every call.
pub const SESSION: SessionId = SessionId(1);

/// Names of the leaves.
pub const LEAVES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// A relay's core with six leaves of one service, and a clock.
pub struct Bench {
    pub core: Admission,
    pub now: Time,
    pub view: View,
    config: Config,
    dispatched: Vec<(JobKey, AttemptId)>,
}

/// A call to be submitted.
#[derive(Clone)]
#[expect(clippy::struct_excessive_bools, reason = "tests set each by its name")]
pub struct Ask {
    pub attempt: u64,
    pub leaf: &'static str,
    pub worth: u32,
    pub budget: u64,
    pub kind: &'static str,
    pub extra: bool,
    pub action: bool,
    pub alone: bool,
    pub first: bool,
    pub content: u64,
    pub forwarded: bool,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            attempt: 1,
            leaf: "a",
            worth: 1,
            budget: 1_000,
            kind: "enquiry",
            extra: false,
            action: false,
            alone: false,
            forwarded: false,
            first: false,
            content: 0,
        }
    }
}

/// Creates a call of `attempt` to leaf `a`.
pub fn ask(attempt: u64) -> Ask {
    Ask {
        attempt,
        ..Ask::default()
    }
}

impl Bench {
    /// Creates a core with leaves of two slots and four connections.
    pub fn new() -> Self {
        Self::with(Policy::Adaptive, 2, 4)
    }

    pub fn with(policy: Policy, slots: u32, connections: u32) -> Self {
        let leaf = |name: &str| Leaf {
            name: name.to_owned(),
            until: KEY_SPACE,
            ..Leaf::default()
        };
        let service = Service {
            name: "rosters".to_owned(),
            slots,
            connections,
            leaves: LEAVES.map(leaf).to_vec(),
            ..Service::default()
        };
        let config = Config {
            policy,
            services: vec![service],
            ..Config::default()
        };
        let mut bench = Self {
            core: Admission::default(),
            now: Time(1),
            view: View::default(),
            config,
            dispatched: Vec::new(),
        };
        bench.publish();
        bench
    }

    /// Publishes the view.
    pub fn publish(&mut self) {
        self.view.catalog = Arc::new(Catalog::new(1, &self.config));
        let view = Arc::new(self.view.clone());
        self.core.configure(view, self.now);
    }

    /// Changes the operators' word on a leaf.
    pub fn edit(&mut self, leaf: &str, state: LeafState) {
        let leaves = &mut self.config.services[0].leaves;
        let found = leaves.iter_mut().find(|entry| entry.name == leaf);
        found.unwrap().state = state;
        self.publish();
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    pub fn submit(&mut self, ask: &Ask) {
        let call = Call {
            attempt: AttemptId(ask.attempt),
            leaf: LeafId::of(ask.leaf),
            extra: ask.extra,
        };
        let part = Part {
            kind: ask.kind.to_owned(),
            worth: ask.worth,
            budget: Duration::from_millis(ask.budget),
            action: if ask.action { "id" } else { "" }.to_owned(),
            fingerprint: ask.content,
            body: Arc::from(&b"{}"[..]),
            calls: vec![call],
            alone: ask.alone,
            first: ask.first,
            forward: ask.forwarded.then(Arc::default),
            ..Part::default()
        };
        self.core.submit(SESSION, part, self.now);
    }

    /// Ends the exchange of an attempt that was dispatched.
    pub fn end(&mut self, attempt: u64, ending: &Ending) {
        let found = self.dispatched.iter().position(|(_, id)| id.0 == attempt);
        let (key, _) = self.dispatched.remove(found.expect("dispatched"));
        let after = match ending {
            Ending::Answered(_) => After::Kept,
            _ => After::Closed,
        };
        self.core.finish(key, ending, after, self.now);
    }

    /// Answers an attempt with rows.
    pub fn answer(&mut self, attempt: u64) {
        self.end(attempt, &answered(1, false));
    }

    /// Ends an attempt whose connection closed.
    pub fn cut(&mut self, attempt: u64) {
        self.end(attempt, &Ending::Lost(Unknown::Closed));
    }

    /// Reports that a leaf refuses connections.
    pub fn dead(&mut self, leaf: &str) {
        self.core.probed(LeafId::of(leaf), false, self.now);
    }

    /// Returns the steps that the core took, one a line.
    pub fn steps(&mut self) -> String {
        let steps = self.core.take_steps();
        let words: Vec<String> = steps.iter().map(|step| self.describe(step)).collect();
        words.join("\n")
    }

    fn describe(&mut self, step: &Step) -> String {
        match step {
            Step::Dispatch { job, fresh } => {
                let attempt = self.core.job(*job).unwrap().call.attempt;
                self.dispatched.push((*job, attempt));
                let way = if *fresh { "a new" } else { "a kept" };
                format!("dispatch {} on {way} connection", attempt.0)
            }
            Step::Abandon(job) => {
                let found = self.dispatched.iter().find(|(key, _)| key == job);
                format!("abandon {}", found.unwrap().1.0)
            }
            Step::Expire(job) => {
                let found = self.dispatched.iter().find(|(key, _)| key == job);
                format!("expire {}", found.unwrap().1.0)
            }
            Step::CloseKept(leaf, count) => format!("close {count} kept to {}", name(*leaf)),
            Step::Probe(leaf) => format!("probe {}", name(*leaf)),
            Step::Deliver(_, reply) => deliver(reply),
            Step::Quarantine { content, then } => {
                let then = then.as_ref().map(|(_, reply)| deliver(reply));
                let then = then.unwrap_or_else(|| "nothing".to_owned());
                format!("quarantine {content}, then {then}")
            }
        }
    }

    /// Returns the key of a dispatched attempt.
    pub fn key(&self, attempt: u64) -> JobKey {
        let found = self.dispatched.iter().find(|(_, id)| id.0 == attempt);
        found.expect("dispatched").0
    }
}

fn name(leaf: LeafId) -> &'static str {
    let known = |name: &&&str| LeafId::of(name) == leaf;
    LEAVES.iter().find(known).unwrap()
}

fn deliver(reply: &Reply) -> String {
    let what = match &reply.outcome {
        Outcome::Failed(failed) => format!("failed with {}", failed.origin.status),
        Outcome::Rows(_) => "rows".to_owned(),
        Outcome::NotRun(why) => format!("not run: {why:?}"),
        Outcome::Unknown(why) => format!("unknown: {why:?}"),
        Outcome::Elsewhere(_) => "elsewhere".to_owned(),
    };
    format!("deliver {}: {what}", reply.attempt.0)
}

/// A leaf's answer with rows.
pub fn answered(incarnation: u64, draining: bool) -> Ending {
    Ending::Answered(Answer {
        outcome: Outcome::Rows(Rows {
            version: 1,
            newest: 1,
            epoch: 0,
            range: KeyRange::ALL,
            body: Arc::from(&b"[]"[..]),
            origin: None,
        }),
        incarnation,
        draining,
    })
}

/// A leaf's refusal.
pub fn refused(why: NotRun, incarnation: u64, draining: bool) -> Ending {
    Ending::Answered(Answer {
        outcome: Outcome::NotRun(why),
        incarnation,
        draining,
    })
}
