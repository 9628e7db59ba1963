//! Name, data centre and addresses of a process.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings of one entry or relay process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct NodeConfig {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Name of the data centre that the instance runs in.
    pub data_centre: String,
    /// Address on which an entry serves callers over HTTP.
    pub callers: SocketAddr,
    /// Address on which the process serves the fleet over Cap'n Proto.
    pub fleet: SocketAddr,
    /// Address of the platform's store and instance list.
    pub platform: SocketAddr,
    /// Addresses of peers to try before the instance list is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for NodeConfig {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            instance: "instance-1".to_owned(),
            data_centre: String::new(),
            callers: any_port,
            fleet: any_port,
            platform: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
            seeds: Vec::new(),
        }
    }
}
