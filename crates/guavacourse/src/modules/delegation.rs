//! Chooses peers to which queries over many shards, or parts of them, are delegated.
//!
//! A process with little processor time is slow to handle the replies of many
//! leaves, and one with few queries has few statistics of them. Queries over many
//! shards are therefore delegated to a strong peer in the same data centre, unless
//! this process is strong itself. Where the leaves of the region are in several
//! data centres, a strong peer in each other one runs the part of the query for its
//! leaves, so that one message instead of one per shard crosses between data
//! centres.

use std::{sync::Arc, time::Duration};

use super::{
    catalog::{KindEntry, LeafId, LeafKey},
    collections::Map,
    customers::AllowedRegions,
    inventory::{Address, Class},
    members::{Member, MemberState},
    ownership::mix,
    replicas::{Candidate, LeafStats, rank},
    shares,
    time::Time,
    view::View,
};

/// Least number of shards of a kind whose queries are delegated.
pub const MIN_SHARDS: usize = 8;

/// Least number of shards in another data centre for which their part of a query is
/// delegated. With fewer, a peer would save little and is one more point of failure.
const MIN_PART_SHARDS: usize = 4;

/// Network time of a query and its answer while none has been measured.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Maximum number of queries per core that a process runs for peers at a time. At
/// some 6 ms of
/// processor time each, more of them would miss a target of 200 ms.
const MAX_QUERIES_PER_CORE: u32 = 32;

/// Lower bound of the limit on queries that a process runs for peers at a time.
const MIN_QUERY_LIMIT: u32 = 4;

/// Returns the maximum number of queries that a process runs for peers at a time;
/// `power` is its share of a core in thousandths.
#[must_use]
pub fn max_peer_queries(power: u32) -> u32 {
    (MAX_QUERIES_PER_CORE.saturating_mul(power) / 1_000).max(MIN_QUERY_LIMIT)
}

/// State that one traffic thread keeps of the peers that run queries for it.
#[derive(Debug)]
pub struct Delegation {
    own: Member,
    view: Arc<View>,
    /// Strong peers by data centre, cached for `view`.
    strong: Map<String, Vec<Address>>,
    stats: Map<Address, PeerStats>,
    sends: u64,
}

#[derive(Debug, Default)]
struct PeerStats {
    calls: LeafStats,
    /// Least round-trip time of a ping.
    round_trip: Option<Duration>,
    /// When the peer last answered.
    last_answer: Option<Time>,
    /// Whether the peer was lost and has not answered a ping since.
    lost: bool,
}

impl Delegation {
    /// Creates the state for a thread of the process `own`.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            view: Arc::default(),
            strong: Map::default(),
            stats: Map::default(),
            sends: 0,
        }
    }

    /// Returns the peer in the same data centre that runs a query of a kind, or `None`
    /// if this process runs it itself. A request that goes to one of several services is
    /// no query over many shards. A process that has just started may not know the leaves
    /// of the kind yet; it delegates whatever may be repeated. A query that may not be
    /// served in this region goes to a peer in one where it may.
    pub fn peer_for_query(
        &mut self,
        view: &Arc<View>,
        kind: &KindEntry,
        regions: &AllowedRegions,
        now: Time,
    ) -> Option<Address> {
        let wide = !kind.rules.is_split() && kind.rules.services.len() >= MIN_SHARDS;
        let leaves_unknown = kind.shards.is_empty() && kind.rules.class == Class::Query;
        if !wide && !leaves_unknown {
            return None;
        }
        let own = self.own.data_centre.clone();
        if regions.allows(view.catalog.region(&own)) {
            return self.choose(view, &[own], now);
        }
        let known = view.catalog.regions.iter();
        let allowed = known.filter(|(_, region)| regions.allows(Some(region)));
        let allowed: Vec<String> = allowed
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        self.choose(view, &allowed, now)
    }

    /// Returns the peer that runs the part of a query over the `shards` shards whose
    /// leaves are in another data centre of the same region, or `None` if this
    /// process calls the leaves itself.
    pub fn peer_for_part(
        &mut self,
        view: &Arc<View>,
        data_centre: &str,
        shards: usize,
        now: Time,
    ) -> Option<Address> {
        let region = |data_centre: &str| view.catalog.regions.get(data_centre);
        let near =
            region(data_centre).is_some() && region(data_centre) == region(&self.own.data_centre);
        if shards < MIN_PART_SHARDS || data_centre == self.own.data_centre || !near {
            return None;
        }
        self.choose(view, &[data_centre.to_owned()], now)
    }

    /// Returns the best peer among the strong ones of some data centres.
    fn choose(&mut self, view: &Arc<View>, data_centres: &[String], now: Time) -> Option<Address> {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = Arc::clone(view);
            self.strong.clear();
        }
        for data_centre in data_centres {
            if !self.strong.contains_key(data_centre) {
                let strong = self.strong_peers(data_centre);
                self.strong.insert(data_centre.clone(), strong);
            }
        }
        let known = data_centres.iter();
        let peers = known.filter_map(|data_centre| self.strong.get(data_centre));
        let peers: Vec<Address> = peers.flatten().copied().collect();
        let candidates = (0..).zip(&peers);
        let mut candidates: Vec<Candidate> = candidates
            .map(|(index, peer)| self.candidate(index, *peer, now))
            .collect();
        self.sends += 1;
        rank(&mut candidates, mix(self.sends));
        let best = candidates.first().filter(|best| !best.avoided)?;
        let index = usize::try_from(best.id.0).ok()?;
        peers.get(index).copied()
    }

    /// Records that a query was sent to a peer.
    pub fn sent(&mut self, peer: Address, now: Time) {
        self.stats.entry(peer).or_default().calls.send(now);
    }

    /// Records that a peer answered a query that was sent to it at `sent`.
    pub fn answered(&mut self, peer: Address, sent: Time, now: Time) {
        let stats = self.stats.entry(peer).or_default();
        stats.last_answer = Some(now);
        stats.calls.pending = stats.calls.pending.saturating_sub(1);
        stats.calls.record(now.since(sent), 0, now);
    }

    /// Records that a peer was lost: it gets no queries until it answers a ping.
    pub fn lost(&mut self, peer: Address, now: Time) {
        self.failed(peer, now);
        self.stats.entry(peer).or_default().lost = true;
    }

    /// Clears the mark of a lost peer, because it is no longer known whether it is
    /// alive.
    pub fn clear_lost(&mut self, peer: Address) {
        self.stats.entry(peer).or_default().lost = false;
    }

    /// Records that a peer declined a query or did not answer it.
    pub fn failed(&mut self, peer: Address, now: Time) {
        let calls = &mut self.stats.entry(peer).or_default().calls;
        calls.pending = calls.pending.saturating_sub(1);
        calls.fail(now);
    }

    /// Records that a query to a peer was cancelled, which does not count as a
    /// failure of the peer.
    pub fn cancelled(&mut self, peer: Address) {
        let calls = &mut self.stats.entry(peer).or_default().calls;
        calls.pending = calls.pending.saturating_sub(1);
    }

    /// Records that a peer answered a ping that was sent at `asked`.
    pub fn answered_ping(&mut self, peer: Address, asked: Time, now: Time) {
        let stats = self.stats.entry(peer).or_default();
        let round_trip = now.since(asked);
        stats.round_trip = Some(
            stats
                .round_trip
                .map_or(round_trip, |least| least.min(round_trip)),
        );
        stats.last_answer = Some(now);
        stats.lost = false;
    }

    /// Returns when a peer last answered.
    #[must_use]
    pub fn last_answer(&self, peer: Address) -> Option<Time> {
        self.stats.get(&peer)?.last_answer
    }

    /// Returns the network time of a query to a peer and its answer.
    #[must_use]
    pub fn round_trip(&self, peer: Address) -> Duration {
        let stats = self.stats.get(&peer);
        stats
            .and_then(|stats| stats.round_trip)
            .unwrap_or(DEFAULT_ROUND_TRIP)
    }

    fn candidate(&self, index: u64, peer: Address, now: Time) -> Candidate {
        let stats = self.stats.get(&peer);
        let cost = stats.map_or(0.0, |stats| stats.calls.cost(1, now));
        Candidate {
            leaf: LeafKey::default(),
            id: LeafId(index),
            avoided: stats.is_some_and(|stats| stats.lost || stats.calls.avoided(now)),
            cost,
            reported_cost: cost,
        }
    }

    /// Returns the strong peers in a data centre; none if this process is one of
    /// the strong processes there.
    fn strong_peers(&self, data_centre: &str) -> Vec<Address> {
        let other = |member: &&Member| {
            member.name != self.own.name
                && member.data_centre == data_centre
                && member.state == MemberState::Live
                && !member.queries.is_unspecified()
        };
        let others = self.view.entries.iter().filter(other);
        let own = Some(&self.own).filter(|own| own.data_centre == data_centre);
        let members: Vec<&Member> = others.chain(own).collect();
        let strong = shares::strong_members(&members);
        if strong.iter().any(|member| member.name == self.own.name) {
            return Vec::new();
        }
        strong.into_iter().map(|member| member.queries).collect()
    }
}
