//! Assigns groups of leaves to relays by rendezvous hashing.

use super::{
    catalog::{LeafEntry, stable_hash},
    members::{Member, MemberState},
};

/// Returns the indices of the relays that may own `leaf`, best first.
///
/// Live relays of the leaf's own data centre come first, in hash order, then
/// live relays elsewhere. The order depends only on names and data centres, so that
/// entries with the same list of relays agree on the owner without exchanging
/// messages.
#[must_use]
pub fn ranked_relays(leaf: &LeafEntry, relays: &[Member]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..relays.len())
        .filter(|i| relays[*i].state == MemberState::Live)
        .collect();
    ranked.sort_by_cached_key(|i| {
        let relay = &relays[*i];
        let near = relay.data_centre == leaf.data_centre;
        (!near, std::cmp::Reverse(weight(leaf.group, &relay.name)))
    });
    ranked
}

/// Returns the rendezvous weight of a relay for a group of leaves.
fn weight(group: u64, relay: &str) -> u64 {
    let mut bytes = group.to_le_bytes().to_vec();
    bytes.extend_from_slice(relay.as_bytes());
    mix(stable_hash(&bytes))
}

/// Spreads the entropy of a hash over all bits (`SplitMix64`'s finalizer).
pub(crate) fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
