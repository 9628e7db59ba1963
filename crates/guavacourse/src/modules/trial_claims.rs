//! Decides when a process asks for the trial of quarantined content.
//!
//! One process at a time may send quarantined content to a leaf. Each asks for that right
//! only when a trial is due and a caller has just sent the content, and less often the
//! larger the fleet is.

use std::time::Duration;

use super::{collections::Map, crash_evidence::Trial, time::Time};

/// Delay after a trial that told nothing, or that another process was granted. It doubles
/// with each in a row.
const MIN_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Minimum delay for each process of the fleet, so that all together do not load the
/// registry.
const DELAY_PER_MEMBER: Duration = Duration::from_millis(50);

/// Delay after which callers are told to return while a trial runs here.
const RUNNING_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of contents; all are forgotten if there are more.
const MAX_CONTENTS: usize = 1_024;

/// Trials of quarantined content, as one process asks for them.
#[derive(Debug, Default)]
pub struct TrialClaims {
    contents: Map<u64, Progress>,
}

/// How far a process has got with one content.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Whether a claim or a trial is under way here.
    running: bool,
    /// When the next claim may be made.
    next: Time,
    /// Number of claims in a row that led to no result.
    fruitless: u32,
}

/// What happens to a request with quarantined content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// The process asks for the trial.
    Claim,
    /// The request is refused, and may be repeated after this time.
    Refuse(Duration),
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimEnd {
    /// The leaf answered, or the trial failed.
    Decided,
    /// The trial was not granted, or the request reached no leaf.
    Fruitless,
}

impl TrialClaims {
    /// Decides about a request with content whose next trial is `trial`. After
    /// [`Permission::Claim`], [`Self::end`] must be called.
    pub fn ask(&mut self, content: u64, trial: Trial, now: Time) -> Permission {
        if now < trial.due {
            return Permission::Refuse(trial.due.left(now));
        }
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&content) {
            self.contents.clear();
        }
        let progress = self.contents.entry(content).or_insert(Progress {
            running: false,
            next: now,
            fruitless: 0,
        });
        if progress.running {
            return Permission::Refuse(RUNNING_DELAY);
        }
        if now < progress.next {
            return Permission::Refuse(progress.next.left(now));
        }
        progress.running = true;
        Permission::Claim
    }

    /// Records how a claim ended, in a fleet of `members` processes.
    pub fn end(&mut self, content: u64, end: ClaimEnd, members: usize, now: Time) {
        let Some(progress) = self.contents.get_mut(&content) else {
            return;
        };
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let delay = MIN_DELAY * (1 << progress.fruitless.min(MAX_DOUBLINGS));
        progress.running = false;
        progress.next = now.after(delay.max(DELAY_PER_MEMBER.saturating_mul(members)));
        progress.fruitless = match end {
            ClaimEnd::Decided => 0,
            ClaimEnd::Fruitless => progress.fruitless.saturating_add(1),
        };
    }
}
