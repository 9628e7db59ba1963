//! Processes of the fleet and backend servers, as the platform and peers report
//! them.

use serde::{Deserialize, Serialize};

use super::inventory::Address;

/// One process of the fleet, or one backend server, in the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Member {
    /// Name of the instance, or of the leaf.
    pub name: String,
    /// What the process does.
    pub role: Role,
    /// Name of its data centre.
    pub data_centre: String,
    /// Where it serves: HTTP for a leaf, Cap'n Proto for an entry or relay.
    pub address: Address,
    /// Where an entry serves callers over HTTP; unspecified for others.
    #[serde(skip_serializing_if = "Address::is_unspecified")]
    pub callers: Address,
    /// Where it accepts queries that peers delegate to it; unspecified if it does
    /// not.
    #[serde(skip_serializing_if = "Address::is_unspecified")]
    pub queries: Address,
    /// Share of a core that it may use, in thousandths; 0 if unknown.
    #[serde(skip_serializing_if = "unknown")]
    pub power: u32,
    /// Whether it accepts new work.
    pub state: MemberState,
    /// Chosen anew at each start of the process; 0 if unknown.
    pub incarnation: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn unknown(power: &u32) -> bool {
    *power == 0
}

/// What a process does.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers.
    #[default]
    Entry,
    /// Serves entries and calls leaves.
    Relay,
    /// A backend server.
    Leaf,
}

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It accepts new work.
    #[default]
    Live,
    /// It finishes its current work and accepts no new work.
    Leaving,
}
