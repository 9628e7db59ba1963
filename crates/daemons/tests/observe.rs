//! What operators see of requests through `explain` and `burn`.

use std::{process::Command, time::Duration};

use guavacourse::modules::inventory::{Config, DataCentre, Instance, Kind, Leaf, Service};
use guavacourse_daemons::deployment::{Deployment, Plan};
use guavacourse_standins::{LeafFaults, Outage};
use serde_json::Value;

/// Creates an inventory of one service with two shards of one leaf each.
fn config() -> Config {
    let leaf = |number: u32| Leaf {
        name: format!("shift-{number}"),
        data_centre: "kandy".to_owned(),
        from: number * 32_768,
        until: (number + 1) * 32_768,
        ..Leaf::default()
    };
    Config {
        epoch: 1,
        data_centres: vec![DataCentre {
            name: "kandy".to_owned(),
            region: "central".to_owned(),
        }],
        instances: vec![Instance {
            name: "kandy-1".to_owned(),
            data_centre: "kandy".to_owned(),
            ..Instance::default()
        }],
        services: vec![Service {
            name: "shift".to_owned(),
            slots: 3,
            connections: 10,
            leaves: vec![leaf(0), leaf(1)],
            ..Service::default()
        }],
        kinds: vec![Kind {
            name: "shift-check".to_owned(),
            services: vec!["shift".to_owned()],
            least_coverage: 0.5,
            deadline: Duration::from_secs(10),
            objective: 0.75,
            canary: false,
            ..Kind::default()
        }],
        ..Config::default()
    }
}

/// Runs the operators' command and returns its JSON output.
fn run_command(deployment: &Deployment, args: &[&str]) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_guavacourse"))
        .arg("--json")
        .args(args)
        .args(["--platform", &deployment.platform.address().to_string()])
        .output()
        .expect("the command runs");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn a_partial_answer_and_a_failure() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let down = LeafFaults {
        down: Outage::Refuse,
        ..LeafFaults::default()
    };
    let ask = || {
        let mut caller = deployment.caller(0);
        smol::block_on(caller.post("/query/shift-check", &[], b"{}")).expect("an answer")
    };
    assert_eq!(ask().status, 200);
    deployment
        .leaves
        .leaf("shift-0")
        .expect("a leaf")
        .set_faults(down.clone());
    let partial = ask();
    assert_eq!(partial.body["coverage"]["fraction"], 0.5);
    let trace = run_command(&deployment, &["explain", &partial.id.expect("an id")]);
    let missing = trace["attempts"].as_array().expect("attempts");
    assert!(missing.iter().all(|attempt| attempt["leaf"] == "shift-0"));
    deployment.leaves.set_faults(&down);
    assert_eq!(ask().status, 503);
    let burn = run_command(&deployment, &["burn"]);
    insta::assert_json_snapshot!(burn);
    let unknown = run_command(&deployment, &["explain", "kandy-1.0.0"]);
    assert_eq!(unknown["error"], "no-request");
}
