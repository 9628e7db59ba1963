//! Simulated outages of a server.

use serde::{Deserialize, Serialize};

/// How a simulated server is unavailable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It is available.
    #[default]
    None,
    /// It accepts connections but closes them without a response, except to
    /// `PUT /faults`.
    Close,
    /// It does not listen. As `PUT /faults` is out of reach then, only its
    /// handle in the process that started it can end this.
    Refuse,
}
