//! The operators' configuration: the inventory and the rules.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::keys::KeyRange;

/// One revision of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Config {
    /// Partition epoch: raised with every change of a key range.
    pub epoch: u64,
    /// Policy of the fleet.
    pub policy: Policy,
    /// Data centres and the regions they stand in.
    pub data_centres: Vec<DataCentre>,
    /// Instances that run the system; the platform's list adds others.
    pub instances: Vec<Instance>,
    /// Services of the backend servers.
    pub services: Vec<Service>,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Bounds on forwarded requests; those of the settings if not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<CallerLimits>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_max: usize,
    /// Largest body of a request, in bytes.
    pub body_max: usize,
    /// Longest time that a request may take to arrive.
    #[serde(with = "humantime_serde")]
    pub arrival: Duration,
    /// Longest time that a connection may stay idle.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

/// Which set of decisions the fleet takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Replica choice, admission by worth, hedges and retries under budgets.
    #[default]
    Adaptive,
    /// The baseline: round robin, first come first served, no hedge.
    Plain,
}

/// A data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentre {
    /// Unique name.
    pub name: String,
    /// Name of the region.
    pub region: String,
}

/// An instance that runs an entry and a relay.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where its entry serves callers over HTTP.
    pub callers: Address,
    /// Where its entry serves the fleet over Cap'n Proto.
    pub entry: Address,
    /// Where its relay serves the fleet over Cap'n Proto.
    pub relay: Address,
}

/// A service: leaves of one shape that together hold one key space.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Requests that one leaf runs at a time.
    pub slots: u32,
    /// Connections that one leaf accepts.
    pub connections: u32,
    /// Time that a new connection to a leaf takes.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// Its leaves.
    pub leaves: Vec<Leaf>,
}

/// A leaf: one backend server, which holds one key range of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Leaf {
    /// Name, unique over all services.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it serves HTTP.
    pub address: Address,
    /// First key that it holds.
    pub from: u32,
    /// First key that it no longer holds.
    pub until: u32,
    /// Whether it takes new work.
    pub state: LeafState,
}

impl Leaf {
    /// Returns the key range that the leaf holds.
    #[must_use]
    pub fn range(&self) -> KeyRange {
        KeyRange::new(self.from, self.until)
    }
}

/// Whether a leaf takes new work, as the operators say.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeafState {
    /// It takes new work.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// Rules for one kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Unique name, as callers give it.
    pub name: String,
    /// Whether its requests may be repeated.
    pub class: Class,
    /// Names of the services that each request touches.
    pub services: Vec<String>,
    /// Value of one request served, against those of other kinds.
    pub worth: u32,
    /// Time for an answer, unless the caller asks for less.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Age at which a query answers as soon as its least coverage is met.
    /// Zero waits for full coverage until the deadline.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Least part of the planned keys that an answer covers, 0 to 1.
    pub least_coverage: f64,
    /// Hedged calls allowed, as a part of first calls.
    pub hedge_budget: f64,
    /// Retried calls allowed, as a part of first calls.
    pub retry_budget: f64,
    /// Whether a query of new content sends one call ahead of the others, so
    /// that content that crashes backend servers takes two of them at most.
    pub canary: bool,
    /// Part of requests to be served well, for the burn report.
    pub objective: f64,
    /// How the replies of the leaves are joined.
    #[serde(skip_serializing_if = "Format::is_json")]
    pub format: Format,
    /// Which requests of callers are forwarded as this kind; none if callers
    /// name the kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub forward: Option<Forward>,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: String::new(),
            class: Class::Query,
            services: Vec::new(),
            worth: 1,
            deadline: Duration::from_millis(100),
            settle: Duration::ZERO,
            least_coverage: 1.0,
            hedge_budget: 0.05,
            retry_budget: 0.1,
            canary: true,
            objective: 0.99,
            format: Format::Json,
            forward: None,
        }
    }
}

/// How the replies of the leaves are joined to one answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// JSON arrays of rows, joined in the order of the shards.
    #[default]
    Json,
    /// Records of [`RECORD_BYTES`](super::records::RECORD_BYTES), of which the
    /// greatest so many are kept.
    Greatest(u32),
    /// The reply of the one leaf that was called, unchanged.
    Whole,
}

impl Format {
    #[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
    fn is_json(&self) -> bool {
        *self == Self::Json
    }
}

/// Which requests are forwarded as a kind, and within which bounds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Forward {
    /// Host that the caller names.
    pub host: String,
    /// Start of the path, from slash to slash. The longest that fits counts.
    pub prefix: String,
    /// Weights of the kind's services, one each, if a request goes to one of
    /// them; empty if it goes to all.
    pub weights: Vec<f64>,
    /// Most leaves of a shard that may run one request; 0 sets no limit.
    pub attempts: u32,
    /// Time within which an answer is of full use to its caller.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
}

/// Whether requests of a kind may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Idempotent: may be hedged and retried.
    #[default]
    Query,
    /// Not idempotent: runs at most once.
    Action,
}

/// An address by IP number and port; unspecified by default.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Address(pub SocketAddr);

impl Address {
    /// Tells whether no address was given.
    #[must_use]
    pub fn is_unspecified(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for Address {
    fn default() -> Self {
        Self(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }
}
