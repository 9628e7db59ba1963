//! Limits the rate of calls to contended shards.
//!
//! Each process limits itself without a message: the rate of a shard falls while its best
//! leaf reports that calls wait, and rises while none do. All processes together thus send
//! about as many calls as the shard answers, and the queues there stay short.

use std::time::Duration;

use crate::modules::{catalog::ShardKey, collections::Map, replicas::as_micros, time::Time};

/// Wait at the best leaf of a shard from which the shard is contended. A call to a slow
/// leaf that waits longer misses a target of 200 ms.
const CONTENDED_WAIT: Duration = Duration::from_millis(40);
/// Time within which a queue is to drain: the rate of calls is lowered below that of
/// answers by the part that the wait is of it.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Least factor applied to the rate at a time, since few answers may have come by chance.
const DECREASE_FACTOR: f64 = 0.5;
/// Factor applied to the rate when an answer shows that no call waits.
const INCREASE_FACTOR: f64 = 1.2;
/// Least and longest time between two decreases: the queue must drain before it shows
/// whether a decrease was enough.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
const MAX_DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Lowest rate as a fraction of the demand, so that the end of the contention is noticed.
/// A shard with one leaf of three, which is 12 times slower, still serves a fifth.
const MIN_FRACTION: f64 = 0.1;
/// Time without news of a shard after which its limit ends.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Calls that may be saved up. The last of them is kept for queries that need the shard.
const MAX_TOKENS: f64 = 2.0;
/// Time for which room is kept for requests of a worth of which one found none.
const RESERVE_TIME: Duration = Duration::from_millis(500);
/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Time over which the answers are averaged. A slow leaf gives few.
const ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// What shows how long calls wait at a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// An answer of a leaf.
    Answer,
    /// Calls that have no answer. It may be lost on the way instead.
    Silence,
}

/// Room for one more call to a shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Room {
    /// No call waits there, or more calls may be sent than are asked for.
    #[default]
    Free,
    /// Only queries that need the shard should call it.
    Tight,
    /// One more call would wait.
    None,
}

/// Rates of calls to the shards that queries asked for.
#[derive(Clone, Debug, Default)]
pub struct ShardRates {
    shards: Map<ShardKey, ShardRate>,
    /// Worth of a request that found no room, and until when room is kept for its like.
    reserved: (u32, Time),
}

/// Rate of calls to one shard.
#[derive(Clone, Copy, Debug, Default)]
struct ShardRate {
    /// Queries a second that planned the shard, whether they called it or not.
    demand: MeanRate,
    /// Answers a second.
    answers: MeanRate,
    /// Calls a second that may be sent, while the shard is contended.
    rate: Option<f64>,
    tokens: f64,
    refilled: Time,
    next_decrease: Time,
    /// Whether the limit is based on silence only, so that one answer ends it.
    silent: bool,
    observed: Time,
}

impl ShardRates {
    /// Forgets all shards.
    pub fn clear(&mut self) {
        self.shards.clear();
    }

    /// Counts a query that planned a shard.
    pub fn ask(&mut self, shard: ShardKey, now: Time) {
        let shard = self.shards.entry(shard).or_default();
        shard.demand.count(DEMAND_WINDOW, now);
    }

    /// Records that a query of a worth found no room.
    pub fn reserve(&mut self, worth: u32, now: Time) {
        if worth >= self.reserved.0 || now >= self.reserved.1 {
            self.reserved = (worth, now.after(RESERVE_TIME));
        }
    }

    /// Returns the room at a shard for a query of a worth. While room is kept for queries
    /// of a higher worth, the query has only what those leave.
    pub fn room(&mut self, shard: ShardKey, worth: u32, now: Time) -> Room {
        let shard = self.shards.get_mut(&shard);
        let room = shard.map_or(Room::Free, |shard| shard.room(now));
        let (reserved, until) = self.reserved;
        if room == Room::Tight && worth < reserved && now < until {
            return Room::None;
        }
        room
    }

    /// Records that a call was sent to a shard.
    pub fn sent(&mut self, shard: ShardKey) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.tokens -= 1.0;
        }
    }

    /// Records that a leaf of a shard answered.
    pub fn answered(&mut self, shard: ShardKey, now: Time) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.answers.count(ANSWER_WINDOW, now);
        }
    }

    /// Records what an event showed of a shard: how long another call to its best leaf
    /// would wait and take as a whole.
    pub fn observe(
        &mut self,
        shard: ShardKey,
        (waiting, expected): (Duration, Duration),
        evidence: Evidence,
        now: Time,
    ) {
        let Some(shard) = self.shards.get_mut(&shard) else {
            return;
        };
        shard.observed = now;
        let silent = evidence == Evidence::Silence;
        if waiting >= CONTENDED_WAIT {
            shard.silent = silent && (shard.silent || shard.rate.is_none());
            shard.decrease(waiting, expected, now);
        } else if !silent {
            shard.increase(now);
        }
    }

    /// Returns the number of shards whose rate is limited.
    #[must_use]
    pub fn contended(&self) -> usize {
        let shards = self.shards.values();
        shards.filter(|shard| shard.rate.is_some()).count()
    }
}

/// Mean rate of events over a window that fades exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct MeanRate {
    rate: f64,
    updated: Time,
}

impl MeanRate {
    fn at(self, window: Duration, now: Time) -> f64 {
        let age = as_micros(now.since(self.updated)) / as_micros(window);
        self.rate * (-age).exp()
    }

    fn count(&mut self, window: Duration, now: Time) {
        self.rate = self.at(window, now) + 1.0 / window.as_secs_f64();
        self.updated = now;
    }
}

impl ShardRate {
    fn room(&mut self, now: Time) -> Room {
        if now.since(self.observed) >= MAX_AGE {
            self.rate = None;
        }
        let Some(rate) = self.rate else {
            return Room::Free;
        };
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
        self.refilled = now;
        if self.tokens >= MAX_TOKENS {
            Room::Free
        } else if self.tokens >= 1.0 {
            Room::Tight
        } else {
            Room::None
        }
    }

    /// Lowers the rate below that of the answers: while calls wait, the leaf is busy, and
    /// this process gets as many answers as it may send calls.
    fn decrease(&mut self, waiting: Duration, expected: Duration, now: Time) {
        if now < self.next_decrease {
            return;
        }
        let interval = expected.clamp(MIN_DECREASE_INTERVAL, MAX_DECREASE_INTERVAL);
        self.next_decrease = now.after(interval);
        if self.rate.is_none() {
            self.tokens = 0.0;
            self.refilled = now;
        }
        self.room(now);
        let demand = self.demand.at(DEMAND_WINDOW, now);
        let current = self.rate.unwrap_or(demand);
        let least = (current * DECREASE_FACTOR).max(demand * MIN_FRACTION);
        let kept = 1.0 - as_micros(waiting) / as_micros(DRAIN_TIME);
        let lowered = self.answers.at(ANSWER_WINDOW, now).min(current) * kept;
        self.rate = Some(lowered.max(least));
    }

    /// Raises the rate. The limit ends once the rate is above the demand, or if it is based
    /// on silence.
    fn increase(&mut self, now: Time) {
        self.room(now);
        let demand = self.demand.at(DEMAND_WINDOW, now);
        let raised = self.rate.map(|rate| rate * INCREASE_FACTOR);
        self.rate = raised.filter(|rate| *rate < demand && !self.silent);
    }
}
