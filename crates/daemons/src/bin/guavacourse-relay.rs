//! Speaks to backend servers on behalf of entries.

use guavacourse::edge::{relay::RelayServer, signals};
use guavacourse_daemons::settings;

fn main() -> anyhow::Result<()> {
    let (settings, _log) = settings::read("Speaks to backend servers until SIGTERM or SIGINT.")?;
    let relay = RelayServer::start(&settings)?;
    signals::wait_stop()?;
    relay.stop();
    Ok(())
}
