//! Waits for the signals that ask a process to stop or to reload.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What a signal asks of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// To read its settings anew: `SIGHUP`.
    Reload,
    /// To stop with grace: `SIGTERM` or `SIGINT`.
    Stop,
}

/// Takes the signals of a process. Until it is created, each of them ends the
/// process.
#[derive(Debug)]
pub struct SignalWatch(Signals);

impl SignalWatch {
    /// Starts taking signals.
    ///
    /// # Errors
    ///
    /// Returns the system's error if signals cannot be watched.
    pub fn start() -> io::Result<Self> {
        Signals::new([Signal::Hup, Signal::Int, Signal::Term]).map(Self)
    }

    /// Blocks until a signal comes.
    ///
    /// # Errors
    ///
    /// Returns the system's error if signals cannot be watched.
    pub fn wait(&mut self) -> io::Result<Asked> {
        smol::block_on(async {
            while let Some(signal) = self.0.next().await {
                match signal? {
                    Signal::Hup => return Ok(Asked::Reload),
                    Signal::Int | Signal::Term => return Ok(Asked::Stop),
                    _ => {}
                }
            }
            Ok(Asked::Stop)
        })
    }
}

/// Blocks until the process is asked to stop, by `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Returns the system's error if signals cannot be watched.
pub fn wait_stop() -> io::Result<()> {
    let mut signals = SignalWatch::start()?;
    while signals.wait()? != Asked::Stop {
        tracing::info!("nothing is read anew at SIGHUP; restart the process for new settings");
    }
    Ok(())
}
