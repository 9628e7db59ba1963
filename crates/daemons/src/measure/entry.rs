//! Measures the processor time per query of an entry's traffic threads, over
//! sockets.

use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::ensure;
use guavacourse::modules::{
    inventory::{Config, DataCentre, Instance, Kind, Leaf, Service},
    keys::KEY_SPACE,
};
use guavacourse_standins::{FleetSettings, ServiceTime};

use super::usage::thread_cpu;
use crate::deployment::{Deployment, Plan};

/// Numbers of shards that a query touches, one run each.
const SHARD_COUNTS: [u32; 3] = [10, 90, 400];

/// Concurrent callers; each sends its queries one after the other.
const CALLERS: usize = 8;

/// Names of the entry's traffic threads.
const TRAFFIC_THREADS: [&str; 2] = ["traffic-0", "traffic-1"];

const KIND: &str = "all";
const DATA_CENTRE: &str = "dc";

/// Prints the processor time per query and per leaf call.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or does not answer.
pub(super) fn run(seconds: u64) -> anyhow::Result<()> {
    for shards in SHARD_COUNTS {
        let mut plan = Plan::new(config(shards));
        plan.leaves = FleetSettings {
            threads: 4,
            service: ServiceTime {
                median: Duration::from_millis(1),
                spread: 0.0,
            },
            ..FleetSettings::default()
        };
        let deployment = Deployment::start(&plan)?;
        // Warms up for a second before the measurement.
        run_queries(&deployment, Duration::from_secs(1))?;
        let before = traffic_cpu()?;
        let queries = run_queries(&deployment, Duration::from_secs(seconds))?;
        let spent = traffic_cpu()?.saturating_sub(before);
        #[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let micros = spent.as_secs_f64() * 1e6 / queries as f64;
        println!(
            "{shards:>4} shards: {micros:8.1} us per query, {:5.2} us per leaf call \
             ({queries} queries)",
            micros / f64::from(shards)
        );
        deployment.stop();
    }
    Ok(())
}

/// Sends queries from all callers for `length` and returns the number of answers.
/// Fails if an answer has a status other than 200.
fn run_queries(deployment: &Deployment, length: Duration) -> anyhow::Result<usize> {
    let end = Instant::now() + length;
    let run_caller = |number| {
        let mut caller = deployment.caller(number);
        let mut queries = 0;
        while Instant::now() < end {
            let answer = smol::block_on(caller.post("/query/all", &[], b"{}"))?;
            ensure!(answer.status == 200, "the query failed: {}", answer.body);
            queries += 1;
        }
        Ok(queries)
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || run_caller(number)))
            .collect();
        let counts = callers.into_iter().map(|caller| {
            let joined = caller.join();
            joined.map_err(|_| anyhow::anyhow!("a caller panicked"))?
        });
        counts.sum()
    })
}

fn traffic_cpu() -> anyhow::Result<Duration> {
    TRAFFIC_THREADS.iter().map(|name| thread_cpu(name)).sum()
}

/// Returns an inventory of one service with a leaf for each shard, and one instance.
fn config(shards: u32) -> Config {
    let leaf = |number: u32| Leaf {
        name: format!("leaf-{number}"),
        data_centre: DATA_CENTRE.to_owned(),
        from: number * KEY_SPACE / shards,
        until: (number + 1) * KEY_SPACE / shards,
        ..Leaf::default()
    };
    Config {
        epoch: 1,
        data_centres: vec![DataCentre {
            name: DATA_CENTRE.to_owned(),
            region: DATA_CENTRE.to_owned(),
        }],
        instances: vec![Instance {
            name: "instance".to_owned(),
            data_centre: DATA_CENTRE.to_owned(),
            ..Instance::default()
        }],
        services: vec![Service {
            name: KIND.to_owned(),
            slots: 6,
            connections: 100,
            leaves: (0..shards).map(leaf).collect(),
            ..Service::default()
        }],
        kinds: vec![Kind {
            name: KIND.to_owned(),
            services: vec![KIND.to_owned()],
            deadline: Duration::from_secs(10),
            canary: false,
            ..Kind::default()
        }],
        ..Config::default()
    }
}
