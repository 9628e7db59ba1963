//! A fleet whose entries and relays run as separate processes. The platform, the
//! leaves and the links are stand-ins in the test process.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use guavacourse::{
    configs::{entry::EntryConfig, log::LogConfig, node::NodeConfig, settings::Settings},
    edge::{operator, platform::HttpStore},
    modules::{
        commit::{CommitOutcome, Proposal},
        inventory::{Address, Config, Instance},
    },
};
use guavacourse_daemons::client::Caller;
use guavacourse_standins::{FleetSettings, LeafFleet, LinkProxy, Platform, PlatformSettings};

/// Maximum time to wait for a condition; long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of the next fleet of this test process.
static NEXT_FLEET: AtomicU64 = AtomicU64::new(0);

/// A process of the fleet, which can be killed and restarted.
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the process.
    pub fn start(&mut self) {
        let mut command = Command::new(self.program);
        command.arg("--config").arg(&self.settings);
        self.child = Some(command.spawn().expect("the program starts"));
    }

    /// Kills the process, if it runs, and waits for it to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the child can be killed");
            child.wait().expect("the child can be waited for");
        }
    }

    /// Sends the process the signal `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let status = Command::new("kill")
            .args([&format!("-{name}"), &child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Shuts the process down gracefully by `SIGTERM` and waits for it to exit.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal("TERM");
        let mut child = self.child.take().expect("the process runs");
        child.wait().expect("the child can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of a [`Fleet`].
pub struct Plan {
    /// Inventory. Its instances each run an entry and a relay; the addresses of
    /// instances and leaves are replaced by free ones.
    pub config: Config,
    /// Settings of every entry.
    pub entry: EntryConfig,
    /// Settings of the leaves.
    pub leaves: FleetSettings,
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Whether relays reach each leaf through a link proxy.
    pub leaf_links: bool,
    /// Whether the instance list gives the address of a link proxy in place of
    /// each process's own.
    pub process_links: bool,
    /// Whether the leaves register in the instance list.
    pub register_leaves: bool,
}

impl Plan {
    /// Creates a plan with default settings, except that entries linger only
    /// 200 ms on shutdown.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entry: EntryConfig {
                linger: Duration::from_millis(200),
                ..EntryConfig::default()
            },
            leaves: FleetSettings::default(),
            platform: PlatformSettings::default(),
            leaf_links: false,
            process_links: false,
            register_leaves: false,
        }
    }
}

/// A running fleet. Dropping it kills its processes.
pub struct Fleet {
    /// Configuration store and instance list.
    pub platform: Platform,
    /// Backend servers.
    pub leaves: LeafFleet,
    /// Links from the relays to the leaves, in the order of the inventory; empty
    /// unless [`Plan::leaf_links`] is set.
    pub leaf_links: Vec<LinkProxy>,
    /// Links from other processes to each entry; empty unless [`Plan::process_links`] is
    /// set.
    pub entry_links: Vec<LinkProxy>,
    /// Links from other processes to each relay; empty unless [`Plan::process_links`] is
    /// set.
    pub relay_links: Vec<LinkProxy>,
    /// Entries, in the order of the inventory's instances.
    pub entries: Vec<Process>,
    /// Relays, in the order of the inventory's instances.
    pub relays: Vec<Process>,
    /// The configuration that the fleet started with, without instances and with
    /// the addresses in use.
    pub config: Config,
    caller_addresses: Vec<SocketAddr>,
    settings_dir: PathBuf,
    number: u64,
}

impl Fleet {
    /// Starts a fleet and waits until every entry is ready.
    pub fn start(plan: &Plan) -> Self {
        let platform = Platform::start(any_port(), &plan.platform).expect("a free port");
        let mut config = plan.config.clone();
        let all = config.services.iter_mut().flat_map(|s| &mut s.leaves);
        all.for_each(|leaf| leaf.address = Address(any_port()));
        let mut settings = plan.leaves.clone();
        if plan.register_leaves {
            settings.platform = Some(platform.address());
        }
        let leaves = LeafFleet::start_with(&config, &settings).expect("free ports");
        let mut config = leaves.config().clone();
        let mut leaf_links = Vec::new();
        if plan.leaf_links {
            for leaf in config.services.iter_mut().flat_map(|s| &mut s.leaves) {
                let seed = settings.seed;
                let link = LinkProxy::start(any_port(), leaf.address.0, seed).expect("a free port");
                leaf.address = Address(link.address());
                leaf_links.push(link);
            }
        }
        let instances = std::mem::take(&mut config.instances);
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let name = format!("guavacourse-{}-{number}", std::process::id());
        let settings_dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&settings_dir).expect("a directory for settings");
        let mut fleet = Self {
            platform,
            leaves,
            leaf_links,
            entry_links: Vec::new(),
            relay_links: Vec::new(),
            entries: Vec::new(),
            relays: Vec::new(),
            config,
            caller_addresses: Vec::new(),
            settings_dir,
            number,
        };
        fleet.apply(0, &fleet.config.clone());
        fleet.start_processes(&instances, plan);
        fleet.wait_ready();
        fleet
    }

    /// Returns a caller of the entry with this index, modulo the number of entries.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.caller_addresses[entry % self.caller_addresses.len()])
    }

    /// Applies `config` as the revision that follows `base`.
    pub fn apply(&self, base: u64, config: &Config) {
        let store = HttpStore::new(self.platform.address());
        let proposal = Proposal {
            base,
            above: 0,
            text: toml::to_string(config).expect("it is serialised"),
            operation: format!("test-{base}"),
            author: "test".to_owned(),
            seconds: 0,
        };
        let outcome = smol::block_on(operator::apply(&store, proposal));
        assert!(
            matches!(outcome, CommitOutcome::Accepted(..)),
            "{outcome:?}"
        );
    }

    /// Waits until every entry has a configuration and sees every process as live.
    pub fn wait_ready(&self) {
        for entry in 0..self.caller_addresses.len() {
            self.wait_entry_ready(entry);
        }
    }

    /// Waits until one entry has a configuration and sees every process as live.
    pub fn wait_entry_ready(&self, entry: usize) {
        let start = Instant::now();
        while !smol::block_on(self.is_ready(entry)) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "entry {entry} is not ready");
            thread::sleep(POLL_INTERVAL);
        }
    }

    async fn is_ready(&self, entry: usize) -> bool {
        let Ok(status) = self.caller(entry).get("/status").await else {
            return false;
        };
        let instances = self.caller_addresses.len();
        let all = |field: &str| {
            let members = status.body[field].as_array();
            members.map_or(0, |m| m.iter().filter(|m| m["state"] == "live").count()) == instances
        };
        status.body["ready"] == true && all("relays") && all("entries")
    }

    fn start_processes(&mut self, instances: &[Instance], plan: &Plan) {
        let count = instances.len();
        let addresses = unique_addresses(self.number, 3 * count);
        let seeds = addresses[count..].to_vec();
        if plan.process_links {
            self.entry_links = self.start_links(&addresses[count..2 * count]);
            self.relay_links = self.start_links(&addresses[2 * count..]);
        }
        for (number, instance) in instances.iter().enumerate() {
            let callers = addresses[number];
            for (role, program, fleet) in [
                (
                    "entry",
                    env!("CARGO_BIN_EXE_guavacourse-entry"),
                    addresses[count + number],
                ),
                (
                    "relay",
                    env!("CARGO_BIN_EXE_guavacourse-relay"),
                    addresses[2 * count + number],
                ),
            ] {
                let settings = Settings {
                    entry: plan.entry.clone(),
                    log: LogConfig {
                        filter: "error".to_owned(),
                        ..LogConfig::default()
                    },
                    node: NodeConfig {
                        instance: instance.name.clone(),
                        data_centre: instance.data_centre.clone(),
                        callers,
                        fleet,
                        platform: self.platform.address(),
                        seeds: seeds.iter().copied().filter(|s| *s != fleet).collect(),
                    },
                    ..Settings::default()
                };
                let process = self.start_process(program, role, &settings);
                match role {
                    "entry" => self.entries.push(process),
                    _ => self.relays.push(process),
                }
            }
            self.caller_addresses.push(callers);
        }
    }

    fn start_links(&self, servers: &[SocketAddr]) -> Vec<LinkProxy> {
        let links = (1..).zip(servers).map(|(seed, server)| {
            let link = LinkProxy::start(any_port(), *server, seed).expect("a free port");
            self.platform.redirect(*server, link.address());
            link
        });
        links.collect()
    }

    fn start_process(&self, program: &'static str, role: &str, settings: &Settings) -> Process {
        let name = format!("{role}-{}.toml", settings.node.instance);
        let path = self.settings_dir.join(name);
        let text = toml::to_string(settings).expect("it is serialised");
        fs::write(&path, text).expect("the directory is writable");
        let mut process = Process {
            program,
            settings: path,
            child: None,
        };
        process.start();
        process
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.relays.clear();
        let _ = fs::remove_dir_all(&self.settings_dir);
    }
}

/// Waits until `done` returns true. The timeout is long enough that a busy machine
/// does not fail the test.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads an inventory from the examples.
pub fn example(name: &str) -> Config {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    let text = fs::read_to_string(format!("{dir}{name}.toml")).expect("the example is there");
    toml::from_str(&text).expect("the example is valid")
}

/// Returns the loopback address with port 0, which binds to any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns addresses that no other fleet uses: each fleet has its own IP address,
/// and the ports are below the range from which the system assigns ports.
fn unique_addresses(fleet: u64, count: usize) -> Vec<SocketAddr> {
    const FIRST_PORT: u16 = 20_000;
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = u8::try_from(fleet + 1).expect("few fleets per test process");
    let ip = Ipv4Addr::new(127, high | 1, low, host);
    (FIRST_PORT..)
        .take(count)
        .map(|port| SocketAddr::from((ip, port)))
        .collect()
}
