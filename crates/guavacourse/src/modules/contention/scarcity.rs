//! Decides which shards a query leaves out or calls late, and whether it begins.

use std::{cmp::Reverse, time::Duration};

use super::rates::Room;
use crate::modules::placement::outlook::ShardOutlook;

/// What a query needs of its shards.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Time left until the target.
    pub to_target: Duration,
    /// Time left until the deadline.
    pub to_deadline: Duration,
    /// Number of shards that may be missing from the answer.
    pub spare: usize,
    /// Number of them that may be left out here; fewer if other processes run other
    /// parts of the query.
    pub own_spare: usize,
}

/// Whether a query can be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Within the target.
    InTime,
    /// After the target: too many shards are scarce.
    Late,
    /// Not before the deadline.
    Unservable,
}

/// Decision about the shards of a query, by their indexes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Whether the query can be served.
    pub verdict: Verdict,
    /// Scarce shards that are not called.
    pub left_out: Vec<usize>,
    /// Scarce shards that are called only once there is room.
    pub held: Vec<usize>,
}

/// What is known of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardState {
    /// Expected course of a call.
    pub outlook: ShardOutlook,
    /// Room for the call.
    pub room: Room,
}

impl ShardState {
    /// Returns whether the shard is scarce: one more call would wait, or would not be
    /// answered within the time left because others wait.
    #[must_use]
    pub fn is_scarce(self, left: Duration) -> bool {
        let late = self.outlook.contended && self.outlook.expected > left;
        self.room == Room::None || late
    }
}

/// Plans a query over shards of the given states; `None` stands for a shard that is not
/// known to be contended. Scarce shards are left out first, then those that others may
/// need more; the slowest first, and those of equal outlook in an order that depends on
/// `draw`.
#[must_use]
pub fn plan(shards: &[Option<ShardState>], need: Need, draw: u64) -> Plan {
    let known = || {
        let known = shards.iter().enumerate();
        known.filter_map(|(index, state)| Some((index, (*state)?)))
    };
    let scarce = known().filter(|(_, state)| state.is_scarce(need.to_target));
    let scarce = ordered(scarce.collect(), draw);
    let tight =
        known().filter(|(_, state)| state.room == Room::Tight && !state.is_scarce(need.to_target));
    let tight = ordered(tight.collect(), draw);
    let unservable = known()
        .filter(|(_, state)| state.outlook.contended && state.outlook.expected > need.to_deadline);
    let verdict = if unservable.count() > need.spare {
        Verdict::Unservable
    } else if scarce.len() > need.spare {
        Verdict::Late
    } else {
        Verdict::InTime
    };
    let most = max_left_out(need.spare, verdict).min(need.own_spare);
    let held = match verdict {
        Verdict::InTime => Vec::new(),
        Verdict::Late | Verdict::Unservable => scarce.iter().skip(most).copied().collect(),
    };
    let left_out = scarce.into_iter().chain(tight).take(most).collect();
    Plan {
        verdict,
        left_out,
        held,
    }
}

/// Returns the indexes of shards, the slowest first.
fn ordered(mut shards: Vec<(usize, ShardState)>, draw: u64) -> Vec<usize> {
    let rotation = usize::try_from(draw).unwrap_or_default() % shards.len().max(1);
    shards.rotate_left(rotation);
    shards.sort_by_key(|(_, state)| Reverse((state.room == Room::None, state.outlook.expected)));
    shards.into_iter().map(|(index, _)| index).collect()
}

/// Returns how many shards a query may leave out at its start. One spare shard is kept
/// in reserve where there are several, so that the loss of another call does not make
/// the query late. A query that is late anyway needs no reserve.
fn max_left_out(spare: usize, verdict: Verdict) -> usize {
    if spare > 1 && verdict == Verdict::InTime {
        spare - 1
    } else {
        spare
    }
}
