//! Faults of the simulated platform.

use std::time::Duration;

use guavacourse::modules::members::Member;
use serde::{Deserialize, Serialize};

use crate::outage::Outage;

/// Faults of the platform; the default has none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformFaults {
    /// Whether and how the store and the instance list are unavailable.
    pub down: Outage,
    /// Delay added to each call.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Number of upcoming writes that take effect but whose reply is lost.
    pub lost_replies: u32,
    /// Age of the instance list as served.
    #[serde(with = "humantime_serde")]
    pub list_lag: Duration,
    /// Whether the instance list is frozen in its current state.
    pub list_frozen: bool,
    /// Entries that are added to the instance list, or replace those of the same
    /// name and role.
    pub list_overrides: Vec<Member>,
}
