//! A customer as the operators configure it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A customer whose callers identify themselves by keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Customer {
    /// Unique name, which backend servers receive.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, 0 the highest; that of the kind if not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Limit on its requests; `None` sets no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served; empty allows all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
}

/// Limit on the requests of a customer, summed over all processes of the fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// A key that identifies a customer. Its `Debug` output does not show it.
#[derive(Clone, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
