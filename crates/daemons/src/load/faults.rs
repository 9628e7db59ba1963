//! Injects the faults of an experiment.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use guavacourse::modules::{
    inventory::{Address, Config},
    members::Role,
};
use guavacourse_standins::{
    LeafFaults, LeafFleet, LeafHandle, LinkFaults, LinkProxy, Outage, PlatformFaults,
};
use smol::Timer;

use super::{
    client::Client,
    experiment::{Fault, ScheduledFault},
};
use crate::deployment::Deployment;

/// Injects the faults of one run.
pub(super) struct FaultInjector<'a> {
    deployment: &'a Deployment,
    client: Rc<Client<'a>>,
    config: &'a Config,
    proxies: Vec<NodeProxy>,
}

/// A proxy in front of an entry or relay of a data centre that is to be lost.
struct NodeProxy {
    data_centre: String,
    proxy: LinkProxy,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector, and puts proxies in front of the entries and relays
    /// of the data centres that are to be lost.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a proxy cannot be started.
    pub(super) fn new(
        deployment: &'a Deployment,
        client: Rc<Client<'a>>,
        config: &'a Config,
        faults: &[ScheduledFault],
    ) -> std::io::Result<Self> {
        let mut injector = Self {
            deployment,
            client,
            config,
            proxies: Vec::new(),
        };
        for scheduled in faults {
            if let Fault::LostDataCentre(name) = &scheduled.fault {
                injector.add_proxies(name)?;
            }
        }
        Ok(injector)
    }

    /// Starts a proxy for each entry and relay of a data centre, and makes the
    /// instance list give the proxies' addresses.
    fn add_proxies(&mut self, data_centre: &str) -> std::io::Result<()> {
        let mut faults = self.deployment.platform.faults();
        for mut member in self.deployment.platform.instances() {
            if member.data_centre != data_centre || member.role == Role::Leaf {
                continue;
            }
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let proxy = LinkProxy::start(any, member.address.0, 1)?;
            member.address = Address(proxy.address());
            faults.list_overrides.push(member);
            self.proxies.push(NodeProxy {
                data_centre: data_centre.to_owned(),
                proxy,
            });
        }
        self.deployment.platform.set_faults(faults);
        Ok(())
    }

    /// Injects each fault at its time after `start`.
    pub(super) async fn inject_all(&self, faults: &[ScheduledFault], start: Instant) {
        let mut ordered: Vec<&ScheduledFault> = faults.iter().collect();
        ordered.sort_by_key(|scheduled| scheduled.after);
        for scheduled in ordered {
            Timer::at(start + scheduled.after).await;
            self.inject(&scheduled.fault);
        }
    }

    fn inject(&self, fault: &Fault) {
        tracing::info!(?fault, "injecting a fault");
        let deployment = self.deployment;
        match fault {
            Fault::Stragglers(straggle) => {
                for leaf in deployment.leaves.leaves() {
                    update_faults(leaf, |faults| faults.straggle = *straggle);
                }
            }
            Fault::LostLeaf(name) => take_down_leaf(&deployment.leaves, name),
            Fault::LostDataCentre(name) => {
                let leaves = self.config.services.iter().flat_map(|s| &s.leaves);
                for leaf in leaves.filter(|leaf| leaf.data_centre == *name) {
                    take_down_leaf(&deployment.leaves, &leaf.name);
                }
                self.cut_off_nodes(name);
            }
            Fault::StoreOutage => deployment.platform.set_faults(PlatformFaults {
                down: Outage::Refuse,
                ..deployment.platform.faults()
            }),
            Fault::WrongLoad(report) => {
                for leaf in deployment.leaves.leaves().step_by(2) {
                    update_faults(leaf, |faults| faults.load = *report);
                }
            }
        }
    }

    /// Refuses and closes all connections to a data centre's entries and relays.
    /// They keep running, and what they send still arrives.
    fn cut_off_nodes(&self, data_centre: &str) {
        let proxies = self.proxies.iter();
        let own = proxies.filter(|proxy| proxy.data_centre == data_centre);
        let remote = self.deployment.delay_proxies(data_centre);
        for proxy in own.map(|proxy| &proxy.proxy).chain(remote) {
            proxy.set_faults(LinkFaults {
                cut: true,
                ..LinkFaults::default()
            });
        }
        let nodes = self.config.instances.iter().zip(&self.deployment.entries);
        for (instance, entry) in nodes {
            if instance.data_centre == data_centre {
                self.client.mark_lost(entry.callers_address());
            }
        }
    }
}

fn take_down_leaf(fleet: &LeafFleet, name: &str) {
    if let Some(leaf) = fleet.leaf(name) {
        update_faults(leaf, |faults| faults.down = Outage::Refuse);
    }
}

fn update_faults(leaf: &LeafHandle, update: impl FnOnce(&mut LeafFaults)) {
    let mut faults = leaf.faults();
    update(&mut faults);
    leaf.set_faults(faults);
}
