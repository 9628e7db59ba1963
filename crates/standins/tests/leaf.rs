//! Tests of the simulated leaves through their HTTP protocol.

use std::time::Duration;

use guavacourse::{
    edge::http::{Connection, ExchangeError, call},
    modules::{
        collections::Map,
        inventory::{Config, Leaf, Service},
        keys::{KEY_SPACE, KeyRange},
    },
};
use guavacourse_standins::{
    FleetSettings, LeafFaults, LeafFleet, LeafHandle, LoadReport, Outage, Platform,
    PlatformSettings, ReplyFault, Row, ServiceTime, Versions, row_keys,
};
use http_types::{Method, Request, Response, Url};
use smol::block_on;

const TIMEOUT: Duration = Duration::from_secs(10);

/// First key of the second leaf.
const MIDDLE_KEY: u32 = KEY_SPACE / 2;

/// Returns an inventory of one service with two leaves.
fn config() -> Config {
    let leaf = |name: &str, from, until| Leaf {
        name: name.to_owned(),
        from,
        until,
        ..Leaf::default()
    };
    let service = Service {
        name: "s".to_owned(),
        slots: 1,
        connections: 3,
        leaves: vec![leaf("l1", 0, MIDDLE_KEY), leaf("l2", MIDDLE_KEY, KEY_SPACE)],
        ..Service::default()
    };
    Config {
        epoch: 1,
        services: vec![service],
        ..Config::default()
    }
}

/// Returns settings in which each call takes `median`, and index versions 2 and 3 are
/// served.
fn settings(median: Duration) -> FleetSettings {
    FleetSettings {
        service: ServiceTime {
            median,
            spread: 0.0,
        },
        versions: Versions {
            oldest: 2,
            newest: 3,
        },
        ..FleetSettings::default()
    }
}

/// Starts a fleet whose calls take no time.
fn fleet() -> LeafFleet {
    LeafFleet::start_with(&config(), &settings(Duration::ZERO)).expect("free ports")
}

/// Returns a query for a leaf, with valid headers.
fn query(leaf: &LeafHandle) -> Request {
    let url = format!("http://{}/query", leaf.address());
    let mut request = Request::new(Method::Post, Url::parse(&url).expect("a URL"));
    let headers = [
        ("attempt", "17"),
        ("kind", "k"),
        ("deadline-us", "9000000"),
        ("index-version", "2"),
        ("partition-epoch", "1"),
    ];
    for (name, value) in headers {
        request.insert_header(name, value);
    }
    request.set_body("who");
    request
}

/// Returns an action for a leaf.
fn action(leaf: &LeafHandle, id: &str) -> Request {
    let mut request = query(leaf);
    request.url_mut().set_path("/action");
    request.insert_header("action-id", id);
    request
}

/// Sends a request on a new connection.
fn send(leaf: &LeafHandle, request: Request) -> Result<Response, ExchangeError> {
    block_on(call(leaf.address(), request, TIMEOUT))
}

/// Parses the rows of a response.
fn rows(response: &mut Response) -> Vec<Row> {
    block_on(response.body_json()).expect("rows")
}

/// Returns the status and the protocol headers of a response, without the incarnation
/// and the body length.
fn summary(response: &Response) -> String {
    let names = [
        "attempt",
        "index-oldest",
        "index-newest",
        "partition-epoch",
        "state",
        "load",
        "index-version",
        "key-from",
        "key-until",
        "row-count",
        "not-run",
    ];
    let mut parts = vec![(response.status() as u16).to_string()];
    for name in names {
        if let Some(value) = response.header(name) {
            parts.push(format!("{name}={}", value.as_str()));
        }
    }
    parts.join(" ")
}

/// Returns faults with a change to the default.
fn faults_with(change: impl FnOnce(&mut LeafFaults)) -> LeafFaults {
    let mut faults = LeafFaults::default();
    change(&mut faults);
    faults
}

#[test]
fn complete_answer() {
    let fleet = fleet();
    let mut found = Vec::new();
    for leaf in fleet.leaves() {
        let mut response = send(leaf, query(leaf)).expect("a response");
        found.extend(rows(&mut response).into_iter().map(|row| row.key));
    }
    assert_eq!(found, row_keys("k", b"who", KeyRange::ALL, 2));
    assert_eq!(found.len(), 64);
    assert_ne!(found, row_keys("k", b"who", KeyRange::ALL, 3));
    assert_ne!(found, row_keys("k", b"whom", KeyRange::ALL, 2));
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let response = send(leaf, query(leaf)).expect("a response");
    insta::assert_snapshot!(summary(&response), @"200 attempt=17 index-oldest=2 index-newest=3 partition-epoch=1 state=serving load=0 index-version=2 key-from=0 key-until=32768 row-count=32");
}

#[test]
fn refusals() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let ask = |name: &str, value: &str| {
        let mut request = query(leaf);
        request.insert_header(name, value);
        summary(&send(leaf, request).expect("a response"))
    };
    let mut seen = vec![
        ask("index-version", "1"),
        ask("index-version", "4"),
        ask("index-version", "0"),
        ask("partition-epoch", "2"),
        ask("deadline-us", "0"),
    ];
    leaf.set_faults(faults_with(|faults| faults.draining = true));
    seen.push(ask("index-version", "0"));
    leaf.set_faults(faults_with(|faults| faults.shed = 1.0));
    seen.push(ask("index-version", "0"));
    insta::assert_snapshot!(seen.join("\n"));
    let work = leaf.work();
    assert_eq!((work.received, work.started, work.finished), (7, 1, 1));
    assert_eq!((work.shed, work.refused), (1, 5));
}

#[test]
fn slot_limit() {
    let slow = settings(Duration::from_hours(1));
    let fleet = LeafFleet::start_with(&config(), &slow).expect("free ports");
    let leaf = fleet.leaf("l1").expect("in the inventory");
    block_on(async {
        let mut first = Connection::open(leaf.address()).await.expect("connected");
        let running = smol::spawn({
            let request = query(leaf);
            async move { first.exchange(request).await }
        });
        while leaf.running() == 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        let shed = call(leaf.address(), query(leaf), TIMEOUT).await;
        insta::assert_snapshot!(summary(&shed.expect("a response")), @"503 attempt=17 index-oldest=2 index-newest=3 partition-epoch=1 state=serving load=1 not-run=shed");
        // Closing the connection frees the slot.
        running.cancel().await;
        while leaf.running() > 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        let mut short_deadline = query(leaf);
        short_deadline.insert_header("deadline-us", "1000");
        let expired = call(leaf.address(), short_deadline, TIMEOUT).await;
        insta::assert_snapshot!(summary(&expired.expect("a response")), @"504 attempt=17 index-oldest=2 index-newest=3 partition-epoch=1 state=serving load=0");
    });
    let work = leaf.work();
    assert_eq!((work.cancelled, work.expired, work.finished), (1, 1, 0));
}

#[test]
fn connection_limit() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    block_on(async {
        let mut open = Vec::new();
        for _ in 0..3 {
            let mut connection = Connection::open(leaf.address()).await.expect("connected");
            connection.exchange(query(leaf)).await.expect("a response");
            open.push(connection);
        }
        let over = call(leaf.address(), query(leaf), TIMEOUT).await;
        assert!(matches!(over, Err(ExchangeError::Closed(_))), "{over:?}");
        drop(open.pop());
        while call(leaf.address(), query(leaf), TIMEOUT).await.is_err() {}
    });
    assert!(leaf.work().rejected >= 1);
}

#[test]
fn action_run_counts() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let mut first = send(leaf, action(leaf, "a1")).expect("a response");
    let mut second = send(leaf, action(leaf, "a1")).expect("a response");
    assert_eq!(rows(&mut first)[0].run, 1);
    assert_eq!(rows(&mut second)[0].run, 2);
    leaf.set_faults(faults_with(|faults| faults.reply = Some(ReplyFault::Lost)));
    let lost = send(leaf, action(leaf, "a2"));
    assert!(matches!(lost, Err(ExchangeError::Closed(_))), "{lost:?}");
    assert_eq!((fleet.runs("a1"), fleet.runs("a2")), (2, 1));
    assert_eq!(fleet.all_runs().len(), 2);
}

#[test]
fn wrong_replies() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let ask = |fault| {
        leaf.set_faults(faults_with(|faults| faults.reply = Some(fault)));
        match send(leaf, query(leaf)) {
            Ok(response) => summary(&response),
            Err(error) => error.to_string(),
        }
    };
    let seen = [
        ask(ReplyFault::CutShort),
        ask(ReplyFault::Lost),
        ask(ReplyFault::MissingHeaders),
        ask(ReplyFault::WrongAttempt),
        ask(ReplyFault::WrongCount),
        ask(ReplyFault::WrongEpoch),
        ask(ReplyFault::WrongRange),
        ask(ReplyFault::WrongVersion),
    ];
    insta::assert_snapshot!(seen.join("\n"));
    leaf.set_faults(faults_with(|faults| {
        faults.reply = Some(ReplyFault::MalformedRows);
    }));
    let mut response = send(leaf, query(leaf)).expect("a response");
    let body = block_on(response.body_string()).expect("text");
    assert!(serde_json::from_str::<Vec<Row>>(&body).is_err());
}

#[test]
fn crash_on_marker() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let before = leaf.incarnation();
    leaf.set_faults(faults_with(|faults| {
        faults.crash_marker = "poison".to_owned();
        faults.restart = Duration::from_millis(200);
    }));
    let mut marked = query(leaf);
    marked.set_body("a poison body");
    let crashed = send(leaf, marked);
    assert!(
        matches!(crashed, Err(ExchangeError::Closed(_))),
        "{crashed:?}"
    );
    while send(leaf, query(leaf)).is_err() {
        std::thread::yield_now();
    }
    assert_ne!(leaf.incarnation(), before);
    assert_eq!(leaf.work().crashes, 1);
}

#[test]
fn faults_over_http() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let put_faults = |body: &str| {
        let url = format!("http://{}/faults", leaf.address());
        let mut request = Request::new(Method::Put, Url::parse(&url).expect("a URL"));
        request.set_body(body);
        send(leaf, request).expect("a response").status() as u16
    };
    assert_eq!(put_faults(r#"{"down":"close"}"#), 200);
    let closed = send(leaf, query(leaf));
    assert!(
        matches!(closed, Err(ExchangeError::Closed(_))),
        "{closed:?}"
    );
    assert_eq!(leaf.faults().down, Outage::Close);
    assert_eq!(put_faults(r#"{"straggle":{"part":0.01}}"#), 200);
    assert_eq!(send(leaf, query(leaf)).expect("a response").status(), 200);
    assert_eq!(put_faults(r#"{"unknown":1}"#), 400);
}

#[test]
fn versions_and_partitions() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    fleet.publish(2);
    let versions = leaf.served().versions;
    assert_eq!((versions.oldest, versions.newest), (3, 4));
    let mut ranges = Map::default();
    ranges.insert("l1".to_owned(), KeyRange::new(0, 100));
    ranges.insert("l2".to_owned(), KeyRange::new(100, KEY_SPACE));
    fleet.repartition(2, &ranges);
    let mut request = query(leaf);
    request.insert_header("partition-epoch", "2");
    request.insert_header("index-version", "0");
    let response = send(leaf, request).expect("a response");
    insta::assert_snapshot!(summary(&response), @"200 attempt=17 index-oldest=3 index-newest=4 partition-epoch=2 state=serving load=0 index-version=4 key-from=0 key-until=100 row-count=0");
}

#[test]
fn misleading_load() {
    let fleet = fleet();
    let leaf = fleet.leaf("l1").expect("in the inventory");
    leaf.set_faults(faults_with(|faults| faults.load = LoadReport::Fixed(9)));
    let response = send(leaf, query(leaf)).expect("a response");
    assert_eq!(response.header("load").expect("present").as_str(), "9");
    let url = format!("http://{}/load", leaf.address());
    let request = Request::new(Method::Get, Url::parse(&url).expect("a URL"));
    let mut response = send(leaf, request).expect("a response");
    let body = block_on(response.body_string()).expect("text");
    assert_eq!(body, r#"{"running":9,"waiting":0}"#);
}

#[test]
fn registration() {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::start(any_port, &PlatformSettings::default()).expect("a free port");
    let settings = FleetSettings {
        platform: Some(platform.address()),
        heartbeat: Duration::from_millis(10),
        ..FleetSettings::default()
    };
    let fleet = LeafFleet::start_with(&config(), &settings).expect("free ports");
    while platform.instances().len() < 2 {
        std::thread::yield_now();
    }
    let leaf = fleet.leaf("l1").expect("in the inventory");
    let listed = platform.instances();
    assert_eq!(listed[0].name, "l1");
    assert_eq!(listed[0].address.0, leaf.address());
    assert_eq!(listed[0].incarnation, leaf.incarnation());
    fleet.stop();
}
