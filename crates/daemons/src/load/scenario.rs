//! Scenarios: predefined experiments, selected by name.

use std::{str::FromStr, time::Duration};

use guavacourse::modules::inventory::{Class, Config, Kind};
use guavacourse_standins::{LoadReport, Straggle};

use super::experiment::{Experiment, Fault, ScheduledFault, Share};

/// Load of each kind of query, unless the scenario sets another.
const STEADY_LOAD: f64 = 0.25;

/// Load of the kind of the highest worth under overload.
const HIGH_WORTH_LOAD: f64 = 0.5;

/// Load of the low-worth kind under overload.
const BULK_LOAD: f64 = 1.0;

/// Name of the low-worth kind that overloads the services of another kind.
const BULK_KIND: &str = "bulk-report";

/// A predefined experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Moderate load without a fault.
    Steady,
    /// 1 in 100 calls takes ten times as long.
    Stragglers,
    /// One leaf is lost.
    LostReplica,
    /// One data centre is lost.
    LostDataCentre,
    /// The platform's store and instance list are unavailable.
    StoreOutage,
    /// The load is 1.5 times the capacity, and most of it has low worth.
    Overload,
    /// Every second leaf reports a load of zero; the others report their real load.
    MisleadingLoad,
}

impl Scenario {
    /// All scenarios, in the order in which they are run.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Stragglers,
        Self::LostReplica,
        Self::LostDataCentre,
        Self::StoreOutage,
        Self::Overload,
        Self::MisleadingLoad,
    ];

    /// Returns the name that selects the scenario.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Stragglers => "stragglers",
            Self::LostReplica => "lost-replica",
            Self::LostDataCentre => "lost-data-centre",
            Self::StoreOutage => "store-outage",
            Self::Overload => "overload",
            Self::MisleadingLoad => "misleading-load",
        }
    }

    /// Creates the experiment over an inventory, measured for `duration`.
    #[must_use]
    pub fn experiment(self, config: &Config, duration: Duration) -> Experiment {
        let mut experiment = Experiment {
            name: self.name().to_owned(),
            duration,
            mix: steady_mix(config),
            ..Experiment::default()
        };
        let third = duration / 3;
        match self {
            Self::Steady => {}
            Self::Stragglers => experiment.faults = vec![from_start(stragglers())],
            Self::LostReplica => experiment.faults = lost_leaf(config, third),
            Self::LostDataCentre => experiment.faults = lost_data_centre(config, third),
            Self::StoreOutage => experiment.faults = vec![from_start(Fault::StoreOutage)],
            Self::Overload => overload(&mut experiment, config),
            Self::MisleadingLoad => {
                let wrong = Fault::WrongLoad(LoadReport::Fixed(0));
                experiment.faults = vec![from_start(wrong)];
            }
        }
        experiment
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|known| known.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("no scenario `{text}`; give one of {names}")
        })
    }
}

fn query_kinds(config: &Config) -> impl Iterator<Item = &Kind> {
    config
        .kinds
        .iter()
        .filter(|kind| kind.class == Class::Query)
}

fn steady_mix(config: &Config) -> Vec<Share> {
    let share = |kind: &Kind| Share {
        kind: kind.name.clone(),
        load: STEADY_LOAD,
    };
    query_kinds(config).map(share).collect()
}

fn from_start(fault: Fault) -> ScheduledFault {
    ScheduledFault {
        after: Duration::ZERO,
        fault,
    }
}

fn stragglers() -> Fault {
    Fault::Stragglers(Straggle {
        part: 0.01,
        factor: 10.0,
    })
}

/// Returns the loss of the inventory's first leaf.
fn lost_leaf(config: &Config, after: Duration) -> Vec<ScheduledFault> {
    let first = config.services.iter().flat_map(|s| &s.leaves).next();
    let lost = |name: &String| ScheduledFault {
        after,
        fault: Fault::LostLeaf(name.clone()),
    };
    first.map(|leaf| lost(&leaf.name)).into_iter().collect()
}

/// Returns the loss of the inventory's last data centre.
fn lost_data_centre(config: &Config, after: Duration) -> Vec<ScheduledFault> {
    let lost = |name: &String| ScheduledFault {
        after,
        fault: Fault::LostDataCentre(name.clone()),
    };
    let data_centre = config.data_centres.last();
    data_centre.map(|dc| lost(&dc.name)).into_iter().collect()
}

/// Adds a low-worth kind that uses the same services as the kind of the highest
/// worth, and sets the load of both.
fn overload(experiment: &mut Experiment, config: &Config) {
    let Some(high) = query_kinds(config).max_by_key(|kind| kind.worth) else {
        return;
    };
    let bulk = Kind {
        name: BULK_KIND.to_owned(),
        worth: 1,
        ..high.clone()
    };
    let share = |kind: &Kind, load| Share {
        kind: kind.name.clone(),
        load,
    };
    experiment.mix = vec![share(high, HIGH_WORTH_LOAD), share(&bulk, BULK_LOAD)];
    experiment.kinds = vec![bulk];
}
