//! The account of the connections of clients, and the place of each in it.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures_lite::future;
use slotmap::SecondaryMap;

use crate::{
    edge::{clock::Clock, latch::Latch},
    modules::{
        caller_memory::{CallerKey, CallerLimits, CallerMemory, NoRoom},
        line_budget::{LineBudget, LineDecision},
        time::Time,
    },
};

/// Whose connections an account holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Clients {
    /// Callers, and clients of the readiness check and the metrics.
    Callers,
    /// Other processes of the fleet.
    Peers,
}

/// Why a connection was closed or refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Closed: others needed its memory, and it made the least progress.
    Memory,
    /// Closed: others needed its place, and it made the least progress.
    Connections,
    /// Refused: there was no memory for its request.
    Refused,
}

/// The account of all connections of a listener. Clones share it.
#[derive(Clone)]
pub struct CallerAccount(Arc<Shared>);

struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    clients: Clients,
    memory: CallerMemory,
    /// Tells a connection to close, and why.
    signals: SecondaryMap<CallerKey, (Latch, Cause)>,
    /// Connections closed or refused, by [`Cause`].
    counts: [u64; 3],
    lines: [LineBudget; 3],
}

impl fmt::Debug for CallerAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerAccount")
            .finish_non_exhaustive()
    }
}

impl Default for CallerAccount {
    fn default() -> Self {
        Self::new(CallerLimits::UNLIMITED)
    }
}

impl CallerAccount {
    /// Creates an empty account of callers.
    #[must_use]
    pub fn new(limits: CallerLimits) -> Self {
        Self::of(Clients::Callers, limits)
    }

    /// Creates an empty account of these clients.
    pub(crate) fn of(clients: Clients, limits: CallerLimits) -> Self {
        Self(Arc::new(Shared {
            clock: Clock::start(),
            state: Mutex::new(State {
                clients,
                memory: CallerMemory::new(limits),
                signals: SecondaryMap::new(),
                counts: [0; 3],
                lines: [LineBudget::default(); 3],
            }),
        }))
    }

    /// Returns the place of a new connection; none if there is no room for it.
    #[must_use]
    pub fn open(&self) -> Option<Seat> {
        let now = self.now();
        let mut state = self.state();
        let opened = state.memory.open(now);
        state.evict(Cause::Connections, now);
        let Ok(key) = opened else {
            state.count(Cause::Connections, now);
            return None;
        };
        let latch = Latch::default();
        state.signals.insert(key, (latch.clone(), Cause::Memory));
        drop(state);
        Some(Seat {
            account: self.clone(),
            key,
            latch,
        })
    }

    /// Closes the connection with the least progress, because descriptors ran out.
    pub(crate) fn make_room(&self) {
        let now = self.now();
        let mut state = self.state();
        state.memory.evict_connection(now);
        state.evict(Cause::Connections, now);
    }

    /// Returns whether connections that were told to close must do so before others are
    /// accepted.
    pub(crate) fn is_crowded(&self) -> bool {
        self.state().memory.is_crowded()
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state().memory.held()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state().memory.connections()
    }

    /// Returns how many connections were closed or refused for this cause.
    #[must_use]
    pub fn count(&self, cause: Cause) -> u64 {
        self.state().counts[cause as usize]
    }

    fn now(&self) -> Time {
        self.0.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells the chosen connections to close.
    fn evict(&mut self, cause: Cause, now: Time) {
        for victim in self.memory.take_victims() {
            if let Some(signal) = self.signals.get_mut(victim) {
                signal.1 = cause;
                signal.0.set();
            }
            self.count(cause, now);
        }
    }

    /// Counts a connection that is closed or refused, and logs it.
    fn count(&mut self, cause: Cause, now: Time) {
        self.counts[cause as usize] += 1;
        let LineDecision::Write { left_out } = self.lines[cause as usize].count(now) else {
            return;
        };
        let (held, connections) = (self.memory.held(), self.memory.connections());
        let whose = match self.clients {
            Clients::Callers => "a caller's",
            Clients::Peers => "a peer's",
        };
        match cause {
            Cause::Memory => tracing::warn!(
                held,
                connections,
                left_out,
                "{whose} connection is closed: others need its memory"
            ),
            Cause::Connections => tracing::warn!(
                held,
                connections,
                left_out,
                "{whose} connection is closed: others need its place"
            ),
            Cause::Refused => tracing::warn!(
                held,
                connections,
                left_out,
                "{whose} request is refused: there is no memory for it"
            ),
        }
    }
}

/// The place of one connection in its account. Dropping it frees the place.
#[derive(Debug)]
pub struct Seat {
    account: CallerAccount,
    key: CallerKey,
    latch: Latch,
}

impl Seat {
    /// Records that the connection waits for a request and holds nothing.
    pub(crate) fn wait(&self) {
        let now = self.account.now();
        let mut state = self.account.state();
        state.memory.wait(self.key, now);
        // Cannot fail: the charge falls.
        let _ = state.memory.charge(self.key, 0, now);
        state.evict(Cause::Memory, now);
    }

    /// Records that a request begins.
    pub(crate) fn begin(&self) {
        self.account
            .state()
            .memory
            .begin(self.key, self.account.now());
    }

    /// Charges a connection whose request runs for `bytes` more that were read ahead.
    /// Returns whether more may be read.
    pub(crate) fn read_ahead(&self, bytes: usize) -> bool {
        let now = self.account.now();
        let mut state = self.account.state();
        let room = state.memory.extend(self.key, bytes, now).is_ok();
        state.evict(Cause::Memory, now);
        room
    }

    /// Records that the request has run and a response of `size` bytes is written. It is
    /// never refused.
    pub(crate) fn answer(&self, size: usize) {
        let now = self.account.now();
        let mut state = self.account.state();
        state.memory.answer(self.key, now);
        if state.memory.charge(self.key, size, now).is_err() {
            tracing::debug!(size, "a response exceeds the memory for callers");
        }
        state.evict(Cause::Memory, now);
    }

    /// Records that bytes have passed.
    pub(crate) fn moved(&self, bytes: usize) {
        let now = self.account.now();
        self.account.state().memory.moved(self.key, bytes, now);
    }

    /// Records that bytes of a request have passed, which begins with them if the
    /// connection has waited for one.
    pub(crate) fn receive(&self, bytes: usize) {
        let now = self.account.now();
        let mut state = self.account.state();
        state.memory.receive(self.key, bytes, now);
    }

    /// Charges the connection for the bytes that it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub(crate) fn charge(&self, held: usize) -> Result<(), NoRoom> {
        self.change(|memory, now| memory.charge(self.key, held, now))
    }

    /// Charges the connection for a request of `held` bytes that is about to run.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it: it must not run.
    pub(crate) fn run(&self, held: usize) -> Result<(), NoRoom> {
        self.change(|memory, now| memory.run(self.key, held, now))
    }

    fn change(
        &self,
        change: impl FnOnce(&mut CallerMemory, Time) -> Result<(), NoRoom>,
    ) -> Result<(), NoRoom> {
        let now = self.account.now();
        let mut state = self.account.state();
        let changed = change(&mut state.memory, now);
        state.evict(Cause::Memory, now);
        if changed.is_err() {
            state.count(Cause::Refused, now);
        }
        changed
    }

    /// Returns once the connections that were told to close have freed their memory.
    pub(crate) async fn wait_room(&self) {
        while self.must_wait() {
            future::yield_now().await;
        }
    }

    /// Returns whether nothing may be read until connections that were told to close have
    /// freed their memory.
    pub(crate) fn must_wait(&self) -> bool {
        self.account.state().memory.must_wait() && !self.latch.is_set()
    }

    /// Returns once the connection must close, and why.
    pub(crate) async fn evicted(&self) -> Cause {
        self.latch.wait().await;
        let state = self.account.state();
        let signal = state.signals.get(self.key);
        signal.map_or(Cause::Memory, |(_, cause)| *cause)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut state = self.account.state();
        state.memory.close(self.key);
        state.signals.remove(self.key);
    }
}
