//! Definition of an experiment.

use std::time::Duration;

use guavacourse::modules::inventory::{Kind, Policy};
use guavacourse_standins::{ColdStart, LoadReport, ServiceTime, Straggle};
use serde::{Deserialize, Serialize};

/// One experiment over one inventory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// Name that the report shows.
    pub name: String,
    /// Seed of the random arrivals and of the leaves' random behaviour.
    pub seed: u64,
    /// Time under load before the measurement starts.
    #[serde(with = "humantime_serde")]
    pub warmup: Duration,
    /// Duration of the measurement.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Fraction of the services of each group to keep.
    pub scale: f64,
    /// Factor on service times, connection times and deadlines, for a machine
    /// that cannot run the deployment at full speed.
    pub slowdown: f64,
    /// Service time of a leaf call, before the slowdown.
    pub service: ServiceTime,
    /// One-way delay between an entry and a relay of another data centre, before
    /// the slowdown.
    #[serde(with = "humantime_serde")]
    pub distance: Duration,
    /// How much slower a leaf is after it starts.
    pub cold: ColdStart,
    /// Policies to run side by side, each in its own deployment.
    pub policies: Vec<Policy>,
    /// Kinds to add to those of the inventory.
    pub kinds: Vec<Kind>,
    /// Kinds of requests to send, with their loads.
    pub mix: Vec<Share>,
    /// Faults to inject.
    pub faults: Vec<ScheduledFault>,
    /// Threads that serve the leaves.
    pub threads: usize,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            name: "steady".to_owned(),
            seed: 1,
            warmup: Duration::from_secs(3),
            duration: Duration::from_secs(12),
            scale: 1.0,
            slowdown: 1.0,
            service: ServiceTime {
                median: Duration::from_millis(8),
                spread: 0.3,
            },
            distance: Duration::ZERO,
            cold: ColdStart::default(),
            policies: vec![Policy::Plain, Policy::Adaptive],
            kinds: Vec::new(),
            mix: Vec::new(),
            faults: Vec::new(),
            threads: 2,
        }
    }
}

impl Experiment {
    /// Returns the service time of a leaf call, with the slowdown applied.
    #[must_use]
    pub fn slowed_service(&self) -> ServiceTime {
        ServiceTime {
            median: self.service.median.mul_f64(self.slowdown),
            ..self.service
        }
    }
}

/// Load of one kind of request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Share {
    /// Name of the kind.
    pub kind: String,
    /// Fraction of the slot time of the kind's busiest shard that its requests
    /// need.
    pub load: f64,
}

/// A fault and when it starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ScheduledFault {
    /// Time from the start of the measurement to the fault.
    #[serde(default, with = "humantime_serde")]
    pub after: Duration,
    /// The fault, which lasts until the end of the experiment.
    pub fault: Fault,
}

/// A fault to inject.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Some calls take much longer than others, on every leaf.
    Stragglers(Straggle),
    /// One leaf is lost.
    LostLeaf(String),
    /// All leaves, entries and relays of a data centre are lost.
    LostDataCentre(String),
    /// The platform's store and instance list are unavailable.
    StoreOutage,
    /// Every second leaf reports this load instead of its own.
    WrongLoad(LoadReport),
}
