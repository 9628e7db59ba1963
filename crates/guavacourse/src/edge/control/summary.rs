//! The summaries that processes send of themselves in an exchange.

use std::{sync::Arc, time::Duration};

use capnp::Result;

use crate::{
    edge::wire::list_len,
    generated::wire_capnp::summary,
    modules::{
        adoption::Stamp,
        archive::Archive,
        blocklist::{BlockedContent, Blocklist},
        merged_list::MergedList,
        roster::ProcessName,
        time::{Time, micros},
    },
};

/// Status of this process, which the control thread publishes for the threads that
/// answer peers.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalStatus {
    /// Name of the process.
    pub(super) name: String,
    /// Incarnation of the process.
    pub(super) incarnation: u64,
    /// Whether it is leaving.
    pub(super) leaving: bool,
    /// Stamp of the revision in force.
    pub(super) stamp: Stamp,
    /// When the revision came into force.
    pub(super) adopted_at: Time,
    /// Number of lower or conflicting revisions refused.
    pub(super) refused: u64,
    /// Blocked fingerprints.
    pub(super) blocklist: Blocklist,
    /// Bodies of the latest revisions.
    pub(super) archive: Archive,
    /// The instance list as this process and its peers have read it.
    pub(super) listed: Arc<MergedList>,
}

/// Summary that another process sent of itself.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    pub(super) name: ProcessName,
    pub(super) incarnation: u64,
    pub(super) leaving: bool,
    pub(super) stamp: Stamp,
    pub(super) blocked: Vec<BlockedContent>,
    /// Hash of its records of the instance list.
    pub(super) members: u64,
    /// Whether it opened the exchange because members have changed.
    pub(super) members_changed: bool,
}

impl LocalStatus {
    /// Writes the summary that is sent to a peer.
    pub(super) fn write(&self, mut out: summary::Builder<'_>, now: Time) {
        out.set_name(&self.name);
        out.set_incarnation(self.incarnation);
        out.set_revision(self.stamp.revision);
        out.set_digest(self.stamp.digest);
        out.set_leaving(self.leaving);
        out.set_age_millis(micros(now.since(self.adopted_at)) / 1_000);
        out.set_refused(self.refused);
        out.set_members(self.listed.digest());
        let blocked = self.blocklist.entries(now);
        let mut list = out.init_quarantine(list_len(blocked.len()));
        for (i, entry) in (0..).zip(blocked) {
            let mut slot = list.reborrow().get(i);
            slot.set_fingerprint(entry.fingerprint);
            slot.set_age_millis(micros(entry.age) / 1_000);
        }
    }
}

impl Summary {
    /// Reads the summary of a peer.
    pub(super) fn read(input: summary::Reader<'_>) -> Result<Self> {
        let blocked = input.get_quarantine()?.iter().map(|entry| BlockedContent {
            fingerprint: entry.get_fingerprint(),
            age: Duration::from_millis(entry.get_age_millis()),
        });
        Ok(Self {
            name: ProcessName::parse(input.get_name()?.to_str()?),
            incarnation: input.get_incarnation(),
            leaving: input.get_leaving(),
            stamp: Stamp {
                revision: input.get_revision(),
                digest: input.get_digest(),
            },
            blocked: blocked.collect(),
            members: input.get_members(),
            members_changed: input.get_news(),
        })
    }
}
