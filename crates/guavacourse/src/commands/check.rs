//! `guavacourse check`: validates a configuration file without the platform.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use super::{Exit, failure::Failure, file::ConfigFile, output::Output};

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    /// File to check
    #[bpaf(positional("FILE"))]
    path: PathBuf,
}

#[derive(Debug, Serialize)]
struct Body {
    epoch: u64,
    data_centres: usize,
    instances: usize,
    services: usize,
    leaves: usize,
    kinds: usize,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let file = ConfigFile::read(&args.path)?;
    let config = file.check(&args.path)?;
    let body = Body {
        epoch: config.epoch,
        data_centres: config.data_centres.len(),
        instances: config.instances.len(),
        services: config.services.len(),
        leaves: config.services.iter().map(|s| s.leaves.len()).sum(),
        kinds: config.kinds.len(),
    };
    let text = format!(
        "{}: no fault; {} leaves of {} services, {} instances, {} kinds, epoch {}",
        args.path.display(),
        body.leaves,
        body.services,
        body.instances,
        body.kinds,
        body.epoch
    );
    Ok(Output::new(Exit::Done, text, &body))
}
