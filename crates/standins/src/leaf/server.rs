//! A simulated leaf: its connections and its HTTP API.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_lite::future;
use guavacourse::{
    edge::{
        clock::Clock,
        http::{self, json_response},
    },
    modules::time::Time,
};
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use smol::{Timer, net::TcpStream};

use super::{
    faults::{Health, LeafFaults},
    settings::{ColdStart, ServiceTime},
    state::{LeafCounters, ServedIndex, State},
};
use crate::{
    error::error_response,
    listener::{ConnectionId, Listener, ListenerHandle},
    outage::Outage,
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// Properties of a leaf that do not change while it runs.
#[derive(Clone, Debug)]
pub(super) struct LeafSpec {
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) slots: u32,
    pub(super) connect: Duration,
    pub(super) service: ServiceTime,
    pub(super) cold: ColdStart,
}

/// A leaf, shared by its thread and its [`LeafHandle`](super::LeafHandle)s.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) spec: LeafSpec,
    pub(super) address: SocketAddr,
    pub(super) listener: ListenerHandle,
    clock: Clock,
    state: Mutex<State>,
}

/// Lets the handler of a request close its connection.
#[derive(Clone, Debug)]
pub(super) struct ConnectionHandle {
    pub(super) id: ConnectionId,
    /// Once announced, the connection closes after the next response.
    shutdown: http::Shutdown,
}

impl ConnectionHandle {
    pub(super) fn close_after_response(&self) {
        self.shutdown.announce();
    }
}

#[derive(Serialize)]
struct HealthReport {
    state: Health,
}

#[derive(Serialize)]
struct Load {
    running: u32,
    waiting: u32,
}

impl Leaf {
    pub(super) fn new(
        spec: LeafSpec,
        listener: ListenerHandle,
        address: SocketAddr,
        state: State,
    ) -> Self {
        Self {
            spec,
            address,
            listener,
            clock: Clock::start(),
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Replaces the faults. [`Outage::Refuse`] closes every connection, and
    /// [`Outage::Close`] every connection except `kept`.
    pub(super) fn set_faults(&self, faults: LeafFaults, kept: Option<ConnectionId>) {
        let now = self.now();
        let mut state = self.lock();
        let was_down = state.faults.down != Outage::None;
        match faults.down {
            Outage::Refuse => self.listener.pause(),
            Outage::Close => self.listener.close_all(kept),
            Outage::None => self.listener.resume(),
        }
        if was_down && faults.down == Outage::None {
            state.restart(now);
        }
        state.faults = faults;
    }

    /// Replaces what the leaf serves.
    pub(super) fn set_served(&self, served: ServedIndex) {
        self.lock().served = served;
    }

    /// Closes every connection, refuses new ones for the restart time, and
    /// starts a new incarnation.
    pub(super) fn crash(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.work.crashes += 1;
        let span = state.faults.restart;
        state.restart(now.after(span));
        self.listener.restart(span);
    }

    /// Serves connections until every handle of the listener is dropped.
    pub(super) async fn run(self: Arc<Self>, listener: Listener) {
        let leaf = Arc::clone(&self);
        let refused = move || leaf.lock().work.rejected += 1;
        let connection = move |stream, id| Arc::clone(&self).serve(stream, id);
        listener.run(connection, refused).await;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, id: ConnectionId) {
        let delay = {
            let mut state = self.lock();
            state.work.connections += 1;
            self.spec.connect + state.faults.connect
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let connection = ConnectionHandle {
            id,
            shutdown: http::Shutdown::default(),
        };
        let limits = http::Limits {
            idle_timeout: IDLE_TIMEOUT,
            shutdown: connection.shutdown.clone(),
            ..http::Limits::default()
        };
        let handler = |request| Arc::clone(&self).answer(connection.clone(), request);
        if let Err(error) = http::serve(stream, limits, handler).await {
            tracing::debug!(%error, leaf = self.spec.name, "a connection to a leaf failed");
        }
    }

    async fn answer(
        self: Arc<Self>,
        connection: ConnectionHandle,
        mut request: Request,
    ) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Put, "/faults") => match request.body_json().await {
                Ok(faults) => {
                    self.set_faults(faults, Some(connection.id));
                    Response::new(StatusCode::Ok)
                }
                Err(error) => error_response(400, &error.to_string()),
            },
            _ if self.lock().faults.down != Outage::None => {
                self.close_unanswered(&connection).await
            }
            (Method::Put, "/served") => match request.body_json().await {
                Ok(served) => {
                    self.set_served(served);
                    Response::new(StatusCode::Ok)
                }
                Err(error) => error_response(400, &error.to_string()),
            },
            (Method::Get, "/health") => json_response(200, &self.health()),
            (Method::Get, "/load") => json_response(200, &self.load()),
            (Method::Get, "/work") => json_response(200, &self.work()),
            (Method::Post, "/query" | "/action") => self.call(connection, request).await,
            _ => error_response(404, "no such call; see docs/PROTOCOLS.md"),
        }
    }

    /// Closes the connection without a response. Never returns.
    pub(super) async fn close_unanswered(&self, connection: &ConnectionHandle) -> Response {
        self.listener.close(connection.id);
        future::pending().await
    }

    pub(super) fn work(&self) -> LeafCounters {
        self.lock().work
    }

    fn health(&self) -> HealthReport {
        let state = self.lock();
        HealthReport {
            state: state.reported_health(),
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.lock().reported_load(self.now()),
            waiting: 0,
        }
    }
}
