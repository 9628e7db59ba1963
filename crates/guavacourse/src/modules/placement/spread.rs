//! Spreads calls over leaves that are expected to answer at about the same time.

use std::cmp::Ordering;

use crate::modules::{ownership::mix, replicas::Candidate};

/// Leaves whose cost is up to this multiple of the least take part in the draw.
const CLOSE_FACTOR: f64 = 2.0;
/// Power of the ratio of costs by which a more expensive leaf is drawn less often. With
/// 4, a leaf at 1.2 times the least cost is drawn half as often.
const COST_POWER: i32 = 4;

/// A leaf that may be called, as it is placed by load.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    /// The leaf; its cost is the expected time with distance and failures.
    pub candidate: Candidate,
    /// Calls that it can take without a queue until news of it arrive.
    pub free: f64,
}

/// Orders leaves, best first, and moves one that is drawn to the front: among those that
/// cost about the same, two are drawn in proportion to their free capacity, and the cheaper
/// of them is taken. Avoided leaves come last and are drawn only among themselves.
pub fn spread(leaves: &mut [Placed], draw: u64) {
    leaves.sort_by(|a, b| {
        let (a, b) = (&a.candidate, &b.candidate);
        a.avoided
            .cmp(&b.avoided)
            .then(a.cost.partial_cmp(&b.cost).unwrap_or(Ordering::Equal))
    });
    let Some(best) = leaves.first().map(|leaf| leaf.candidate) else {
        return;
    };
    let weights: Vec<f64> = leaves
        .iter()
        .take_while(|leaf| {
            let other = &leaf.candidate;
            other.avoided == best.avoided && other.cost <= best.cost * CLOSE_FACTOR
        })
        .map(|leaf| {
            leaf.free * (best.cost.max(1.0) / leaf.candidate.cost.max(1.0)).powi(COST_POWER)
        })
        .collect();
    let drawn = [draw, mix(draw)].map(|draw| drawn_index(&weights, draw));
    let lead = drawn[0].min(drawn[1]);
    leaves[..=lead].rotate_right(1);
}

/// Returns an index, each with a probability in proportion to its weight.
#[allow(
    clippy::cast_precision_loss,
    reason = "a draw needs no more than 52 bits"
)]
fn drawn_index(weights: &[f64], draw: u64) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = total * ((draw >> 12) as f64 / (u64::MAX >> 12) as f64);
    let found = weights.iter().position(|weight| {
        left -= weight;
        left <= 0.0
    });
    found.unwrap_or_default()
}
