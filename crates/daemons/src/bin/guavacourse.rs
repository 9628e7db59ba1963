//! Command-line tool for operators.

use std::process::ExitCode;

use guavacourse::commands;

fn main() -> ExitCode {
    commands::options().run().run()
}
