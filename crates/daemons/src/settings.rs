//! Command line and settings of the daemons.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};
use guavacourse::{
    configs::settings::Settings,
    edge::log::{self, Log},
};

/// Reads the settings file that the command line names, and initialises logging.
/// `--help` describes the program as `description`.
///
/// # Errors
///
/// Returns an error that names the file, or the setting that is wrong.
pub fn read(description: &'static str) -> anyhow::Result<(Settings, Log)> {
    let path = options(description).run();
    let settings = Settings::read(&path)?;
    let log = log::init(&settings.log);
    Ok((settings, log))
}

fn options(description: &'static str) -> OptionParser<PathBuf> {
    let config = long("config")
        .help("Settings file in TOML")
        .argument("FILE");
    construct!(config)
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"))
}
