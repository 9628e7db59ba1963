//! Subcommands of the operators' command-line tool `guavacourse`, one file each.

mod apply;
mod burn;
mod check;
mod diff;
mod explain;
mod failure;
mod file;
mod fleet;
mod get;
mod history;
mod output;
mod status;
mod target;

use std::process::ExitCode;

use bpaf::Bpaf;

pub use self::output::Exit;
use self::output::Output;

/// Reads and changes the configuration, and shows what the fleet does with it.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(options))]
pub struct Options {
    /// Writes JSON to standard output, also for a failure
    json: bool,
    #[bpaf(external)]
    command: Command,
}

/// A subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
enum Command {
    /// Puts a file in force in the whole fleet
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::args))] apply::Args),
    /// Shows how fast each kind spends its service-level objective
    #[bpaf(command)]
    Burn(#[bpaf(external(burn::args))] burn::Args),
    /// Checks a file without the platform
    #[bpaf(command)]
    Check(#[bpaf(external(check::args))] check::Args),
    /// Shows the changed lines between the accepted revision and another
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::args))] diff::Args),
    /// Tells what one request did: attempts, hedges, refusals, and what is missing
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::args))] explain::Args),
    /// Prints the accepted revision, or an earlier one
    #[bpaf(command)]
    Get(#[bpaf(external(get::args))] get::Args),
    /// Lists the latest accepted changes
    #[bpaf(command)]
    History(#[bpaf(external(history::args))] history::Args),
    /// Shows which revision each process has in force
    #[bpaf(command)]
    Status(#[bpaf(external(status::args))] status::Args),
}

impl Options {
    /// Runs the subcommand and prints its result.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Apply(args) => apply::run(&args),
            Command::Burn(args) => burn::run(&args),
            Command::Check(args) => check::run(&args),
            Command::Diff(args) => diff::run(&args),
            Command::Explain(args) => explain::run(&args),
            Command::Get(args) => get::run(&args),
            Command::History(args) => history::run(&args),
            Command::Status(args) => status::run(&args),
        };
        let output = result.unwrap_or_else(|failure| Output::failure(&failure));
        output.print(self.json)
    }
}
