//! Brings about the faults of an experiment.

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

/// Brings about the faults of one run.
pub(super) struct FaultInjector<'a> {
    deployment: &'a Deployment,
    client: Rc<Client<'a>>,
    config: &'a Config,
    links: Vec<Link>,
}

/// A proxy before an entry or relay of a data centre that is to be lost.
struct Link {
    data_centre: String,
    proxy: LinkProxy,
}

impl<'a> FaultInjector<'a> {
    /// Puts proxies before the processes that are to be lost.
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
            links: Vec::new(),
        };
        for scheduled in faults {
            if let Fault::LostDataCentre(name) = &scheduled.fault {
                injector.divert(name)?;
            }
        }
        Ok(injector)
    }

    /// Makes the instance list name proxies for a data centre's processes.
    fn divert(&mut self, data_centre: &str) -> std::io::Result<()> {
        let mut faults = self.deployment.platform.faults();
        for mut member in self.deployment.platform.instances() {
            if member.data_centre != data_centre || member.role == Role::Leaf {
                continue;
            }
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let proxy = LinkProxy::start(any, member.address.0, 1)?;
            member.address = Address(proxy.address());
            faults.list_overrides.push(member);
            self.links.push(Link {
                data_centre: data_centre.to_owned(),
                proxy,
            });
        }
        self.deployment.platform.set_faults(faults);
        Ok(())
    }

    /// Brings about each fault at its time from `start`.
    pub(super) async fn follow(&self, faults: &[ScheduledFault], start: Instant) {
        let mut ordered: Vec<&ScheduledFault> = faults.iter().collect();
        ordered.sort_by_key(|scheduled| scheduled.after);
        for scheduled in ordered {
            Timer::at(start + scheduled.after).await;
            self.begin(&scheduled.fault);
        }
    }

    fn begin(&self, fault: &Fault) {
        tracing::info!(?fault, "a fault begins");
        let deployment = self.deployment;
        match fault {
            Fault::Stragglers(straggle) => {
                for leaf in deployment.leaves.leaves() {
                    change(leaf, |faults| faults.straggle = *straggle);
                }
            }
            Fault::LostLeaf(name) => lose_leaf(&deployment.leaves, name),
            Fault::LostDataCentre(name) => {
                let leaves = self.config.services.iter().flat_map(|s| &s.leaves);
                for leaf in leaves.filter(|leaf| leaf.data_centre == *name) {
                    lose_leaf(&deployment.leaves, &leaf.name);
                }
                self.lose_nodes(name);
            }
            Fault::StoreOutage => deployment.platform.set_faults(PlatformFaults {
                down: Outage::Refuse,
                ..deployment.platform.faults()
            }),
            Fault::WrongLoad(report) => {
                for leaf in deployment.leaves.leaves().step_by(2) {
                    change(leaf, |faults| faults.load = *report);
                }
            }
        }
    }

    /// Cuts a data centre's entries and relays off from all others. They go on
    /// running, and what they send still arrives.
    fn lose_nodes(&self, data_centre: &str) {
        let links = self.links.iter();
        let own = links.filter(|link| link.data_centre == data_centre);
        let distant = self.deployment.delay_proxies(data_centre);
        for proxy in own.map(|link| &link.proxy).chain(distant) {
            proxy.set_faults(LinkFaults {
                cut: true,
                ..LinkFaults::default()
            });
        }
        let nodes = self.config.instances.iter().zip(&self.deployment.entries);
        for (instance, entry) in nodes {
            if instance.data_centre == data_centre {
                self.client.lose(entry.callers());
            }
        }
    }
}

fn lose_leaf(fleet: &LeafFleet, name: &str) {
    if let Some(leaf) = fleet.leaf(name) {
        change(leaf, |faults| faults.down = Outage::Refuse);
    }
}

fn change(leaf: &LeafHandle, change: impl FnOnce(&mut LeafFaults)) {
    let mut faults = leaf.faults();
    change(&mut faults);
    leaf.set_faults(faults);
}
