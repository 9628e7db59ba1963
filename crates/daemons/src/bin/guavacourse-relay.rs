//! Relay daemon: calls backend servers on behalf of entries.

use guavacourse::edge::{relay::RelayServer, signals};
use guavacourse_daemons::settings;

fn main() -> anyhow::Result<()> {
    let (settings, _log) =
        settings::read("Calls backend servers on behalf of entries until SIGTERM or SIGINT.")?;
    let relay = RelayServer::start(&settings)?;
    signals::wait_stop()?;
    relay.stop();
    Ok(())
}
