//! Measures the processor time of a query in an entry's core and the memory of the
//! core's state.
//!
//! Replies are generated in memory without delay or sockets, so the figures cover
//! planning, merging and updates of the load-balancing state only.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::anyhow;
use guavacourse::modules::{
    call::{Outcome, Part, Reply, Rows},
    catalog::Catalog,
    inventory::{Address, Config, Kind, Leaf, Policy, Service},
    keys::KEY_SPACE,
    load_balancer::LoadBalancer,
    members::{Member, Role},
    query::{Query, QueryRequest, Step},
    time::Time,
    view::View,
};
use serde::Serialize;

use super::usage::{resident_bytes, thread_cpu};

/// Numbers of shards that a query touches, one run each.
const SHARD_COUNTS: [u32; 3] = [10, 90, 400];

/// Numbers of leaves whose state is measured, one run each.
const LEAF_COUNTS: [u32; 3] = [90, 900, 3_700];

/// Number of leaves over all copies of a measured state.
const TOTAL_LEAVES: u32 = 185_000;

/// Data centres, with a replica of each shard in each.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Replicas of each shard, one per data centre.
const REPLICAS: u32 = 3;

/// Relays in each data centre.
const RELAYS: u16 = 7;

/// Shards of each service.
const SHARDS_PER_SERVICE: u32 = 10;

/// Name of the thread that is measured.
const THREAD: &str = "core";

/// Kind of the queries.
const KIND: &str = "search";

/// Figures for one number of shards.
#[derive(Serialize)]
struct Run {
    shards: u32,
    queries: u64,
    micros_per_query: f64,
    micros_per_call: f64,
}

/// Bytes of state for one number of leaves.
#[derive(Serialize)]
struct StateBytes {
    leaves: u32,
    tier_per_leaf: u64,
    catalog_per_leaf: u64,
}

#[derive(Serialize)]
struct Report {
    runs: Vec<Run>,
    bytes: Vec<StateBytes>,
}

/// Runs the measurement and prints the figures.
pub(super) fn run(seconds: u64, bytes: usize, json: bool) -> anyhow::Result<()> {
    let worker = thread::Builder::new().name(THREAD.to_owned());
    let worker = worker.spawn(move || measure(Duration::from_secs(seconds), bytes))?;
    let report = worker
        .join()
        .map_err(|_| anyhow!("the measurement panicked"))??;
    if json {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    for run in &report.runs {
        println!(
            "{:>4} shards: {:>8.1} us per query, {:.2} us per leaf call ({} queries)",
            run.shards, run.micros_per_query, run.micros_per_call, run.queries
        );
    }
    for bytes in &report.bytes {
        println!(
            "{:>4} leaves: {} B of tier and {} B of catalog per leaf",
            bytes.leaves, bytes.tier_per_leaf, bytes.catalog_per_leaf
        );
    }
    Ok(())
}

fn measure(length: Duration, bytes: usize) -> anyhow::Result<Report> {
    // Memory is measured first, and all copies are kept until the end, so that the
    // allocator has no freed memory to reuse: reuse would hide growth.
    let mut copies = Copies::default();
    let state_bytes = LEAF_COUNTS.map(|leaves| measure_memory(leaves, &mut copies));
    let state_bytes = state_bytes.into_iter().collect::<Result<_, _>>()?;
    drop(copies);
    let runs = SHARD_COUNTS.map(|shards| time_queries(shards, length, bytes));
    Ok(Report {
        runs: runs.into_iter().collect::<Result<_, _>>()?,
        bytes: state_bytes,
    })
}

/// Measures queries over `shards` shards, run one after the other for `length`.
fn time_queries(shards: u32, length: Duration, bytes: usize) -> anyhow::Result<Run> {
    let view = view(shards * REPLICAS, Policy::Adaptive);
    let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
    let body: Arc<[u8]> = format!("[\"{}\"]", "x".repeat(bytes)).into_bytes().into();
    let mut now = Time::default();
    let mut queries = 0;
    let before = thread_cpu(THREAD)?;
    let end = Instant::now() + length;
    while Instant::now() < end {
        now = now.after(Duration::from_millis(1));
        run_query(&view, &mut balancer, &body, now)?;
        queries += 1;
    }
    let spent = thread_cpu(THREAD)?.saturating_sub(before);
    #[allow(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let micros = spent.as_secs_f64() * 1e6 / queries as f64;
    Ok(Run {
        shards,
        queries,
        micros_per_query: micros,
        micros_per_call: micros / f64::from(shards),
    })
}

/// Runs one query whose calls are all answered half a millisecond later.
fn run_query(
    view: &Arc<View>,
    balancer: &mut LoadBalancer,
    body: &Arc<[u8]>,
    now: Time,
) -> anyhow::Result<()> {
    let request = QueryRequest {
        kind: KIND.to_owned(),
        deadline: None,
        least_coverage: None,
        body: Arc::from(&b"{}"[..]),
        forward: None,
        age: Duration::ZERO,
        customer: None,
        only_services: Vec::new(),
        trial: 0,
    };
    let (mut query, mut steps) = Query::start(Arc::clone(view), balancer, request, now)?;
    let later = now.after(Duration::from_micros(500));
    loop {
        let mut next = Vec::new();
        for step in steps {
            match step {
                Step::Send { part, .. } => {
                    for reply in replies(view, &part, body) {
                        next.extend(query.on_reply(balancer, reply, later));
                    }
                }
                Step::Finish(answer) => {
                    answer.body.map_err(|failure| anyhow!(failure.message))?;
                    return Ok(());
                }
                Step::Cancel { .. } | Step::Clear { .. } => {}
            }
        }
        if next.is_empty() {
            return Err(anyhow!("the query did not finish"));
        }
        steps = next;
    }
}

/// Returns the replies that healthy leaves give to a part.
fn replies(view: &View, part: &Part, body: &Arc<[u8]>) -> Vec<Reply> {
    let calls = part.calls.iter().filter_map(|call| {
        let leaf = view.catalog.leaf(call.leaf)?;
        let rows = Rows {
            version: 1,
            newest: 1,
            epoch: part.epoch,
            range: view.catalog.shards[leaf.shard].range,
            body: Arc::clone(body),
            origin: None,
        };
        Some(Reply {
            attempt: call.attempt,
            queued: 0,
            service: Duration::from_micros(300),
            retry_after: Duration::ZERO,
            load: None,
            outcome: Outcome::Rows(rows),
        })
    });
    calls.collect()
}

/// Copies of the measured state, kept allocated until the end.
#[derive(Default)]
struct Copies {
    catalogs: Vec<Catalog>,
    balancers: Vec<LoadBalancer>,
}

/// Measures the memory of many copies of the state for an inventory of `leaves`
/// leaves.
fn measure_memory(leaves: u32, kept: &mut Copies) -> anyhow::Result<StateBytes> {
    let copies = TOTAL_LEAVES / leaves;
    let config = config(leaves, Policy::Plain);
    let body: Arc<[u8]> = Arc::from(&b"[]"[..]);
    let view = view(leaves, Policy::Plain);
    let before = resident_bytes()?;
    let catalogs = (0..copies).map(|_| Catalog::new(1, &config));
    kept.catalogs.extend(catalogs);
    let with_catalogs = resident_bytes()?;
    let base = resident_bytes()?;
    for _ in 0..copies {
        let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
        // The plain policy is round robin: after as many queries as there are
        // replicas, the balancer has state for every leaf.
        for millis in 1..=REPLICAS.into() {
            run_query(&view, &mut balancer, &body, Time(millis * 1_000))?;
        }
        kept.balancers.push(balancer);
    }
    let with_tiers = resident_bytes()?;
    let per_leaf = |bytes: u64| bytes / u64::from(copies * leaves);
    Ok(StateBytes {
        leaves,
        tier_per_leaf: per_leaf(with_tiers.saturating_sub(base)),
        catalog_per_leaf: per_leaf(with_catalogs.saturating_sub(before)),
    })
}

fn view(leaves: u32, policy: Policy) -> Arc<View> {
    let relays = DATA_CENTRES.into_iter().flat_map(|dc| {
        (0..RELAYS).map(move |n| Member {
            name: format!("relay-{dc}-{n}"),
            role: Role::Relay,
            data_centre: dc.to_owned(),
            address: address(dc, n),
            ..Member::default()
        })
    });
    Arc::new(View {
        catalog: Arc::new(Catalog::new(1, &config(leaves, policy))),
        relays: relays.collect(),
        ..View::default()
    })
}

fn address(dc: &str, n: u16) -> Address {
    let host = u8::try_from(dc.len()).unwrap_or_default();
    let last_byte = dc.bytes().last().unwrap_or_default();
    Address(([127, 0, host, last_byte], 1 + n).into())
}

/// Returns an inventory of `leaves` leaves in services of up to ten shards.
fn config(leaves: u32, policy: Policy) -> Config {
    let shards = leaves / REPLICAS;
    let sizes = (0..shards)
        .step_by(SHARDS_PER_SERVICE as usize)
        .map(|first| SHARDS_PER_SERVICE.min(shards - first));
    let services: Vec<Service> = sizes
        .enumerate()
        .map(|(n, size)| service(n, size))
        .collect();
    let kind = Kind {
        name: KIND.to_owned(),
        services: services
            .iter()
            .map(|service| service.name.clone())
            .collect(),
        least_coverage: 0.99,
        ..Kind::default()
    };
    Config {
        epoch: 1,
        policy,
        services,
        kinds: vec![kind],
        ..Config::default()
    }
}

fn service(n: usize, shards: u32) -> Service {
    let bound = |shard: u32| KEY_SPACE / shards * shard;
    let leaves = (0..shards).flat_map(|shard| {
        let until = if shard + 1 == shards {
            KEY_SPACE
        } else {
            bound(shard + 1)
        };
        DATA_CENTRES.map(|dc| Leaf {
            name: format!("service-{n}-{shard}-{dc}"),
            data_centre: dc.to_owned(),
            address: address(dc, 0),
            from: bound(shard),
            until,
            ..Leaf::default()
        })
    });
    Service {
        name: format!("service-{n}"),
        slots: 3,
        connections: 30,
        leaves: leaves.collect(),
        ..Service::default()
    }
}
