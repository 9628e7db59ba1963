//! Detects peers that no longer answer.
//!
//! A peer acknowledges each message at once, however long the work itself takes,
//! so each message also checks that the peer is alive, and any byte received
//! proves it. A peer that owes neither results nor acknowledgements is not
//! checked.

use std::time::Duration;

use super::time::Time;

/// Time without calls after which a session is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Minimum silence after which a peer that owes results is pinged, and one that
/// owes an acknowledgement is suspected.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Silence after which a peer that owes an acknowledgement is declared lost.
const LOST_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks of a suspected peer.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The silence timeout of a peer, as a multiple of the time to open its session.
const TIMEOUT_FACTOR: u32 = 4;

/// What a peer has yet to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owed {
    /// Nothing.
    Nothing,
    /// Results, which may take any time.
    Results,
    /// An acknowledgement, which it sends at once.
    Acknowledgement,
}

/// Result of a check: what the caller must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LivenessAction {
    /// A suspected peer has answered again.
    Recovered,
    /// Nothing.
    NoAction,
    /// The session has been idle long enough to be closed.
    Idle,
    /// The peer is lost.
    Lost,
    /// The caller must send a message that the peer acknowledges.
    Ping,
    /// New work must go elsewhere until the peer answers again.
    Suspect,
}

/// Tracks how long one peer has been silent.
#[derive(Clone, Debug)]
pub struct LivenessMonitor {
    /// Bytes received up to the last check.
    received: u64,
    silent_since: Time,
    last_check: Time,
    timeout: Duration,
    suspected: bool,
}

impl LivenessMonitor {
    /// Starts monitoring a peer that took `opening` to open the session.
    #[must_use]
    pub fn new(opening: Duration, now: Time) -> Self {
        Self {
            received: 0,
            silent_since: now,
            last_check: now,
            timeout: (opening * TIMEOUT_FACTOR).clamp(MIN_SILENCE_TIMEOUT, LOST_TIMEOUT / 2),
            suspected: false,
        }
    }

    /// Restarts the timeout, either because bytes were received or because a message
    /// is sent after all earlier ones were acknowledged.
    pub fn restart_timeout(&mut self, received: u64, now: Time) {
        self.received = received;
        self.silent_since = now;
    }

    /// Returns when the next check is due.
    #[must_use]
    pub fn next_check(&self, owed: Owed) -> Time {
        if self.suspected {
            return self.last_check.after(SUSPECT_CHECK_INTERVAL);
        }
        let wait = match owed {
            Owed::Nothing => IDLE_TIMEOUT,
            Owed::Results | Owed::Acknowledgement => self.timeout,
        };
        self.silent_since.after(wait)
    }

    /// Checks a peer that has sent `received` bytes in total.
    pub fn check(&mut self, received: u64, owed: Owed, now: Time) -> LivenessAction {
        let due = self.next_check(owed);
        let silent = now.since(self.silent_since);
        self.last_check = now;
        if received != self.received {
            self.restart_timeout(received, now);
            return self.record_activity(silent);
        }
        if now < due {
            return LivenessAction::NoAction;
        }
        // The check is late, so this process was stopped and may not have read
        // what the peer sent.
        if owed != Owed::Nothing && now.since(due) > MIN_SILENCE_TIMEOUT / 2 {
            self.silent_since = now;
            return LivenessAction::NoAction;
        }
        match owed {
            Owed::Nothing => LivenessAction::Idle,
            Owed::Results => LivenessAction::Ping,
            Owed::Acknowledgement if silent >= LOST_TIMEOUT => LivenessAction::Lost,
            Owed::Acknowledgement if self.suspected => LivenessAction::NoAction,
            Owed::Acknowledgement => {
                self.suspected = true;
                LivenessAction::Suspect
            }
        }
    }

    /// Records that the peer answered. Raises its timeout if it was suspected.
    fn record_activity(&mut self, silent: Duration) -> LivenessAction {
        if !std::mem::take(&mut self.suspected) {
            return LivenessAction::NoAction;
        }
        self.timeout = (silent * 2).clamp(self.timeout, LOST_TIMEOUT / 2);
        LivenessAction::Recovered
    }
}
