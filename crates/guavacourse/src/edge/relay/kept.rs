//! Connections to leaves that are kept between calls.

use std::{net::SocketAddr, time::Duration};

use crate::{
    edge::http::Connection,
    modules::{refused_requests::RefusedRequests, time::Time},
};

/// A connection to a leaf, and the requests that the leaf has refused on it.
#[derive(Debug)]
pub(super) struct LeafConnection {
    http: Connection,
    refused: RefusedRequests,
}

impl LeafConnection {
    pub(super) fn new(http: Connection) -> Self {
        Self {
            http,
            refused: RefusedRequests::default(),
        }
    }

    pub(super) fn http(&mut self) -> &mut Connection {
        &mut self.http
    }

    /// Returns whether the kept connection can carry another exchange. It goes to a
    /// leaf's old address if it was in use when the leaf's address changed.
    pub(super) fn usable(&self, address: SocketAddr) -> bool {
        self.http.address() == address && self.http.within_keep_alive() && self.http.is_open()
    }

    /// Returns whether another exchange may follow the last one.
    pub(super) fn reusable(&self) -> bool {
        self.http.reusable()
    }

    /// Records that the leaf has refused a request.
    pub(super) fn record_refusal(&mut self, id: &str, deadline: Time, now: Time) {
        self.refused.add(id, deadline, now);
    }

    /// Returns whether the leaf has refused a request on this connection.
    pub(super) fn has_refused(&self, id: Option<&str>) -> bool {
        id.is_some_and(|id| self.refused.contains(id))
    }

    /// Closes the connection and waits until the leaf has closed it too, but no longer
    /// than `timeout`.
    pub(super) async fn close(self, timeout: Duration) {
        self.http.close(timeout).await;
    }
}
