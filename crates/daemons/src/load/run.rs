//! Runs an experiment.

use std::{
    io,
    rc::Rc,
    thread::{self, ScopedJoinHandle},
    time::{Duration, Instant},
};

use anyhow::{Context, anyhow, ensure};
use futures_lite::future;
use guavacourse::{
    edge::entry::RunningEntry,
    modules::{
        catalog::Catalog,
        inventory::{Class, Config, Kind, Policy},
    },
};
use guavacourse_standins::{FleetSettings, LeafCounters, LeafHandle};
use smol::{LocalExecutor, Timer};

use super::{
    arrivals::{Arrival, arrivals},
    capacity::{capacity, scaled, slowed},
    client::{Client, ClientStats},
    experiment::Experiment,
    faults::FaultInjector,
    report::{LeafFigures, PolicyFigures, Report},
    table::latency_bars,
    tally::{Sample, Tally, histogram, latency, per_second, weighted_service},
};
use crate::deployment::{Deployment, Plan};

/// Time before the first arrival, for all threads to start.
const START_DELAY: Duration = Duration::from_millis(200);

/// Runs an experiment with each of its policies, side by side.
///
/// # Errors
///
/// Returns an error that names what could not be started, or the kind that the
/// inventory lacks.
pub fn run(inventory: &str, config: &Config, experiment: &Experiment) -> anyhow::Result<Report> {
    let mut config = scaled(config, experiment.scale);
    for kind in &experiment.kinds {
        let mut kind = kind.clone();
        let services = &config.services;
        kind.services
            .retain(|name| services.iter().any(|service| service.name == *name));
        config.kinds.push(kind);
    }
    let config = slowed(&config, experiment.slowdown);
    Ok(Report {
        experiment: experiment.clone(),
        inventory: inventory.to_owned(),
        policies: run_policies(&config, experiment)?,
    })
}

/// Runs a deployment for each policy at the same time, so that other load on
/// the machine affects all of them equally.
fn run_policies(config: &Config, experiment: &Experiment) -> anyhow::Result<Vec<PolicyFigures>> {
    let mut deployments = Vec::new();
    for policy in &experiment.policies {
        deployments.push(Deployment::start(&plan(config, *policy, experiment))?);
    }
    let catalog = Catalog::new(1, config);
    let (kinds, rates) = rates(&catalog, experiment)?;
    let span = experiment.warmup + experiment.duration;
    let setup = RunSetup {
        config,
        experiment,
        arrivals: arrivals(&rates, span, experiment.seed),
        catalog,
        kinds,
        start: Instant::now() + START_DELAY,
    };
    let outcomes = thread::scope(|scope| {
        let setup = &setup;
        let run_on = |deployment| scope.spawn(move || setup.run_on(deployment));
        let threads: Vec<_> = deployments.iter().map(run_on).collect();
        let joined = threads.into_iter().map(ScopedJoinHandle::join);
        joined.collect::<Result<Vec<_>, _>>()
    });
    let outcomes = outcomes.map_err(|_| anyhow!("a run panicked; see the panic message above"))?;
    let outcomes = outcomes.into_iter().collect::<io::Result<Vec<Outcome>>>()?;
    let policies = experiment.policies.iter().copied();
    let figures = policies
        .zip(&outcomes)
        .map(|(policy, outcome)| setup.figures(policy, outcome));
    Ok(figures.collect())
}

/// Input that the runs of all policies share.
struct RunSetup<'a> {
    config: &'a Config,
    experiment: &'a Experiment,
    catalog: Catalog,
    kinds: Vec<Kind>,
    arrivals: Vec<Arrival>,
    start: Instant,
}

/// Measurements of the run of one policy.
struct Outcome {
    stats: ClientStats,
    /// Work done by the leaves until the start of the measurement.
    before: LeafCounters,
    /// Work done by the leaves until its end.
    after: LeafCounters,
}

impl RunSetup<'_> {
    /// Sends all arrivals to a deployment and injects the faults.
    fn run_on(&self, deployment: &Deployment) -> io::Result<Outcome> {
        let entries = deployment.entries.iter().map(RunningEntry::callers_address);
        let client = Client::new(&self.catalog, self.kinds.clone(), entries);
        let client = Rc::new(client);
        let leaves: Vec<LeafHandle> = deployment.leaves.leaves().cloned().collect();
        let warmup = self.experiment.warmup;
        let measurement_start = self.start + warmup;
        let before = async {
            Timer::at(measurement_start).await;
            total_work(&leaves)
        };
        let executor = LocalExecutor::new();
        let sent = client.send_all(&executor, &self.arrivals, self.start, warmup);
        let faults = &self.experiment.faults;
        let injector = FaultInjector::new(deployment, Rc::clone(&client), self.config, faults)?;
        let injected = injector.inject_all(faults, measurement_start);
        let all = future::zip(future::zip(sent, injected), before);
        let (_, before) = smol::block_on(executor.run(all));
        let stats = client.stats();
        Ok(Outcome {
            stats,
            before,
            after: total_work(&leaves),
        })
    }

    fn figures(&self, policy: Policy, outcome: &Outcome) -> PolicyFigures {
        let tallies = &outcome.stats.tallies;
        let samples = tallies.iter().flat_map(Tally::samples);
        let histogram = histogram(samples.clone());
        let first_fault = self.experiment.faults.iter().map(|f| f.after).min();
        let kinds: Vec<_> = tallies
            .iter()
            .map(|tally| tally.figures(first_fault))
            .collect();
        PolicyFigures {
            policy,
            latency: latency(&histogram),
            service: weighted_service(&kinds),
            kinds,
            leaves: leaf_figures(&outcome.before, &outcome.after, samples),
            seconds: per_second(tallies),
            sent_late: outcome.stats.late_sends,
            histogram: latency_bars(&histogram),
        }
    }
}

fn plan(config: &Config, policy: Policy, experiment: &Experiment) -> Plan {
    let mut plan = Plan::new(config.clone());
    plan.config.policy = policy;
    plan.entry.threads = 1;
    plan.distance = experiment.distance.mul_f64(experiment.slowdown);
    plan.leaves = FleetSettings {
        threads: experiment.threads,
        seed: experiment.seed,
        service: experiment.slowed_service(),
        cold: experiment.cold,
        ..FleetSettings::default()
    };
    plan
}

/// Returns the kinds of the mix and their rates in requests per second.
fn rates(catalog: &Catalog, experiment: &Experiment) -> anyhow::Result<(Vec<Kind>, Vec<f64>)> {
    let mut kinds = Vec::new();
    let mut rates = Vec::new();
    for share in &experiment.mix {
        let entry = catalog.kinds.get(&share.kind);
        let entry = entry.with_context(|| format!("the inventory has no kind `{}`", share.kind))?;
        ensure!(
            entry.rules.class == Class::Query,
            "kind `{}` is an action; the mix accepts only queries",
            share.kind
        );
        let max_rate = capacity(catalog, entry, &experiment.slowed_service())
            .with_context(|| format!("kind `{}` has no shards", share.kind))?;
        kinds.push(entry.rules.clone());
        rates.push(share.load * max_rate);
    }
    Ok((kinds, rates))
}

fn total_work(leaves: &[LeafHandle]) -> LeafCounters {
    let mut work = LeafCounters::default();
    for leaf in leaves {
        work += leaf.work();
    }
    work
}

fn leaf_figures<'a>(
    before: &LeafCounters,
    after: &LeafCounters,
    samples: impl Iterator<Item = &'a Sample>,
) -> LeafFigures {
    let started = u32::try_from(after.started - before.started).unwrap_or(u32::MAX);
    let needed: f64 = samples.map(|sample| sample.calls).sum();
    LeafFigures {
        started,
        cancelled: after.cancelled - before.cancelled,
        shed: after.shed - before.shed,
        busy: Duration::from_micros(after.busy_micros - before.busy_micros),
        needed,
        extra_load: f64::from(started) / needed - 1.0,
    }
}
