//! `guavacourse apply`: submits a configuration file to the store and sends it to
//! the fleet.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, SystemTime},
};

use bpaf::Bpaf;
use serde::Serialize;

use super::{
    Exit,
    failure::Failure,
    file::ConfigFile,
    output::Output,
    target::{Target, target},
};
use crate::{
    edge::operator,
    modules::{
        check,
        commit::{CommitOutcome, Proposal},
        head::{AcceptedChange, Head},
        inventory::Config,
    },
};

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    /// Revision that the file was edited from; a file that `get` printed says
    /// it itself
    #[bpaf(long, argument("REVISION"))]
    base: Option<u64>,
    /// Highest revision in force anywhere, after the store has lost writes
    #[bpaf(long, argument("REVISION"), fallback(0))]
    above: u64,
    /// Name for the history
    #[bpaf(long, env("USER"), argument("NAME"), fallback("unknown".to_owned()))]
    author: String,
    #[bpaf(external)]
    target: Target,
    /// File to put in force
    #[bpaf(positional("FILE"))]
    path: PathBuf,
}

#[derive(Debug, Serialize)]
struct Body {
    accepted: AcceptedChange,
    changed: bool,
    told: usize,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let file = ConfigFile::read(&args.path)?;
    let config = file.check(&args.path)?;
    smol::block_on(apply(args, file, &config))
}

async fn apply(args: &Args, file: ConfigFile, config: &Config) -> Result<Output, Failure> {
    let head = args.target.head().await?;
    let base = base_revision(args, &file, &head)?;
    if let Some(current) = head.current().filter(|c| c.stamp.revision == base) {
        let text = operator::read_body(&args.target.store(), current).await?;
        if text == file.text && args.above < base {
            return Ok(unchanged_output(current));
        }
        check_change(args, &text, config)?;
    }
    let proposal = Proposal {
        base,
        above: args.above,
        text: file.text.clone(),
        operation: format!("{:016x}", fastrand::u64(..)),
        author: args.author.clone(),
        seconds: unix_seconds(),
    };
    match operator::apply(&args.target.store(), proposal).await {
        CommitOutcome::Accepted(accepted, _) => {
            let told =
                operator::offer(&process_addresses(config), accepted.stamp, &file.text).await;
            Ok(accepted_output(accepted, told))
        }
        other => Err(Failure::NotAccepted(Box::new(other))),
    }
}

/// Returns the revision that the file was edited from.
fn base_revision(args: &Args, file: &ConfigFile, head: &Head) -> Result<u64, Failure> {
    if let Some(base) = args.base.or(file.base) {
        return Ok(base);
    }
    match head.current() {
        None => Ok(0),
        Some(current) => Err(Failure::NoBase {
            path: args.path.clone(),
            revision: current.stamp.revision,
        }),
    }
}

/// Refuses a change that the processes cannot apply safely. The check is skipped
/// if the accepted text can no longer be parsed.
fn check_change(args: &Args, old: &str, new: &Config) -> Result<(), Failure> {
    let Ok(old) = toml::from_str::<Config>(old) else {
        return Ok(());
    };
    let faults = check::check_change(&old, new);
    if faults.is_empty() {
        return Ok(());
    }
    Err(Failure::Faults {
        path: args.path.clone(),
        faults,
    })
}

/// Returns the addresses of all processes in the inventory.
fn process_addresses(config: &Config) -> Vec<SocketAddr> {
    let processes = config.instances.iter().flat_map(|i| [i.entry, i.relay]);
    processes.map(|address| address.0).collect()
}

fn accepted_output(accepted: AcceptedChange, told: usize) -> Output {
    let revision = accepted.stamp.revision;
    let text = format!(
        "revision {revision} is accepted and was handed to {told} processes; \
         `guavacourse status` shows when all have it in force"
    );
    let body = Body {
        accepted,
        changed: true,
        told,
    };
    Output::new(Exit::Done, text, &body)
}

fn unchanged_output(current: &AcceptedChange) -> Output {
    let revision = current.stamp.revision;
    let body = Body {
        accepted: current.clone(),
        changed: false,
        told: 0,
    };
    let text = format!("the file is the same as revision {revision}; nothing to change");
    Output::new(Exit::Done, text, &body)
}

/// Returns the current time in seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.as_ref().map_or(0, Duration::as_secs)
}
