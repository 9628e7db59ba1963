//! Results of an experiment.

use std::{collections::BTreeMap, time::Duration};

use guavacourse::modules::inventory::Policy;
use serde::Serialize;

use super::experiment::Experiment;

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The experiment.
    pub experiment: Experiment,
    /// Name of the inventory.
    pub inventory: String,
    /// Figures of each policy.
    pub policies: Vec<PolicyFigures>,
}

/// Figures of one policy.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PolicyFigures {
    /// The policy.
    pub policy: Policy,
    /// Latency of all answered requests, from the intended send time.
    pub latency: Latency,
    /// Figures of each kind.
    pub kinds: Vec<KindFigures>,
    /// Fraction of the requests sent that were served, weighted by worth.
    pub service: f64,
    /// Work done by the leaves.
    pub leaves: LeafFigures,
    /// Figures of each second of the measurement.
    pub seconds: Vec<SecondFigures>,
    /// Requests sent more than a millisecond after the intended time.
    pub sent_late: u32,
    /// Histogram of the latencies as text.
    #[serde(skip)]
    pub histogram: String,
}

/// Quantiles of latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latency {
    /// Median.
    #[serde(with = "humantime_serde")]
    pub p50: Duration,
    /// 99th percentile.
    #[serde(with = "humantime_serde")]
    pub p99: Duration,
    /// 99.9th percentile.
    #[serde(with = "humantime_serde")]
    pub p999: Duration,
    /// Maximum.
    #[serde(with = "humantime_serde")]
    pub max: Duration,
}

/// Figures of one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KindFigures {
    /// Name of the kind.
    pub kind: String,
    /// Worth of one request.
    pub worth: u32,
    /// Requests sent.
    pub sent: u32,
    /// Requests answered with rows.
    pub answered: u32,
    /// Requests answered in time with enough coverage.
    pub served: u32,
    /// Answers whose number of rows does not match their coverage.
    pub wrong: u32,
    /// Fraction of the requests sent that were served.
    pub service: f64,
    /// Mean coverage of answers.
    pub coverage_mean: f64,
    /// Least coverage of answers.
    pub coverage_least: f64,
    /// Latency of answers, from the intended send time.
    pub latency: Latency,
    /// Number of requests without an answer, by cause.
    pub failures: BTreeMap<String, u32>,
    /// Time from the first fault to the last request without an answer of full
    /// coverage; none without a fault, or if coverage stayed full.
    #[serde(with = "humantime_serde")]
    pub incomplete_for: Option<Duration>,
}

/// Work done by the leaves during the measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeafFigures {
    /// Calls that took a slot.
    pub started: u32,
    /// Calls that were cancelled.
    pub cancelled: u64,
    /// Calls refused because no slot was free.
    pub shed: u64,
    /// Time for which slots were in use.
    #[serde(with = "humantime_serde")]
    pub busy: Duration,
    /// Calls whose rows are part of an answer.
    pub needed: f64,
    /// Ratio of calls started to calls needed, minus 1.
    pub extra_load: f64,
}

/// Figures of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SecondFigures {
    /// Requests sent.
    pub sent: u32,
    /// Requests answered in time with enough coverage.
    pub served: u32,
    /// Requests answered with full coverage.
    pub full: u32,
}
