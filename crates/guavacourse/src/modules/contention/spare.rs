//! Divides the spare shards of a query between the processes that run its parts.

/// Returns how many of the `spare` shards of a query over `shards` shards may be left out
/// by the process that runs the shards for which `own` is true.
///
/// Each spare shard belongs to one position, which depends on the `draw` of the request
/// only. So processes that run disjoint parts leave out no more than `spare` together,
/// without a message.
#[must_use]
pub fn own_spare(spare: usize, shards: usize, draw: u64, own: impl Fn(usize) -> bool) -> usize {
    let spare = spare.min(shards);
    if spare == 0 {
        return 0;
    }
    let first = usize::try_from(draw % shards as u64).unwrap_or_default();
    let position = |n: usize| (first + n * shards / spare) % shards;
    (0..spare).filter(|n| own(position(*n))).count()
}
