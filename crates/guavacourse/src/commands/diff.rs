//! `guavacourse diff`: shows the lines changed between the accepted revision and a
//! file or another revision.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use super::{
    Exit,
    failure::Failure,
    file::ConfigFile,
    output::Output,
    target::{Target, target},
};
use crate::modules::delta::Delta;

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    #[bpaf(external)]
    target: Target,
    /// A file, for the changes from the accepted revision to it; or a revision,
    /// for the changes from it to the accepted one
    #[bpaf(positional("FILE|REVISION"))]
    other: String,
}

#[derive(Debug, Serialize)]
struct Body {
    accepted: u64,
    delta: Delta,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let (accepted, text) = smol::block_on(args.target.revision(None))?;
    let (old, new) = match args.other.parse() {
        Ok(revision) => {
            let (_, earlier) = smol::block_on(args.target.revision(Some(revision)))?;
            (earlier, text)
        }
        Err(_) => (text, ConfigFile::read(&PathBuf::from(&args.other))?.text),
    };
    let delta = Delta::between(&old, &new);
    let exit = if delta.hunks.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    };
    let shown = format!("{}\n{delta}", delta.render(&old));
    let accepted = accepted.stamp.revision;
    Ok(Output::new(
        exit,
        shown.trim_start(),
        &Body { accepted, delta },
    ))
}
