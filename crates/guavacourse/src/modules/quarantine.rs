//! Detects request content that crashes backend servers and quarantines it.
//!
//! All content that was in flight on a crashed leaf is suspected. A suspect is
//! tried once more, alone on a leaf: if that leaf crashes too, the content is
//! quarantined, otherwise it is cleared. Content is identified by its
//! fingerprint. A call whose connection closed makes its content a suspect at
//! once, until its leaf proves that it did not crash.

use std::time::Duration;

use super::{
    collections::{Map, Set},
    time::Time,
};

/// How long new calls with suspected content are held, while the entry whose
/// call lost its connection retries it alone.
pub const HOLD_DURATION: Duration = Duration::from_millis(300);

/// Age at which a suspect that was not tried is dropped.
pub const SUSPECT_TTL: Duration = Duration::from_mins(1);

/// Age at which quarantined content is admitted again.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(30);

/// Maximum number of suspected and of quarantined fingerprints, each; the oldest
/// is evicted.
const MAX_ENTRIES: usize = 1_024;

/// How a call must be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs like any other call.
    Clear,
    /// It runs with nothing else on its leaf.
    Alone,
    /// It is held until its content is cleared; from this time on it may run
    /// alone.
    Held(Time),
    /// It is refused.
    Refused,
}

/// A call that was in flight when its connection closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InFlightCall {
    /// Fingerprint of its content.
    pub fingerprint: u64,
    /// Whether the call ran alone.
    pub alone: bool,
}

/// Since when content is suspected, and what is known of its trials.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    since: Time,
    /// Whether a leaf is known to have crashed.
    crashed: bool,
    /// Whether its last trial lost its connection; it is not known yet whether
    /// the leaf crashed.
    tried: bool,
}

/// One relay's record of content that crashes backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Map<u64, Suspect>,
    quarantined: Map<u64, Time>,
    trials: Set<u64>,
}

impl Quarantine {
    /// Returns how to treat a call; `marked` means that its entry asks for it to
    /// run alone.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, marked: bool, now: Time) -> Verdict {
        if self.is_quarantined(fingerprint, now) {
            return Verdict::Refused;
        }
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return if marked {
                Verdict::Alone
            } else {
                Verdict::Clear
            };
        };
        let held_until = suspect.since.after(HOLD_DURATION);
        match (now < held_until, now < suspect.since.after(SUSPECT_TTL)) {
            (true, _) if suspect.tried => Verdict::Refused,
            (true, _) if !marked => Verdict::Held(held_until),
            (false, false) if !marked => Verdict::Clear,
            _ => Verdict::Alone,
        }
    }

    /// Returns whether content is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: Time) -> bool {
        let since = self.quarantined.get(&fingerprint);
        since.is_some_and(|since| now < since.after(QUARANTINE_DURATION))
    }

    /// Starts a trial of the content; returns false if one is already running.
    pub fn start_trial(&mut self, fingerprint: u64) -> bool {
        self.trials.insert(fingerprint)
    }

    /// Ends the trial of the content.
    pub fn end_trial(&mut self, fingerprint: u64) {
        self.trials.remove(&fingerprint);
    }

    /// Returns whether a trial of the content is running.
    #[must_use]
    pub fn trial_running(&self, fingerprint: u64) -> bool {
        self.trials.contains(&fingerprint)
    }

    /// Records that the connection of a call closed before its reply.
    pub fn record_dropped_call(&mut self, call: InFlightCall, now: Time) {
        let known = self.suspects.get(&call.fingerprint);
        let suspect = Suspect {
            since: now,
            crashed: known.is_some_and(|s| s.crashed),
            tried: call.alone,
        };
        self.add_suspect(call.fingerprint, suspect);
    }

    /// Records that the leaf of a call that lost its connection did not crash.
    /// The content stays suspected if another leaf is known to have crashed.
    pub fn clear_unless_crashed(&mut self, fingerprint: u64) {
        if self.suspects.get(&fingerprint).is_some_and(|s| !s.crashed) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records the calls that were in flight on a crashed leaf. Returns the
    /// contents that are quarantined as a result.
    pub fn record_crash(&mut self, calls: &[InFlightCall], now: Time) -> Vec<u64> {
        let mut quarantined = Vec::new();
        for call in calls {
            if call.alone {
                self.add_quarantined(call.fingerprint, now);
                quarantined.push(call.fingerprint);
            } else {
                let suspect = Suspect {
                    since: now,
                    crashed: true,
                    tried: false,
                };
                self.add_suspect(call.fingerprint, suspect);
            }
        }
        quarantined
    }

    /// Records that content ran alone without crashing its leaf.
    pub fn clear(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    fn add_suspect(&mut self, fingerprint: u64, suspect: Suspect) {
        if self.suspects.len() >= MAX_ENTRIES {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.since);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
            }
        }
        self.suspects.insert(fingerprint, suspect);
    }

    fn add_quarantined(&mut self, fingerprint: u64, now: Time) {
        self.suspects.remove(&fingerprint);
        if self.quarantined.len() >= MAX_ENTRIES {
            let oldest = self.quarantined.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(fingerprint, now);
    }
}
