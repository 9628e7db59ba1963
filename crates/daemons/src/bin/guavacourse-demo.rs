//! Runs the demo: the whole system with embedded stand-ins on loopback.

use guavacourse::{configs::log::LogConfig, edge::log};
use guavacourse_daemons::demo;

fn main() -> anyhow::Result<()> {
    let _log = log::init(&LogConfig {
        filter: "error".to_owned(),
        ..LogConfig::default()
    });
    demo::run()
}
