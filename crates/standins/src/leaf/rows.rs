//! Generates the rows that a query finds on a simulated leaf.

use guavacourse::modules::{catalog::stable_hash, keys::KeyRange};
use serde::{Deserialize, Serialize};

/// Number of keys in a cell. A query finds one row in each cell.
const CELL_KEYS: u32 = 1024;

/// A row of a reply.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Row {
    /// Name of the leaf that found it.
    pub leaf: String,
    /// Index version that it was read from.
    pub version: u64,
    /// Key that it is stored under.
    pub key: u32,
    /// Idempotency id of the action that created it, or empty for a query.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub action: String,
    /// Number of the run of the action that created it, from 1; 0 for a query.
    #[serde(skip_serializing_if = "is_zero")]
    pub run: u32,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(run: &u32) -> bool {
    *run == 0
}

/// Returns the keys of the rows that a query finds in `range`, in ascending order.
///
/// They depend on the kind, the body and the index version, so that a test can
/// distinguish a complete answer from a partial one, and one snapshot from
/// another.
#[must_use]
pub fn row_keys(kind: &str, body: &[u8], range: KeyRange, version: u64) -> Vec<u32> {
    let mut bytes = kind.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(&version.to_le_bytes());
    let seed = stable_hash(&bytes);
    let cells = range.from / CELL_KEYS..range.until.div_ceil(CELL_KEYS);
    cells
        .map(|cell| cell * CELL_KEYS + offset(seed, cell))
        .filter(|key| range.contains(*key))
        .collect()
}

/// Returns the offset of the row within a cell, by a hash of seed and cell.
fn offset(seed: u64, cell: u32) -> u32 {
    let mixed = (seed ^ u64::from(cell)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    u32::try_from(mixed >> 32).unwrap_or_default() % CELL_KEYS
}
