//! Sets up the log of a process.
//!
//! A separate thread writes the lines to standard output. If it cannot keep up,
//! lines are dropped and counted: a request never waits for the log.

use std::io::{self, IsTerminal};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt};

use crate::configs::log::LogConfig;

/// Maximum number of lines that are buffered for the output; about 2 MB.
const MAX_BUFFERED_LINES: usize = 4_096;

/// The running log. Dropping it writes the buffered lines.
#[derive(Debug)]
#[must_use = "the buffered lines are written when it is dropped"]
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

/// Starts writing the log to standard output. A second log in the same process
/// writes nothing.
pub fn init(config: &LogConfig) -> Log {
    let (output, writer) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
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
        tracing::debug!("the log is already started");
    }
    Log {
        dropped,
        _writer: writer,
    }
}
