//! Processes of the fleet that are registered, or were until recently.

use std::time::Duration;

use crate::modules::{
    collections::{Map, Set},
    members::{Member, MemberState},
    time::Time,
};

/// Time for which a process whose entry is gone still counts: the entry of a live
/// process is removed at times, and its share must not be used twice.
const MEMBER_RETENTION: Duration = Duration::from_secs(30);

/// Registered processes by name.
#[derive(Debug, Default)]
pub(super) struct Fleet(Map<String, Registered>);

#[derive(Debug)]
struct Registered {
    member: Member,
    /// When the process no longer counts, if its entry is gone.
    expires: Option<Time>,
    /// When its entry counts as gone, if a restored registry lacks it.
    absent: Option<Time>,
}

impl Fleet {
    /// Records an entry. Returns whether it is new or differs from the one known.
    pub(super) fn register(&mut self, member: &Member) -> bool {
        let known = Registered {
            member: member.clone(),
            expires: None,
            absent: None,
        };
        let previous = self.0.insert(member.name.clone(), known);
        previous.is_none_or(|previous| previous.expires.is_some() || previous.member != *member)
    }

    /// Marks a process whose entry is gone as leaving. Returns whether that is new.
    pub(super) fn mark_leaving(&mut self, name: &str, now: Time) -> bool {
        let Some(known) = self.0.get_mut(name).filter(|known| known.expires.is_none()) else {
            return false;
        };
        known.expires = Some(now.after(MEMBER_RETENTION));
        known.absent = None;
        known.member.state = MemberState::Leaving;
        true
    }

    /// Keeps a process whose entry a restored registry lacks until `until`.
    pub(super) fn keep(&mut self, name: &str, until: Time) {
        if let Some(known) = self.0.get_mut(name) {
            known.absent.get_or_insert(until);
        }
    }

    /// Returns the processes that were kept and have not registered again in time.
    pub(super) fn overdue(&self, now: Time) -> Vec<String> {
        let absent = |known: &Registered| known.absent.is_some_and(|until| now >= until);
        let overdue = self.0.iter().filter(|(_, known)| absent(known));
        overdue.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the names of the known processes that are not among `listed`.
    pub(super) fn missing(&self, listed: &Set<String>) -> Vec<String> {
        let names = self.0.keys().filter(|name| !listed.contains(*name));
        names.cloned().collect()
    }

    /// Removes processes whose entry has been gone for [`MEMBER_RETENTION`]. Returns
    /// whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let count = self.0.len();
        self.0
            .retain(|_, known| known.expires.is_none_or(|expires| now < expires));
        self.0.len() != count
    }

    /// Returns when [`Self::expire`] is due next.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let expiries = self.0.values();
        let expiries = expiries.flat_map(|known| [known.expires, known.absent]);
        expiries.flatten().min()
    }

    /// Returns all processes that count; those whose entry is gone are leaving.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.0.values().map(|known| &known.member)
    }
}
