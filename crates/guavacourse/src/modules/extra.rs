//! Limits the extra calls of the whole fleet to a budget per service.
//!
//! All calls for a request and service beyond the first that reaches a leaf are
//! extra. In each window the fleet may make as many of them as a fraction of its
//! requests plus a fixed number. A process may use that fraction of its own
//! requests and its share of the fixed number, so that the processes need not
//! coordinate.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::{collections::Map, shares::Shares, time::Time};

/// Number of slices of a window; the calls of a slice are counted together.
const SLICES_PER_WINDOW: u32 = 10;

/// Fraction of the budget that retries may use. The rest covers calls that arrive
/// in another window than the one in which this process counted them.
const RETRY_FRACTION: f64 = 0.9;

/// Fraction of the budget that hedges may use. The rest is kept for retries,
/// without which a part of an answer is lost.
const HEDGE_FRACTION: f64 = 0.55;

/// Why an extra call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraReason {
    /// An earlier call is late.
    Hedge,
    /// An earlier call has failed.
    Retry,
}

/// How many extra calls the fleet may make.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExtraLimits {
    /// Extra calls for a service in a window, as a fraction of its requests.
    pub ratio: f64,
    /// Further extra calls for a service in a window, regardless of its requests.
    pub fixed: f64,
    /// Length of the sliding window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl Default for ExtraLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            fixed: 20.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Requests and extra calls of one process, by service, and their limits.
#[derive(Clone, Debug)]
pub struct ExtraBudgets {
    limits: ExtraLimits,
    shares: Shares,
    services: Map<String, CallCounts>,
}

/// Calls for one service in the slices of the latest window.
#[derive(Clone, Debug, Default)]
struct CallCounts {
    slices: VecDeque<Slice>,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Time,
    requests: u32,
    extra: u32,
}

impl ExtraBudgets {
    /// Creates the budgets of a process that is the only one of its fleet.
    #[must_use]
    pub fn new(limits: ExtraLimits) -> Self {
        Self {
            limits,
            shares: Shares::default(),
            services: Map::default(),
        }
    }

    /// Sets the share of the fixed number that this process may use.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &str, now: Time) {
        let slice = self.slice(service, now);
        slice.requests += 1;
    }

    /// Counts an extra call for a service if the budget allows it, and returns
    /// whether it does.
    pub fn spend(&mut self, service: &str, why: ExtraReason, now: Time) -> bool {
        let fixed = self.fixed_share(service, now);
        let ratio = self.limits.ratio;
        self.slice(service, now);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let requests: u32 = counts.slices.iter().map(|slice| slice.requests).sum();
        let extra: u32 = counts.slices.iter().map(|slice| slice.extra).sum();
        let fraction = match why {
            ExtraReason::Hedge => HEDGE_FRACTION,
            ExtraReason::Retry => RETRY_FRACTION,
        };
        let limit = (f64::from(requests) * ratio + fixed) * fraction;
        let allowed = f64::from(extra) + 1.0 <= limit;
        if allowed && let Some(slice) = counts.slices.back_mut() {
            slice.extra += 1;
        }
        allowed
    }

    /// Returns this process's share of the fixed number. It grows over the first
    /// window, because a process does not know what it spent before a restart.
    fn fixed_share(&self, service: &str, now: Time) -> f64 {
        let window = self.limits.window.as_secs_f64();
        let age = now.since(Time::default()).as_secs_f64();
        let grown_fraction = (age / window).min(1.0);
        self.limits.fixed * grown_fraction * self.shares.for_service(service)
    }

    /// Returns the current slice and drops those that have left the window.
    fn slice(&mut self, service: &str, now: Time) -> &mut Slice {
        let slice_length = self.limits.window / SLICES_PER_WINDOW;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), CallCounts::default());
        }
        let counts = self.services.get_mut(service).expect("it was inserted");
        let oldest = now.before(self.limits.window + slice_length);
        while counts.slices.front().is_some_and(|s| s.start < oldest) {
            counts.slices.pop_front();
        }
        let current = counts
            .slices
            .back()
            .map(|slice| slice.start.after(slice_length));
        if current.is_none_or(|end| now >= end) {
            counts.slices.push_back(Slice {
                start: now,
                requests: 0,
                extra: 0,
            });
        }
        let last = counts.slices.len() - 1;
        &mut counts.slices[last]
    }
}
