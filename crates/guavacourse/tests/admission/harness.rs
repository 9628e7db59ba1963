//! Test harness for the admission of calls in a relay.

use std::{sync::Arc, time::Duration};

use guavacourse::modules::{
    admission::{Admission, ConnectionState, Ending, JobKey, LeafAnswer, SessionId, Step},
    call::{AttemptId, Call, FailedReply, NotRun, Origin, Outcome, Part, Reply, Rows, Unknown},
    catalog::{Catalog, LeafId},
    inventory::{Config, Leaf, LeafState, Policy, Service},
    keys::{KEY_SPACE, KeyRange},
    time::Time,
    view::View,
};

/// Session of every submitted call.
pub const SESSION: SessionId = SessionId(1);

/// Names of the configured leaves.
pub const LEAF_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Admission state of a relay with the six leaves of one service, and a simulated
/// clock.
pub struct Harness {
    pub admission: Admission,
    pub now: Time,
    pub view: View,
    config: Config,
    dispatched: Vec<(JobKey, AttemptId)>,
    /// Time after which the last deferred call may be sent again.
    pub retry_after: Option<Duration>,
}

/// Parameters of a call to submit; `budget` is in milliseconds.
#[derive(Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "tests set each field by name"
)]
pub struct CallSpec {
    pub attempt: u64,
    pub leaf: &'static str,
    pub worth: u32,
    pub budget: u64,
    pub kind: &'static str,
    pub extra: bool,
    pub action: bool,
    pub alone: bool,
    pub canary: bool,
    pub content: u64,
    pub forwarded: bool,
    pub trial: u32,
}

impl Default for CallSpec {
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
            canary: false,
            content: 0,
            trial: 0,
        }
    }
}

/// Returns the parameters of a call to leaf `a`.
pub fn call(attempt: u64) -> CallSpec {
    CallSpec {
        attempt,
        ..CallSpec::default()
    }
}

impl Harness {
    /// Creates a relay with the adaptive policy whose leaves have two slots and four
    /// connections each.
    pub fn new() -> Self {
        Self::with_policy(Policy::Adaptive, 2, 4)
    }

    /// Creates a relay with the given policy, and slots and connections per leaf.
    pub fn with_policy(policy: Policy, slots: u32, connections: u32) -> Self {
        let leaf = |name: &str| Leaf {
            name: name.to_owned(),
            until: KEY_SPACE,
            ..Leaf::default()
        };
        let service = Service {
            name: "rosters".to_owned(),
            slots,
            connections,
            leaves: LEAF_NAMES.map(leaf).to_vec(),
            ..Service::default()
        };
        let config = Config {
            policy,
            services: vec![service],
            ..Config::default()
        };
        let mut harness = Self {
            admission: Admission::default(),
            now: Time(1),
            view: View::default(),
            config,
            dispatched: Vec::new(),
            retry_after: None,
        };
        harness.publish();
        harness
    }

    /// Applies the current view and configuration.
    pub fn publish(&mut self) {
        self.view.catalog = Arc::new(Catalog::new(1, &self.config));
        let view = Arc::new(self.view.clone());
        self.admission.configure(view, self.now);
    }

    /// Sets the state of a leaf in the configuration.
    pub fn set_state(&mut self, leaf: &str, state: LeafState) {
        let leaves = &mut self.config.services[0].leaves;
        let found = leaves.iter_mut().find(|entry| entry.name == leaf);
        found.unwrap().state = state;
        self.publish();
    }

    /// Removes a leaf from the configuration and returns it.
    pub fn remove_leaf(&mut self, name: &str) -> Leaf {
        let leaves = &mut self.config.services[0].leaves;
        let found = leaves.iter().position(|entry| entry.name == name);
        let leaf = leaves.remove(found.unwrap());
        self.publish();
        leaf
    }

    /// Adds a leaf to the configuration.
    pub fn add_leaf(&mut self, leaf: Leaf) {
        self.config.services[0].leaves.push(leaf);
        self.publish();
    }

    /// Advances the clock.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    /// Submits a call now.
    pub fn submit(&mut self, spec: &CallSpec) {
        let call = Call {
            attempt: AttemptId(spec.attempt),
            leaf: LeafId::of(spec.leaf),
            extra: spec.extra,
        };
        let part = Part {
            kind: spec.kind.to_owned(),
            worth: spec.worth,
            budget: Duration::from_millis(spec.budget),
            action: if spec.action { "id" } else { "" }.to_owned(),
            fingerprint: spec.content,
            body: Arc::from(&b"{}"[..]),
            calls: vec![call],
            alone: spec.alone,
            canary: spec.canary,
            trial: spec.trial,
            forward: spec.forwarded.then(Arc::default),
            ..Part::default()
        };
        self.admission.submit(SESSION, part, self.now);
    }

    /// Ends the exchange of a dispatched attempt.
    pub fn end(&mut self, attempt: u64, ending: &Ending) {
        let found = self.dispatched.iter().position(|(_, id)| id.0 == attempt);
        let (key, _) = self
            .dispatched
            .remove(found.expect("the attempt was dispatched"));
        let after = match ending {
            Ending::Answered(_) => ConnectionState::Kept,
            _ => ConnectionState::Closed,
        };
        self.admission.finish(key, ending, after, self.now);
    }

    /// Ends an attempt with rows.
    pub fn answer(&mut self, attempt: u64) {
        self.end(attempt, &answered(1, false));
    }

    /// Ends an attempt because its connection closed before the reply.
    pub fn drop_connection(&mut self, attempt: u64) {
        self.end(attempt, &Ending::Lost(Unknown::Closed));
    }

    /// Reports that a probed leaf refuses connections.
    pub fn fail_probe(&mut self, leaf: &str) {
        self.admission.probed(LeafId::of(leaf), false, self.now);
    }

    /// Returns whether an attempt is dispatched and has not ended.
    pub fn is_dispatched(&self, attempt: u64) -> bool {
        self.dispatched.iter().any(|(_, id)| id.0 == attempt)
    }

    /// Takes the steps that the edge must carry out; returns one line for each.
    pub fn take_steps(&mut self) -> String {
        let steps = self.admission.take_steps();
        let lines: Vec<String> = steps.iter().map(|step| self.describe(step)).collect();
        lines.join("\n")
    }

    fn describe(&mut self, step: &Step) -> String {
        match step {
            Step::Dispatch {
                job,
                new_connection,
            } => {
                let attempt = self.admission.job(*job).unwrap().call.attempt;
                self.dispatched.push((*job, attempt));
                let connection = if *new_connection { "a new" } else { "a kept" };
                format!("dispatch {} on {connection} connection", attempt.0)
            }
            Step::Abandon(job) => {
                let found = self.dispatched.iter().find(|(key, _)| key == job);
                format!("abandon {}", found.unwrap().1.0)
            }
            Step::Expire(job) => {
                let found = self.dispatched.iter().find(|(key, _)| key == job);
                format!("expire {}", found.unwrap().1.0)
            }
            Step::CloseKept(leaf, count) => format!("close {count} kept to {}", leaf_name(*leaf)),
            Step::Probe(leaf) => format!("probe {}", leaf_name(*leaf)),
            Step::Deliver(_, reply) => {
                let deferred = reply.outcome == Outcome::NotRun(NotRun::Deferred);
                self.retry_after = deferred.then_some(reply.retry_after).or(self.retry_after);
                describe_reply(reply)
            }
            Step::Report(finding) => format!("report {finding:?}"),
            Step::Note(event) => format!("note {event:?}"),
            Step::Quarantine { content, then } => {
                let then = then.as_ref().map(|(_, reply)| describe_reply(reply));
                let then = then.unwrap_or_else(|| "nothing".to_owned());
                format!("quarantine {content}, then {then}")
            }
        }
    }

    /// Returns the job key of a dispatched attempt.
    pub fn job_key(&self, attempt: u64) -> JobKey {
        let found = self.dispatched.iter().find(|(_, id)| id.0 == attempt);
        found.expect("the attempt was dispatched").0
    }
}

fn leaf_name(leaf: LeafId) -> &'static str {
    let known = |name: &&&str| LeafId::of(name) == leaf;
    LEAF_NAMES.iter().find(known).unwrap()
}

fn describe_reply(reply: &Reply) -> String {
    let outcome = match &reply.outcome {
        Outcome::Failed(failed) => format!("failed with {}", failed.origin.status),
        Outcome::Rows(_) => "rows".to_owned(),
        Outcome::NotRun(reason) => format!("not run: {reason:?}"),
        Outcome::Unknown(reason) => format!("unknown: {reason:?}"),
        Outcome::Elsewhere(_) => "elsewhere".to_owned(),
    };
    format!("deliver {}: {outcome}", reply.attempt.0)
}

/// Returns a leaf's answer with rows.
pub fn answered(incarnation: u64, draining: bool) -> Ending {
    Ending::Answered(LeafAnswer {
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

/// Returns a leaf's refusal.
pub fn refused(reason: NotRun, incarnation: u64, draining: bool) -> Ending {
    Ending::Answered(LeafAnswer {
        outcome: Outcome::NotRun(reason),
        incarnation,
        draining,
    })
}

/// Returns a leaf's answer with a failure of its own.
pub fn failed(status: u16) -> Ending {
    let origin = Origin {
        status,
        ..Origin::default()
    };
    Ending::Answered(LeafAnswer {
        outcome: Outcome::Failed(FailedReply {
            origin: Arc::new(origin),
            body: Arc::from(&b""[..]),
        }),
        incarnation: 1,
        draining: false,
    })
}
