//! Tests of the simulated platform through its HTTP protocol.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use guavacourse::{
    edge::{
        http::{ExchangeError, call},
        platform::{HttpInstanceList, HttpStore, InstanceList, Store, VersionedValue},
    },
    modules::members::{Member, MemberState, Role},
};
use guavacourse_standins::{Counters, Outage, Platform, PlatformFaults, PlatformSettings};
use http_types::{Method, Request, Response, Url};
use smol::block_on;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a loopback address that binds to a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A simulated platform, and an HTTP client for it.
struct Harness {
    platform: Platform,
}

impl Harness {
    fn start() -> Self {
        Self::start_with(&PlatformSettings::default())
    }

    fn start_with(settings: &PlatformSettings) -> Self {
        let platform = Platform::start(any_port(), settings).expect("a free port");
        Self { platform }
    }

    /// Sends a request on a new connection.
    fn try_send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, ExchangeError> {
        let addr = self.platform.address();
        let url = Url::parse(&format!("http://{addr}{path}")).expect("a URL");
        let mut request = Request::new(method, url);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        request.set_body(body);
        block_on(call(addr, request, TIMEOUT))
    }

    /// Sends a request and returns the summary of its response.
    fn send(&self, method: Method, path: &str, headers: &[(&str, &str)], body: &str) -> String {
        let response = self.try_send(method, path, headers, body);
        summary(response.expect("a response"))
    }

    /// Writes a key if it has the given version.
    fn put(&self, key: &str, version: &str, body: &str) -> String {
        let path = format!("/kv/{key}");
        self.send(Method::Put, &path, &[("if-version", version)], body)
    }

    fn get(&self, path: &str) -> String {
        self.send(Method::Get, path, &[], "")
    }

    /// Registers a relay.
    fn register(&self, name: &str, state: MemberState) {
        let member = Member {
            name: name.to_owned(),
            role: Role::Relay,
            state,
            ..Member::default()
        };
        let body = serde_json::to_string(&member).expect("JSON");
        let path = format!("/instances/{name}/relay");
        assert_eq!(self.send(Method::Put, &path, &[], &body), "200");
    }

    /// Returns the names in the instance list.
    fn names(&self) -> Vec<String> {
        let members = self.platform.instances();
        members.into_iter().map(|member| member.name).collect()
    }
}

/// Returns the status, version and body of a response.
fn summary(mut response: Response) -> String {
    let mut parts = vec![(response.status() as u16).to_string()];
    if let Some(version) = response.header("version") {
        parts.push(format!("v{}", version.as_str()));
    }
    let body = block_on(response.body_string()).expect("UTF-8");
    parts.push(body);
    parts.join(" ").trim_end().to_owned()
}

#[test]
fn compare_and_swap() {
    let harness = Harness::start();
    let seen = [
        harness.get("/kv/a/b"),
        harness.put("a/b", "0", "one"),
        harness.put("a/b", "0", "two"),
        harness.put("a/b", "1", "two"),
        harness.get("/kv/a/b"),
        harness.send(Method::Delete, "/kv/a/b", &[("if-version", "1")], ""),
        harness.send(Method::Delete, "/kv/a/b", &[("if-version", "2")], ""),
        harness.put("a/b", "0", "three"),
    ];
    insta::assert_snapshot!(seen.join("\n"), @"
    404
    200 v1
    409 v1
    200 v2
    200 v2 two
    409 v2
    200
    200 v4
    ");
    let counters = harness.platform.counters();
    assert_eq!((counters.reads, counters.writes), (2, 6));
}

#[test]
fn value_size() {
    let harness = Harness::start();
    let mib = 1024 * 1024;
    assert_eq!(harness.put("k", "0", &"x".repeat(mib)), "200 v1");
    assert!(
        harness
            .put("k", "1", &"x".repeat(mib + 1))
            .starts_with("413")
    );
}

#[test]
fn lease() {
    let harness = Harness::start();
    let granted = harness.send(Method::Post, "/leases?ttl-ms=600000", &[], "");
    let headers = [("if-version", "0"), ("lease", "1")];
    let put = harness.send(Method::Put, "/kv/k", &headers, "held");
    let renewed = harness.send(Method::Post, "/leases/1/renew", &[], "");
    harness.platform.expire_leases();
    let seen = [
        granted,
        put,
        renewed,
        harness.get("/kv/k"),
        harness.send(Method::Post, "/leases/1/renew", &[], ""),
        harness.send(Method::Put, "/kv/k", &headers, "held"),
    ];
    insta::assert_snapshot!(seen.join("\n"), @r#"
    201 {"id":1,"ttl_ms":600000}
    200 v1
    200
    404
    410
    410
    "#);
}

#[test]
fn lease_expiry() {
    let harness = Harness::start();
    harness.send(Method::Post, "/leases?ttl-ms=50", &[], "");
    let headers = [("if-version", "0"), ("lease", "1")];
    harness.send(Method::Put, "/kv/k", &headers, "held");
    // The watch returns when the lease expires.
    assert_eq!(harness.get("/kv/k?after=1&wait-ms=60000"), "404");
}

#[test]
fn watch() {
    let harness = Harness::start();
    harness.put("k", "0", "one");
    assert_eq!(harness.get("/kv/k?after=0&wait-ms=60000"), "200 v1 one");
    assert_eq!(harness.get("/kv/k?after=1&wait-ms=10"), "304");
    let seen = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| harness.get("/kv/k?after=1&wait-ms=60000"));
        while harness.platform.counters().watches < 3 {
            std::thread::yield_now();
        }
        harness.put("k", "1", "two");
        waiting.join().expect("no panic")
    });
    assert_eq!(seen, "200 v2 two");
}

#[test]
fn rate_limits() {
    let harness = Harness::start_with(&PlatformSettings {
        write_rate: 3,
        read_rate: 0,
        ..PlatformSettings::default()
    });
    let throttled = (0..20)
        .filter(|_| harness.put("k", "9", "").starts_with("429"))
        .count();
    assert!(throttled > 0, "no write was throttled");
    assert!(harness.get("/kv/k").starts_with("429"));
}

#[test]
fn lost_reply() {
    let harness = Harness::start();
    harness.platform.set_faults(PlatformFaults {
        lost_replies: 1,
        ..PlatformFaults::default()
    });
    // The reply of a write that fails is not lost.
    assert_eq!(harness.put("k", "7", "one"), "409 v0");
    let lost = harness.try_send(Method::Put, "/kv/k", &[("if-version", "0")], "one");
    assert!(matches!(lost, Err(ExchangeError::Closed(_))), "{lost:?}");
    assert_eq!(harness.put("k", "0", "two"), "409 v1");
    assert_eq!(harness.get("/kv/k"), "200 v1 one");
}

#[test]
fn outages() {
    let harness = Harness::start();
    harness.put("k", "0", "one");
    let faults = |body: &str| harness.send(Method::Put, "/faults", &[], body);
    assert_eq!(faults(r#"{"down":"close"}"#), "200");
    let closed = harness.try_send(Method::Get, "/kv/k", &[], "");
    assert!(
        matches!(closed, Err(ExchangeError::Closed(_))),
        "{closed:?}"
    );
    assert_eq!(faults("{}"), "200");
    assert_eq!(harness.get("/kv/k"), "200 v1 one");

    harness.platform.set_faults(PlatformFaults {
        down: Outage::Refuse,
        ..PlatformFaults::default()
    });
    // The listener closes a moment later.
    let refused = loop {
        match harness.try_send(Method::Get, "/kv/k", &[], "") {
            Err(error @ ExchangeError::Unreachable(_)) => break error,
            _ => std::thread::yield_now(),
        }
    };
    assert!(matches!(refused, ExchangeError::Unreachable(_)));
    harness.platform.set_faults(PlatformFaults::default());
    let restored = loop {
        match harness.try_send(Method::Get, "/kv/k", &[], "") {
            Ok(response) => break summary(response),
            Err(_) => std::thread::yield_now(),
        }
    };
    assert_eq!(restored, "200 v1 one");
}

#[test]
fn instance_list() {
    let harness = Harness::start();
    harness.register("r1", MemberState::Live);
    harness.register("r2", MemberState::Leaving);
    insta::assert_snapshot!(harness.get("/instances"), @r#"200 {"instances":[{"name":"r1","role":"relay","data_centre":"","address":"0.0.0.0:0","state":"live","incarnation":0},{"name":"r2","role":"relay","data_centre":"","address":"0.0.0.0:0","state":"leaving","incarnation":0}]}"#);

    let lag = PlatformFaults {
        list_lag: Duration::from_hours(1),
        ..PlatformFaults::default()
    };
    harness.platform.set_faults(lag);
    assert_eq!(harness.names(), Vec::<String>::new());

    harness.platform.set_faults(PlatformFaults {
        list_frozen: true,
        ..PlatformFaults::default()
    });
    harness.register("r3", MemberState::Live);
    assert_eq!(harness.names(), ["r1", "r2"]);

    harness.platform.set_faults(PlatformFaults {
        list_overrides: vec![Member {
            name: "r2".to_owned(),
            role: Role::Relay,
            ..Member::default()
        }],
        ..PlatformFaults::default()
    });
    let listed = harness.platform.instances();
    let states: Vec<_> = listed.iter().map(|m| (m.name.as_str(), m.state)).collect();
    insta::assert_debug_snapshot!(states, @r#"
    [
        (
            "r1",
            Live,
        ),
        (
            "r3",
            Live,
        ),
        (
            "r2",
            Live,
        ),
    ]
    "#);
}

#[test]
fn instance_timeout() {
    let harness = Harness::start_with(&PlatformSettings {
        timeout: Duration::from_millis(100),
        ..PlatformSettings::default()
    });
    harness.register("r1", MemberState::Live);
    while !harness.names().is_empty() {
        std::thread::yield_now();
    }
}

#[test]
fn counters() {
    let harness = Harness::start();
    harness.put("k", "0", "one");
    let text = harness.get("/counters");
    let body = text.strip_prefix("200 ").expect("status 200");
    let counters: Counters = serde_json::from_str(body).expect("counters");
    assert_eq!(counters, harness.platform.counters());
    assert_eq!(counters.writes, 1);
}

#[test]
fn stop_frees_the_address() {
    let harness = Harness::start();
    let addr = harness.platform.address();
    harness.platform.stop();
    let again = Platform::start(addr, &PlatformSettings::default());
    assert!(again.is_ok(), "the address is free again: {again:?}");
}

// Guards against keys that the store confuses, because part of a key is read as the query
// or the fragment of the target.
#[test]
fn keys_of_any_characters_are_kept_apart() {
    let harness = Harness::start();
    let store = HttpStore::new(harness.platform.address());
    let texts = ["&", "+", "#", "%", "%61", " ", "=", "?", "\"", "\r\n", "é"];
    let keys = texts.map(|text| format!("config/1/a{text}b"));
    block_on(async {
        let mut versions = Vec::new();
        for key in &keys {
            let written = store.put(key, key.clone().into_bytes(), 0).await;
            versions.push(written.expect("written"));
        }
        for (key, version) in keys.iter().zip(versions) {
            let value = key.clone().into_bytes();
            let stored = store.get(key).await.expect("read");
            assert_eq!(stored, Some(VersionedValue { version, value }));
            store.delete(key, version).await.expect("deleted");
        }
    });
}

#[test]
fn a_process_of_any_name_registers() {
    let harness = Harness::start();
    let list = HttpInstanceList::new(harness.platform.address());
    for name in ["a#b", "a?b", "a%2Fb", "a b", "a&b+c", "é"] {
        let member = Member {
            name: name.to_owned(),
            ..Member::default()
        };
        block_on(list.register(&member)).expect("registered");
        let listed = block_on(list.list()).expect("read");
        assert!(listed.contains(&member), "{name}");
    }
}
