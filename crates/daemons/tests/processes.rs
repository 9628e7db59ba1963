//! Entries and relays as separate processes, over the example inventories.

mod support;

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use guavacourse::{
    edge::http::ExchangeError,
    modules::{
        inventory::{Class, Config, Leaf, Service},
        keys::KeyRange,
    },
};
use guavacourse_daemons::client::{Answer, Caller};
use guavacourse_standins::row_keys;
use serde_json::Value;
use support::{Fleet, Plan, example};

/// Deadline of queries, generous enough that a busy machine does not fail a test.
const DEADLINE: Duration = Duration::from_secs(30);

/// Reads an example inventory and makes its queries wait for complete answers.
fn full_coverage_config(name: &str) -> Config {
    let mut config = example(name);
    for kind in &mut config.kinds {
        kind.deadline = DEADLINE;
        kind.settle = Duration::ZERO;
        kind.least_coverage = 1.0;
    }
    config
}

fn services<'a>(config: &'a Config, kind: &str) -> Vec<&'a Service> {
    let kind = config
        .kinds
        .iter()
        .find(|k| k.name == kind)
        .expect("a kind");
    let names = kind.services.iter();
    names
        .map(|name| {
            config
                .services
                .iter()
                .find(|s| s.name == *name)
                .expect("a service")
        })
        .collect()
}

/// Returns the keys of all rows of a complete answer, in ascending order.
fn expected_keys(config: &Config, kind: &str, body: &[u8], version: u64) -> Vec<u32> {
    let mut keys = Vec::new();
    for service in services(config, kind) {
        let mut ranges: Vec<KeyRange> = service.leaves.iter().map(Leaf::range).collect();
        ranges.sort_unstable();
        ranges.dedup();
        for range in ranges {
            keys.extend(row_keys(kind, body, range, version));
        }
    }
    keys.sort_unstable();
    keys
}

fn keys(answer: &Answer) -> Vec<u32> {
    let rows = answer.body["rows"].as_array().expect("rows");
    let key = |row: &Value| u32::try_from(row["key"].as_u64().expect("a key")).expect("a key");
    let mut keys: Vec<u32> = rows.iter().map(key).collect();
    keys.sort_unstable();
    keys
}

/// Returns the entry's trace of a request.
async fn explain(caller: &mut Caller, answer: &Answer) -> Value {
    let id = answer.id.as_deref().unwrap_or_default();
    let trace = caller.get(&format!("/explain/{id}")).await;
    trace.map_or(Value::Null, |answer| answer.body)
}

#[test]
fn a_thousand_concurrent_queries_get_their_own_whole_answers() {
    let fleet = Fleet::start(&Plan::new(full_coverage_config("association")));
    let kinds: Vec<&str> = fleet
        .config
        .kinds
        .iter()
        .filter(|kind| kind.class == Class::Query)
        .map(|kind| kind.name.as_str())
        .collect();
    let ask = |number: usize| {
        let kind = kinds[number % kinds.len()];
        let mut caller = fleet.caller(number);
        let config = &fleet.config;
        async move {
            let body = format!("{{\"desk\": {number}}}");
            let path = format!("/query/{kind}");
            let answer = caller.post(&path, &[], body.as_bytes()).await;
            let answer = answer.expect("an answer");
            if answer.status != 200 {
                let id = answer.id.as_deref().unwrap_or_default();
                let trace = caller.get(&format!("/explain/{id}")).await;
                panic!(
                    "{kind} {number}: {}\n{}",
                    answer.body,
                    trace.expect("a trace").body
                );
            }
            assert_eq!(answer.body["coverage"]["missing"], Value::Array(Vec::new()));
            let version = answer.body["index_version"].as_u64().expect("a version");
            let expected = expected_keys(config, kind, body.as_bytes(), version);
            assert_eq!(keys(&answer), expected, "{kind} {number}");
        }
    };
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = (0..1000)
        .map(|number| executor.spawn(ask(number)))
        .collect();
    smol::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
}

/// Sends queries one after the other, as a platform's load balancer would: it
/// switches to another entry when one refuses or closes the connection. Returns how
/// many queries were served and how many failed.
async fn query_until(fleet: &Fleet, number: usize, done: &AtomicBool) -> (usize, usize) {
    let mut entry = number;
    let mut caller: Caller = fleet.caller(entry);
    let (mut served, mut failed) = (0, 0);
    while !done.load(Ordering::Relaxed) {
        match caller.post("/query/gang-list", &[], b"{}").await {
            Ok(answer) if answer.status == 200 => {
                served += 1;
                if !caller.connected() {
                    entry = next_ready(fleet, entry).await;
                    caller = fleet.caller(entry);
                }
            }
            Err(ExchangeError::Unreachable(_)) => {
                entry = next_ready(fleet, entry).await;
                caller = fleet.caller(entry);
            }
            Ok(answer) => {
                eprintln!("failed: {} {}", answer.status, answer.body);
                eprintln!("{}", explain(&mut caller, &answer).await);
                failed += 1;
            }
            Err(error) => {
                eprintln!("failed: {error}");
                failed += 1;
            }
        }
    }
    (served, failed)
}

/// Returns the next entry that reports that it is ready.
async fn next_ready(fleet: &Fleet, mut entry: usize) -> usize {
    loop {
        entry += 1;
        let ready = fleet.caller(entry).get("/ready").await;
        if ready.is_ok_and(|answer| answer.status == 200) {
            return entry;
        }
    }
}

/// Stops the callers, even if the restart panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[test]
fn a_rolling_restart_under_load_fails_no_request() {
    const CALLERS: usize = 16;
    let mut config = full_coverage_config("association");
    config.instances.truncate(4);
    let mut fleet = Fleet::start(&Plan::new(config));
    let done = AtomicBool::new(false);
    let (all_served, all_failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let mut entries = std::mem::take(&mut fleet.entries);
    let mut relays = std::mem::take(&mut fleet.relays);
    thread::scope(|scope| {
        let _stop = StopOnDrop(&done);
        for number in 0..CALLERS {
            let (fleet, done) = (&fleet, &done);
            let (all_served, all_failed) = (&all_served, &all_failed);
            scope.spawn(move || {
                let (served, failed) = smol::block_on(query_until(fleet, number, done));
                all_served.fetch_add(served, Ordering::Relaxed);
                all_failed.fetch_add(failed, Ordering::Relaxed);
            });
        }
        for (number, (entry, relay)) in entries.iter_mut().zip(&mut relays).enumerate() {
            for process in [entry, relay] {
                assert!(process.terminate().success());
                process.start();
                fleet.wait_entry_ready(number);
            }
        }
    });
    assert!(all_served.load(Ordering::Relaxed) > 0);
    assert_eq!(all_failed.load(Ordering::Relaxed), 0);
}
