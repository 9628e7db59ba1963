//! Selects the processes that read the registry, and the ones the others follow.
//!
//! Every call to the registry counts against its rates, which grow more slowly
//! than the fleet. So one process of each data centre reads it, the first in an
//! order by hash, and the others get the changes from that one. Strong processes
//! (those with a large share of a core) come first, because the reader sends each
//! change of the configuration to all others. Two readers at the same time only
//! cost additional calls, so no agreement is needed: a process whose source stops
//! answering or falls behind follows the next in the order, and reads the
//! registry itself if none of them is up to date.
//!
//! A process whose own calls to the registry fail follows any process that can still
//! read it: another one of its data centre, or else one of another data centre.

use std::{cmp::Reverse, time::Duration};

use super::{
    catalog::stable_hash,
    collections::Map,
    members::{Member, MemberState},
    ownership::mix,
    shares::strong_members,
};

/// Minimum number of live processes in a data centre for sharing a reader. With
/// fewer, the calls saved do not justify the additional hop.
const MIN_SHARING_PROCESSES: usize = 4;

/// Maximum number of processes, from the front of the order, that a process may
/// follow.
const MAX_SOURCES: usize = 3;

/// Maximum number of processes of other data centres that a process without the
/// registry asks. Each that does not answer costs 0.25 s.
const MAX_REMOTE_SOURCES: usize = 4;

/// Maximum number of these in one data centre, so that the loss of one link does not
/// cut all of them off.
const REMOTE_SOURCES_EACH: usize = 2;

/// Longest wait of a watch on the registry. A silent connection is noticed
/// shortly after it; together with a new reading this stays within 3 s, the
/// tightest limit after which a leaving leaf must get no more work.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Longest wait of a watch where processes share a reader, as a fraction of the
/// time within which changes must reach every process. The followers have to
/// notice a silent source and find another one within the rest.
const SHARED_WATCH_FRACTION: f64 = 0.3;

/// Age of a source's state that is accepted on top of the longest wait of a
/// watch: a watch that ends without changes takes time to return, and followers
/// learn of it only with the next reply of the source.
const SOURCE_LAG_TOLERANCE: Duration = Duration::from_millis(700);

/// Additional delay for each place in the order, so that only some of the
/// processes call a registry that is unavailable to all.
const FALLBACK_DELAY: Duration = Duration::from_millis(200);

/// Time for which a process that has just started waits for a source, before it reads
/// the leaves itself. The sources may have started at the same moment.
const START_WAIT: Duration = Duration::from_millis(800);

/// How a process gets the changes of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct ReaderPlan {
    /// Processes to follow, best first; empty if this one is to read the registry.
    pub sources: Vec<Member>,
    /// Other processes of the data centre, best first, to follow while the registry
    /// cannot be read.
    pub backups: Vec<Member>,
    /// Processes of other data centres to follow while the registry cannot be read and
    /// no process of the own data centre is up to date.
    pub remote: Vec<Member>,
    /// Maximum age at which the state of a source counts as up to date.
    pub max_age: Duration,
    /// Age of its own state from which the process reads the registry itself.
    pub fallback_age: Duration,
    /// Time after the sources have lost the registry from which the process reads it
    /// itself.
    pub takeover: Duration,
    /// Maximum age at which the state of a process of another data centre, which may
    /// watch longer, counts as up to date.
    pub remote_age: Duration,
    /// Time after its start from which a process that no source has served reads the
    /// registry itself. Zero for those that others may follow, and for those that
    /// cannot hand requests over until they know the leaves.
    pub start_wait: Duration,
    /// Longest wait of a watch of the registry.
    pub watch_timeout: Duration,
}

/// The order of the readers, as one process sees it.
#[derive(Clone, Debug)]
pub struct Readers {
    own: String,
    data_centre: String,
    max_delay: Duration,
}

impl Readers {
    /// Creates the order for the process `own`; changes must reach every process
    /// within `max_delay`.
    #[must_use]
    pub fn new(
        own: impl Into<String>,
        data_centre: impl Into<String>,
        max_delay: Duration,
    ) -> Self {
        Self {
            own: own.into(),
            data_centre: data_centre.into(),
            max_delay,
        }
    }

    /// Returns which processes of a fleet of `members` to follow, and the time
    /// limits.
    #[must_use]
    pub fn plan<'a>(&self, members: impl IntoIterator<Item = &'a Member>) -> ReaderPlan {
        let eligible = |member: &&Member| {
            member.state == MemberState::Live && !member.address.is_unspecified()
        };
        let (candidates, others): (Vec<&Member>, Vec<&Member>) = members
            .into_iter()
            .filter(eligible)
            .partition(|member| member.data_centre == self.data_centre);
        let strong: Vec<&str> = strong_members(&candidates)
            .iter()
            .map(|m| m.name.as_str())
            .collect();
        let candidates = in_order(candidates);
        let own = candidates.iter().position(|member| member.name == self.own);
        let rank = own.unwrap_or(candidates.len());
        let shared = candidates.len() >= MIN_SHARING_PROCESSES;
        let sources = if shared { rank.min(MAX_SOURCES) } else { 0 };
        let steps = u32::try_from(rank.min(MAX_SOURCES + 1)).unwrap_or_default();
        let watch_timeout = if shared {
            self.max_delay
                .mul_f64(SHARED_WATCH_FRACTION)
                .min(MAX_WATCH_TIMEOUT)
        } else {
            MAX_WATCH_TIMEOUT
        };
        let max_age = watch_timeout + SOURCE_LAG_TOLERANCE;
        let hands_over = !strong.contains(&self.own.as_str());
        let start_wait = if shared && hands_over && rank >= MAX_SOURCES {
            START_WAIT + FALLBACK_DELAY * steps
        } else {
            Duration::ZERO
        };
        let backups = candidates.iter().skip(sources);
        let backups = backups.filter(|member| member.name != self.own);
        ReaderPlan {
            backups: backups.take(MAX_SOURCES).copied().cloned().collect(),
            remote: self.remote_sources(others),
            sources: candidates.into_iter().take(sources).cloned().collect(),
            max_age,
            fallback_age: max_age + FALLBACK_DELAY * steps,
            takeover: FALLBACK_DELAY * steps,
            remote_age: MAX_WATCH_TIMEOUT + SOURCE_LAG_TOLERANCE,
            start_wait,
            watch_timeout,
        }
    }
    /// Returns the processes of other data centres to follow without the registry: first
    /// one of each data centre, then a second one. The data centres come in an order that
    /// differs between processes, which spreads the load.
    fn remote_sources(&self, others: Vec<&Member>) -> Vec<Member> {
        let mut data_centres: Map<&str, Vec<&Member>> = Map::default();
        for member in others {
            data_centres
                .entry(&member.data_centre)
                .or_default()
                .push(member);
        }
        let own = stable_hash(self.own.as_bytes());
        let mut found = Vec::new();
        for (data_centre, members) in data_centres {
            let hash = mix(own ^ stable_hash(data_centre.as_bytes()));
            let first = in_order(members).into_iter().take(REMOTE_SOURCES_EACH);
            found.extend(
                first
                    .enumerate()
                    .map(|(place, member)| (place, hash, member)),
            );
        }
        found.sort_unstable_by_key(|(place, hash, _)| (*place, *hash));
        let found = found.into_iter().take(MAX_REMOTE_SOURCES);
        found.map(|(_, _, member)| member.clone()).collect()
    }
}

/// Returns the processes of one data centre in the order of the readers.
fn in_order(mut members: Vec<&Member>) -> Vec<&Member> {
    let strong: Vec<&str> = strong_members(&members)
        .iter()
        .map(|member| member.name.as_str())
        .collect();
    members.sort_by_cached_key(|member| {
        let hash = mix(stable_hash(member.name.as_bytes()));
        Reverse((strong.contains(&member.name.as_str()), hash))
    });
    members
}
