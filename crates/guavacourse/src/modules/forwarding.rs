//! Derives the rules of kinds whose requests are forwarded.

use std::time::Duration;

use super::inventory::{Class, Format, Forward, Kind};

/// Time that a request and its answer spend on the network, 3 ms each with jitter,
/// and in sockets.
const NETWORK_TIME: Duration = Duration::from_millis(17);

/// Time before the configured time limit at which requests are answered.
const LIMIT_MARGIN: Duration = Duration::from_millis(20);

/// Extra calls that the kind's own budgets allow, as a fraction of first calls. The
/// budget that the fleet shares is the binding limit.
const KIND_BUDGET_RATIO: f64 = 0.5;

/// Worth of a request of rank 0; a request of rank n is worth this divided by
/// n + 1, and at least 1.
const MAX_WORTH: u32 = 12;

/// Settings of one kind of forwarded requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Class of its requests, which says whether they may be repeated.
    pub class: Class,
    /// Its services.
    pub services: Vec<String>,
    /// How the replies of the leaves are joined.
    pub format: Format,
    /// Least fraction of the services that an answer must cover, 0 to 1.
    pub least_coverage: f64,
    /// Time limit for an answer.
    pub limit: Duration,
    /// Rank of its requests; 0 is the highest.
    pub rank: u32,
    /// Which requests it matches.
    pub forward: Forward,
}

/// Returns the worth of a request of a rank.
#[must_use]
pub fn worth_of_rank(rank: u32) -> u32 {
    (MAX_WORTH / rank.saturating_add(1)).max(1)
}

impl From<Route> for Kind {
    /// Derives the rules of the kind. A query whose format joins replies settles
    /// early enough for its answer to meet the target latency.
    fn from(route: Route) -> Self {
        let settles = route.format != Format::Whole;
        let target = route.forward.target;
        Self {
            name: route.name,
            class: route.class,
            services: route.services,
            worth: worth_of_rank(route.rank),
            deadline: route.limit.saturating_sub(LIMIT_MARGIN),
            settle: if settles {
                target.saturating_sub(NETWORK_TIME)
            } else {
                Duration::ZERO
            },
            least_coverage: route.least_coverage,
            hedge_budget: KIND_BUDGET_RATIO,
            retry_budget: KIND_BUDGET_RATIO,
            canary: false,
            format: route.format,
            forward: Some(route.forward),
            ..Self::default()
        }
    }
}
