//! Merges readings of the platform's instance list by many processes.
//!
//! The list is large, so each process reads it rarely and exchanges what it has
//! read with its peers. The list has no version, and lags by a different time for
//! each reader. So a record carries the age of its last change, and a reading that
//! differs from a recently changed record is accepted only if it cannot be an
//! outdated view.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    catalog::stable_hash,
    collections::Map,
    inventory::Address,
    members::{Member, MemberState, Role},
    roster::ProcessName,
    time::{Time, micros},
};

/// Maximum time by which a reading of the list lags behind that of another
/// process.
const MAX_LIST_LAG: Duration = Duration::from_secs(10);

/// Time for which a member that is gone is remembered, so that a peer that was
/// partitioned does not bring it back.
const GONE_RETENTION: Duration = Duration::from_mins(10);

/// Number of groups of members that are compared by hash.
const DIGEST_GROUPS: u64 = 256;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Record {
    /// The member as the list last showed it.
    pub member: Member,
    /// Whether the list has dropped it since.
    pub gone: bool,
    /// When a process first saw this state.
    pub changed: Time,
    /// What the last reading by this process showed.
    observed: Option<Observation>,
}

/// Summary of a member in a reading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Observation {
    hash: u64,
    incarnation: u64,
}

impl Observation {
    /// Summary of a member that a reading does not contain.
    const ABSENT: Self = Self {
        hash: 0,
        incarnation: 0,
    };

    /// Summarises a member without its addresses, because readers may be shown
    /// different ones.
    fn of(member: &Member) -> Self {
        let shared = Member {
            address: Address::default(),
            callers: Address::default(),
            ..member.clone()
        };
        let text = serde_json::to_vec(&shared).unwrap_or_default();
        Self {
            hash: stable_hash(&text),
            incarnation: member.incarnation,
        }
    }
}

impl Record {
    fn summary(&self) -> Observation {
        if self.gone {
            return Observation::ABSENT;
        }
        Observation::of(&self.member)
    }

    /// Returns whether `next` is the same incarnation, which has started to leave.
    fn starts_leaving(&self, next: &Member) -> bool {
        !self.gone && is_leaving_step(&self.member, next)
    }

    /// Returns whether `next` is the same incarnation before it started to leave. A
    /// process that is leaving never becomes live again; a backend server may.
    fn predates_leaving(&self, next: &Member) -> bool {
        !self.gone
            && next.role != Role::Leaf
            && next.incarnation != 0
            && is_leaving_step(next, &self.member)
    }
}

/// Copies the addresses of `from` to `member`, if it is the same incarnation.
fn copy_addresses(member: &mut Member, from: &Member) {
    if from.incarnation == member.incarnation {
        member.address = from.address;
        member.callers = from.callers;
    }
}

/// Returns whether a member is live in `live` and leaving in `leaving`, with no
/// restart in between as far as the incarnations are known.
fn is_leaving_step(live: &Member, leaving: &Member) -> bool {
    let unknown = live.incarnation == 0 || leaving.incarnation == 0;
    live.state == MemberState::Live
        && leaving.state == MemberState::Leaving
        && (unknown || live.incarnation == leaving.incarnation)
}

/// A record as it is sent to a peer. It carries an age instead of a time, so that
/// clocks need not agree.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PeerRecord {
    /// The member as the list last showed it.
    pub member: Member,
    /// Whether the list has dropped it since.
    pub gone: bool,
    /// Milliseconds since a process first saw this state.
    pub age: u64,
}

/// Effect of a reading on the records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MergeResult {
    /// Whether a record changed.
    pub changed: bool,
    /// Whether no difference was deferred to a later reading.
    pub settled: bool,
}

/// The instance list as this process and its peers have read it.
#[derive(Clone, Debug)]
pub struct MergedList {
    records: Map<ProcessName, Record>,
    digests: Vec<u32>,
}

impl Default for MergedList {
    fn default() -> Self {
        Self {
            records: Map::default(),
            digests: vec![0; usize::try_from(DIGEST_GROUPS).unwrap_or_default()],
        }
    }
}

impl MergedList {
    /// Returns what is known of a member.
    #[must_use]
    pub fn get(&self, name: &ProcessName) -> Option<&Record> {
        self.records.get(name)
    }

    /// Returns every record, including those of members that are gone.
    pub fn records(&self) -> impl Iterator<Item = (&ProcessName, &Record)> {
        self.records.iter()
    }

    /// Returns a hash of each group of members.
    #[must_use]
    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns a hash of all members.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|d| d.to_le_bytes()).collect();
        stable_hash(&bytes)
    }

    /// Returns the records of each group whose hash differs from the peer's.
    #[must_use]
    pub fn differing(&self, digests: &[u32], now: Time) -> Vec<PeerRecord> {
        let differs = |name: &ProcessName| {
            let group = group(name);
            digests.get(group) != self.digests.get(group)
        };
        let differing = self.records.iter().filter(|(name, _)| differs(name));
        let sent = differing.map(|(_, record)| PeerRecord {
            member: record.member.clone(),
            gone: record.gone,
            age: micros(now.since(record.changed)) / 1_000,
        });
        sent.collect()
    }

    /// Merges a reading of the list that was requested at `at`.
    pub fn merge_reading(&mut self, members: Vec<Member>, at: Time) -> MergeResult {
        let mut named: Map<ProcessName, Member> = members
            .into_iter()
            .map(|member| (ProcessName::of(&member), member))
            .collect();
        let mut result = MergeResult {
            changed: false,
            settled: true,
        };
        let known: Vec<ProcessName> = self.records.keys().cloned().collect();
        for name in known {
            let found = named.remove(&name);
            match self.observe(&name, found.as_ref(), at) {
                RecordUpdate::Unchanged => {}
                RecordUpdate::Changed => result.changed = true,
                RecordUpdate::Deferred => result.settled = false,
            }
        }
        result.changed |= !named.is_empty();
        for (name, member) in named {
            let observed = Some(Observation::of(&member));
            self.put(name, member, false, at, observed);
        }
        result
    }

    /// Merges the records of a peer, which were requested at `asked`. The time until
    /// the reply makes the records older, never younger, so that no copy overrides a
    /// later change. Returns whether a record changed.
    pub fn merge_records(
        &mut self,
        records: impl IntoIterator<Item = PeerRecord>,
        asked: Time,
    ) -> bool {
        let mut changed = false;
        for record in records {
            let at = asked.before(Duration::from_millis(record.age));
            changed |= self.merge_record(record, at);
        }
        changed
    }

    /// Returns whether this incarnation of a process is listed as live.
    #[must_use]
    pub fn is_live(&self, name: &ProcessName, incarnation: u64) -> bool {
        self.records.get(name).is_some_and(|record| {
            !record.gone
                && record.member.state == MemberState::Live
                && record.member.incarnation == incarnation
        })
    }

    /// Marks this incarnation of a process as leaving, because it reported so
    /// itself.
    pub fn mark_leaving(&mut self, name: &ProcessName, incarnation: u64, now: Time) {
        if !self.is_live(name, incarnation) {
            return;
        }
        if let Some(record) = self.records.get(name) {
            let member = Member {
                state: MemberState::Leaving,
                ..record.member.clone()
            };
            let observed = record.observed;
            self.put(name.clone(), member, false, now, observed);
        }
    }

    /// Returns whether [`Self::expire`] would remove a record.
    #[must_use]
    pub fn has_expired(&self, keep: impl Fn(&ProcessName) -> bool, now: Time) -> bool {
        let mut records = self.records.iter();
        records.any(|(name, record)| expired(record, now) && !keep(name))
    }

    /// Removes members that have been gone for a long time, except those that `keep`
    /// selects.
    pub fn expire(&mut self, keep: impl Fn(&ProcessName) -> bool, now: Time) {
        self.records
            .retain(|name, record| !expired(record, now) || keep(name));
    }

    fn observe(&mut self, name: &ProcessName, found: Option<&Member>, at: Time) -> RecordUpdate {
        let Some(record) = self.records.get_mut(name) else {
            return RecordUpdate::Unchanged;
        };
        let observed = found.map_or(Observation::ABSENT, Observation::of);
        let previous = record.observed.replace(observed);
        if let Some(found) = found {
            copy_addresses(&mut record.member, found);
        }
        let recorded = record.summary();
        if observed == recorded || found.is_some_and(|next| record.predates_leaving(next)) {
            return RecordUpdate::Unchanged;
        }
        let outdated = at < record.changed;
        let recent = at.since(record.changed) < MAX_LIST_LAG;
        let leaving = found.is_some_and(|next| record.starts_leaving(next));
        if outdated || (recent && !leaving && !is_newer(previous, recorded, observed)) {
            return RecordUpdate::Deferred;
        }
        let member = found.unwrap_or(&record.member).clone();
        self.put(name.clone(), member, found.is_none(), at, Some(observed));
        RecordUpdate::Changed
    }

    fn merge_record(&mut self, received: PeerRecord, at: Time) -> bool {
        let name = ProcessName::of(&received.member);
        let Some(record) = self.records.get_mut(&name) else {
            self.put(name, received.member, received.gone, at, None);
            return true;
        };
        let latest = record.changed.max(at);
        let same = Observation::of(&record.member) == Observation::of(&received.member);
        if record.gone == received.gone && (received.gone || same) {
            record.changed = latest;
            return false;
        }
        let outdated = !received.gone && record.predates_leaving(&received.member);
        if outdated {
            record.changed = latest;
            return false;
        }
        let leaving = !received.gone && record.starts_leaving(&received.member);
        let rank = |gone: bool, member: &Member| (gone, Observation::of(member).hash);
        let wins_tie = at == record.changed
            && rank(received.gone, &received.member) > rank(record.gone, &record.member);
        if !leaving && !wins_tie && at <= record.changed {
            return false;
        }
        let observed = record.observed;
        let mut member = received.member;
        if observed.is_some() {
            copy_addresses(&mut member, &record.member);
        }
        self.put(name, member, received.gone, latest, observed);
        true
    }

    fn put(
        &mut self,
        name: ProcessName,
        member: Member,
        gone: bool,
        changed: Time,
        observed: Option<Observation>,
    ) {
        let record = Record {
            member,
            gone,
            changed,
            observed,
        };
        let group = group(&name);
        let added = low_half(record.summary().hash);
        let previous = self.records.insert(name, record);
        let removed = previous.map_or(0, |record| low_half(record.summary().hash));
        if let Some(digest) = self.digests.get_mut(group) {
            *digest ^= added ^ removed;
        }
    }
}

/// Effect of a reading on one record.
enum RecordUpdate {
    Unchanged,
    Changed,
    /// The reading may be outdated: a later one decides.
    Deferred,
}

/// Returns whether a reading must be newer than the record: the previous reading by
/// this process matched the record, or this one shows an incarnation that neither
/// of them had.
fn is_newer(prior: Option<Observation>, recorded: Observation, observed: Observation) -> bool {
    let Some(prior) = prior else { return false };
    let new_incarnation = observed.incarnation != 0
        && observed.incarnation != recorded.incarnation
        && observed.incarnation != prior.incarnation;
    prior == recorded || new_incarnation
}

fn expired(record: &Record, now: Time) -> bool {
    record.gone && now.since(record.changed) >= GONE_RETENTION
}

fn group(name: &ProcessName) -> usize {
    let group = stable_hash(name.as_str().as_bytes()) % DIGEST_GROUPS;
    usize::try_from(group).unwrap_or_default()
}

/// Returns the low half of a hash.
fn low_half(hash: u64) -> u32 {
    let low = hash & u64::from(u32::MAX);
    u32::try_from(low).unwrap_or_default()
}
