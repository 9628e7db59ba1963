//! Validates a request and resolves the parameters of its query.

use std::time::Duration;

use super::{QueryParams, QueryRequest};
use crate::modules::{
    answer::{Refusal, Shortage},
    catalog::{KindEntry, ShardKey},
    customers::{AllowedRegions, Customer},
    forwarding::worth_of_rank,
    inventory::{Class, Kind, LeafState, Policy},
    load_balancer::LoadBalancer,
    throttle::{Claim, Excess},
    time::Time,
    view::View,
};

/// Fraction of the target up to which the age of a request counts. An older
/// request can no longer meet its target and is treated like one that has just
/// arrived.
const MAX_AGE_FRACTION: f64 = 0.6;

/// Fraction of the caller's target after which an unanswered call is hedged: a
/// copy that takes the usual time still ends within the target.
const LATE_FRACTION: f64 = 0.3;

/// Fraction of the caller's target for which a request waits for a leaf that asked for
/// fewer calls. One that would wait longer is told at once when to come back.
const OPENING_FRACTION: f64 = 0.25;

/// Returns the kind of a request, or why the request is refused.
pub(super) fn validate<'a>(
    view: &'a View,
    request: &QueryRequest,
    digest: u64,
) -> Result<&'a KindEntry, Refusal> {
    if !view.ready() {
        return Err(Refusal::NotReady);
    }
    let Some(kind) = view.catalog.kinds.get(&request.kind) else {
        return Err(Refusal::UnknownKind(request.kind.clone()));
    };
    if kind.rules.class != Class::Query && request.forward.is_none() {
        return Err(Refusal::NotAQuery(request.kind.clone()));
    }
    if kind.rules.services.is_empty() {
        return Err(Refusal::NoServices(request.kind.clone()));
    }
    if !request.is_trial() && view.quarantined.contains(&digest) {
        return Err(Refusal::Quarantined);
    }
    if request.deadline == Some(Duration::ZERO) {
        return Err(Refusal::BadDeadline);
    }
    let min_coverage = request.least_coverage.unwrap_or_default();
    if !(0.0..=1.0).contains(&min_coverage) {
        return Err(Refusal::BadCoverage);
    }
    Ok(kind)
}

/// Returns the names of the kind's services at `indexes`, skipping unknown
/// ones.
pub(super) fn select_services(rules: &Kind, indexes: &[u16]) -> Vec<String> {
    let named = |index: &u16| rules.services.get(usize::from(*index)).cloned();
    indexes.iter().filter_map(named).collect()
}

/// Resolves the parameters of a query. The caller may only shorten the kind's
/// deadline. The plain policy waits for all shards until the deadline.
pub(super) fn resolve_params(
    view: &View,
    rules: &Kind,
    request: &QueryRequest,
    services: Vec<String>,
    now: Time,
) -> QueryParams {
    let target = rules.forward.as_ref().map(|forward| forward.target);
    let age = target.map_or(Duration::ZERO, |target| effective_age(request.age, target));
    let asked = request.deadline.unwrap_or(rules.deadline);
    let policy = view.catalog.policy;
    let customer = request.customer.as_deref();
    let settles = policy == Policy::Adaptive && !rules.settle.is_zero();
    QueryParams {
        deadline: now.after(asked.min(rules.deadline)),
        settle_at: settles.then(|| now.after(rules.settle.saturating_sub(age))),
        min_coverage: request.least_coverage.unwrap_or(rules.least_coverage),
        worth: customer
            .and_then(|customer| customer.rank)
            .map_or(rules.worth, worth_of_rank),
        policy,
        format: rules.format,
        services,
        repeatable: rules.class == Class::Query,
        target: target.map(|target| now.after(target.saturating_sub(age))),
        latest_opening: target.map_or(Time::MAX, |target| {
            now.after(target.mul_f64(OPENING_FRACTION).saturating_sub(age))
        }),
        late_after: target.map(|target| target.mul_f64(LATE_FRACTION)),
        forwarded: request.forward.is_some(),
        regions: allowed_regions(rules, customer),
    }
}

/// Starts a query under the limit of its kind. With customers, the limit is shared
/// between them, and refused requests are told when to return.
pub(super) fn start_throttled(
    view: &View,
    balancer: &mut LoadBalancer,
    rules: &Kind,
    request: &QueryRequest,
    params: &QueryParams,
    now: Time,
) -> Result<(), Refusal> {
    let kind = balancer.kind(&rules.name);
    if view.catalog.customers.is_none() {
        let started = kind.throttle.start();
        let refusal = || Refusal::Overloaded(rules.name.clone());
        return started.then_some(()).ok_or_else(refusal);
    }
    let customer = request.customer.as_deref();
    let claim = Claim {
        customer: customer.map_or("", |customer| &customer.name),
        worth: params.worth,
    };
    let Err(excess) = kind.throttle.start_for(claim, now) else {
        return Ok(());
    };
    let left = params.deadline.left(now);
    let refusal = Refusal::Contended {
        kind: rules.name.clone(),
        cause: match excess {
            Excess::Limit => Shortage::Limit,
            Excess::Share => Shortage::Share,
        },
        retry_after: kind.returns.retry_after(left, now),
    };
    balancer.lower_below(view, rules, now);
    Err(refusal)
}

/// Returns the regions in which the requests of a kind and a customer may be served.
#[must_use]
pub fn allowed_regions(rules: &Kind, customer: Option<&Customer>) -> AllowedRegions {
    let kind = rules.forward.as_ref().map(|forward| &forward.regions);
    let customer = customer.map(|customer| &customer.regions);
    AllowedRegions::in_both(
        kind.map_or(&[], Vec::as_slice),
        customer.map_or(&[], Vec::as_slice),
    )
}

/// Returns whether a shard has a leaf in the allowed regions. A shard without
/// restriction always counts: its leaves may register later.
pub(super) fn is_reachable(view: &View, shard: ShardKey, regions: &AllowedRegions) -> bool {
    if !regions.restricted() {
        return true;
    }
    let catalog = &view.catalog;
    let Some(shard) = catalog.shards.get(shard) else {
        return false;
    };
    let leaves = shard.replicas.iter().map(|key| &catalog.leaves[*key]);
    let mut serving =
        leaves.filter(|leaf| leaf.state == LeafState::Serving && !view.leaving.contains(&leaf.id));
    serving.any(|leaf| regions.allows(catalog.region(&leaf.data_centre)))
}

/// Returns the age that shortens a request's target: zero if the request is too
/// old to meet it.
fn effective_age(age: Duration, target: Duration) -> Duration {
    if age <= target.mul_f64(MAX_AGE_FRACTION) {
        age
    } else {
        Duration::ZERO
    }
}
