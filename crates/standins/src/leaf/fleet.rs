//! Runs the leaves of an inventory, and provides handles to control them.

use std::{io, net::SocketAddr, sync::Arc};

use futures_lite::future;
use guavacourse::modules::{
    catalog::stable_hash,
    collections::Map,
    inventory::{Address, Config, Leaf as LeafConfig, Service},
    keys::KeyRange,
};
use smol::LocalExecutor;

use super::{
    faults::LeafFaults,
    heartbeat,
    server::{Leaf, LeafSpec},
    settings::FleetSettings,
    state::{LeafCounters, ServedIndex, State},
};
use crate::{listener::Listener, thread::ServerThread};

/// Handle to a leaf of a running fleet.
#[derive(Clone, Debug)]
pub struct LeafHandle(Arc<Leaf>);

impl LeafHandle {
    /// Returns the leaf's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0.spec.name
    }

    /// Returns the address that the leaf serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> LeafFaults {
        self.0.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LeafFaults) {
        self.0.set_faults(faults, None);
    }

    /// Returns what the leaf serves.
    #[must_use]
    pub fn served(&self) -> ServedIndex {
        self.0.lock().served
    }

    /// Replaces what the leaf serves. Running calls keep the values that they
    /// started with.
    pub fn set_served(&self, served: ServedIndex) {
        self.0.set_served(served);
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.0.lock().incarnation
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.0.lock().running
    }

    /// Returns the leaf's counters.
    #[must_use]
    pub fn work(&self) -> LeafCounters {
        self.0.work()
    }

    /// Returns how often the leaf has run the action with this id.
    #[must_use]
    pub fn runs(&self, action: &str) -> u32 {
        let state = self.0.lock();
        state.runs.get(action).copied().unwrap_or_default()
    }

    /// Crashes the leaf: it closes every connection, refuses new ones for the
    /// restart time of its faults, and starts a new incarnation.
    pub fn crash(&self) {
        self.0.crash();
    }
}

/// The running leaves of an inventory. Dropping it stops and joins its threads.
#[derive(Debug)]
pub struct LeafFleet {
    config: Config,
    leaves: Map<String, LeafHandle>,
    names: Vec<String>,
    threads: Vec<ServerThread>,
}

impl LeafFleet {
    /// Starts every leaf of `config` with default settings.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address cannot be bound.
    pub fn start(config: &Config) -> io::Result<Self> {
        Self::start_with(config, &FleetSettings::default())
    }

    /// Starts every leaf of `config`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address cannot be bound.
    pub fn start_with(config: &Config, settings: &FleetSettings) -> io::Result<Self> {
        let mut fleet = Self {
            config: config.clone(),
            leaves: Map::default(),
            names: Vec::new(),
            threads: Vec::new(),
        };
        let thread_count = settings.threads.max(1);
        let mut batches: Vec<Vec<(Arc<Leaf>, Listener)>> =
            (0..thread_count).map(|_| Vec::new()).collect();
        for service in &mut fleet.config.services {
            let service_config = service.clone();
            for leaf_config in &mut service.leaves {
                let (leaf, listener) = bind(&service_config, leaf_config, config.epoch, settings)?;
                leaf_config.address = Address(listener.address());
                let handle = LeafHandle(Arc::clone(&leaf));
                fleet.leaves.insert(leaf_config.name.clone(), handle);
                fleet.names.push(leaf_config.name.clone());
                batches[fleet.names.len() % thread_count].push((leaf, listener));
            }
        }
        for batch in batches {
            let settings = settings.clone();
            let thread = ServerThread::start("leaves", move || run(batch, settings))?;
            fleet.threads.push(thread);
        }
        Ok(fleet)
    }

    /// Returns the inventory, with the addresses that the leaves are bound to.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the leaf called `name`.
    #[must_use]
    pub fn leaf(&self, name: &str) -> Option<&LeafHandle> {
        self.leaves.get(name)
    }

    /// Returns all leaves, in the order of the inventory.
    pub fn leaves(&self) -> impl Iterator<Item = &LeafHandle> {
        self.names.iter().filter_map(|name| self.leaves.get(name))
    }

    /// Replaces the faults of every leaf.
    pub fn set_faults(&self, faults: &LeafFaults) {
        for leaf in self.leaves() {
            leaf.set_faults(faults.clone());
        }
    }

    /// Adds a new index version to every leaf and drops all but the newest
    /// `kept`.
    pub fn publish(&self, kept: u64) {
        for leaf in self.leaves() {
            let mut state = leaf.0.lock();
            let versions = &mut state.served.versions;
            versions.newest += 1;
            versions.oldest = versions
                .oldest
                .max((versions.newest + 1).saturating_sub(kept));
        }
    }

    /// Sets the partition epoch of every leaf, and the key range of each leaf
    /// that `ranges` names.
    pub fn repartition(&self, epoch: u64, ranges: &Map<String, KeyRange>) {
        for leaf in self.leaves() {
            let mut state = leaf.0.lock();
            state.served.epoch = epoch;
            if let Some(range) = ranges.get(leaf.name()) {
                state.served.range = *range;
            }
        }
    }

    /// Returns how often the leaves together have run the action with this id.
    #[must_use]
    pub fn runs(&self, action: &str) -> u32 {
        self.leaves().map(|leaf| leaf.runs(action)).sum()
    }

    /// Returns how often each action has run, by action id.
    #[must_use]
    pub fn all_runs(&self) -> Map<String, u32> {
        let mut all = Map::default();
        for leaf in self.leaves() {
            for (action, runs) in &leaf.0.lock().runs {
                *all.entry(action.clone()).or_default() += runs;
            }
        }
        all
    }

    /// Returns the sum of the counters of all leaves.
    #[must_use]
    pub fn work(&self) -> LeafCounters {
        let mut work = LeafCounters::default();
        for leaf in self.leaves() {
            work += leaf.work();
        }
        work
    }

    /// Stops the leaves and waits for their threads.
    pub fn stop(mut self) {
        for thread in &mut self.threads {
            thread.stop();
        }
    }
}

/// Binds the address of a leaf.
fn bind(
    service: &Service,
    leaf_config: &LeafConfig,
    epoch: u64,
    settings: &FleetSettings,
) -> io::Result<(Arc<Leaf>, Listener)> {
    let mut address = leaf_config.address.0;
    if address.ip().is_unspecified() && address.port() == 0 {
        address = SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
    }
    let limit = usize::try_from(service.connections).unwrap_or(usize::MAX);
    let (listener, handle) = Listener::bind(address, limit)?;
    let spec = LeafSpec {
        name: leaf_config.name.clone(),
        data_centre: leaf_config.data_centre.clone(),
        slots: service.slots,
        connect: service.connect,
        service: settings.service,
        cold: settings.cold,
    };
    let served = ServedIndex {
        versions: settings.versions,
        epoch,
        range: leaf_config.range(),
    };
    let state = State::new(
        served,
        settings.seed ^ stable_hash(leaf_config.name.as_bytes()),
    );
    let leaf = Leaf::new(spec, handle, listener.address(), state);
    Ok((Arc::new(leaf), listener))
}

/// Runs the leaves of one thread and sends their heartbeats.
async fn run(batch: Vec<(Arc<Leaf>, Listener)>, settings: FleetSettings) {
    let executor = LocalExecutor::new();
    let leaves: Vec<Arc<Leaf>> = batch.iter().map(|(leaf, _)| Arc::clone(leaf)).collect();
    let mut tasks = Vec::new();
    for (leaf, listener) in batch {
        tasks.push(executor.spawn(leaf.run(listener)));
    }
    let heartbeat = async {
        match settings.platform {
            Some(platform) => heartbeat::run(leaves, platform, settings.heartbeat).await,
            None => future::pending().await,
        }
    };
    Box::pin(executor.run(heartbeat)).await;
}
