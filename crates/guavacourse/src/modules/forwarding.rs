//! The rules of kinds whose requests are forwarded.

use std::time::Duration;

use super::inventory::{Class, Format, Forward, Kind};

/// Time that a request and its answer are on their way, 3 ms each with jitter,
/// and in sockets.
const TRAVEL: Duration = Duration::from_millis(17);

/// Time before the operators' time limit at which requests are answered.
const LIMIT_MARGIN: Duration = Duration::from_millis(20);

/// Extra calls that the budgets of the kind allow, as a part of first calls. The
/// budget that the fleet shares is the one that binds.
const OWN_BUDGET: f64 = 0.5;

/// Worth of a request of the highest rank; each rank below divides it.
const WORTH: u32 = 12;

/// What the operators say of one kind of forwarded requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Whether its requests may be repeated.
    pub class: Class,
    /// Its services.
    pub services: Vec<String>,
    /// How the replies of the leaves are joined.
    pub format: Format,
    /// Least part of the services that an answer covers, 0 to 1.
    pub least_coverage: f64,
    /// Longest time that a caller is kept waiting.
    pub limit: Duration,
    /// Rank of its requests; 0 is the highest.
    pub rank: u32,
    /// Which requests it takes.
    pub forward: Forward,
}

impl From<Route> for Kind {
    /// Derives the rules: a query over several services settles in time for its
    /// answer to meet the target.
    fn from(route: Route) -> Self {
        let settles = route.format != Format::Whole;
        let target = route.forward.target;
        Self {
            name: route.name,
            class: route.class,
            services: route.services,
            worth: (WORTH / (route.rank + 1)).max(1),
            deadline: route.limit.saturating_sub(LIMIT_MARGIN),
            settle: if settles {
                target.saturating_sub(TRAVEL)
            } else {
                Duration::ZERO
            },
            least_coverage: route.least_coverage,
            hedge_budget: OWN_BUDGET,
            retry_budget: OWN_BUDGET,
            canary: false,
            format: route.format,
            forward: Some(route.forward),
            ..Self::default()
        }
    }
}
