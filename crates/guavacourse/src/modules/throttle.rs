//! Limits the number of concurrent queries of one kind.
//!
//! Under overload, relays serve kinds of higher worth first. Queries of other
//! kinds then have only some of their calls served and fail as a whole, which
//! wastes the calls that were served. The limit falls until whole queries are
//! served, and rises again while they are.

use std::time::Duration;

use super::{contention::fair::FairShares, time::Time};

/// Limit while nothing fails.
const MAX_LIMIT: f64 = 4_096.0;

/// Lowest limit. It is not zero, so that a recovered fleet is noticed.
const MIN_LIMIT: f64 = 1.0;

/// Factor applied to the number of running queries when the limit is lowered.
const DECREASE_FACTOR: f64 = 0.7;

/// Minimum time between two decreases: the queries admitted after a decrease must
/// end before they show whether it was enough.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Queries above the limit that customers below their share may start, as a fraction of
/// the limit. The excess lowers the limit, which customers above their share then feel.
const SHARE_EXCESS: f64 = 0.25;

/// Fraction of the limit that is left to requests of higher worth after one of them was
/// refused.
const RESERVE: f64 = 0.2;

/// Time for which that part is kept: some queries end within it and make room.
const RESERVE_TIME: Duration = Duration::from_millis(500);

/// Concurrency limit of one kind, by additive increase and multiplicative
/// decrease (AIMD).
#[derive(Clone, Debug)]
pub struct Throttle {
    limit: f64,
    running: u32,
    last_decrease: Time,
    shares: FairShares,
    /// Worth of a refused request, and until when room is kept for its like.
    reserved: (u32, Time),
}

/// Who asks for a query to be started.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Name of the customer; empty if it is not known.
    pub customer: &'a str,
    /// Worth of the request.
    pub worth: u32,
}

/// Why a query was not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Excess {
    /// The limit is reached.
    Limit,
    /// The limit is reached, and the customer is above its share.
    Share,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            limit: MAX_LIMIT,
            running: 0,
            last_decrease: Time::default(),
            shares: FairShares::default(),
            reserved: (0, Time::default()),
        }
    }
}

impl Throttle {
    /// Admits a query unless the limit is reached; returns whether it may start.
    /// Each admitted query must end with a call of [`Self::served`],
    /// [`Self::starved`] or [`Self::ended`].
    pub fn start(&mut self) -> bool {
        let admitted = f64::from(self.running) < self.limit;
        if admitted {
            self.running += 1;
        }
        admitted
    }

    /// Admits a query of a customer, which ends as with [`Self::start`]. When the limit is
    /// reached, a customer that runs less than its equal share is let in above the limit,
    /// within bounds. Room is kept for requests of a higher worth that were refused.
    ///
    /// # Errors
    ///
    /// Returns why the query may not start.
    pub fn start_for(&mut self, claim: Claim<'_>, now: Time) -> Result<(), Excess> {
        let running = f64::from(self.running);
        let (worth, until) = self.reserved;
        let yields = claim.worth < worth && now < until;
        let limit = self.limit * if yields { 1.0 - RESERVE } else { 1.0 };
        let below = self.shares.below_share(claim.customer, now);
        let excess = if below {
            limit * SHARE_EXCESS + 1.0
        } else {
            0.0
        };
        if running >= limit + excess {
            if claim.worth >= worth || now >= until {
                self.reserved = (claim.worth, now.after(RESERVE_TIME));
            }
            let above = !below && self.shares.customers() > 1;
            return Err(if above { Excess::Share } else { Excess::Limit });
        }
        self.running += 1;
        self.shares.started(claim.customer, now);
        Ok(())
    }

    /// Records that a query ended with an answer.
    pub fn served(&mut self) {
        self.ended();
        self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
    }

    /// Records that a query ended below its least coverage because too few
    /// slots were free.
    pub fn starved(&mut self, now: Time) {
        self.lower(now);
        self.ended();
    }

    /// Lowers the limit, at most once in a while.
    pub fn lower(&mut self, now: Time) {
        let running = f64::from(self.running);
        if now.since(self.last_decrease) >= MIN_DECREASE_INTERVAL {
            self.limit = (running.min(self.limit) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.last_decrease = now;
        }
    }

    /// Records that a query ended for another reason.
    pub fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of running queries.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }
}
