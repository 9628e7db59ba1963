//! Delegates parts of a query to peers close to the leaves.
//!
//! A peer answers all calls of its part at once: its first reply holds the
//! records of the whole part, so no shard of the part may be called elsewhere
//! while the peer runs it.

use super::{Query, event::EventContext, plan::Attempt};
use crate::modules::{
    answer::{AttemptStatus, Cause},
    call::Call,
    collections::Map,
    inventory::{Address, Format},
    load_balancer::Choice,
    time::Time,
};

/// Added before truncation, so that a floating-point error does not round a
/// whole number down.
const ROUNDING_MARGIN: f64 = 1e-6;

impl Query {
    /// Returns the peers that run the parts of a plan in other data centres, by
    /// data centre.
    pub(super) fn peers_for(
        &self,
        chosen: &[Option<Choice>],
        ctx: &mut EventContext<'_>,
    ) -> Map<String, Address> {
        let mut peers = Map::default();
        if !self.may_delegate() {
            return peers;
        }
        let mut shards: Map<&str, usize> = Map::default();
        for centre in chosen
            .iter()
            .flatten()
            .filter_map(|choice| self.data_centre(*choice))
        {
            *shards.entry(centre).or_default() += 1;
        }
        let Some(delegation) = &mut ctx.balancer.peers else {
            return peers;
        };
        for (centre, count) in shards {
            if let Some(peer) = delegation.peer_for_part(&self.view, centre, count, ctx.now) {
                peers.insert(centre.to_owned(), peer);
            }
        }
        peers
    }

    /// Returns whether parts of the query may be delegated: only if its leaves
    /// return records and the query is not itself a delegated part.
    fn may_delegate(&self) -> bool {
        let records = matches!(self.params.format, Format::Greatest(_));
        records && self.request.only_services.is_empty()
    }

    /// Returns the number of shards that may be missing from the answer.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "numbers of shards are small"
    )]
    pub(super) fn spare_shards(&self) -> u32 {
        (self.planned_shards() as f64 * (1.0 - self.params.min_coverage) + ROUNDING_MARGIN) as u32
    }

    /// Returns the number of spare shards that this process has not left out.
    pub(super) fn spare_left(&self) -> u32 {
        let left_out = self.slots.iter().filter(|slot| slot.left_out()).count();
        let left_out = u32::try_from(left_out).unwrap_or(u32::MAX);
        self.spare_shards().saturating_sub(left_out)
    }

    /// Returns the data centre of a chosen leaf.
    pub(super) fn data_centre(&self, choice: Choice) -> Option<&str> {
        let leaf = self.view.catalog.leaves.get(choice.leaf)?;
        Some(&leaf.data_centre)
    }

    /// Delegates the first call of a slot to a peer.
    pub(super) fn delegate(
        &mut self,
        index: usize,
        choice: Choice,
        peer: Address,
        ctx: &mut EventContext<'_>,
    ) {
        let id = ctx.balancer.next_attempt();
        self.trace.calls += 1;
        let slot = &mut self.slots[index];
        slot.record_call(choice.id);
        slot.hedge_at = Time::MAX;
        let version = self.pin.version;
        self.attempts.0.push(Attempt {
            id,
            slot: index,
            leaf: choice.id,
            relay: peer,
            version,
            cause: Cause::First,
            delegated: true,
            sent: ctx.now,
            status: AttemptStatus::Pending,
            ended_at: ctx.now,
        });
        let call = Call {
            attempt: id,
            leaf: choice.id,
            extra: false,
        };
        let now = ctx.now;
        ctx.batch.push(peer, version, call, || self.build_part(now));
    }
}
