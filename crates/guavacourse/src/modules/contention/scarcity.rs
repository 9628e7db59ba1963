//! Decides which shards a query leaves out or calls late, and whether it begins.

use std::time::Duration;

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

/// Returns whether a shard is scarce: other calls wait there, and one more would not be
/// answered within the time left.
#[must_use]
pub fn is_scarce(outlook: ShardOutlook, left: Duration) -> bool {
    outlook.contended && !outlook.waiting.is_zero() && outlook.expected > left
}

/// Plans a query over shards of the given outlooks; `None` stands for a shard that is
/// not known to be contended. The scarcest shards are left out, those of equal outlook
/// in an order that depends on `draw`.
#[must_use]
pub fn plan(outlooks: &[Option<ShardOutlook>], need: Need, draw: u64) -> Plan {
    let expected = |index: &usize| outlooks[*index].map(|outlook| outlook.expected);
    let scarce_within = |left| {
        let scarce = move |outlook: &Option<ShardOutlook>| {
            outlook.is_some_and(|outlook| is_scarce(outlook, left))
        };
        outlooks.iter().enumerate().filter(move |(_, o)| scarce(o))
    };
    let mut scarce: Vec<usize> = scarce_within(need.to_target).map(|(i, _)| i).collect();
    let rotation = usize::try_from(draw).unwrap_or_default() % scarce.len().max(1);
    scarce.rotate_left(rotation);
    scarce.sort_by_key(|index| std::cmp::Reverse(expected(index)));
    let unservable = scarce_within(need.to_deadline).count();
    let verdict = if unservable > need.spare {
        Verdict::Unservable
    } else if scarce.len() > need.spare {
        Verdict::Late
    } else {
        Verdict::InTime
    };
    let most = max_left_out(need.spare, verdict).min(need.own_spare);
    let leaves_out = scarce.len().min(most);
    let rest = scarce.split_off(leaves_out);
    Plan {
        verdict,
        left_out: scarce,
        held: if verdict == Verdict::InTime {
            Vec::new()
        } else {
            rest
        },
    }
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
