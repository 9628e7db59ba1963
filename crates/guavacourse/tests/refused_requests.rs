//! Requests that a leaf has refused on one connection.

use std::time::Duration;

use guavacourse::modules::{refused_requests::RefusedRequests, time::Time};

const BUDGET: Duration = Duration::from_secs(2);

#[test]
fn a_refusal_is_remembered_while_its_request_may_be_called_again() {
    let mut refused = RefusedRequests::default();
    let now = Time::default();
    refused.add("r-1", now.after(BUDGET), now);
    refused.add("r-2", now.after(BUDGET / 2), now);
    let later = now.after(BUDGET / 2);
    refused.add("r-3", later.after(BUDGET), later);
    let known = ["r-1", "r-2", "r-3", "r-4"].map(|id| refused.contains(id));
    assert_eq!(known, [true, false, true, false]);
}
