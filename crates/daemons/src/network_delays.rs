//! Simulates network delay between the data centres of a deployment.

use std::{io, net::SocketAddr, time::Duration};

use guavacourse::modules::{
    inventory::{Address, Config, Instance},
    members::{Member, Role},
};
use guavacourse_standins::{LinkFaults, LinkProxy, Platform, PlatformView};

use crate::deployment::any_port;

/// Delaying proxies between the entries and the relays of different data centres.
///
/// Each data centre has its own view of the platform. Its instance list gives the
/// addresses of proxies for the relays of other data centres.
pub(crate) struct NetworkDelays {
    delay: Duration,
    platform: SocketAddr,
    views: Vec<DataCentreView>,
    proxies: Vec<RelayProxy>,
}

struct DataCentreView {
    data_centre: String,
    platform: PlatformView,
}

struct RelayProxy {
    /// Data centre of the relay that the proxy forwards to.
    data_centre: String,
    proxy: LinkProxy,
}

impl NetworkDelays {
    /// Starts a view of the platform for each data centre, or none if the delay
    /// is zero.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a view cannot be started.
    pub(crate) fn start(platform: &Platform, config: &Config, delay: Duration) -> io::Result<Self> {
        let mut views = Vec::new();
        for data_centre in config.data_centres.iter().filter(|_| !delay.is_zero()) {
            views.push(DataCentreView {
                data_centre: data_centre.name.clone(),
                platform: platform.view(any_port())?,
            });
        }
        Ok(Self {
            delay,
            platform: platform.address(),
            views,
            proxies: Vec::new(),
        })
    }

    /// Returns the platform's address for the processes of a data centre.
    pub(crate) fn platform_address(&self, data_centre: &str) -> SocketAddr {
        let view = self.views.iter().find(|v| v.data_centre == data_centre);
        view.map_or(self.platform, |view| view.platform.address())
    }

    /// Starts a proxy to the relay of an instance for each other data centre.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a proxy cannot be started.
    pub(crate) fn add_relay(&mut self, instance: &Instance, relay: SocketAddr) -> io::Result<()> {
        let others = self.views.iter();
        for view in others.filter(|v| v.data_centre != instance.data_centre) {
            let proxy = LinkProxy::start(any_port(), relay, 1)?;
            proxy.set_faults(LinkFaults {
                delay: self.delay,
                ..LinkFaults::default()
            });
            view.platform.override_address(Member {
                name: instance.name.clone(),
                role: Role::Relay,
                address: Address(proxy.address()),
                ..Member::default()
            });
            self.proxies.push(RelayProxy {
                data_centre: instance.data_centre.clone(),
                proxy,
            });
        }
        Ok(())
    }

    /// Returns the proxies to the relays of a data centre.
    pub(crate) fn delay_proxies(&self, data_centre: &str) -> impl Iterator<Item = &LinkProxy> {
        let proxies = self.proxies.iter();
        let matching = proxies.filter(move |proxy| proxy.data_centre == data_centre);
        matching.map(|proxy| &proxy.proxy)
    }
}
