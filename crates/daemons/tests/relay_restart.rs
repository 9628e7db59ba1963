//! Relays are replaced one after the other while callers keep sending queries.

#[path = "common/replicated.rs"]
mod replicated;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use guavacourse::{
    configs::{node::NodeConfig, settings::Settings},
    edge::{
        entry::RunningEntry,
        relay::{RelayServer, RunningRelay},
    },
    modules::inventory::{Config, Instance, Kind},
};
use guavacourse_daemons::{
    client::{Answer, Caller},
    deployment::{Deployment, Plan},
};
use replicated::{DATA_CENTRES, data_centre, service};

const SERVICES: [&str; 3] = ["gangs", "rosters", "wages"];

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Time between two replacements.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(500);

fn start() -> Deployment {
    let instance = |centre: &str| Instance {
        name: format!("instance-{centre}"),
        data_centre: centre.to_owned(),
        ..Instance::default()
    };
    let kind = Kind {
        name: "search".to_owned(),
        services: SERVICES.map(str::to_owned).to_vec(),
        deadline: Duration::from_secs(5),
        ..Kind::default()
    };
    let config = Config {
        epoch: 1,
        data_centres: DATA_CENTRES.map(data_centre).to_vec(),
        instances: DATA_CENTRES.map(instance).to_vec(),
        services: SERVICES.map(service).to_vec(),
        kinds: vec![kind],
        ..Config::default()
    };
    let mut plan = Plan::new(config);
    plan.leaves.service.median = Duration::from_millis(10);
    Deployment::start(&plan).unwrap()
}

/// Replaces the relay of a data centre by a new one of the same name.
fn replace(deployment: &mut Deployment, index: usize) {
    let centre = DATA_CENTRES[index];
    let peers = deployment.relays.iter().map(RunningRelay::address);
    let entries = deployment.entries.iter().map(RunningEntry::fleet_address);
    let settings = Settings {
        node: NodeConfig {
            instance: format!("instance-{centre}"),
            data_centre: centre.to_owned(),
            platform: deployment.platform.address(),
            seeds: peers.chain(entries).collect(),
            ..NodeConfig::default()
        },
        ..Settings::default()
    };
    deployment.relays.remove(index).stop();
    let relay = RelayServer::start(&settings).unwrap();
    deployment.relays.insert(index, relay);
}

/// Sends queries until `done`. Returns their number, and each incomplete answer
/// with its trace.
fn query_until(mut caller: Caller, done: &AtomicBool) -> (usize, Vec<(Answer, Answer)>) {
    let (mut sent, mut incomplete) = (0, Vec::new());
    while !done.load(Ordering::Relaxed) {
        let body = format!(r#"{{"search": {sent}}}"#);
        let answer = smol::block_on(caller.post("/query/search", &[], body.as_bytes())).unwrap();
        sent += 1;
        if answer.status != 200 || answer.body["coverage"]["fraction"] != 1.0 {
            let path = format!("/explain/{}", answer.id.as_deref().unwrap_or_default());
            let trace = smol::block_on(caller.get(&path)).unwrap();
            incomplete.push((answer, trace));
        }
    }
    (sent, incomplete)
}

#[test]
fn answers_are_complete_while_relays_are_replaced() {
    let mut deployment = start();
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let caller = deployment.caller(number);
                let done = &done;
                scope.spawn(move || query_until(caller, done))
            })
            .collect();
        for index in 0..DATA_CENTRES.len() {
            thread::sleep(REPLACEMENT_INTERVAL);
            replace(&mut deployment, index);
        }
        thread::sleep(REPLACEMENT_INTERVAL);
        done.store(true, Ordering::Relaxed);
        let mut total = 0;
        for caller in callers {
            let (sent, incomplete) = caller.join().unwrap();
            let trace = incomplete
                .first()
                .map(|(answer, trace)| (&answer.body, &trace.body));
            assert!(
                incomplete.is_empty(),
                "{} of {sent}: {trace:?}",
                incomplete.len()
            );
            total += sent;
        }
        println!("{total} queries, all complete");
    });
    deployment.stop();
}
