//! Merges the members of the fleet from the inventory, the instance list and
//! contact with peers.
//!
//! The list lags and may be wrong. So a process that was in contact recently stays
//! a member whatever the list says, and one that reports that it is leaving counts
//! as leaving for the rest of its incarnation.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use super::{
    catalog::{Catalog, LeafId, stable_hash},
    collections::{Map, Set},
    inventory::{Address, Instance},
    members::{Member, MemberState, Role},
    merged_list::{MergeResult, MergedList, PeerRecord},
    time::Time,
};

/// Time for which direct contact takes precedence over the instance list.
const CONTACT_VALIDITY: Duration = Duration::from_secs(30);

/// Maximum number of processes of a data centre that watch the store.
pub const MAX_WATCHERS: usize = 2;

/// Identifies a process across incarnations.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessName(String);

impl ProcessName {
    /// Returns the name of the process with `role` on `instance`.
    #[must_use]
    pub fn new(instance: &str, role: Role) -> Self {
        let role = match role {
            Role::Entry => "entry",
            Role::Relay => "relay",
            Role::Leaf => "leaf",
        };
        Self(format!("{instance}/{role}"))
    }

    /// Returns the name of a member.
    #[must_use]
    pub fn of(member: &Member) -> Self {
        Self::new(&member.name, member.role)
    }

    /// Creates a name from the text that a peer sent.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the name as it is sent to peers.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// What a process reported of itself in its last exchange.
#[derive(Clone, Copy, Debug)]
struct Contact {
    incarnation: u64,
    leaving: bool,
    at: Time,
    /// Whether the latest attempt to reach it failed.
    failed: bool,
}

/// Members of the fleet, by source.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    inventory: Map<ProcessName, Member>,
    listed: Arc<MergedList>,
    contacts: Map<ProcessName, Contact>,
    leaving: Set<LeafId>,
    leaf_incarnations: Map<LeafId, u64>,
}

impl Roster {
    /// Sets the processes that the inventory of `catalog` names.
    pub fn set_inventory(&mut self, catalog: &Catalog) {
        let members = catalog.instances.iter().flat_map(inventory_members);
        self.inventory = members.map(|m| (ProcessName::of(&m), m)).collect();
    }

    /// Merges a reading of the instance list that was requested at `asked`.
    pub fn merge_list(&mut self, members: Vec<Member>, asked: Time) -> MergeResult {
        let result = Arc::make_mut(&mut self.listed).merge_reading(members, asked);
        self.update_derived(asked);
        result
    }

    /// Handles a reading that is identical to the one before.
    pub fn list_unchanged(&mut self, now: Time) {
        self.remove_unnamed(now);
    }

    /// Merges the records of the list from a peer that was asked at `asked`.
    /// Returns whether a record changed.
    pub fn merge_records(&mut self, records: Vec<PeerRecord>, asked: Time) -> bool {
        let changed = Arc::make_mut(&mut self.listed).merge_records(records, asked);
        if changed {
            self.update_derived(asked);
        }
        changed
    }

    /// Returns the instance list as this process and its peers have read it.
    #[must_use]
    pub fn merged_list(&self) -> Arc<MergedList> {
        Arc::clone(&self.listed)
    }

    /// Records what a process reported of itself. Returns whether peers have to
    /// be informed that it is leaving.
    pub fn record_contact(
        &mut self,
        name: &ProcessName,
        incarnation: u64,
        leaving: bool,
        now: Time,
    ) -> bool {
        let earlier = self.contacts.get(name);
        let was_leaving = earlier.is_some_and(|c| c.incarnation == incarnation && c.leaving);
        let contact = Contact {
            incarnation,
            leaving: leaving || was_leaving,
            at: now,
            failed: false,
        };
        self.contacts.insert(name.clone(), contact);
        let newly_leaving = leaving && self.listed.is_live(name, incarnation);
        if newly_leaving {
            Arc::make_mut(&mut self.listed).mark_leaving(name, incarnation, now);
        }
        newly_leaving
    }

    /// Records that a process could not be reached.
    pub fn record_unreachable(&mut self, name: &ProcessName) {
        let unknown = Contact {
            incarnation: 0,
            leaving: false,
            at: Time::default(),
            failed: true,
        };
        self.contacts.entry(name.clone()).or_insert(unknown).failed = true;
    }

    /// Returns the live and leaving processes of a role, sorted by name.
    #[must_use]
    pub fn members(&self, role: Role, now: Time) -> Vec<Member> {
        let listed = self.listed.records();
        let listed = listed.filter(|(_, record)| record.member.role == role);
        let listed = listed.map(|(name, _)| name);
        let names: Set<&ProcessName> = self.inventory.keys().chain(listed).collect();
        let found = names.into_iter().filter_map(|name| self.member(name, now));
        let mut members: Vec<Member> = found.filter(|m| m.role == role).collect();
        members.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Returns the number of processes in the inventory or in the list, whichever is
    /// larger.
    #[must_use]
    pub fn process_count(&self) -> u32 {
        let listed = self.listed.records();
        let listed = listed.filter(|(_, r)| !r.gone && r.member.role != Role::Leaf);
        let count = self.inventory.len().max(listed.count());
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the leaves that the list shows as leaving.
    #[must_use]
    pub fn leaving_leaves(&self) -> &Set<LeafId> {
        &self.leaving
    }

    /// Returns the incarnations of leaves, where the list gives them.
    #[must_use]
    pub fn leaf_incarnations(&self) -> &Map<LeafId, u64> {
        &self.leaf_incarnations
    }

    /// Returns where to reach a process.
    #[must_use]
    pub fn address(&self, name: &ProcessName) -> Option<Address> {
        let listed = self.listed.get(name).map(|record| &record.member);
        let member = listed.or_else(|| self.inventory.get(name))?;
        Some(member.address)
    }

    /// Returns the processes of a data centre that watch the store, best first:
    /// those with the highest hashes of their names, so that all processes agree
    /// without exchanging messages. Leaving and unreachable ones are skipped.
    #[must_use]
    pub fn watchers(&self, data_centre: &str, now: Time) -> Vec<ProcessName> {
        let mut ranked: Vec<ProcessName> = [Role::Entry, Role::Relay]
            .into_iter()
            .flat_map(|role| self.members(role, now))
            .filter(|m| m.data_centre == data_centre && m.state == MemberState::Live)
            .map(|m| ProcessName::of(&m))
            .filter(|name| !self.contacts.get(name).is_some_and(|c| c.failed))
            .collect();
        ranked.sort_by_cached_key(|name| Reverse(stable_hash(name.as_str().as_bytes())));
        ranked.truncate(MAX_WATCHERS);
        ranked
    }

    /// Returns whether the process was in contact recently, and no attempt to reach
    /// it has failed since.
    fn has_recent_contact(&self, name: &ProcessName, now: Time) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|c| !c.failed && now.since(c.at) < CONTACT_VALIDITY)
    }

    /// Updates what is derived from the list, and removes what has expired.
    fn update_derived(&mut self, now: Time) {
        let leaves = self.listed.records();
        let leaves = leaves.filter(|(_, r)| !r.gone && r.member.role == Role::Leaf);
        let leaves: Vec<_> = leaves
            .map(|(_, r)| (LeafId::of(&r.member.name), &r.member))
            .collect();
        let leaving = leaves
            .iter()
            .filter(|(_, m)| m.state == MemberState::Leaving);
        self.leaving = leaving.map(|(id, _)| *id).collect();
        let known = leaves.iter().filter(|(_, m)| m.incarnation != 0);
        self.leaf_incarnations = known.map(|(id, m)| (*id, m.incarnation)).collect();
        self.remove_unnamed(now);
    }

    /// Removes processes that no source names any more.
    fn remove_unnamed(&mut self, now: Time) {
        let keep = |name: &ProcessName| {
            self.inventory.contains_key(name) || self.has_recent_contact(name, now)
        };
        let mut listed = Arc::clone(&self.listed);
        if listed.has_expired(keep, now) {
            Arc::make_mut(&mut listed).expire(keep, now);
        }
        let named = |name: &ProcessName| listed.get(name).is_some_and(|r| !r.gone) || keep(name);
        let mut gone: Vec<ProcessName> = self.contacts.keys().cloned().collect();
        gone.retain(|name| !named(name));
        for name in gone {
            self.contacts.remove(&name);
        }
        self.listed = listed;
    }

    fn member(&self, name: &ProcessName, now: Time) -> Option<Member> {
        let record = self.listed.get(name);
        let recent = self.has_recent_contact(name, now);
        if record.is_some_and(|r| r.gone) && !recent {
            return None;
        }
        let listed = record.map(|r| &r.member);
        let mut member = listed.or_else(|| self.inventory.get(name))?.clone();
        let Some(contact) = self.contacts.get(name) else {
            return Some(member);
        };
        let other_incarnation =
            member.incarnation != 0 && member.incarnation != contact.incarnation;
        if recent && other_incarnation && record.is_some_and(|r| r.changed <= contact.at) {
            member.state = MemberState::Live;
        }
        if recent || member.incarnation == 0 {
            member.incarnation = contact.incarnation;
        }
        if contact.leaving && contact.incarnation == member.incarnation {
            member.state = MemberState::Leaving;
        }
        Some(member)
    }
}

fn inventory_members(instance: &Instance) -> [Member; 2] {
    let member = |role, address, callers| Member {
        name: instance.name.clone(),
        role,
        data_centre: instance.data_centre.clone(),
        address,
        callers,
        ..Member::default()
    };
    [
        member(Role::Entry, instance.entry, instance.callers),
        member(Role::Relay, instance.relay, Address::default()),
    ]
}
