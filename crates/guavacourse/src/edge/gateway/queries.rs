//! Runs queries for peers.

use std::{cell::Cell, rc::Rc, sync::Arc};

use super::{
    query_wire::{self, PeerQuery, Reply},
    requests,
    serve::Traffic,
};
use crate::generated::wire_capnp::{Declined, queries};

/// Runs queries of peers on the traffic thread.
pub(super) struct QueryServer {
    pub(super) traffic: Rc<Traffic>,
}

/// Counts a query of a peer while it runs.
struct Running<'a>(&'a Cell<u32>);

impl<'a> Running<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl queries::Server for QueryServer {
    async fn run(
        self: Rc<Self>,
        params: queries::RunParams,
        mut results: queries::RunResults,
    ) -> capnp::Result<()> {
        let query = query_wire::read_query(params.get()?.get_query()?)?;
        let reply = self.run_for_peer(query).await;
        query_wire::write_result(results.get().init_result(), &reply);
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: queries::PingParams,
        _: queries::PingResults,
    ) -> capnp::Result<()> {
        Ok(())
    }
}

impl QueryServer {
    /// Runs a query for a peer, or declines it.
    async fn run_for_peer(&self, query: PeerQuery) -> Reply {
        let traffic = &self.traffic;
        if let Some(reason) = self.decline_reason(query.revision) {
            return Reply::Declined(reason);
        }
        let mut request = query.request;
        if !query.customer.is_empty() {
            let view = traffic.view.load();
            let keyring = view.catalog.customers.as_ref();
            let customer = keyring.and_then(|keyring| keyring.customer(&query.customer));
            let Some(customer) = customer else {
                return Reply::Declined(Declined::Revision);
            };
            request.customer = Some(Arc::clone(customer));
        }
        let _open = traffic.stopping.track_request();
        let _running = Running::new(&traffic.running);
        Reply::Completed(requests::run_locally(traffic, request).await)
    }

    /// Returns why a query is declined; `None` if it can run.
    fn decline_reason(&self, revision: u64) -> Option<Declined> {
        let traffic = &self.traffic;
        if traffic.stopping.leaving() {
            return Some(Declined::Leaving);
        }
        if traffic.view.load().catalog.revision != revision {
            return Some(Declined::Revision);
        }
        (traffic.running.get() >= traffic.max_running).then_some(Declined::Busy)
    }
}
