//! Tests of the proxy that simulates a faulty network link.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use guavacourse::edge::http::{Connection, ExchangeError, call};
use guavacourse_standins::{LinkFaults, LinkProxy, Platform, PlatformSettings, Stall};
use http_types::{Method, Request, Url};
use smol::block_on;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// A simulated platform behind a proxy.
struct Harness {
    platform: Platform,
    link: LinkProxy,
}

impl Harness {
    fn start() -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let platform =
            Platform::start(any_port, &PlatformSettings::default()).expect("a free port");
        let link = LinkProxy::start(any_port, platform.address(), 1).expect("a free port");
        Self { platform, link }
    }

    /// Reads a missing key through the proxy and returns the status code.
    fn read(&self, timeout: Duration) -> Result<u16, ExchangeError> {
        let request = request(self.link.address());
        let response = block_on(call(self.link.address(), request, timeout))?;
        Ok(response.status() as u16)
    }
}

/// Returns a request that reads a missing key.
fn request(addr: SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{addr}/kv/k")).expect("a URL");
    Request::new(Method::Get, url)
}

#[test]
fn forwards() {
    let harness = Harness::start();
    assert_eq!(harness.read(TIMEOUT).expect("a response"), 404);
}

#[test]
fn delay() {
    let harness = Harness::start();
    harness.link.set_faults(LinkFaults {
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(10),
        ..LinkFaults::default()
    });
    let start = Instant::now();
    assert_eq!(harness.read(TIMEOUT).expect("a response"), 404);
    assert!(start.elapsed() >= Duration::from_millis(60));
}

#[test]
fn stalls() {
    let harness = Harness::start();
    // A request that was stalled reaches the server after the stall ends.
    for (stall, reads) in [(Stall::ToServer, 0), (Stall::ToClient, 2), (Stall::Both, 2)] {
        harness.link.set_faults(LinkFaults {
            stall,
            ..LinkFaults::default()
        });
        let timed_out = harness.read(SHORT_TIMEOUT);
        assert!(
            matches!(timed_out, Err(ExchangeError::Timeout)),
            "{timed_out:?}"
        );
        while harness.platform.counters().reads < reads {
            std::thread::yield_now();
        }
        assert_eq!(harness.platform.counters().reads, reads, "{stall:?}");
    }
    harness.link.set_faults(LinkFaults::default());
    assert_eq!(harness.read(TIMEOUT).expect("a response"), 404);
}

#[test]
fn cut_and_restored() {
    let harness = Harness::start();
    harness.link.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    while !matches!(harness.read(TIMEOUT), Err(ExchangeError::Unreachable(_))) {
        std::thread::yield_now();
    }
    harness.link.set_faults(LinkFaults::default());
    while harness.read(TIMEOUT).is_err() {
        std::thread::yield_now();
    }
}

#[test]
fn dropped_connections() {
    let harness = Harness::start();
    let addr = harness.link.address();
    block_on(async {
        let mut connection = Connection::open(addr).await.expect("connected");
        connection.exchange(request(addr)).await.expect("a reply");
        harness.link.drop_connections();
        let mut attempts = 1000;
        while connection.exchange(request(addr)).await.is_ok() && attempts > 0 {
            attempts -= 1;
        }
        assert!(attempts > 0, "the connection was not dropped");
    });
    assert_eq!(harness.read(TIMEOUT).expect("a response"), 404);
}

#[test]
fn bandwidth_limit() {
    let harness = Harness::start();
    harness.link.set_faults(LinkFaults {
        bandwidth: 1_000,
        ..LinkFaults::default()
    });
    let start = Instant::now();
    assert_eq!(harness.read(TIMEOUT).expect("a response"), 404);
    // Request and response together are more than 50 bytes.
    assert!(start.elapsed() >= Duration::from_millis(50));
}

#[test]
fn loss() {
    let harness = Harness::start();
    harness.link.set_faults(LinkFaults {
        loss: 1.0,
        ..LinkFaults::default()
    });
    assert!(harness.read(TIMEOUT).is_err());
}
