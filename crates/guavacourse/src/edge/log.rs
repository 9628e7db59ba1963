//! Starts the process's log.
//!
//! Lines go to standard output through a thread of their own. If that cannot
//! keep up, lines are dropped and counted: a request never waits for the log.

use std::io::{self, IsTerminal};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt};

use crate::configs::log::LogConfig;

/// Lines that wait for the output at most; some 2 MB.
const LINES_MAX: usize = 4_096;

/// A log that runs. Dropping it writes what waits.
#[derive(Debug)]
#[must_use = "the lines that wait are written when it is dropped"]
pub struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Log {
    /// Returns the counter of lines that were dropped.
    #[must_use]
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Starts writing the log to standard output. A second one in a process writes
/// nothing.
pub fn init(config: &LogConfig) -> Log {
    let (output, writer) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_MAX)
        .finish(io::stdout());
    let dropped = output.error_counter();
    let filter = EnvFilter::try_new(&config.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = fmt()
        .with_ansi(io::stdout().is_terminal())
        .with_env_filter(filter)
        .with_writer(output);
    let started = if config.json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    if started.is_err() {
        tracing::debug!("the log was started before");
    }
    Log {
        dropped,
        _writer: writer,
    }
}
