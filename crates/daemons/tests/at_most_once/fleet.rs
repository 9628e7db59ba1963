//! Fleets that the bookings run on.

use std::time::Duration;

use guavacourse::{configs::entry::EntryConfig, modules::inventory::Config};
use guavacourse_standins::{FleetSettings, ServiceTime};

use super::{
    common::inventory,
    support::{Fleet, Plan},
};

/// Starts a fleet whose relays reach the leaves through link proxies.
pub fn start(seed: u64) -> Fleet {
    Fleet::start(&plan(seed, inventory()))
}

/// Starts a fleet whose entries, relays and leaves are reached through link
/// proxies.
pub fn start_proxied(seed: u64) -> Fleet {
    Fleet::start(&Plan {
        process_links: true,
        ..plan(seed, inventory())
    })
}

/// Starts a fleet whose deadline and linger time are long enough for a slow
/// machine.
pub fn start_with_long_deadline(seed: u64) -> Fleet {
    let mut config = inventory();
    config.kinds[0].deadline = Duration::from_secs(20);
    Fleet::start(&Plan {
        entry: EntryConfig {
            linger: Duration::from_secs(2),
            ..EntryConfig::default()
        },
        ..plan(seed, config)
    })
}

fn plan(seed: u64, config: Config) -> Plan {
    Plan {
        leaves: FleetSettings {
            seed,
            service: ServiceTime {
                median: Duration::from_millis(5),
                spread: 0.8,
            },
            ..FleetSettings::default()
        },
        leaf_links: true,
        ..Plan::new(config)
    }
}
