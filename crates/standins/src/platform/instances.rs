//! The instance list, without I/O.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use guavacourse::modules::{
    members::{Member, Role},
    time::Time,
};
use serde::Serialize;

use super::faults::PlatformFaults;

/// Time for which past lists are kept.
const HISTORY_RETENTION: Duration = Duration::from_mins(1);

/// The instance list, as served.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Listing {
    pub(super) instances: Vec<Member>,
}

/// An instance and the time of its last heartbeat.
#[derive(Debug)]
struct Registration {
    member: Member,
    last_heartbeat: Time,
}

/// Instances that send heartbeats, and the past contents of the list.
#[derive(Debug, Default)]
pub(super) struct Instances {
    registered: BTreeMap<(String, u8), Registration>,
    history: VecDeque<(Time, Vec<Member>)>,
    frozen: Option<Vec<Member>>,
    /// Addresses that are listed in place of the registered ones.
    redirects: BTreeMap<SocketAddr, SocketAddr>,
}

impl Instances {
    /// Records a heartbeat.
    pub(super) fn register(&mut self, now: Time, member: Member) {
        let key = (member.name.clone(), role_rank(member.role));
        let changed = self
            .registered
            .get(&key)
            .is_none_or(|registration| registration.member != member);
        self.registered.insert(
            key,
            Registration {
                member,
                last_heartbeat: now,
            },
        );
        if changed {
            self.record(now);
        }
    }

    /// Lists `link` as the address of every instance that registers with
    /// `address`.
    pub(super) fn redirect(&mut self, address: SocketAddr, link: SocketAddr) {
        self.redirects.insert(address, link);
    }

    /// Removes instances that have sent no heartbeat for `timeout`.
    pub(super) fn expire(&mut self, now: Time, timeout: Duration) {
        let before = self.registered.len();
        self.registered
            .retain(|_, registration| now.since(registration.last_heartbeat) < timeout);
        if self.registered.len() != before {
            self.record(now);
        }
    }

    /// Returns the list with `faults` applied.
    pub(super) fn list(&mut self, now: Time, faults: &PlatformFaults) -> Listing {
        let lagged = self.lagged_list(now, faults.list_lag);
        let mut instances = if faults.list_frozen {
            self.frozen.get_or_insert(lagged).clone()
        } else {
            self.frozen = None;
            lagged
        };
        for replacement in &faults.list_overrides {
            instances.retain(|member| {
                (&member.name, member.role) != (&replacement.name, replacement.role)
            });
            instances.push(replacement.clone());
        }
        for member in &mut instances {
            let link = self.redirects.get(&member.address.0);
            member.address.0 = link.copied().unwrap_or(member.address.0);
        }
        Listing { instances }
    }

    /// Freezes or unfreezes the list now rather than at its next read.
    pub(super) fn apply_faults(&mut self, now: Time, faults: &PlatformFaults) {
        self.list(now, faults);
    }

    /// Returns the list as it was `lag` ago.
    fn lagged_list(&self, now: Time, lag: Duration) -> Vec<Member> {
        let past = self
            .history
            .iter()
            .rev()
            .find(|(time, _)| now.since(*time) >= lag);
        past.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Adds the current list to the history.
    fn record(&mut self, now: Time) {
        let members = self
            .registered
            .values()
            .map(|registration| registration.member.clone())
            .collect();
        self.history.push_back((now, members));
        let expired = |second: &(Time, Vec<Member>)| now.since(second.0) > HISTORY_RETENTION;
        while self.history.get(1).is_some_and(expired) {
            self.history.pop_front();
        }
    }
}

/// Returns the rank of a role, by which instances of the same name are ordered.
fn role_rank(role: Role) -> u8 {
    match role {
        Role::Entry => 0,
        Role::Relay => 1,
        Role::Leaf => 2,
    }
}
