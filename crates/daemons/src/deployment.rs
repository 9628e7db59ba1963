//! Runs a whole deployment in one process: stand-ins, relays and entries on
//! loopback.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use guavacourse::{
    configs::{entry::EntryConfig, node::NodeConfig, settings::Settings},
    edge::{
        entry::{EntryServer, RunningEntry},
        operator,
        platform::HttpStore,
        relay::{RelayServer, RunningRelay},
    },
    modules::{
        commit::{CommitOutcome, Proposal},
        inventory::Config,
    },
};
use guavacourse_standins::{FleetSettings, LeafFleet, LinkProxy, Platform, PlatformSettings};

use crate::{client::Caller, network_delays::NetworkDelays};

/// Maximum time until every entry is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which an entry's readiness is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a [`Deployment`].
#[derive(Clone, Debug)]
pub struct Plan {
    /// Inventory and rules. Its instances each run an entry and a relay; the
    /// addresses of instances and leaves are replaced by free ones.
    pub config: Config,
    /// Settings of every entry.
    pub entry: EntryConfig,
    /// Settings of the leaves.
    pub leaves: FleetSettings,
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// One-way delay between an entry and a relay of another data centre.
    pub distance: Duration,
}

impl Plan {
    /// Creates a plan with default settings, except that entries linger only
    /// 100 ms on shutdown.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entry: EntryConfig {
                linger: Duration::from_millis(100),
                ..EntryConfig::default()
            },
            leaves: FleetSettings::default(),
            platform: PlatformSettings::default(),
            distance: Duration::ZERO,
        }
    }
}

/// A running deployment. Dropping it stops everything immediately.
pub struct Deployment {
    /// Entries, in the order of the inventory's instances.
    pub entries: Vec<RunningEntry>,
    /// Relays, in the order of the inventory's instances.
    pub relays: Vec<RunningRelay>,
    /// Backend servers.
    pub leaves: LeafFleet,
    /// Configuration store and instance list.
    pub platform: Platform,
    delays: NetworkDelays,
    config: Config,
}

impl Deployment {
    /// Starts a deployment and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names what could not be started.
    pub fn start(plan: &Plan) -> anyhow::Result<Self> {
        let platform = Platform::start(any_port(), &plan.platform)?;
        let mut config = plan.config.clone();
        for service in &mut config.services {
            for leaf in &mut service.leaves {
                leaf.address.0 = any_port();
            }
        }
        let leaves = LeafFleet::start_with(&config, &plan.leaves)?;
        let mut config = leaves.config().clone();
        let instances = std::mem::take(&mut config.instances);
        let mut deployment = Self {
            entries: Vec::new(),
            relays: Vec::new(),
            leaves,
            delays: NetworkDelays::start(&platform, &config, plan.distance)?,
            platform,
            config,
        };
        deployment.apply(&deployment.config.clone())?;
        for instance in &instances {
            let mut settings = Settings {
                entry: plan.entry.clone(),
                node: NodeConfig {
                    instance: instance.name.clone(),
                    data_centre: instance.data_centre.clone(),
                    platform: deployment.delays.platform_address(&instance.data_centre),
                    ..NodeConfig::default()
                },
                ..Settings::default()
            };
            settings.node.seeds = deployment.seeds();
            let relay = RelayServer::start(&settings)?;
            deployment.delays.add_relay(instance, relay.address())?;
            deployment.relays.push(relay);
            deployment.entries.push(EntryServer::start(settings)?);
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Returns the configuration that the deployment started with, including the
    /// addresses that its leaves serve.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Applies `config` as the next revision in the store and returns its number.
    ///
    /// # Errors
    ///
    /// Returns the reason if the store does not accept it.
    pub fn apply(&self, config: &Config) -> anyhow::Result<u64> {
        let store = HttpStore::background(self.platform.address());
        let text = toml::to_string(config).context("cannot write the configuration as TOML")?;
        smol::block_on(async {
            let (_, head) = operator::read_head(&store).await?;
            let proposal = Proposal {
                base: head.revision(),
                above: 0,
                text,
                operation: format!("{:016x}", fastrand::u64(..)),
                author: "deployment".to_owned(),
                seconds: 0,
            };
            match operator::apply(&store, proposal).await {
                CommitOutcome::Accepted(accepted, _) => Ok(accepted.stamp.revision),
                refused => bail!(refused),
            }
        })
    }

    /// Returns the proxies that delay traffic to the relays of a data centre.
    pub fn delay_proxies(&self, data_centre: &str) -> impl Iterator<Item = &LinkProxy> {
        self.delays.delay_proxies(data_centre)
    }

    /// Returns a caller of the entry with this index, modulo the number of entries.
    #[must_use]
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry % self.entries.len()].callers_address())
    }

    /// Shuts everything down gracefully, entries first.
    pub fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
        for relay in self.relays {
            relay.stop();
        }
        self.leaves.stop();
        self.platform.stop();
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().map(RunningEntry::fleet_address);
        let relays = self.relays.iter().map(RunningRelay::address);
        entries.chain(relays).collect()
    }

    fn wait_ready(&self) -> anyhow::Result<()> {
        let start = Instant::now();
        let expected = self.relays.len();
        for index in 0..self.entries.len() {
            while !smol::block_on(is_ready(self.caller(index), expected))? {
                if start.elapsed() > READY_TIMEOUT {
                    bail!("entry {index} is not ready; see the log");
                }
                std::thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }
}

/// Returns whether an entry has a configuration and knows all relays.
async fn is_ready(mut caller: Caller, expected: usize) -> anyhow::Result<bool> {
    let status = caller
        .get("/status")
        .await
        .context("cannot get the status of an entry")?;
    let relays = status.body["relays"].as_array().map_or(0, Vec::len);
    Ok(status.body["ready"] == true && relays == expected)
}

/// Returns the loopback address with port 0, which binds to any free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
