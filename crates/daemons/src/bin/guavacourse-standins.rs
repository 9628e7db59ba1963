//! Runs stand-ins for the platform and the leaves of an inventory, for manual
//! testing.

use std::{fs, net::SocketAddr, path::PathBuf, thread};

use anyhow::Context;
use bpaf::Bpaf;
use guavacourse::modules::inventory::Config;
use guavacourse_standins::{FleetSettings, LeafFleet, Platform, PlatformSettings};

/// Serves stand-ins for the platform and the backend servers until it is killed.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Address of the platform.
    #[bpaf(argument("ADDR"))]
    platform: SocketAddr,
    /// Inventory whose leaves are served, as TOML.
    #[bpaf(argument("FILE"))]
    inventory: PathBuf,
    /// Serve only this part: platform or leaves.
    #[bpaf(argument("PART"), optional)]
    only: Option<Part>,
}

/// The part of the stand-ins to serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Leaves,
    Platform,
}

impl std::str::FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "leaves" => Ok(Self::Leaves),
            "platform" => Ok(Self::Platform),
            other => Err(format!("unknown part `{other}`; use platform or leaves")),
        }
    }
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let text = fs::read_to_string(&options.inventory)
        .with_context(|| format!("cannot read {}", options.inventory.display()))?;
    let config: Config = toml::from_str(&text).context("the inventory is not valid")?;
    let _platform = match options.only {
        Some(Part::Leaves) => None,
        _ => Some(start_platform(options.platform)?),
    };
    let _leaves = match options.only {
        Some(Part::Platform) => None,
        _ => Some(start_leaves(&config, options.platform)?),
    };
    loop {
        thread::park();
    }
}

fn start_platform(address: SocketAddr) -> anyhow::Result<Platform> {
    let platform = Platform::start(address, &PlatformSettings::default())
        .with_context(|| format!("cannot start the platform on {address}"))?;
    println!("platform {}", platform.address());
    Ok(platform)
}

fn start_leaves(config: &Config, platform: SocketAddr) -> anyhow::Result<LeafFleet> {
    let settings = FleetSettings {
        platform: Some(platform),
        ..FleetSettings::default()
    };
    let leaves = LeafFleet::start_with(config, &settings).context("cannot start a leaf")?;
    for leaf in leaves.leaves() {
        println!("leaf {} {}", leaf.name(), leaf.address());
    }
    Ok(leaves)
}
