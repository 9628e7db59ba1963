//! Entry daemon: serves callers over HTTP.

use guavacourse::edge::{entry::EntryServer, signals};
use guavacourse_daemons::settings;

fn main() -> anyhow::Result<()> {
    let (settings, _log) = settings::read("Serves callers over HTTP until SIGTERM or SIGINT.")?;
    let entry = EntryServer::start(settings)?;
    signals::wait_stop()?;
    entry.stop();
    Ok(())
}
