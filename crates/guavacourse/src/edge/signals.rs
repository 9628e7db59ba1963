//! Waits for the signals that ask a process to stop or to reload its settings.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Request that a signal makes to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalRequest {
    /// Reload the settings: `SIGHUP`.
    Reload,
    /// Stop gracefully: `SIGTERM` or `SIGINT`.
    Stop,
}

/// Receives the signals of a process. Until it is created, each of them terminates
/// the process.
#[derive(Debug)]
pub struct SignalWatch(Signals);

impl SignalWatch {
    /// Starts receiving signals.
    ///
    /// # Errors
    ///
    /// Returns the system's error if signals cannot be watched.
    pub fn start() -> io::Result<Self> {
        Signals::new([Signal::Hup, Signal::Int, Signal::Term]).map(Self)
    }

    /// Blocks until a signal arrives.
    ///
    /// # Errors
    ///
    /// Returns the system's error if signals cannot be watched.
    pub fn wait(&mut self) -> io::Result<SignalRequest> {
        smol::block_on(async {
            while let Some(signal) = self.0.next().await {
                match signal? {
                    Signal::Hup => return Ok(SignalRequest::Reload),
                    Signal::Int | Signal::Term => return Ok(SignalRequest::Stop),
                    _ => {}
                }
            }
            Ok(SignalRequest::Stop)
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
    while signals.wait()? != SignalRequest::Stop {
        tracing::info!(
            "SIGHUP does not reload the settings of this process; restart it to change them"
        );
    }
    Ok(())
}
