//! A request whose content crashes each leaf that runs it is sent repeatedly
//! through every entry of a deployment.

#[path = "common/replicated.rs"]
mod replicated;

use std::{sync::Barrier, time::Duration};

use guavacourse::modules::inventory::{Class, Config, Instance, Kind};
use guavacourse_daemons::{
    client::{Answer, Header},
    deployment::{Deployment, Plan},
};
use guavacourse_standins::LeafFaults;
use replicated::{DATA_CENTRES, data_centre, service};

const POISON: &[u8] = br#"{"roster": "poison"}"#;

/// Number of entries of the deployments in which all entries get a request at the
/// same time.
const ENTRIES: usize = 7;

/// Starts three instances over services of one shard and three replicas each. A
/// body with the crash marker crashes their leaves.
fn start(services: usize) -> Deployment {
    start_with(services, DATA_CENTRES.len())
}

fn start_with(services: usize, instances: usize) -> Deployment {
    let deployment = Deployment::start(&plan(services, instances, true)).unwrap();
    deployment.leaves.set_faults(&crash_faults());
    deployment
}

/// Returns faults with which a body that has the crash marker crashes each leaf
/// that runs it.
fn crash_faults() -> LeafFaults {
    LeafFaults {
        crash_marker: "poison".to_owned(),
        restart: Duration::from_millis(200),
        ..LeafFaults::default()
    }
}

fn plan(services: usize, instances: usize, canary: bool) -> Plan {
    let names: Vec<String> = (0..services).map(|i| format!("rosters-{i}")).collect();
    let config = Config {
        epoch: 1,
        data_centres: DATA_CENTRES.map(data_centre).to_vec(),
        instances: (0..instances).map(instance).collect(),
        services: names.iter().map(|name| service(name)).collect(),
        kinds: vec![kind(names.clone(), canary), booking(names)],
        ..Config::default()
    };
    let mut plan = Plan::new(config);
    plan.leaves.service.median = Duration::from_millis(20);
    plan
}

fn instance(number: usize) -> Instance {
    Instance {
        name: format!("instance-{number}"),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
        ..Instance::default()
    }
}

fn kind(services: Vec<String>, canary: bool) -> Kind {
    Kind {
        name: "search".to_owned(),
        services,
        deadline: Duration::from_secs(8),
        retry_budget: 1.0,
        canary,
        ..Kind::default()
    }
}

fn booking(services: Vec<String>) -> Kind {
    Kind {
        name: "book".to_owned(),
        class: Class::Action,
        ..kind(services, true)
    }
}

/// Books with a new ticket from the entry. Returns how often the booking was run.
fn book(deployment: &Deployment, entry: usize, body: &[u8]) -> u32 {
    let mut caller = deployment.caller(entry);
    let mut post = |path: &str, headers: &[Header<'_>]| {
        smol::block_on(caller.post(path, headers, body)).unwrap()
    };
    let minted = post("/tickets", &[]);
    let ticket = minted.body["ticket"].as_str().unwrap();
    post("/actions/book", &[("ticket", ticket), ("key", "7")]);
    let (id, _) = ticket.rsplit_once('.').unwrap();
    deployment.leaves.runs(id)
}

fn search(deployment: &Deployment, entry: usize, body: &[u8]) -> Answer {
    let mut caller = deployment.caller(entry);
    smol::block_on(caller.post("/query/search", &[], body)).unwrap()
}

/// Returns the answer to a query, and the entry's trace of it unless it was served.
fn search_traced(deployment: &Deployment, entry: usize, body: &[u8]) -> (Answer, String) {
    let mut caller = deployment.caller(entry);
    let answer = smol::block_on(caller.post("/query/search", &[], body)).unwrap();
    let id = answer.id.clone().filter(|_| answer.status != 200);
    let trace = id.map(|id| smol::block_on(caller.get(&format!("/explain/{id}"))));
    let trace = trace.map(|trace| trace.map_or_else(|e| e.to_string(), |t| t.body.to_string()));
    (answer, trace.unwrap_or_default())
}

fn crashes(deployment: &Deployment) -> u64 {
    deployment.leaves.work().crashes
}

#[test]
fn crashes_at_most_two_leaves_through_every_entry() {
    let deployment = start(1);
    let mut statuses = Vec::new();
    for entry in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        statuses.push(search(&deployment, entry, POISON).status);
    }
    // The leaves have restarted, and all processes know of the quarantine.
    std::thread::sleep(Duration::from_secs(1));
    for entry in 0..3 {
        statuses.push(search(&deployment, entry, POISON).status);
    }
    let crashed = crashes(&deployment);
    assert!(
        crashed <= 2,
        "{crashed} leaves crashed; answers {statuses:?}"
    );
    assert!(crashed > 0);
    assert_eq!(statuses[9..], [503; 3]);
    deployment.stop();
}

#[test]
fn innocent_queries_get_their_whole_answers() {
    let deployment = start(1);
    check_innocent_during(&deployment, || {
        search(&deployment, 0, POISON);
        search(&deployment, 1, POISON);
    });
    deployment.stop();
}

#[test]
fn innocent_queries_get_their_whole_answers_when_copies_come_together() {
    let deployment = start_with(1, ENTRIES);
    check_innocent_during(&deployment, || send_together(&deployment));
    deployment.stop();
}

/// Sends innocent queries through several entries while `poison` runs, and checks
/// that all of their answers are complete.
fn check_innocent_during(deployment: &Deployment, poison: impl FnOnce()) {
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                scope.spawn(move || {
                    let body = format!(r#"{{"roster": {caller}}}"#);
                    let ask = |_| search_traced(deployment, caller, body.as_bytes());
                    (0..20).map(ask).collect::<Vec<_>>()
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        poison();
        for caller in callers {
            for (answer, trace) in caller.join().unwrap() {
                assert_eq!(answer.status, 200, "{}\n{trace}", answer.body);
                assert_eq!(answer.body["coverage"]["fraction"], 1.0, "{}", answer.body);
            }
        }
    });
    let crashed = crashes(deployment);
    assert!(crashed <= 2, "{crashed} leaves crashed");
}

#[test]
fn a_query_to_many_shards_crashes_at_most_two_leaves() {
    let deployment = start(4);
    for entry in [0, 1, 2] {
        search(&deployment, entry, POISON);
    }
    let crashed = crashes(&deployment);
    assert!(crashed <= 2, "{crashed} leaves crashed");
    deployment.stop();
}

/// Lets every entry measure how long a call takes, so that it can detect a late one.
fn warm_up(deployment: &Deployment) {
    std::thread::scope(|scope| {
        for entry in 0..ENTRIES {
            scope.spawn(move || {
                for request in 0..20 {
                    let body = format!(r#"{{"roster": {request}}}"#);
                    search(deployment, entry, body.as_bytes());
                }
            });
        }
    });
}

#[test]
fn content_that_crashes_late_crashes_at_most_four_leaves() {
    let deployment = start_with(8, ENTRIES);
    warm_up(&deployment);
    deployment.leaves.set_faults(&LeafFaults {
        crash_after: Duration::from_millis(400),
        ..crash_faults()
    });
    send_together(&deployment);
    let crashed = crashes(&deployment);
    assert!(crashed <= 4, "{crashed} leaves crashed");
    deployment.stop();
}

#[test]
fn a_booking_with_many_tickets_crashes_at_most_two_leaves() {
    let deployment = start_with(1, ENTRIES);
    let together = Barrier::new(ENTRIES);
    std::thread::scope(|scope| {
        for entry in 0..ENTRIES {
            let (deployment, together) = (&deployment, &together);
            scope.spawn(move || {
                together.wait();
                for _ in 0..2 {
                    assert!(book(deployment, entry, POISON) <= 1);
                }
            });
        }
    });
    let crashed = crashes(&deployment);
    assert!(crashed <= 2, "{crashed} leaves crashed");
    assert_eq!(book(&deployment, 0, POISON), 0);
    deployment.stop();
}

#[test]
fn without_a_canary_call_each_shard_loses_one_leaf() {
    let services = 4;
    let plan = plan(services, DATA_CENTRES.len(), false);
    let deployment = Deployment::start(&plan).unwrap();
    deployment.leaves.set_faults(&crash_faults());
    search(&deployment, 0, POISON);
    let first = crashes(&deployment);
    assert!(first <= services as u64 + 1, "{first} leaves crashed");
    for entry in [0, 1, 2, 0, 1, 2] {
        assert_eq!(search(&deployment, entry, POISON).status, 503);
    }
    assert_eq!(crashes(&deployment), first);
    deployment.stop();
}

/// Sends the poison through every entry at the same moment, twice.
fn send_together(deployment: &Deployment) {
    let together = Barrier::new(ENTRIES);
    std::thread::scope(|scope| {
        for entry in 0..ENTRIES {
            let together = &together;
            scope.spawn(move || {
                together.wait();
                search(deployment, entry, POISON);
                search(deployment, entry, POISON);
            });
        }
    });
}

/// Returns the number of crashes in a new deployment to which copies are sent
/// together.
fn crashes_of_copies_sent_together(services: usize) -> u64 {
    let deployment = start_with(services, ENTRIES);
    send_together(&deployment);
    let crashed = crashes(&deployment);
    deployment.stop();
    crashed
}

#[test]
fn copies_sent_together_crash_at_most_two_leaves() {
    let crashed = crashes_of_copies_sent_together(1);
    assert!(crashed <= 2, "{crashed} leaves crashed");
}

#[test]
fn copies_of_a_query_to_many_shards_sent_together_crash_at_most_two_leaves() {
    let crashed = crashes_of_copies_sent_together(4);
    assert!(crashed <= 2, "{crashed} leaves crashed");
}
