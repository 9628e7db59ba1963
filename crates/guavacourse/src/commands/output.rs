//! Output and exit codes of the subcommands.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde::Serialize;
use serde_json::Value;

use super::failure::Failure;

/// Exit codes of the command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The subcommand succeeded.
    Done = 0,
    /// Wrong usage, a file that cannot be read, or a revision or request that is not
    /// known.
    Failed = 1,
    /// The configuration has faults.
    Refused = 2,
    /// Another change was accepted first, or the base revision is not known.
    Conflict = 3,
    /// The platform did not answer; nothing was changed.
    Unavailable = 4,
    /// It is not known whether the change was accepted.
    Unknown = 5,
    /// The compared texts differ.
    Differs = 6,
    /// Not every process has the accepted revision in force.
    Diverged = 7,
}

/// Output of a subcommand.
#[derive(Debug)]
pub(super) struct Output {
    exit: Exit,
    text: String,
    json: Value,
}

/// A failure as JSON.
#[derive(Debug, Serialize)]
struct FailureBody {
    error: String,
    messages: Vec<String>,
}

impl Output {
    /// Creates the output of a subcommand: `text` is printed by default, `body` as
    /// JSON with `--json`.
    pub(super) fn new(exit: Exit, text: impl Into<String>, body: &impl Serialize) -> Self {
        Self {
            exit,
            text: text.into(),
            json: serde_json::to_value(body).unwrap_or_default(),
        }
    }

    /// Creates the output of a failure.
    pub(super) fn failure(failure: &Failure) -> Self {
        let body = FailureBody {
            error: failure.kind().to_owned(),
            messages: failure.messages(),
        };
        Self::new(failure.exit(), body.messages.join("\n"), &body)
    }

    /// Prints the output and returns the exit code. Failures go to standard
    /// error, unless JSON was requested.
    pub(super) fn print(&self, json: bool) -> ExitCode {
        let text = if json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        };
        let failed = !matches!(self.exit, Exit::Done | Exit::Differs | Exit::Diverged);
        let written = if failed && !json {
            writeln!(io::stderr(), "{}", text.trim_end())
        } else {
            writeln!(io::stdout(), "{}", text.trim_end())
        };
        if written.is_err() {
            return ExitCode::from(Exit::Failed as u8);
        }
        ExitCode::from(self.exit as u8)
    }
}
