//! `guavacourse history`: lists the latest accepted changes, newest first.

use std::time::{Duration, SystemTime};

use bpaf::Bpaf;

use super::{
    Exit,
    failure::Failure,
    output::Output,
    target::{Target, target},
};
use crate::modules::head::AcceptedChange;

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    #[bpaf(external)]
    target: Target,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let mut head = smol::block_on(args.target.head())?;
    head.trail.reverse();
    let lines: Vec<String> = head.trail.iter().map(change_line).collect();
    if lines.is_empty() {
        return Err(Failure::NothingAccepted);
    }
    Ok(Output::new(Exit::Done, lines.join("\n"), &head.trail))
}

fn change_line(change: &AcceptedChange) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(change.seconds);
    format!(
        "revision {}  {}  by {}  operation {}  digest {:016x}",
        change.stamp.revision,
        humantime::format_rfc3339_seconds(time),
        change.author,
        change.operation,
        change.stamp.digest
    )
}
