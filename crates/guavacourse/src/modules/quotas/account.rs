//! State of one customer's quota in one process.

use std::time::Duration;

use super::{
    SILENCE,
    demand::{DEMAND_WINDOW, Demand},
    tolerance::Tolerance,
};
use crate::modules::{customers::Quota, time::Time};

/// Maximum number of requests by which a process knowingly overdraws a bucket. It keeps
/// customers with few requests from being refused for requests that come together.
const MAX_OVERDRAFT: f64 = 5.0;

/// Fraction of the tolerance for knowingly overdrawing, and again for the requests that
/// other processes may admit before their next report. The rest is for errors of the
/// estimates.
const MARGIN_FRACTION: f64 = 0.25;

/// Fraction of the tolerance that cut-off processes may use for requests that come
/// together.
const SPARE_FRACTION: f64 = 0.5;

/// Time over which a process that keeps to its share uses what is left in the bucket, or
/// makes up for what is overdrawn. Reports from the whole fleet take about half of it.
const LEVEL_TIME: Duration = Duration::from_secs(1);

/// Time for which a share may be saved up, if that is more than one request.
const SHARE_TIME: Duration = Duration::from_millis(200);

/// Longest time after which a refused request may be repeated.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Longest random delay in addition.
const RETRY_JITTER: Duration = Duration::from_millis(100);

/// What the process knows of the other ones, for one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Others {
    /// Demand of those that it hears from.
    pub(super) demand: f64,
    /// Requests that they may have admitted since they reported.
    pub(super) unseen: f64,
    /// Part of the quota that this process and those may use, 0 to 1.
    pub(super) covered: f64,
}

/// State of one customer's quota.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) name: String,
    pub(super) quota: Quota,
    /// Requests by which the fleet may exceed the quota.
    tolerance: f64,
    /// Requests left in the bucket of the whole fleet, as far as it is known.
    pub(super) level: f64,
    refilled: Time,
    /// Part of the quota that was covered at the last refill.
    covered: f64,
    pub(super) demand: Demand,
    /// Demand over a longer time, while all processes are heard from.
    pub(super) usual: f64,
    /// Part of its share that the process has not used.
    credit: f64,
    credited: Time,
    /// Requests admitted here and by those that report here.
    pub(super) below: i64,
    /// Requests admitted anywhere, as far as it is known.
    pub(super) all: i64,
    /// Value of `below` that the last parent acknowledged.
    pub(super) told: i64,
    /// When the next refused request may be repeated.
    next_retry: Time,
    /// When the last request was refused, and how many were in a row of refusals.
    pub(super) refused_at: Option<Time>,
    pub(super) refusals: u64,
}

impl Account {
    /// Creates the state with a bucket that holds `level` requests, and `credit` of the
    /// process's share.
    pub(super) fn new(name: &str, quota: Quota, level: f64, credit: f64, now: Time) -> Self {
        Self {
            name: name.to_owned(),
            quota,
            tolerance: 0.0,
            level,
            refilled: now,
            covered: 1.0,
            demand: Demand::default(),
            usual: 0.0,
            credit,
            credited: now,
            below: 0,
            all: 0,
            told: 0,
            next_retry: now,
            refused_at: None,
            refusals: 0,
        }
    }

    /// Changes the quota; a bucket that holds more than it may is cut.
    pub(super) fn configure(&mut self, quota: Quota, tolerance: &Tolerance) {
        self.quota = tolerance.granted(&quota);
        self.tolerance = tolerance.reserved(&quota);
        self.level = self.level.min(self.capacity());
    }

    /// Returns the requests that the whole bucket holds.
    pub(super) fn capacity(&self) -> f64 {
        self.quota.burst.max(1.0)
    }

    /// Returns the level below which a bucket does not fall. It is lower than any level
    /// at which requests are admitted, so that each request that ran is made up for.
    fn floor(&self) -> f64 {
        -(MAX_OVERDRAFT + 2.0 * self.quota.rate * LEVEL_TIME.as_secs_f64() + self.tolerance)
    }

    /// Refills the bucket up to now. A process that does not hear from all others uses
    /// only the covered part of the bucket, and what the silent ones may have used before
    /// they were missed is taken out.
    pub(super) fn refill(&mut self, now: Time, covered: f64) {
        if covered < self.covered {
            let part = covered / self.covered;
            let unnoticed = (self.covered - covered) * SILENCE.as_secs_f64();
            self.level = part * (self.level - unnoticed * self.quota.rate);
        }
        self.covered = covered;
        self.level = self.level_at(now);
        self.refilled = now;
    }

    /// Returns the level at a time.
    pub(super) fn level_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.refilled).as_secs_f64();
        let level = self.level + elapsed * self.quota.rate * self.covered;
        level.min(self.capacity() * self.covered)
    }

    /// Takes over the level of another process, less the requests that were admitted
    /// here and that it does not know of.
    pub(super) fn follow(&mut self, level: f64, unreported: i64, now: Time) {
        #[allow(clippy::cast_precision_loss, reason = "counts of requests are small")]
        let unreported = unreported as f64;
        self.refilled = now;
        self.level = (level - unreported).min(self.capacity());
    }

    /// Takes out requests that ran elsewhere; puts back those that did not run after
    /// all.
    pub(super) fn debit(&mut self, requests: f64) {
        let level = (self.level - requests).min(self.capacity() * self.covered);
        self.level = level.max(self.floor().min(self.level));
    }

    /// Takes out requests of others that were learned of. If they ran while the others
    /// were not heard from, this process has left them their part, and the bucket is at
    /// most emptied.
    pub(super) fn debit_learned(&mut self, learned: i64, returned: bool, now: Time) {
        self.refill(now, self.covered);
        #[allow(clippy::cast_precision_loss, reason = "counts of requests are small")]
        let mut requests = learned as f64;
        if returned {
            requests = requests.min(self.level.max(0.0));
        }
        self.debit(requests);
    }

    /// Decides on a request. `random` is evenly distributed in 0 to 1. The demand is
    /// counted in any case.
    pub(super) fn admit(&mut self, others: &Others, random: f64, now: Time) -> bool {
        self.refill(now, others.covered);
        self.add_credit(others, now);
        self.demand.count(now);
        let margin = self.tolerance * others.covered * MARGIN_FRACTION;
        let reserve = (others.unseen - margin).max(0.0);
        let in_bucket = self.level - reserve >= 1.0 - margin.min(MAX_OVERDRAFT);
        let admitted = in_bucket || self.use_credit(others, random);
        if admitted {
            self.level -= 1.0;
            self.below += 1;
            self.all += 1;
        }
        admitted
    }

    /// Takes back an admission.
    pub(super) fn refund(&mut self) {
        self.below -= 1;
        self.all -= 1;
        self.debit(-1.0);
    }

    /// Returns the requests a second that the process and those that it hears from may
    /// admit together.
    fn available(&self, covered: f64) -> f64 {
        (self.quota.rate * covered + self.level / LEVEL_TIME.as_secs_f64()).max(0.0)
    }

    /// Adds what the process's share allows since the last time.
    fn add_credit(&mut self, others: &Others, now: Time) {
        let window = DEMAND_WINDOW.as_secs_f64();
        let elapsed = now.since(self.credited).as_secs_f64();
        let before = self.demand.rate(self.credited);
        let after = self.demand.rate(now);
        let rest = others.demand;
        self.credited = now;
        let available = self.available(others.covered);
        // The integral of the process's fraction of the demand, as its own part decays.
        let share = if rest <= f64::EPSILON {
            elapsed
        } else {
            window * ((before + rest) / (after + rest)).ln()
        };
        let fraction = (before + 1.0) / (before + 1.0 + rest);
        let saved = available * fraction * SHARE_TIME.as_secs_f64();
        let limit = saved.max(self.single(others.covered));
        self.credit = (self.credit + available * share).min(limit.max(self.credit));
    }

    /// Returns how much of one request a process may save up. All processes may use it
    /// at the same moment, so that it is less than a request if they are cut off.
    fn single(&self, covered: f64) -> f64 {
        let spare = self.quota.burst + SPARE_FRACTION * self.tolerance;
        (covered * spare).min(1.0)
    }

    /// Uses the process's share. A process that can never save up a whole request is
    /// lent one with the probability that its share gives.
    fn use_credit(&mut self, others: &Others, random: f64) -> bool {
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        let lends = self.single(others.covered) < 1.0 && self.credit > 0.0;
        let admitted = lends && random < self.credit;
        if lends {
            self.credit = 0.0;
        }
        admitted
    }

    /// Returns when a request that was refused may be repeated: the next time at which
    /// this process expects room that no other request was told of.
    pub(super) fn retry_after(&mut self, others: &Others, random: f64, now: Time) -> Duration {
        let own = self.demand.rate(now).max(f64::EPSILON);
        let share = own / (own + others.demand);
        let rate = self.quota.rate * others.covered * share;
        let gap = if rate * MAX_RETRY.as_secs_f64() > 1.0 {
            Duration::from_secs_f64(1.0 / rate)
        } else {
            MAX_RETRY
        };
        let next = self.next_retry.max(now).after(gap);
        let jitter = RETRY_JITTER.mul_f64(random);
        let wait = next.since(now);
        if wait <= MAX_RETRY {
            self.next_retry = next;
            return wait + jitter;
        }
        // All places up to the limit are taken.
        MAX_RETRY.mul_f64(0.5 + 0.5 * random)
    }
}
