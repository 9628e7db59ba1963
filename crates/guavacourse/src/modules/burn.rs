//! Burn rates: how fast each kind of request spends the error budget of its
//! service-level objective.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    catalog::Catalog,
    collections::Map,
    time::{Time, micros},
};

/// Length of one bucket of counts.
const BUCKET_SPAN: Duration = Duration::from_secs(10);

/// Windows that a report covers, shortest first.
const WINDOWS: [Window; 4] = [
    Window::new("1m", Duration::from_mins(1)),
    Window::new("5m", Duration::from_mins(5)),
    Window::new("1h", Duration::from_hours(1)),
    Window::new("6h", Duration::from_hours(6)),
];

/// A named time window that ends now.
#[derive(Clone, Copy, Debug)]
struct Window {
    name: &'static str,
    span: Duration,
}

impl Window {
    const fn new(name: &'static str, span: Duration) -> Self {
        Self { name, span }
    }
}

/// Request counts of one time window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Counts {
    /// Requests served within their deadline and with the coverage required.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Counts {
    /// Adds other counts, such as those of another process.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Returns the burn rate: the fraction of failed requests divided by the
    /// fraction that `objective` allows. 1 spends the whole error budget, 0 none
    /// of it.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn burn_rate(self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = (self.total - self.good) as f64 / self.total as f64;
        let allowed = 1.0 - objective;
        if allowed > 0.0 {
            bad / allowed
        } else if bad > 0.0 {
            f64::INFINITY
        } else {
            0.0
        }
    }
}

/// Request counts and objective of one kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct KindBurn {
    /// Name of the kind.
    pub kind: String,
    /// Value of one request, relative to other kinds.
    pub worth: u32,
    /// Target fraction of good requests, 0 to 1.
    pub objective: f64,
    /// Counts per window, shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Request counts of one kind over one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct WindowBurn {
    /// Name of the window.
    pub window: String,
    /// Requests in the window.
    pub counts: Counts,
}

/// Request counts of all kinds over the longest window.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    kinds: Map<String, VecDeque<Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    counts: Counts,
}

impl Burn {
    /// Counts one finished request of `kind`.
    pub fn record(&mut self, kind: &str, good: bool, now: Time) {
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), VecDeque::new());
        }
        let Some(buckets) = self.kinds.get_mut(kind) else {
            return;
        };
        let start = Time(now.0 - now.0 % micros(BUCKET_SPAN));
        if buckets.back().is_none_or(|last| last.start < start) {
            let counts = Counts::default();
            buckets.push_back(Bucket { start, counts });
            drop_old(buckets, now);
        }
        if let Some(last) = buckets.back_mut() {
            last.counts.add(Counts {
                good: u64::from(good),
                total: 1,
            });
        }
    }

    /// Returns the report of every configured kind, sorted by name.
    #[must_use]
    pub fn report(&self, catalog: &Catalog, now: Time) -> Vec<KindBurn> {
        let mut report: Vec<KindBurn> = catalog
            .kinds
            .values()
            .map(|entry| KindBurn {
                kind: entry.rules.name.clone(),
                worth: entry.rules.worth,
                objective: entry.rules.objective,
                windows: self.windows(&entry.rules.name, now),
            })
            .collect();
        report.sort_by(|a, b| a.kind.cmp(&b.kind));
        report
    }

    fn windows(&self, kind: &str, now: Time) -> Vec<WindowBurn> {
        WINDOWS
            .iter()
            .map(|window| WindowBurn {
                window: window.name.to_owned(),
                counts: self.counts(kind, window.span, now),
            })
            .collect()
    }

    fn counts(&self, kind: &str, span: Duration, now: Time) -> Counts {
        let mut sum = Counts::default();
        let buckets = self.kinds.get(kind).into_iter().flatten();
        for bucket in buckets.filter(|bucket| now.since(bucket.start) < span) {
            sum.add(bucket.counts);
        }
        sum
    }
}

/// Removes the buckets that started before the longest window.
fn drop_old(buckets: &mut VecDeque<Bucket>, now: Time) {
    let longest = WINDOWS[WINDOWS.len() - 1].span;
    while buckets
        .front()
        .is_some_and(|first| now.since(first.start) > longest)
    {
        buckets.pop_front();
    }
}
