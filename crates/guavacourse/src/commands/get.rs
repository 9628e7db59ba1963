//! `guavacourse get`: prints a revision of the configuration.

use bpaf::Bpaf;
use serde::Serialize;

use super::{
    Exit,
    failure::Failure,
    file::with_header,
    output::Output,
    target::{Target, target},
};
use crate::modules::head::AcceptedChange;

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    /// Revision to print instead of the accepted one
    #[bpaf(long, argument("REVISION"))]
    revision: Option<u64>,
    #[bpaf(external)]
    target: Target,
}

#[derive(Debug, Serialize)]
struct Body {
    accepted: AcceptedChange,
    text: String,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let (accepted, text) = smol::block_on(args.target.revision(args.revision))?;
    let shown = with_header(accepted.stamp.revision, &text);
    Ok(Output::new(Exit::Done, shown, &Body { accepted, text }))
}
