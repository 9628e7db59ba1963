//! Faults of a simulated leaf.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outage::Outage;

/// Faults of a leaf; the default has none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeafFaults {
    /// Whether and how the leaf is unavailable.
    pub down: Outage,
    /// Whether the leaf is leaving and refuses new work.
    pub draining: bool,
    /// Fraction of calls, from 0 to 1, that the leaf sheds although a slot is
    /// free.
    pub shed: f64,
    /// Stragglers: calls that take much longer than others.
    pub straggle: Straggle,
    /// Factor applied to the service time of each call.
    pub slow: f64,
    /// Delay added before a new connection is served.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// How the leaf reports its load.
    pub load: LoadReport,
    /// Health that the leaf reports regardless of its state; without it, the
    /// leaf reports its actual health.
    pub health: Option<Health>,
    /// A call whose body contains this text crashes the leaf; empty text
    /// disables this.
    pub crash_marker: String,
    /// Time that such a call runs before the leaf crashes.
    #[serde(with = "humantime_serde")]
    pub crash_after: Duration,
    /// Time that the leaf refuses connections after a crash.
    #[serde(with = "humantime_serde")]
    pub restart: Duration,
    /// Fault of replies.
    pub reply: Option<ReplyFault>,
    /// Fraction of replies, from 0 to 1, that [`Self::reply`] applies to.
    pub reply_part: f64,
}

impl Default for LeafFaults {
    fn default() -> Self {
        Self {
            down: Outage::None,
            draining: false,
            shed: 0.0,
            straggle: Straggle::default(),
            slow: 1.0,
            connect: Duration::ZERO,
            load: LoadReport::default(),
            health: None,
            crash_marker: String::new(),
            crash_after: Duration::ZERO,
            restart: Duration::from_millis(500),
            reply: None,
            reply_part: 1.0,
        }
    }
}

/// Stragglers: calls that take much longer than others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Straggle {
    /// Fraction of calls, from 0 to 1, that are stragglers.
    pub part: f64,
    /// Factor applied to their service time.
    pub factor: f64,
}

impl Default for Straggle {
    fn default() -> Self {
        Self {
            part: 0.0,
            factor: 10.0,
        }
    }
}

/// How a leaf reports its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// The number of calls that run now.
    #[default]
    Current,
    /// The number of calls that ran this many milliseconds ago.
    Lagging(u64),
    /// Always this number.
    Fixed(u32),
}

/// Health of a leaf.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It accepts new work.
    Serving,
    /// It is leaving and refuses new work.
    Draining,
}

/// What is wrong with a reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// The connection closes before the body is complete.
    CutShort,
    /// The body is not JSON.
    MalformedRows,
    /// It echoes a different attempt number.
    WrongAttempt,
    /// It gives a key range that is not the leaf's.
    WrongRange,
    /// Its row count differs from the number of its rows.
    WrongCount,
    /// It gives a different index version than its rows were read from.
    WrongVersion,
    /// It gives a different partition epoch than the one that the leaf serves.
    WrongEpoch,
    /// It has none of the headers of the protocol.
    MissingHeaders,
    /// The connection closes after the work is done, before the reply.
    Lost,
}
