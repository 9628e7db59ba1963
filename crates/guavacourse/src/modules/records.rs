//! Merges parts of an answer that consist of fixed-size records.

use std::sync::Arc;

/// Bytes of one record. A shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `count` records of all parts, greatest first, compared
/// byte by byte. Duplicates are kept.
#[must_use]
pub fn greatest(parts: &[Arc<[u8]>], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(count);
    records.concat()
}
