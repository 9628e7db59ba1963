//! Load-balancing state of one traffic thread: statistics of leaves and relays,
//! the choice of replicas, and the budgets of hedges and retries.

use std::{sync::Arc, time::Duration};

use super::{
    answer::Cause,
    budget::Budget,
    call::{AttemptId, NotRun, Outcome, Reply},
    catalog::{KindEntry, LeafId, LeafKey, ShardKey},
    cleared::ClearedContents,
    collections::Map,
    contention::{late::LateQueries, rates::ShardRates, returns::Returns},
    customers::AllowedRegions,
    delegation::Delegation,
    extra::{ExtraBudgets, ExtraLimits, ExtraReason},
    hedge::{self, Pressure},
    inventory::{Address, Class, Kind, LeafState},
    latency::LatencyHistogram,
    lateness::Lateness,
    members::Member,
    placement::{
        counts::PlacementCounts, distances::Distances, load_board::LoadBoard,
        load_report::LoadReport,
    },
    query::plan::{Attempt, Slot},
    replicas::{Candidate, LeafStats, as_micros},
    round_robin::WeightedRoundRobin,
    routing::Routing,
    snapshot::KnownVersions,
    throttle::Throttle,
    time::Time,
    view::View,
};

/// Low bits of an attempt id that hold the number of the attempt; the bits above
/// them hold the number of the thread.
const ATTEMPT_NUMBER_BITS: u32 = 48;
/// Quantile of the recorded latencies that a call is expected to take: those of
/// its leaf, or those of all leaves if the leaf is unknown.
const EXPECTED_QUANTILE: f64 = 0.5;

/// A leaf to call and the relay to call it through.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Choice {
    /// Key of the leaf in the view's catalog.
    pub leaf: LeafKey,
    /// Id of the leaf, which stays the same across revisions.
    pub id: LeafId,
    /// The relay that owns the leaf, or the next one that is up.
    pub relay: Address,
}

/// Load-balancing state of one traffic thread. Each thread has its own.
#[derive(Debug)]
pub struct LoadBalancer {
    pub(super) data_centre: String,
    /// The view of the latest request.
    pub(super) view: Arc<View>,
    last_attempt: u64,
    pub(super) sends: u64,
    pub(super) queries: u64,
    pub(super) leaves: Map<LeafId, LeafStats>,
    latency: LatencyHistogram,
    lateness: Lateness,
    /// Least latency of a first call to a leaf, by data centre, in microseconds.
    pub(super) min_latencies: Map<String, f64>,
    /// Distances of data centres whose leaves' calls are placed by load.
    pub(super) distances: Distances,
    /// Observations of leaves for the next exchange.
    pub(super) board: LoadBoard,
    pub(super) placed: Arc<PlacementCounts>,
    kinds: Vec<KindStats>,
    routing: Routing,
    dropped_replies: u64,
    /// Rates of calls to contended shards.
    pub(crate) rates: ShardRates,
    /// Request contents that leaves have recently run without crashing.
    pub(crate) cleared: ClearedContents,
    /// Fleet-wide budget of extra calls, if there is one.
    extra: Option<ExtraBudgets>,
    /// Peers that run queries for this process, if any do.
    pub(crate) peers: Option<Delegation>,
}

/// Budgets and load of one kind of request.
#[derive(Clone, Debug)]
pub(crate) struct KindStats {
    name: String,
    pub(crate) hedges: Budget,
    pub(crate) retries: Budget,
    pub(crate) pressure: Pressure,
    pub(crate) throttle: Throttle,
    pub(crate) late: LateQueries,
    pub(crate) returns: Returns,
    services: WeightedRoundRobin,
}

impl KindStats {
    fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            hedges: Budget::default(),
            retries: Budget::default(),
            pressure: Pressure::default(),
            throttle: Throttle::default(),
            late: LateQueries::default(),
            returns: Returns::default(),
            services: WeightedRoundRobin::default(),
        }
    }
}

impl LoadBalancer {
    /// Creates the state for a thread of an instance in `data_centre`.
    #[must_use]
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self {
            data_centre: data_centre.into(),
            view: Arc::default(),
            last_attempt: 0,
            sends: 0,
            queries: 0,
            leaves: Map::default(),
            latency: LatencyHistogram::default(),
            lateness: Lateness::default(),
            min_latencies: Map::default(),
            distances: Distances::default(),
            board: LoadBoard::default(),
            placed: Arc::default(),
            kinds: Vec::new(),
            routing: Routing::default(),
            dropped_replies: 0,
            rates: ShardRates::default(),
            cleared: ClearedContents::default(),
            extra: None,
            peers: None,
        }
    }

    /// Sets the thread's number, which makes attempt ids unique in the process.
    #[must_use]
    pub fn with_thread(mut self, thread: u16) -> Self {
        self.last_attempt = u64::from(thread) << ATTEMPT_NUMBER_BITS;
        self
    }

    /// Limits extra calls to a budget that the fleet shares.
    #[must_use]
    pub fn with_extra(mut self, limits: ExtraLimits) -> Self {
        self.extra = Some(ExtraBudgets::new(limits));
        self
    }

    /// Delegates queries over many shards from the process `own` to its peers.
    #[must_use]
    pub fn with_peers(mut self, own: Member) -> Self {
        self.peers = Some(Delegation::new(own));
        self
    }

    /// Returns the peer that runs a query of a kind, or `None` if this process runs it
    /// itself.
    pub(crate) fn peer_for(
        &mut self,
        view: &Arc<View>,
        kind: &KindEntry,
        regions: &AllowedRegions,
        now: Time,
    ) -> Option<Address> {
        let peers = self.peers.as_mut()?;
        peers.peer_for_query(view, kind, regions, now)
    }

    /// Returns the services that the next request of a kind calls: all of them, or
    /// the one that is next by weight if the kind has weights.
    pub(crate) fn services_for(&mut self, rules: &Kind) -> Vec<String> {
        let weights = rules.forward.as_ref().map(|forward| &forward.weights);
        let Some(weights) = weights.filter(|weights| !weights.is_empty()) else {
            return rules.services.clone();
        };
        let index = self.kind(&rules.name).services.next(weights);
        rules.services.get(index).cloned().into_iter().collect()
    }

    /// Counts a request towards the extra-call budget of one of its services.
    pub(crate) fn count_request(&mut self, service: &str, now: Time) {
        if let Some(extra) = &mut self.extra {
            extra.request(service, now);
        }
    }

    /// Takes an extra call for a service out of the fleet-wide budget. Returns
    /// whether the budget allows it, or `None` if there is no such budget.
    pub(crate) fn spend_extra(
        &mut self,
        service: &str,
        why: ExtraReason,
        now: Time,
    ) -> Option<bool> {
        let extra = self.extra.as_mut()?;
        Some(extra.spend(service, why, now))
    }

    /// Records that the link to a relay failed or could not be opened.
    pub fn relay_down(&mut self, relay: Address, now: Time) {
        self.routing.down(relay, now);
    }

    /// Records that a link to a relay is open.
    pub fn relay_up(&mut self, relay: Address) {
        self.routing.up(relay);
    }

    /// Records that a relay announced that it is leaving. It is not used until a
    /// view shows its next incarnation.
    pub fn relay_leaving(&mut self, relay: Address, _now: Time) {
        self.routing.leaving(relay);
    }

    /// Returns a new attempt id, unique in this thread.
    pub fn next_attempt(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId(self.last_attempt)
    }

    /// Returns the leaves of a shard that may be called, best first, each with
    /// the relay to call it through. Leaves and relays that are leaving are left
    /// out. A relay that is down is left out until its retry is due; if no relay
    /// of the leaf remains, the one that has been down longest is used.
    #[must_use]
    pub fn choices(&self, view: &View, shard: ShardKey, now: Time) -> Vec<Choice> {
        let regions = AllowedRegions::default();
        self.routed_all(view, &self.ranked(view, shard, &regions, now), now)
    }

    /// Returns the same leaves as [`Self::choices`], in an order that depends on
    /// the content and is the same in all entries.
    #[must_use]
    pub fn choices_by_content(
        &self,
        view: &View,
        shard: ShardKey,
        content: u64,
        now: Time,
    ) -> Vec<Choice> {
        let regions = AllowedRegions::default();
        let ranked = self.ranked_by_content(view, shard, &regions, content, now);
        self.routed_all(view, &ranked, now)
    }

    /// Counts a reply that belongs to no pending attempt.
    pub fn drop_reply(&mut self) {
        self.dropped_replies += 1;
    }

    /// Records that the driver gave up a query of `kind` before its end.
    pub fn abandoned(&mut self, kind: &str) {
        self.kind(kind).throttle.ended();
    }

    /// Returns the number of replies that belonged to no pending attempt.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped_replies
    }

    /// Returns the statistics of a leaf, if there are any.
    #[must_use]
    pub fn leaf(&self, id: LeafId) -> Option<&LeafStats> {
        self.leaves.get(&id)
    }

    /// Starts a request on a view. If the view is another one than before, drops
    /// the statistics of leaves that it lacks and the state of relays that it
    /// lacks or that have restarted, takes its shares, and forgets until when leaves
    /// take no calls that have restarted or whose calls are shared anew.
    pub fn sync(&mut self, view: &Arc<View>) {
        self.queries = self.queries.wrapping_add(1);
        if self.routing.sync(view) {
            if let Some(extra) = &mut self.extra {
                extra.set_shares(view.shares.clone());
            }
            let ids = &view.catalog.ids;
            self.leaves.retain(|id, _| ids.contains_key(id));
            self.board.retain(|id| ids.contains_key(&id));
            let previous = std::mem::replace(&mut self.view, Arc::clone(view));
            if !Arc::ptr_eq(&previous.catalog, &view.catalog) {
                self.rates.clear();
            }
            let shared_anew = previous.shares != view.shares;
            for (id, stats) in &mut self.leaves {
                let restarted = previous.incarnations.get(id) != view.incarnations.get(id);
                if shared_anew || restarted {
                    stats.closed_until = Time::default();
                }
            }
        }
    }

    /// Returns the first choice whose leaf is not among `tried`, preferring
    /// leaves that are not known to lack an index version.
    pub(crate) fn choose(
        &self,
        view: &View,
        slot: &Slot,
        regions: &AllowedRegions,
        version: u64,
        now: Time,
    ) -> Option<Choice> {
        let ranked = self.ranked(view, slot.shard, regions, now);
        self.first_untried(view, ranked, slot, version, now)
    }

    /// Returns the choice for content that no leaf is known to have run. All
    /// entries choose the same leaf, whatever their statistics say, so that its
    /// relay sees every request with this content.
    pub(crate) fn choose_by_content(
        &self,
        view: &View,
        slot: &Slot,
        regions: &AllowedRegions,
        content: u64,
        version: u64,
        now: Time,
    ) -> Option<Choice> {
        let ranked = self.ranked_by_content(view, slot.shard, regions, content, now);
        self.first_untried(view, ranked, slot, version, now)
    }

    fn first_untried(
        &self,
        view: &View,
        mut ranked: Vec<Candidate>,
        slot: &Slot,
        version: u64,
        now: Time,
    ) -> Option<Choice> {
        ranked.retain(|candidate| {
            let serving = view.catalog.leaves[candidate.leaf].state == LeafState::Serving;
            (serving || slot.class == Class::Query) && !slot.tried().contains(&candidate.id)
        });
        let routed = |candidate| self.routed(view, candidate, now);
        let mut holders = ranked
            .iter()
            .filter(|candidate| self.may_hold(candidate.id, version, now));
        holders
            .find_map(routed)
            .or_else(|| ranked.iter().find_map(routed))
    }

    /// Returns whether a leaf may hold an index version: it is not known to lack it.
    pub(crate) fn may_hold(&self, leaf: LeafId, version: u64, now: Time) -> bool {
        let known = self.known_versions(leaf, now);
        known.is_none_or(|known| known.may_hold(version))
    }

    /// Returns the budgets and load of a kind, which is added if it is new.
    pub(crate) fn kind(&mut self, name: &str) -> &mut KindStats {
        let found = self.kinds.iter().position(|kind| kind.name == name);
        let index = found.unwrap_or_else(|| {
            self.kinds.push(KindStats::new(name));
            self.kinds.len() - 1
        });
        &mut self.kinds[index]
    }

    /// Records that a call to a leaf was sent. Returns whether it is a probe: a
    /// call to a leaf that failed and has not answered since, or through a relay
    /// that is down. Other calls avoid that leaf or relay meanwhile.
    pub(crate) fn sent(&mut self, leaf: LeafId, relay: Address, now: Time) -> bool {
        self.sends += 1;
        self.count_placed(leaf);
        let probe = self.leaves.entry(leaf).or_default().send(now);
        let down = self.routing.is_down(relay);
        if down {
            self.routing.down(relay, now);
        }
        probe || down
    }

    /// Records that a call sent at `sent` was cancelled.
    pub(crate) fn cancelled(&mut self, leaf: LeafId, sent: Time, now: Time) {
        let stats = self.leaves.entry(leaf).or_default();
        stats.end(false);
        let elapsed = now.since(sent);
        if let Some(ratio) = hedge::ratio(&stats.latency, elapsed) {
            self.lateness.record_cancelled(ratio);
        }
        let silent = stats.record_cancelled(elapsed, now);
        let overdue = elapsed.saturating_sub(micros_to_duration(stats.least_latency()));
        if !stats.reported_recently(now) {
            self.observe_overdue(leaf, overdue, now);
        }
        if silent {
            self.observe(leaf, true, now);
        }
    }

    /// Updates the statistics from the reply to a call for a request of `kind`.
    pub(crate) fn replied(&mut self, kind: &str, attempt: &Attempt, reply: &Reply, now: Time) {
        let link_failed = self.link_failed(attempt.relay, attempt.sent);
        let latency = now.since(attempt.sent);
        if matches!(reply.outcome, Outcome::Rows(_)) {
            self.latency.record(latency);
            self.record_min_latency(attempt.leaf, latency);
        }
        let distance = self.record_distance(attempt.leaf, latency, reply);
        let stats = self.leaves.entry(attempt.leaf).or_default();
        stats.end(reply.load.is_some());
        if let Some(load) = reply.load {
            stats.report_load(load, now);
        }
        let mut overloaded = false;
        match &reply.outcome {
            Outcome::Rows(rows) => {
                overloaded = stats.waited(latency, reply.service) && reply.queued > 0;
                if let Some(ratio) = hedge::ratio(&stats.latency, latency) {
                    self.lateness.record(ratio);
                }
                stats.record_work(latency, distance, now);
                stats.record(latency, reply.queued, now);
                stats.record_newest(rows.newest.max(rows.version), now);
            }
            Outcome::Elsewhere(held) => stats.record_versions(held.oldest, held.newest, now),
            Outcome::NotRun(why) => {
                stats.close(now.after(reply.retry_after));
                overloaded = matches!(why, NotRun::Shed | NotRun::QueueFull);
                if blames_leaf(*why, attempt.cause) && !link_failed {
                    stats.fail(now);
                }
            }
            Outcome::Unknown(_) if link_failed => {}
            Outcome::Unknown(_) | Outcome::Failed(_) => stats.fail(now),
        }
        self.kind(kind).pressure.record(overloaded);
        let failed = matches!(reply.outcome, Outcome::Unknown(_) | Outcome::Failed(_));
        if !link_failed {
            self.observe(attempt.leaf, failed, now);
        }
        self.observe_shard(attempt.leaf, now);
    }

    /// Returns the time after which a call to `leaf` is late, if it is known.
    pub(crate) fn late_after(&self, leaf: LeafId) -> Option<Duration> {
        let own = self.leaves.get(&leaf)?;
        hedge::late_after(&own.latency, &self.latency, &self.lateness)
    }

    /// Returns the time after which a call to `leaf` is hedged, if it is known.
    pub(crate) fn hedge_after(&self, leaf: LeafId) -> Option<Duration> {
        let own = self.leaves.get(&leaf)?;
        hedge::hedge_after(&own.latency, &self.latency, &self.lateness)
    }

    /// Returns when a leaf that asked for fewer calls takes the next one; `None` if it
    /// takes one now.
    pub(super) fn opens_at(&self, leaf: LeafId, now: Time) -> Option<Time> {
        let opens = self.leaves.get(&leaf).map(|leaf| leaf.closed_until);
        opens.filter(|opens| *opens > now)
    }

    /// Returns when the first leaf of a shard takes a call again; `None` if one does
    /// now, or if there is none.
    pub(crate) fn shard_opens_at(
        &self,
        view: &View,
        shard: ShardKey,
        regions: &AllowedRegions,
        now: Time,
    ) -> Option<Time> {
        let shard = view.catalog.shards.get(shard)?;
        let leaves = shard.replicas.iter().map(|key| &view.catalog.leaves[*key]);
        let serving = leaves.filter(|leaf| {
            leaf.state == LeafState::Serving
                && !view.leaving.contains(&leaf.id)
                && regions.allows(view.catalog.region(&leaf.data_centre))
        });
        let opens = serving.map(|leaf| self.opens_at(leaf.id, now).unwrap_or(now));
        opens.min().filter(|opens| *opens > now)
    }

    /// Lowers the limits of kinds that are worth less than one of which a query found no
    /// room, and that call one of the same services.
    pub(crate) fn lower_below(&mut self, view: &View, rules: &Kind, now: Time) {
        for stats in &mut self.kinds {
            let Some(other) = view.catalog.kinds.get(&stats.name) else {
                continue;
            };
            let shares = |service: &String| rules.services.contains(service);
            if other.rules.worth < rules.worth && other.rules.services.iter().any(shares) {
                stats.throttle.lower(now);
            }
        }
    }

    /// Returns whether a leaf is avoided after failures.
    pub(crate) fn avoided(&self, leaf: LeafId, now: Time) -> bool {
        self.leaves.get(&leaf).is_some_and(|leaf| leaf.avoided(now))
    }

    /// Returns whether the hedge of a late call to `leaf` goes to the same leaf,
    /// because there is no `other` replica or it is much slower, and the leaf is
    /// not avoided.
    pub(crate) fn hedges_same_leaf(
        &self,
        leaf: LeafId,
        other: Option<LeafId>,
        slots: u32,
        now: Time,
    ) -> bool {
        let Some(own) = self.leaves.get(&leaf) else {
            return false;
        };
        let other = other.and_then(|other| self.leaves.get(&other));
        let far =
            other.is_none_or(|other| hedge::is_far(own.cost(slots, now), other.estimate(now)));
        far && !own.avoided(now)
    }

    /// Returns how long a call to `leaf` is expected to take.
    pub(crate) fn expected_latency(&self, leaf: LeafId) -> Duration {
        let own = self.leaves.get(&leaf).map(|stats| stats.latency);
        let known = own.and_then(|latency| latency.quantile(EXPECTED_QUANTILE));
        known.unwrap_or_else(|| self.expected_latency_any())
    }

    /// Returns how long a call to any leaf is expected to take.
    pub(crate) fn expected_latency_any(&self) -> Duration {
        self.latency.quantile(EXPECTED_QUANTILE).unwrap_or_default()
    }

    /// Returns the index versions that a leaf is known to hold.
    pub(crate) fn known_versions(&self, leaf: LeafId, now: Time) -> Option<KnownVersions> {
        self.leaves.get(&leaf)?.known_versions(now)
    }

    /// Returns the range of index versions that the replicas of a shard are known
    /// to hold together: from the oldest of any to the newest of any.
    pub(crate) fn known_shard_versions(
        &self,
        view: &View,
        shard: ShardKey,
        now: Time,
    ) -> Option<KnownVersions> {
        let shard = view.catalog.shards.get(shard)?;
        let leaves = shard.replicas.iter().map(|key| &view.catalog.leaves[*key]);
        let known = leaves.filter_map(|leaf| self.known_versions(leaf.id, now));
        known.reduce(|a, b| KnownVersions {
            oldest: a.oldest.min(b.oldest),
            newest: a.newest.max(b.newest),
        })
    }

    /// Returns whether the link to a relay failed at `since` or later.
    pub(crate) fn link_failed(&self, relay: Address, since: Time) -> bool {
        self.routing.failed_since(relay, since)
    }

    /// Updates the least latency of a leaf's data centre from the leaf's first
    /// reply.
    fn record_min_latency(&mut self, id: LeafId, latency: Duration) {
        if self.leaves.get(&id).is_some_and(|leaf| !leaf.unknown()) {
            return;
        }
        let view = self.routing.view();
        let Some(leaf) = view.and_then(|view| view.catalog.leaf(id)) else {
            return;
        };
        let sample = as_micros(latency);
        if let Some(least) = self.min_latencies.get_mut(&leaf.data_centre) {
            *least = least.min(sample);
        } else {
            self.min_latencies.insert(leaf.data_centre.clone(), sample);
        }
    }

    /// Records how far a leaf is, if its answer tells, and returns the distance in
    /// microseconds.
    fn record_distance(&mut self, id: LeafId, latency: Duration, reply: &Reply) -> f64 {
        let Some(leaf) = self.view.catalog.leaf(id) else {
            return 0.0;
        };
        let usual = reply.load.is_none_or(LoadReport::at_usual_pace);
        if usual && matches!(reply.outcome, Outcome::Rows(_)) {
            self.distances.record(&leaf.data_centre, as_micros(latency));
        }
        self.distances.to(&leaf.data_centre).unwrap_or_default()
    }

    fn routed_all(&self, view: &View, ranked: &[Candidate], now: Time) -> Vec<Choice> {
        let routed = |candidate| self.routed(view, candidate, now);
        ranked.iter().filter_map(routed).collect()
    }

    fn routed(&self, view: &View, candidate: &Candidate, now: Time) -> Option<Choice> {
        let leaf = &view.catalog.leaves[candidate.leaf];
        Some(Choice {
            leaf: candidate.leaf,
            id: candidate.id,
            relay: self.routing.route(view, leaf, now)?,
        })
    }
}

/// Returns whether a refusal is a reason to avoid the leaf for a while. A busy
/// leaf refuses hedges first, so a refused hedge is no such reason.
fn blames_leaf(why: NotRun, cause: Cause) -> bool {
    match why {
        NotRun::Declined | NotRun::Draining | NotRun::Ejected | NotRun::Unreachable => true,
        NotRun::QueueFull | NotRun::Shed => cause != Cause::Hedge,
        NotRun::Cancelled
        | NotRun::Deferred
        | NotRun::Expired
        | NotRun::Leaving
        | NotRun::NotOwner
        | NotRun::Quarantined
        | NotRun::Suspected => false,
    }
}

/// Returns a number of microseconds as a duration.
fn micros_to_duration(micros: f64) -> Duration {
    Duration::from_secs_f64(micros.max(0.0) / 1e6)
}
