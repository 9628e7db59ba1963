//! Configuration, leaves and processes of the fleet as read from the registry.
//!
//! The registry is the platform's store: the operators write the configuration
//! there, and leaves register themselves. State only moves forward: a lower
//! version of the configuration and an older entry of a leaf are ignored. A leaf
//! whose entry is missing after an outage of the registry is kept for a while,
//! because it may be alive and register again.

mod crashes;
mod fleet;
mod records;
mod unreadable;

use std::{sync::Arc, time::Duration};

pub use self::records::{
    Change, Deployment, DirectoryEvent, Extent, LeafRecord, ListReading, RegistryReading,
};
use self::{fleet::Fleet, unreadable::UnreadableEntries};
use super::{
    catalog::{Catalog, LeafId},
    collections::{Map, Set},
    crash_evidence::CrashEvidence,
    delegation::MIN_SHARDS,
    inventory::{Config, DataCentre, Format, Leaf, LeafState, Service},
    keys::KEY_SPACE,
    members::{Member, MemberState},
    placement::{draining::DrainPeriod, warm_up::ColdLeaf},
    shares::Shares,
    time::Time,
};

/// Time after an outage of the registry within which a live leaf registers again.
const REREGISTER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time after the registry came back from an older copy within which live leaves and
/// processes register again: a process renews its registration every 4 s, and leaves take
/// a few seconds.
const RESTORE_GRACE: Duration = Duration::from_secs(6);

/// Maximum number of removed leaves that are remembered, so that an old entry does
/// not bring them back.
const MAX_REMEMBERED: usize = 4_096;

/// Added before truncation, so that a product that should be a whole number is
/// not rounded down to the one below.
const ROUNDING_MARGIN: f64 = 1e-6;

/// Time by which the end of a leaf's cold period may move before that is a change: the
/// leaf tells how much is left, with a delay that varies.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Connections that one leaf accepts from the whole fleet, if the configuration
/// does not set them.
const DEFAULT_CONNECTIONS: u32 = 16;

/// Configuration, leaves and members of the fleet as known to one process.
#[derive(Debug, Default)]
pub struct Directory {
    own: String,
    regions: Map<String, String>,
    deployment: Option<Deployment>,
    leaves: Map<String, KnownLeaf>,
    /// The last entry of each removed leaf.
    removed: Map<String, RemovedLeaf>,
    fleet: Fleet,
    crashes: CrashEvidence,
    /// When the registry last could not be read.
    outage: Option<Time>,
    /// When the state was last known to be up to date, before the changes that are
    /// applied next.
    known_at: Option<Time>,
    /// How long leaves that leave may still be called.
    drain: DrainPeriod,
    /// Evacuated data centres, each with the time at which it no longer counts as
    /// evacuated if its entry is missing after an outage.
    evacuations: Map<String, Option<Time>>,
    /// Number of times that the registry came back from an older copy.
    restores: u64,
    /// Time until which entries that the older copy lacks are kept.
    restored_until: Option<Time>,
    /// Entries that cannot be read.
    unreadable: UnreadableEntries,
    events: Vec<DirectoryEvent>,
    /// Changes since the last call of [`Self::take_changes`].
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct KnownLeaf {
    record: LeafRecord,
    /// When the leaf is removed, if its entry is missing after an outage.
    expires: Option<Time>,
    /// Until when the leaf, which is leaving, may be called; `None` if it is not known
    /// since when it is leaving.
    serves_until: Option<Time>,
    /// Until when the leaf is cold.
    cold_until: Option<Time>,
}

/// Last entry of a removed leaf.
#[derive(Clone, Copy, Debug)]
struct RemovedLeaf {
    /// Incarnation and sequence number.
    stamp: (u64, u64),
    /// Number of restores of the registry when it was removed.
    restores: u64,
}

impl Directory {
    /// Creates an empty directory for the process `own`; `regions` names the
    /// region of each data centre.
    #[must_use]
    pub fn new(own: impl Into<String>, regions: Map<String, String>) -> Self {
        Self {
            own: own.into(),
            regions,
            ..Self::default()
        }
    }

    /// Sets for how long leaves serve after they have announced that they leave.
    #[must_use]
    pub fn with_drain(mut self, drain: Duration) -> Self {
        self.drain = DrainPeriod::new(drain);
        self
    }

    /// Records when the state was last known to be up to date; the changes applied from
    /// now on were made after it.
    pub fn set_known_at(&mut self, known: Option<Time>) {
        self.known_at = known;
    }

    /// Records that the registry could not be read.
    pub fn record_outage(&mut self, now: Time) {
        self.outage = Some(now);
    }

    /// Records that the registry came back from an older copy. Entries that the copy lacks
    /// are kept until their owners have had time to write them again.
    pub fn record_restore(&mut self, now: Time) {
        self.restores += 1;
        self.restored_until = Some(now.after(RESTORE_GRACE));
    }

    /// Returns the time until which missing entries are kept, if an older copy of the
    /// registry may lack them.
    fn restore_deadline(&self, now: Time) -> Option<Time> {
        self.restored_until.filter(|until| now < *until)
    }

    /// Applies one change. Returns whether the directory is different now.
    pub fn apply(&mut self, change: Change, now: Time) -> bool {
        match change {
            Change::Deployed(deployment) => self.deploy(*deployment),
            Change::Leaf(record) => self.register_leaf(record, now),
            Change::LeafGone(name) => self.leaf_missing(&name, now),
            Change::Member(member) => self.register_member(member),
            Change::MemberGone(name) => self.member_missing(name, now),
            Change::Crashed(report) => self.record_crash(report, now),
            Change::CrashGone { content, leaf } => self.forget_crash(content, leaf),
            Change::CrashWithdrawn { content, leaf } => self.withdraw_crash(content, leaf),
            Change::Evacuated(data_centre) => self.evacuate(data_centre),
            Change::EvacuationEnded(data_centre) => self.evacuation_missing(&data_centre, now),
            Change::Unreadable { key, fault } => {
                self.events.extend(self.unreadable.record(&key, &fault));
                false
            }
        }
    }

    /// Applies a reading of the whole registry: leaves, members and reports of crashes
    /// that it does not contain count as missing. Returns whether the directory is different now.
    pub fn replace(&mut self, reading: RegistryReading, now: Time) -> bool {
        let first = self.leaves.is_empty();
        let mut leaves = Set::default();
        let mut members = Set::default();
        let mut crashes = Set::default();
        let mut evacuated = Set::default();
        let mut unreadable = Set::default();
        let mut changed = false;
        for change in reading.changes {
            match &change {
                Change::Leaf(record) => drop(leaves.insert(record.name.clone())),
                Change::Member(member) => drop(members.insert(member.name.clone())),
                Change::Crashed(report) => {
                    crashes.insert((report.content, report.leaf.clone()));
                }
                Change::Evacuated(data_centre) => drop(evacuated.insert(data_centre.clone())),
                Change::Unreadable { key, .. } => drop(unreadable.insert(key.clone())),
                _ => {}
            }
            changed |= self.apply(change, now);
        }
        self.unreadable.retain(&unreadable);
        let missing = self.leaves.keys().filter(|name| !leaves.contains(*name));
        let missing: Vec<String> = missing.cloned().collect();
        for name in missing {
            changed |= self.leaf_missing(&name, now);
        }
        for name in self.fleet.missing(&members) {
            changed |= self.member_missing(name, now);
        }
        let ended = self.evacuations.keys();
        let ended = ended.filter(|name| !evacuated.contains(*name));
        let ended: Vec<String> = ended.cloned().collect();
        for data_centre in ended {
            changed |= self.evacuation_missing(&data_centre, now);
        }
        let known = self.crashes.reports();
        // The processes that reported the crashes write them again.
        let known = known.filter(|_| self.restore_deadline(now).is_none());
        let known = known.map(|report| (report.content, report.leaf.clone()));
        let missing: Vec<_> = known.filter(|known| !crashes.contains(known)).collect();
        for (content, leaf) in missing {
            changed |= self.forget_crash(content, leaf);
        }
        if first {
            self.summarize_registrations();
        }
        changed
    }

    /// Replaces the events of leaves that registered by one, so that a start does not
    /// log each leaf.
    fn summarize_registrations(&mut self) {
        let registered =
            |event: &DirectoryEvent| matches!(event, DirectoryEvent::Registered { .. });
        self.events.retain(|event| !registered(event));
        let leaves = self.leaves.len();
        if leaves > 0 {
            self.events.push(DirectoryEvent::Loaded { leaves });
        }
    }

    /// Removes leaves that have not registered again after an outage, processes whose
    /// entry has been gone for a while, and quarantines that have lasted long enough.
    /// Returns whether there were any.
    pub fn tick(&mut self, now: Time) -> bool {
        let mut others_removed =
            self.fleet.expire(now) | self.crashes.expire(now) | self.end_evacuations(now);
        for name in self.fleet.overdue(now) {
            others_removed |= self.member_missing(name, now);
        }
        let expired = |held: &KnownLeaf| held.expires.is_some_and(|expires| now >= expires);
        let expired = self.leaves.iter().filter(|(_, held)| expired(held));
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.remove_leaf(name);
        }
        !expired.is_empty() || others_removed
    }

    /// Returns the events since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<DirectoryEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the changes since the last call, for peers that follow this process.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the whole state as changes, for a peer that has none of it yet.
    #[must_use]
    pub fn full_state(&self) -> Vec<Change> {
        let deployment = self.deployment.iter().cloned().map(Box::new);
        let leaves = self.leaves.values().map(|held| held.record.clone());
        let live = |member: &&Member| member.state == MemberState::Live;
        let members = self.fleet.members().filter(live).cloned();
        let crashes = self.crashes.reports().cloned();
        deployment
            .map(Change::Deployed)
            .chain(leaves.map(Change::Leaf))
            .chain(members.map(Change::Member))
            .chain(crashes.map(Change::Crashed))
            .chain(self.evacuations.keys().cloned().map(Change::Evacuated))
            .collect()
    }

    /// Returns when [`Self::tick`] is due; `None` if nothing is about to expire.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        let leaves = self.leaves.values().filter_map(|held| held.expires);
        let crashes = self.crashes.next_expiry();
        let evacuations = self.evacuations.values().copied().flatten();
        leaves
            .chain(self.fleet.next_expiry())
            .chain(crashes)
            .chain(evacuations)
            .min()
    }

    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.deployment.as_ref().map_or(0, |d| d.version)
    }

    /// Returns the processes of the fleet. Those whose entry is gone count for a
    /// while longer, as leaving.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.fleet.members()
    }

    /// Returns the share of the fleet's connections and extra calls that this
    /// process may use.
    #[must_use]
    pub fn shares(&self) -> Shares {
        let kinds = self.deployment.iter().flat_map(|d| &d.kinds);
        let gathered = kinds.filter(|kind| {
            let records = matches!(kind.format, Format::Greatest(_));
            records && kind.services.len() >= MIN_SHARDS
        });
        let services = gathered.flat_map(|kind| &kind.services);
        Shares::new(&self.own, self.members(), services.cloned().collect())
    }

    /// Returns the number of times that an entry of the registry could not be read.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable.count()
    }

    /// Returns until when each leaf that is leaving may still be called.
    #[must_use]
    pub fn draining(&self) -> Map<LeafId, Time> {
        let leaves = self.leaves.iter();
        let leaving = leaves.filter(|(_, held)| {
            held.record.state == MemberState::Leaving && !self.is_evacuated(&held.record)
        });
        leaving
            .filter_map(|(name, held)| Some((LeafId::of(name), held.serves_until?)))
            .collect()
    }

    /// Returns how long leaves that leave may still be called.
    #[must_use]
    pub fn drain_period(&self) -> DrainPeriod {
        self.drain
    }

    /// Returns the leaves that are cold and take few calls.
    #[must_use]
    pub fn cold_leaves(&self) -> Map<LeafId, ColdLeaf> {
        let rates = self.deployment.as_ref().map(|d| &d.warm_ups);
        let leaves = self.leaves.iter();
        leaves
            .filter_map(|(name, held)| {
                let rate = *rates?.get(&held.record.service)?;
                let until = held.cold_until?;
                Some((LeafId::of(name), ColdLeaf { rate, until }))
            })
            .collect()
    }

    /// Returns what the fleet knows about content that crashes leaves.
    #[must_use]
    pub fn crashes(&self) -> &CrashEvidence {
        &self.crashes
    }

    /// Returns the incarnation of each leaf.
    #[must_use]
    pub fn incarnations(&self) -> Map<LeafId, u64> {
        let leaves = self.leaves.iter();
        leaves
            .map(|(name, held)| (LeafId::of(name), held.record.born))
            .collect()
    }

    /// Compiles the catalog for the request path; it is empty without a
    /// configuration.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        let Some(deployment) = &self.deployment else {
            return Arc::default();
        };
        let data_centres = self.regions.iter().map(|(name, region)| DataCentre {
            name: name.clone(),
            region: region.clone(),
        });
        let config = Config {
            data_centres: data_centres.collect(),
            services: self.services(deployment),
            kinds: deployment.kinds.clone(),
            callers: Some(deployment.callers),
            customers: deployment.customers.clone(),
            ..Config::default()
        };
        Arc::new(Catalog::new(deployment.version, &config))
    }

    /// Returns every service that has leaves, also those that no kind names:
    /// requests in flight may still need them.
    fn services(&self, deployment: &Deployment) -> Vec<Service> {
        let shares = self.shares();
        let mut services: Map<&str, Service> = Map::default();
        for held in self.leaves.values() {
            let record = &held.record;
            let service = services.entry(&record.service).or_default();
            service.name.clone_from(&record.service);
            service.slots = service.slots.max(record.slots);
            service.leaves.push(self.leaf(record));
        }
        let mut services: Vec<Service> = services.into_values().collect();
        for service in &mut services {
            let total = deployment.connections.get(&service.name).copied();
            let total = total.unwrap_or(DEFAULT_CONNECTIONS);
            service.connections = own_share(total, shares.for_service(&service.name));
            service.leaves.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        }
        services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn is_evacuated(&self, record: &LeafRecord) -> bool {
        self.evacuations.contains_key(&record.data_centre)
    }

    /// Returns a leaf of the catalog. Those of an evacuated data centre are leaving.
    fn leaf(&self, record: &LeafRecord) -> Leaf {
        let leaving = record.state == MemberState::Leaving || self.is_evacuated(record);
        Leaf {
            name: record.name.clone(),
            data_centre: record.data_centre.clone(),
            address: record.address,
            from: 0,
            until: KEY_SPACE,
            state: if leaving {
                LeafState::Leaving
            } else {
                LeafState::Serving
            },
        }
    }

    /// Sends nothing more to the leaves of a data centre. Returns whether that is new.
    fn evacuate(&mut self, data_centre: String) -> bool {
        let known = self.evacuations.insert(data_centre.clone(), None);
        if known.is_none() {
            self.changes.push(Change::Evacuated(data_centre.clone()));
            self.events.push(DirectoryEvent::Evacuated { data_centre });
        }
        known.is_none()
    }

    /// Ends an evacuation whose entry is missing, or keeps it for a while after an
    /// outage. Returns whether it has ended.
    fn evacuation_missing(&mut self, data_centre: &str, now: Time) -> bool {
        let deadline = self.outage.map(|outage| outage.after(REREGISTER_TIMEOUT));
        let deadline = deadline.filter(|deadline| now < *deadline);
        let deadline = deadline.max(self.restore_deadline(now));
        let Some(expires) = self.evacuations.get_mut(data_centre) else {
            return false;
        };
        if let Some(deadline) = deadline {
            expires.get_or_insert(deadline);
            return false;
        }
        if expires.is_some_and(|expires| now < expires) {
            return false;
        }
        self.end_evacuation(data_centre);
        true
    }

    /// Ends the evacuations whose entries have stayed missing after an outage. Returns
    /// whether there were any.
    fn end_evacuations(&mut self, now: Time) -> bool {
        let expired = |expires: Option<Time>| expires.is_some_and(|expires| now >= expires);
        let ended = self.evacuations.iter().filter(|(_, at)| expired(**at));
        let ended: Vec<String> = ended.map(|(name, _)| name.clone()).collect();
        for data_centre in &ended {
            self.end_evacuation(data_centre);
        }
        !ended.is_empty()
    }

    fn end_evacuation(&mut self, data_centre: &str) {
        let data_centre = data_centre.to_owned();
        self.evacuations.remove(&data_centre);
        self.changes
            .push(Change::EvacuationEnded(data_centre.clone()));
        self.events
            .push(DirectoryEvent::EvacuationEnded { data_centre });
    }

    fn deploy(&mut self, deployment: Deployment) -> bool {
        let held = self.version();
        let offered = deployment.version;
        if offered <= held {
            if offered < held {
                self.events
                    .push(DirectoryEvent::OlderVersion { held, offered });
            }
            return false;
        }
        self.events
            .push(DirectoryEvent::InForce { version: offered });
        let change = Change::Deployed(Box::new(deployment.clone()));
        self.changes.push(change);
        self.deployment = Some(deployment);
        true
    }

    fn register_leaf(&mut self, record: LeafRecord, now: Time) -> bool {
        let stamp = (record.born, record.sequence);
        let held = self.leaves.get(&record.name);
        let known = held.map(|held| (held.record.born, held.record.sequence));
        let removed = self.removed.get(&record.name).copied();
        // An older copy of the registry may hold an entry again that was removed since.
        let returned = removed
            .is_some_and(|removed| stamp == removed.stamp && removed.restores < self.restores);
        let known = known.or(removed.map(|removed| removed.stamp));
        if returned || known.is_some_and(|known| stamp < known) {
            self.events
                .push(DirectoryEvent::OldEntry { leaf: record.name });
            return false;
        }
        self.removed.remove(&record.name);
        let compared = |r: &LeafRecord| (r.service.clone(), r.address, r.slots, r.state, r.born);
        let cold_until = (!record.cold.is_zero()).then(|| now.after(record.cold));
        let same_warmth = |held: &KnownLeaf| match (held.cold_until, cold_until) {
            (Some(known), Some(until)) => until <= known.after(COLD_TOLERANCE),
            (known, until) => known.is_some_and(|known| known > now) == until.is_some(),
        };
        let unchanged =
            held.is_some_and(|h| compared(&h.record) == compared(&record) && same_warmth(h));
        let serves_until = match held {
            _ if record.state == MemberState::Live => None,
            Some(held) if held.record.born != record.born => None,
            Some(held) if held.record.state == MemberState::Leaving => held.serves_until,
            Some(_) => self.known_at.map(|known| self.drain.end(known)),
            None => None,
        };
        if !unchanged {
            self.events.push(DirectoryEvent::Registered {
                leaf: record.name.clone(),
                state: record.state,
                born: record.born,
            });
            self.changes.push(Change::Leaf(record.clone()));
        }
        let known = KnownLeaf {
            expires: None,
            serves_until,
            cold_until,
            record,
        };
        self.leaves.insert(known.record.name.clone(), known);
        !unchanged
    }

    /// Removes a leaf whose entry is missing, or keeps it for a while after an
    /// outage. Returns whether it was removed.
    fn leaf_missing(&mut self, name: &str, now: Time) -> bool {
        let Some(held) = self.leaves.get_mut(name) else {
            return false;
        };
        let deadline = self.outage.map(|outage| outage.after(REREGISTER_TIMEOUT));
        let deadline = deadline.filter(|deadline| now < *deadline);
        let deadline = deadline.max(self.restored_until.filter(|until| now < *until));
        match deadline {
            Some(deadline) => {
                held.expires.get_or_insert(deadline);
                false
            }
            None if held.expires.is_some_and(|expires| now < expires) => false,
            None => {
                self.remove_leaf(name);
                true
            }
        }
    }

    fn register_member(&mut self, member: Member) -> bool {
        let new = self.fleet.register(&member);
        if new {
            self.changes.push(Change::Member(member));
        }
        new
    }

    /// Marks a process whose entry is gone as leaving. Returns whether that is new.
    fn member_missing(&mut self, name: String, now: Time) -> bool {
        if let Some(until) = self.restore_deadline(now) {
            self.fleet.keep(&name, until);
            return false;
        }
        let new = self.fleet.mark_leaving(&name, now);
        if new {
            self.changes.push(Change::MemberGone(name));
        }
        new
    }

    fn remove_leaf(&mut self, name: &str) {
        if let Some(held) = self.leaves.remove(name) {
            let leaf = name.to_owned();
            self.changes.push(Change::LeafGone(leaf.clone()));
            self.events.push(DirectoryEvent::Gone { leaf });
            if self.removed.len() >= MAX_REMEMBERED {
                self.removed.clear();
            }
            let removed = RemovedLeaf {
                stamp: (held.record.born, held.record.sequence),
                restores: self.restores,
            };
            self.removed.insert(name.to_owned(), removed);
        }
    }
}

/// Returns `share` of `total`, rounded down, but at least one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a number is not larger than it"
)]
fn own_share(total: u32, share: f64) -> u32 {
    ((f64::from(total) * share + ROUNDING_MARGIN) as u32).max(1)
}
