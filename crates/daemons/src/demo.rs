//! Demo of the system's guarantees on a small deployment.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use guavacourse::modules::inventory::{Class, Config, DataCentre, Instance, Kind, Leaf, Service};
use guavacourse_standins::{LeafFaults, Outage};

use crate::{
    client::Answer,
    deployment::{Deployment, Plan},
};

/// Maximum time for a change to come into force, or for a fault to be noticed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo and prints the answers and timings.
///
/// # Errors
///
/// Returns an error if a guarantee does not hold.
pub fn run() -> anyhow::Result<()> {
    let started = Instant::now();
    println!("Starting a platform store, 12 backend servers, 3 relays and 3 entries on loopback.");
    let deployment = Deployment::start(&Plan::new(config()))?;
    show_complete_answer(&deployment)?;
    show_partial_answer(&deployment)?;
    show_booking(&deployment)?;
    show_rule_change(&deployment)?;
    deployment.stop();
    println!("\nDone after {:.1} s.", started.elapsed().as_secs_f64());
    Ok(())
}

fn show_complete_answer(deployment: &Deployment) -> anyhow::Result<()> {
    println!("\n1. A query over every shard of two services");
    let answer = send_query(deployment)?;
    ensure!(answer.status == 200, "the query failed: {}", answer.body);
    ensure!(
        fraction(&answer) >= 1.0,
        "the answer is incomplete: {}",
        answer.body["coverage"]
    );
    print_answer(&answer);
    Ok(())
}

fn show_partial_answer(deployment: &Deployment) -> anyhow::Result<()> {
    println!("\n2. The same query while every replica of a key range is down");
    let down = LeafFaults {
        down: Outage::Refuse,
        ..LeafFaults::default()
    };
    let leaves = ["wages-low-a", "wages-low-b"];
    for name in leaves {
        let leaf = deployment
            .leaves
            .leaf(name)
            .context("the deployment lacks a leaf")?;
        leaf.set_faults(down.clone());
    }
    let answer = wait_for(|| {
        let answer = send_query(deployment)?;
        Ok((answer.status == 200 && fraction(&answer) < 1.0).then_some(answer))
    })?;
    print_answer(&answer);
    for name in leaves {
        let leaf = deployment
            .leaves
            .leaf(name)
            .context("the deployment lacks a leaf")?;
        leaf.set_faults(LeafFaults::default());
    }
    let answer = wait_for(|| {
        let answer = send_query(deployment)?;
        Ok((answer.status == 200 && fraction(&answer) >= 1.0).then_some(answer))
    })?;
    println!(
        "   With the replicas back, coverage is {:.0} %.",
        100.0 * fraction(&answer)
    );
    Ok(())
}

fn show_booking(deployment: &Deployment) -> anyhow::Result<()> {
    println!("\n3. One booking, sent twice through different entries");
    let ticket = smol::block_on(deployment.caller(0).post("/tickets", &[], b"{}"))?;
    let ticket = ticket.body["ticket"]
        .as_str()
        .context("the entry returned no ticket")?
        .to_owned();
    println!("   ticket {ticket}");
    let before = deployment.leaves.all_runs().values().sum::<u32>();
    for entry in [0, 1] {
        let headers = [("ticket", ticket.as_str()), ("key", "4242")];
        let body = br#"{"worker": "Nimal", "site": "Hatton"}"#;
        let caller = deployment.caller(entry);
        let answer = smol::block_on({
            let mut caller = caller;
            async move { caller.post("/actions/book", &headers, body).await }
        })?;
        println!(
            "   entry {} answers {}: {}",
            entry + 1,
            answer.status,
            answer.body
        );
        ensure!(answer.status == 200, "the booking was not answered");
    }
    let runs = deployment.leaves.all_runs().values().sum::<u32>() - before;
    println!("   The backend servers ran it {runs} time(s).");
    ensure!(runs == 1, "the booking ran {runs} times");
    Ok(())
}

fn show_rule_change(deployment: &Deployment) -> anyhow::Result<()> {
    println!("\n4. A rule change: the least coverage of `search` becomes 1");
    let mut config = deployment.config().clone();
    config.kinds[0].least_coverage = 1.0;
    let started = Instant::now();
    let revision = deployment.apply(&config)?;
    for entry in 0..deployment.entries.len() {
        wait_for(|| {
            let status = smol::block_on(deployment.caller(entry).get("/status"))?;
            Ok((status.body["revision"] == revision).then_some(()))
        })?;
    }
    println!(
        "   Revision {revision} was in force on all entries after {} ms.",
        started.elapsed().as_millis()
    );
    Ok(())
}

fn send_query(deployment: &Deployment) -> anyhow::Result<Answer> {
    let mut caller = deployment.caller(0);
    let body = br#"{"gang": "dawn"}"#;
    Ok(smol::block_on(caller.post("/query/search", &[], body))?)
}

fn print_answer(answer: &Answer) {
    let body = &answer.body;
    println!(
        "   {} rows, index version {}, partition epoch {}, revision {}",
        body["rows"].as_array().map_or(0, Vec::len),
        body["index_version"],
        body["partition_epoch"],
        body["revision"],
    );
    println!("   coverage {:.0} %", 100.0 * fraction(answer));
    for range in body["coverage"]["missing"].as_array().into_iter().flatten() {
        println!(
            "   missing: {} keys {}..{}",
            range["service"], range["from"], range["until"]
        );
    }
}

fn fraction(answer: &Answer) -> f64 {
    answer.body["coverage"]["fraction"]
        .as_f64()
        .unwrap_or_default()
}

/// Calls `poll` until it returns a value, for at most [`WAIT_TIMEOUT`].
fn wait_for<T>(poll: impl Fn() -> anyhow::Result<Option<T>>) -> anyhow::Result<T> {
    let started = Instant::now();
    loop {
        if let Some(found) = poll()? {
            return Ok(found);
        }
        ensure!(started.elapsed() < WAIT_TIMEOUT, "timed out; see the log");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns an inventory of two services of six leaves each, three data centres,
/// a query and an action.
fn config() -> Config {
    let centres = ["colombo", "kandy", "galle"];
    let services = [("roster", 3), ("wages", 2)];
    Config {
        epoch: 1,
        data_centres: centres.map(data_centre).into(),
        instances: centres.map(instance).into(),
        services: services.map(|(name, slots)| service(name, slots)).into(),
        kinds: vec![
            Kind {
                name: "search".to_owned(),
                services: services.map(|(name, _)| name.to_owned()).into(),
                least_coverage: 0.5,
                deadline: Duration::from_millis(500),
                ..Kind::default()
            },
            Kind {
                name: "book".to_owned(),
                class: Class::Action,
                services: vec!["roster".to_owned()],
                deadline: Duration::from_secs(2),
                ..Kind::default()
            },
        ],
        ..Config::default()
    }
}

fn data_centre(name: &str) -> DataCentre {
    DataCentre {
        name: name.to_owned(),
        region: format!("{name}-region"),
    }
}

fn instance(data_centre: &str) -> Instance {
    Instance {
        name: format!("entry-{data_centre}"),
        data_centre: data_centre.to_owned(),
        ..Instance::default()
    }
}

/// Returns a service of three key ranges with two replicas each.
fn service(name: &str, slots: u32) -> Service {
    let ranges = [
        ("low", 0, 20_000),
        ("mid", 20_000, 40_000),
        ("high", 40_000, 65_536),
    ];
    let replicas = [("a", "colombo"), ("b", "kandy")];
    let leaves = ranges.into_iter().flat_map(|(range, from, until)| {
        replicas.map(|(replica, data_centre)| Leaf {
            name: format!("{name}-{range}-{replica}"),
            data_centre: data_centre.to_owned(),
            from,
            until,
            ..Leaf::default()
        })
    });
    Service {
        name: name.to_owned(),
        slots,
        connections: 30,
        connect: Duration::from_millis(1),
        leaves: leaves.collect(),
    }
}
