//! Shares of the fleet's connections and extra calls that one process may use.
//!
//! Queries over many shards are run by strong processes on behalf of the others,
//! so the strong processes get nearly all connections and extra calls of the
//! services of such queries. All other services are called by every process
//! alike.

use std::sync::Arc;

use super::{
    catalog::{LeafId, stable_hash},
    collections::{Map, Set},
    members::Member,
    ownership::mix,
};

/// A process is strong if its share of a core is at least this fraction of the
/// largest one in its data centre.
const STRONG_POWER_FRACTION: f64 = 0.5;

/// Share that the strong processes together get of the services of queries over
/// many shards. The others run such queries only when they have lost their peers.
const STRONG_SHARE: f64 = 0.9;

/// Share of the calls to a leaf that the processes in its data centre get together, if
/// others call it too: they prefer it to other replicas.
const NEAR_SHARE: f64 = 0.7;

/// Maximum number of processes that call a leaf which limits its calls: so many for each
/// call a second that it takes, and so many more. With more of them, the calls that all
/// make at the same moment would exceed the limit.
const CALLERS_PER_CALL: f64 = 2.0;
const EXTRA_CALLERS: f64 = 5.0;

/// A process that shares the calls to leaves.
#[derive(Clone, Debug, PartialEq)]
struct CallingProcess {
    /// Hash of its name.
    hash: u64,
    data_centre: String,
    strong: bool,
}

/// This process's part of the calls to a leaf that limits them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeafShare {
    /// Fraction of the calls, 0 to 1; 0 if others make all of them.
    pub fraction: f64,
    /// Number of processes that may want to call the leaf.
    pub callers: usize,
}

/// Shares of the fleet's limits that one process may use, 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Hash of the process's name.
    own: u64,
    /// All processes; none if the process is the only one.
    processes: Arc<[CallingProcess]>,
    /// Share of a service that every process calls.
    common: f64,
    /// Share of a service that queries over many shards call.
    fan_out: f64,
    /// Services that queries over many shards call.
    fan_out_services: Set<String>,
}

impl Default for Shares {
    /// Returns the shares of a process that is the only one of its fleet.
    fn default() -> Self {
        Self {
            own: 0,
            processes: Arc::default(),
            common: 1.0,
            fan_out: 1.0,
            fan_out_services: Set::default(),
        }
    }
}

impl Shares {
    /// Returns the shares of the process named `own` in a fleet;
    /// `fan_out_services` are those that queries over many shards call.
    #[must_use]
    pub fn new<'a>(
        own: &str,
        members: impl IntoIterator<Item = &'a Member>,
        fan_out_services: Set<String>,
    ) -> Self {
        let members: Vec<&Member> = members.into_iter().collect();
        let strong: Vec<&Member> = strong_members(&members);
        let weak = members.len() - strong.len();
        let strong_names: Set<&str> = strong.iter().map(|member| member.name.as_str()).collect();
        let own_strong = strong_names.contains(own);
        let processes = members.iter().map(|member| CallingProcess {
            hash: stable_hash(member.name.as_bytes()),
            data_centre: member.data_centre.clone(),
            strong: strong_names.contains(member.name.as_str()),
        });
        let fan_out = match (own_strong, weak) {
            (true, 0) => divide(1.0, strong.len()),
            (true, _) => divide(STRONG_SHARE, strong.len()),
            (false, _) => divide(1.0 - STRONG_SHARE, weak),
        };
        Self {
            own: stable_hash(own.as_bytes()),
            processes: processes.collect(),
            common: divide(1.0, members.len()),
            fan_out,
            fan_out_services,
        }
    }

    /// Returns the share of a service's limits.
    #[must_use]
    pub fn for_service(&self, service: &str) -> f64 {
        if self.fan_out_services.contains(service) {
            self.fan_out
        } else {
            self.common
        }
    }

    /// Returns the part of the calls to a leaf of a service in `data_centre`, which takes
    /// `total` calls a second from the whole fleet.
    #[must_use]
    pub fn for_leaf(
        &self,
        leaf: LeafId,
        service: &str,
        data_centre: &str,
        total: f64,
    ) -> LeafShare {
        let fan_out = self.fan_out_services.contains(service);
        let callers = self.processes.iter().filter(|p| p.strong || !fan_out);
        let mut callers: Vec<&CallingProcess> = callers.collect();
        let count = callers.len();
        if count == 0 {
            return LeafShare {
                fraction: 1.0,
                callers: 1,
            };
        }
        let near = |process: &CallingProcess| process.data_centre == data_centre;
        callers.sort_by_key(|process| (!near(process), mix(process.hash ^ leaf.0)));
        callers.truncate(max_callers(total));
        let all_near = callers.iter().filter(|process| near(process)).count();
        let all_far = callers.len() - all_near;
        let own = callers.iter().find(|process| process.hash == self.own);
        let fraction = own.map_or(0.0, |own| match (near(own), all_near, all_far) {
            (true, _, 0) => divide(1.0, all_near),
            (true, ..) => divide(NEAR_SHARE, all_near),
            (false, 0, _) => divide(1.0, all_far),
            (false, ..) => divide(1.0 - NEAR_SHARE, all_far),
        });
        LeafShare {
            fraction,
            callers: count,
        }
    }
}

/// Returns the maximum number of processes that call a leaf which takes `total` calls a
/// second.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast to an integer saturates"
)]
fn max_callers(total: f64) -> usize {
    (CALLERS_PER_CALL * total + EXTRA_CALLERS) as usize
}

/// Returns the processes that are strong in their data centre, in the order of
/// `members`.
#[must_use]
pub fn strong_members<'a>(members: &[&'a Member]) -> Vec<&'a Member> {
    let mut max_power: Map<&str, u32> = Map::default();
    for member in members {
        let max_power = max_power.entry(&member.data_centre).or_default();
        *max_power = member.power.max(*max_power);
    }
    let strong = members.iter().filter(|member| {
        let max_power = max_power.get(member.data_centre.as_str()).copied();
        f64::from(member.power) >= f64::from(max_power.unwrap_or_default()) * STRONG_POWER_FRACTION
    });
    strong.copied().collect()
}

#[allow(clippy::cast_precision_loss, reason = "fleets are small")]
fn divide(total: f64, count: usize) -> f64 {
    total / count.max(1) as f64
}
