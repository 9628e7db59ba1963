//! A relay in its own process, stopped by a signal.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use guavacourse::{
    edge::{
        operator,
        platform::{HttpInstanceList, HttpStore, InstanceList},
        relay::{RelayClient, RelayMessage},
    },
    modules::{
        call::{AttemptId, Call, Outcome, Part, Reply},
        catalog::LeafId,
        commit::{CommitOutcome, Proposal},
        inventory::{Config, Leaf, Service},
        keys::KEY_SPACE,
        members::{Member, MemberState, Role},
    },
};
use guavacourse_standins::{FleetSettings, LeafFleet, Platform, PlatformSettings};
use smol::{LocalExecutor, Timer};

/// Maximum wait for a state that the test expects.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A relay process, killed when dropped, with its settings, platform and leaves.
struct Harness {
    relay: Child,
    settings: PathBuf,
    list: HttpInstanceList,
    leaves: LeafFleet,
    _platform: Platform,
}

impl Drop for Harness {
    fn drop(&mut self) {
        // It has ended already unless the test failed.
        let _ = self.relay.kill();
        let _ = self.relay.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Harness {
    fn start(name: &str, service_time: Duration) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any, &PlatformSettings::default()).unwrap();
        let mut fleet = FleetSettings::default();
        fleet.service.median = service_time;
        let leaves = LeafFleet::start_with(&config(), &fleet).unwrap();
        apply(platform.address(), leaves.config());
        let file = format!("guavacourse-{name}-{}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "[node]\ninstance = \"one\"\nfleet = \"{any}\"\nplatform = \"{}\"\n",
            platform.address()
        );
        std::fs::write(&settings, text).unwrap();
        let relay = Command::new(env!("CARGO_BIN_EXE_guavacourse-relay"))
            .arg("--config")
            .arg(&settings)
            .spawn()
            .unwrap();
        Self {
            relay,
            settings,
            list: HttpInstanceList::new(platform.address()),
            leaves,
            _platform: platform,
        }
    }

    /// Returns the relay's entry in the instance list, if it has one.
    async fn member(&self) -> Option<Member> {
        let members = self.list.list().await.unwrap_or_default();
        members.into_iter().find(|m| m.role == Role::Relay)
    }

    /// Waits until the relay is in the instance list and has the configuration.
    /// Returns a session with it.
    async fn connect(&self, executor: &LocalExecutor<'static>) -> RelayClient {
        let start = Instant::now();
        let address = loop {
            if let Some(member) = self.member().await {
                break member.address.0;
            }
            assert!(
                start.elapsed() < STATE_TIMEOUT,
                "the relay is not in the instance list"
            );
            Timer::after(POLL_INTERVAL).await;
        };
        let client = RelayClient::open(executor, address).await.unwrap();
        loop {
            client.submit(&[part(0, 1)]).await.unwrap();
            if matches!(replies(&client, 1).await[0].outcome, Outcome::Rows(_)) {
                return client;
            }
            assert!(
                start.elapsed() < STATE_TIMEOUT,
                "the relay has no configuration"
            );
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

fn config() -> Config {
    let leaf = Leaf {
        name: "leaf".to_owned(),
        until: KEY_SPACE,
        ..Leaf::default()
    };
    let service = Service {
        name: "rosters".to_owned(),
        slots: 2,
        connections: 8,
        leaves: vec![leaf],
        ..Service::default()
    };
    Config {
        epoch: 1,
        services: vec![service],
        ..Config::default()
    }
}

fn apply(platform: SocketAddr, config: &Config) {
    let proposal = Proposal {
        base: 0,
        above: 0,
        text: toml::to_string(config).unwrap(),
        operation: "first".to_owned(),
        author: "test".to_owned(),
        seconds: 0,
    };
    let store = HttpStore::new(platform);
    let applied = smol::block_on(operator::apply(&store, proposal));
    assert!(matches!(applied, CommitOutcome::Accepted(..)));
}

fn part(first: u64, count: u64) -> Part {
    let call = |attempt| Call {
        attempt: AttemptId(attempt),
        leaf: LeafId::of("leaf"),
        extra: false,
    };
    Part {
        kind: "enquiry".to_owned(),
        worth: 1,
        budget: Duration::from_secs(10),
        epoch: 1,
        fingerprint: first,
        body: Arc::from(&b"{}"[..]),
        calls: (first..first + count).map(call).collect(),
        ..Part::default()
    }
}

/// Waits for `count` replies; skips announcements of the relay.
async fn replies(client: &RelayClient, count: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    while replies.len() < count {
        match client.next().await {
            Some(RelayMessage::Replies(more)) => replies.extend(more),
            Some(_) => {}
            None => panic!("the session ended before {count} replies; got {replies:?}"),
        }
    }
    replies
}

#[test]
fn a_signal_stops_the_relay_without_failing_a_call() {
    let mut harness = Harness::start("signal", Duration::from_millis(200));
    let executor = Rc::new(LocalExecutor::new());
    let start = smol::block_on(executor.run(async {
        let client = harness.connect(&executor).await;
        client.submit(&[part(100, 6)]).await.unwrap();
        let id = harness.relay.id().to_string();
        let killed = Command::new("kill").args(["-TERM", &id]).status();
        assert!(killed.unwrap().success());
        let start = Instant::now();
        assert_eq!(client.next().await, Some(RelayMessage::Leaving));
        while harness.member().await.map(|m| m.state) != Some(MemberState::Leaving) {
            assert!(
                start.elapsed() < STATE_TIMEOUT,
                "the instance list never showed the relay as leaving"
            );
            Timer::after(POLL_INTERVAL).await;
        }
        let replies = replies(&client, 6).await;
        let has_rows = |reply: &Reply| matches!(reply.outcome, Outcome::Rows(_));
        assert!(replies.iter().all(has_rows), "{replies:?}");
        start
    }));
    drop(executor);
    let status = harness.relay.wait().unwrap();
    assert!(status.success(), "{status}");
    println!("stopped after {} ms", start.elapsed().as_millis());
    assert_eq!(harness.leaves.work().cancelled, 0);
}
