//! Setup of an experiment: a deployment, its load and its faults.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use guavacourse::modules::{
    catalog::Catalog,
    inventory::{Address, Config, Kind, Leaf, Policy, Service},
    keys::KEY_SPACE,
    members::{Member, Role},
    time::Time,
    view::View,
};

/// Data centres of every deployment, each with one entry and one relay.
pub const DATA_CENTRES: [&str; REPLICAS as usize] = ["dc-a", "dc-b", "dc-c"];

/// Number of data centres, and of replicas of each shard.
const REPLICAS: u32 = 3;

/// Name of the kind that the experiments run.
pub const KIND: &str = "search";

/// A deployment, its load and its faults.
#[derive(Clone)]
pub struct Setup {
    pub policy: Policy,
    /// Services that each query touches; each has one shard with a replica in
    /// each data centre.
    pub services: u32,
    /// Calls that one leaf runs at a time.
    pub slots: u32,
    /// Mean service time of a leaf, or its median if `spread` is given.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of a service time. If none is given,
    /// service times are within 0.4 and 1.6 of the mean.
    pub spread: Option<f64>,
    /// One-way delay between data centres.
    pub remote_delay: Duration,
    /// Load as a fraction of the capacity of all slots.
    pub load: f64,
    /// Time for which queries arrive.
    pub duration: Duration,
    pub kind: Kind,
    pub faults: Faults,
    pub seed: u64,
}

/// Faults during an experiment.
#[derive(Clone, Default)]
pub struct Faults {
    /// Fraction of calls that take ten times as long, 0 to 1.
    pub stragglers: f64,
    /// A leaf that is slow for some time.
    pub slow_leaf: Option<SlowLeaf>,
    /// Queue lengths that replies report.
    pub queue_reports: QueueReports,
    /// Index of a data centre whose relay and leaves are lost, and when. Its entry
    /// keeps running.
    pub lost_dc: Option<(usize, Time)>,
}

/// Slowdown of the leaf of the first service in one data centre.
#[derive(Clone, Copy)]
pub struct SlowLeaf {
    /// Index of the data centre.
    pub dc: usize,
    pub from: Time,
    pub until: Time,
    /// Multiple of the usual service time.
    pub factor: f64,
}

/// Queue lengths that replies report for their leaf.
#[derive(Clone, Copy, Default)]
pub enum QueueReports {
    /// The actual length.
    #[default]
    Accurate,
    /// Idle leaves report long queues, and busy leaves short ones.
    Inverted,
    /// A random number that does not depend on the queue.
    Random,
}

impl Setup {
    /// Returns the Association's gang dispatch: 10 services of 3 leaves with 3
    /// slots, 8 ms between regions.
    pub fn association() -> Self {
        Self {
            policy: Policy::Adaptive,
            services: 10,
            slots: 3,
            service_time: Duration::from_millis(5),
            spread: None,
            remote_delay: Duration::from_millis(8),
            load: 0.3,
            duration: Duration::from_secs(10),
            kind: Kind {
                name: KIND.to_owned(),
                deadline: Duration::from_millis(200),
                least_coverage: 0.0,
                canary: false,
                ..Kind::default()
            },
            faults: Faults::default(),
            seed: 7,
        }
    }

    /// Returns Fanos' trip planning: 10 services of 3 leaves with 2 slots, 20 ms
    /// between regions.
    pub fn fanos() -> Self {
        Self {
            slots: 2,
            remote_delay: Duration::from_millis(20),
            ..Self::association()
        }
    }

    /// Returns the Association's contractor booking with the same delay between data
    /// centres as within one, and with service times as the load tool draws them.
    pub fn loopback() -> Self {
        Self {
            services: 15,
            service_time: Duration::from_millis(8),
            spread: Some(0.3),
            remote_delay: Duration::from_micros(200),
            load: 0.25,
            ..Self::association()
        }
    }

    /// Returns the same setup with the plain policy.
    pub fn plain(&self) -> Self {
        Self {
            policy: Policy::Plain,
            ..self.clone()
        }
    }

    /// Returns the same setup with other faults.
    pub fn with_faults(&self, faults: Faults) -> Self {
        Self {
            faults,
            ..self.clone()
        }
    }

    /// Returns the mean time between two queries of the fleet.
    pub fn mean_interval(&self) -> Duration {
        let slots = f64::from(self.slots) * f64::from(REPLICAS);
        self.service_time.div_f64(slots * self.load)
    }

    /// Returns the view of the fleet that all entries use.
    pub fn view(&self) -> Arc<View> {
        let relays = (1..).zip(DATA_CENTRES).map(|(n, dc)| Member {
            name: format!("relay-{dc}"),
            role: Role::Relay,
            data_centre: dc.to_owned(),
            address: address(n),
            ..Member::default()
        });
        Arc::new(View {
            catalog: Arc::new(Catalog::new(1, &self.config())),
            relays: relays.collect(),
            ..View::default()
        })
    }

    fn config(&self) -> Config {
        let names: Vec<String> = (0..self.services).map(|n| format!("gang-{n}")).collect();
        let services = names.iter().map(|name| Service {
            name: name.clone(),
            slots: self.slots,
            leaves: DATA_CENTRES.map(|dc| leaf(name, dc)).to_vec(),
            ..Service::default()
        });
        Config {
            epoch: 1,
            policy: self.policy,
            services: services.collect(),
            kinds: vec![Kind {
                services: names.clone(),
                ..self.kind.clone()
            }],
            ..Config::default()
        }
    }
}

fn leaf(service: &str, dc: &str) -> Leaf {
    Leaf {
        name: format!("{service}-{dc}"),
        data_centre: dc.to_owned(),
        from: 0,
        until: KEY_SPACE,
        ..Leaf::default()
    }
}

/// Returns the address of the relay in data centre number `n`, from 1.
pub fn address(n: u16) -> Address {
    Address(SocketAddr::from((Ipv4Addr::LOCALHOST, n)))
}
