//! The operators' configuration: the inventory and the rules.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{customers::Customer, keys::KeyRange};

/// One revision of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Config {
    /// Partition epoch, which must be raised with every change of a key range.
    pub epoch: u64,
    /// Policy of the fleet.
    pub policy: Policy,
    /// Data centres and their regions.
    pub data_centres: Vec<DataCentre>,
    /// Instances that run the system; the platform's list adds others.
    pub instances: Vec<Instance>,
    /// Services of the backend servers.
    pub services: Vec<Service>,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Limits on forwarded requests; those of the settings apply if not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<CallerLimits>,
    /// Customers whose callers must send a key; `None` if callers need none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Customer>>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_max: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_max: usize,
    /// Maximum time that a request may take to arrive.
    #[serde(with = "humantime_serde")]
    pub arrival: Duration,
    /// Maximum time that a connection may stay idle.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

/// How the fleet chooses replicas, admits requests and repeats calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Replica choice, admission by worth, hedges and retries under budgets.
    #[default]
    Adaptive,
    /// The baseline: round robin, first come first served, no hedges.
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
    /// Address at which its entry serves callers over HTTP.
    pub callers: Address,
    /// Address at which its entry serves the fleet over Cap'n Proto.
    pub entry: Address,
    /// Address at which its relay serves the fleet over Cap'n Proto.
    pub relay: Address,
}

/// A service: leaves with equal limits that together hold one key space.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Number of requests that one leaf runs at a time.
    pub slots: u32,
    /// Number of connections that one leaf accepts.
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
    /// Address at which it serves HTTP.
    pub address: Address,
    /// First key that it holds.
    pub from: u32,
    /// First key after its range.
    pub until: u32,
    /// Whether it accepts new work.
    pub state: LeafState,
}

impl Leaf {
    /// Returns the key range that the leaf holds.
    #[must_use]
    pub fn range(&self) -> KeyRange {
        KeyRange::new(self.from, self.until)
    }
}

/// Whether the operators let a leaf accept new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeafState {
    /// It accepts new work.
    #[default]
    Serving,
    /// It finishes its current work and accepts nothing new.
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
    /// Names of the services that each request calls.
    pub services: Vec<String>,
    /// Value of one served request, relative to other kinds.
    pub worth: u32,
    /// Time within which to answer, unless the caller asks for less.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Age from which a query is answered as soon as its least coverage is met.
    /// If zero, the query waits for full coverage until the deadline.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Minimum fraction of the planned keys that an answer covers, 0 to 1.
    pub least_coverage: f64,
    /// Hedged calls allowed, as a fraction of first calls.
    pub hedge_budget: f64,
    /// Retried calls allowed, as a fraction of first calls.
    pub retry_budget: f64,
    /// Whether a query with new content sends one call ahead of the others, so
    /// that content that crashes backend servers crashes at most two of them.
    pub canary: bool,
    /// Target fraction of good requests, 0 to 1, for the burn report.
    pub objective: f64,
    /// How the replies of the leaves are joined.
    #[serde(skip_serializing_if = "Format::is_json")]
    pub format: Format,
    /// Which requests of callers are forwarded as this kind; `None` if callers
    /// name the kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub forward: Option<Forward>,
}

impl Kind {
    /// Returns whether each request goes to one of the services, by their weights.
    #[must_use]
    pub fn is_split(&self) -> bool {
        let forward = self.forward.as_ref();
        forward.is_some_and(|forward| !forward.weights.is_empty())
    }
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
    /// Records of [`RECORD_BYTES`](super::records::RECORD_BYTES) each. The given
    /// number of greatest records is kept.
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

/// Which requests are forwarded as a kind, and within which limits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Forward {
    /// Host that the caller names.
    pub host: String,
    /// Prefix of the path, from slash to slash. The longest matching prefix
    /// applies.
    pub prefix: String,
    /// Weights of the kind's services, one each, if a request goes to one of
    /// them; empty if it goes to all.
    pub weights: Vec<f64>,
    /// Maximum number of leaves of a shard that may run one request; 0 sets no
    /// limit.
    pub attempts: u32,
    /// Target latency: an answer within this time has its full value to the
    /// caller.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Regions in which requests may be served; empty allows all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
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

/// An IP address and port; unspecified by default.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Address(pub SocketAddr);

impl Address {
    /// Returns whether no address was given.
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
