//! What leaves say about themselves in their answers, besides the answer.

use std::time::Duration;

use super::placement::load_report::LoadReport;

/// Longest pause that is kept to; of a longer one, so much.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);

/// The notice in one answer of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeafNotice {
    /// Whether the leaf is leaving and takes no new calls.
    pub leaving: bool,
    /// Calls a second that the leaf takes from the whole fleet, if it limits them.
    pub limit: Option<f64>,
    /// Time for which the leaf wants no calls, if it turned this one away.
    pub pause: Option<Duration>,
    /// Its load.
    pub load: Option<LoadReport>,
    /// Whether it said something that cannot be read.
    pub malformed: bool,
}

/// A change in what a leaf asks for, for the log of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafEvent {
    /// It says that it is leaving.
    Leaving {
        /// Its name.
        leaf: String,
    },
    /// It limits its calls.
    Limited {
        /// Its name.
        leaf: String,
        /// Calls a second that it takes from the whole fleet.
        total: f64,
        /// Calls a second that this process may make.
        own: f64,
    },
    /// It no longer limits its calls.
    Unlimited {
        /// Its name.
        leaf: String,
    },
    /// It wants no calls for a while.
    Paused {
        /// Its name.
        leaf: String,
        /// For how long.
        pause: Duration,
    },
    /// Its pause is over, and it gets one call.
    Resumed {
        /// Its name.
        leaf: String,
    },
    /// It said something that cannot be read and is ignored.
    Malformed {
        /// Its name.
        leaf: String,
    },
}

impl LeafEvent {
    /// Returns the label of its counter.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Leaving { .. } => "leaving",
            Self::Limited { .. } => "limited",
            Self::Unlimited { .. } => "unlimited",
            Self::Paused { .. } => "paused",
            Self::Resumed { .. } => "resumed",
            Self::Malformed { .. } => "malformed",
        }
    }
}
