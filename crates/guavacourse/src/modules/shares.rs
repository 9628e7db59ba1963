//! Shares of the fleet's connections and extra calls that one process may use.
//!
//! Queries over many shards are run by strong processes on behalf of the others,
//! so the strong processes get nearly all connections and extra calls of the
//! services of such queries. All other services are called by every process
//! alike.

use super::{
    collections::{Map, Set},
    members::Member,
};

/// A process is strong if its share of a core is at least this fraction of the
/// largest one in its data centre.
const STRONG_POWER_FRACTION: f64 = 0.5;

/// Share that the strong processes together get of the services of queries over
/// many shards. The others run such queries only when they have lost their peers.
const STRONG_SHARE: f64 = 0.9;

/// Shares of the fleet's limits that one process may use, 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
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
        let own_strong = strong.iter().any(|member| member.name == own);
        let fan_out = match (own_strong, weak) {
            (true, 0) => divide(1.0, strong.len()),
            (true, _) => divide(STRONG_SHARE, strong.len()),
            (false, _) => divide(1.0 - STRONG_SHARE, weak),
        };
        Self {
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
