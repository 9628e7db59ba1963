//! The simulated platform: its thread, and the handle that controls it.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_lite::FutureExt;
use guavacourse::{
    edge::{clock::Clock, http},
    modules::{members::Member, time::Time},
};
use serde::{Deserialize, Serialize};
use smol::Timer;

use super::{
    faults::PlatformFaults,
    instances::{Instances, Listing},
    rate::RateLimiter,
    routes,
    store::{Content, Store},
    view::PlatformView,
};
use crate::{
    listener::{ConnectionId, Listener, ListenerHandle},
    outage::Outage,
    thread::ServerThread,
};

/// Interval between checks for expired leases and silent instances.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a request body, in bytes. It exceeds the 1 MiB limit on a
/// value, so that the store itself answers when a value is too large.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// Settings of the simulated platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// Maximum number of writes served per second.
    pub write_rate: u32,
    /// Maximum number of reads and watches served per second.
    pub read_rate: u32,
    /// Time without a heartbeat after which an instance is removed from the list.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            write_rate: 400,
            read_rate: 2000,
            timeout: Duration::from_secs(3),
        }
    }
}

/// Counters of calls to the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Counters {
    /// Reads of the store.
    pub reads: u64,
    /// Writes, including lease calls.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls refused because they exceeded the rate.
    pub throttled: u64,
    /// Reads of the instance list.
    pub listings: u64,
    /// Heartbeats of instances.
    pub heartbeats: u64,
}

/// State shared by the platform's threads and handles.
#[derive(Debug)]
pub(super) struct State {
    pub(super) store: Store,
    pub(super) instances: Instances,
    pub(super) faults: PlatformFaults,
    pub(super) counters: Counters,
    pub(super) writes: RateLimiter,
    pub(super) reads: RateLimiter,
}

/// The state, and the clock and listener by which it is served at one address.
#[derive(Debug)]
pub(super) struct Shared {
    state: Arc<Mutex<State>>,
    clock: Clock,
    timeout: Duration,
    pub(super) listener: ListenerHandle,
    /// Processes whose address in the list is replaced by the one given here.
    address_overrides: Mutex<Vec<Member>>,
}

impl Shared {
    /// Returns the same state, served by another listener.
    pub(super) fn view(&self, listener: ListenerHandle) -> Self {
        Self {
            state: Arc::clone(&self.state),
            clock: self.clock,
            timeout: self.timeout,
            listener,
            address_overrides: Mutex::default(),
        }
    }

    pub(super) fn address_overrides(&self) -> MutexGuard<'_, Vec<Member>> {
        self.address_overrides
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instance list as served at this address.
    pub(super) fn list(&self) -> Listing {
        let now = self.now();
        let mut state = self.lock();
        let State {
            instances, faults, ..
        } = &mut *state;
        let mut listing = instances.list(now, faults);
        drop(state);
        for replacement in self.address_overrides().iter() {
            let mut members = listing.instances.iter_mut();
            let same = |member: &&mut Member| {
                (&member.name, member.role) == (&replacement.name, replacement.role)
            };
            if let Some(member) = members.find(same) {
                member.address = replacement.address;
            }
        }
        listing
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Replaces the faults. [`Outage::Refuse`] closes every connection, and
    /// [`Outage::Close`] every connection except `kept`.
    pub(super) fn set_faults(&self, faults: PlatformFaults, kept: Option<ConnectionId>) {
        let now = self.now();
        let mut state = self.lock();
        match faults.down {
            Outage::Refuse => self.listener.pause(),
            Outage::Close => self.listener.close_all(kept),
            Outage::None => self.listener.resume(),
        }
        state.instances.apply_faults(now, &faults);
        state.faults = faults;
    }

    /// Removes expired leases and silent instances, forever.
    async fn expire(&self) {
        loop {
            Timer::after(EXPIRY_CHECK_INTERVAL).await;
            let now = self.now();
            let mut state = self.lock();
            state.store.expire(now);
            state.instances.expire(now, self.timeout);
        }
    }
}

/// A copy of the content of the store.
#[derive(Clone, Debug)]
pub struct PlatformCopy(Content);

/// A running simulated platform. Dropping it stops and joins its thread.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: ServerThread,
}

impl Platform {
    /// Starts a platform on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(address: SocketAddr, settings: &PlatformSettings) -> io::Result<Self> {
        let (listener, handle) = Listener::bind(address, usize::MAX)?;
        let address = listener.address();
        let shared = Arc::new(Shared {
            state: Arc::new(Mutex::new(State {
                store: Store::default(),
                instances: Instances::default(),
                faults: PlatformFaults::default(),
                counters: Counters::default(),
                writes: RateLimiter::new(settings.write_rate),
                reads: RateLimiter::new(settings.read_rate),
            })),
            clock: Clock::start(),
            timeout: settings.timeout,
            listener: handle,
            address_overrides: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        let thread = ServerThread::start("platform", move || run(listener, served))?;
        Ok(Self {
            address,
            shared,
            thread,
        })
    }

    /// Returns the address that the platform serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of calls.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults, None);
    }

    /// Returns the value and version of a key, without counting a call.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let state = self.shared.lock();
        let stored = state.store.get(key)?;
        Some((stored.value.clone(), stored.version))
    }

    /// Returns the instance list as served at the platform's own address.
    #[must_use]
    pub fn instances(&self) -> Vec<Member> {
        self.shared.list().instances
    }

    /// Serves the platform at an additional address, as another data centre sees
    /// it; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn view(&self, address: SocketAddr) -> io::Result<PlatformView> {
        PlatformView::start(address, &self.shared)
    }

    /// Makes the instance list give `link` as the address of the process that
    /// serves on `address`, so that other processes reach it through that proxy.
    pub fn redirect(&self, address: SocketAddr, link: SocketAddr) {
        self.shared.lock().instances.redirect(address, link);
    }

    /// Names an era in all answers from now on.
    pub fn send_era(&self) {
        self.shared.lock().store.era = 1;
    }

    /// Copies the content of the store.
    #[must_use]
    pub fn copy(&self) -> PlatformCopy {
        PlatformCopy(self.shared.lock().store.content())
    }

    /// Goes back to an older copy of the store, and begins the next era. The platform is
    /// away before that if `faults` say so.
    pub fn restore(&self, copy: &PlatformCopy) {
        self.shared.lock().store.restore(copy.0.clone());
    }

    /// Revokes every lease, as if each had expired.
    pub fn expire_leases(&self) {
        self.shared.lock().store.expire(Time::MAX);
    }

    /// Stops the platform and waits for its thread.
    pub fn stop(mut self) {
        self.thread.stop();
    }
}

/// Serves the platform at the address of `listener`.
pub(super) async fn run(listener: Listener, shared: Arc<Shared>) {
    let limits = http::Limits {
        max_body: MAX_BODY_BYTES,
        idle_timeout: IDLE_TIMEOUT,
        ..http::Limits::default()
    };
    let served = Arc::clone(&shared);
    let connection = move |stream, id| {
        let (shared, limits) = (Arc::clone(&served), limits.clone());
        async move {
            let handler = |request| routes::answer(Arc::clone(&shared), id, request);
            if let Err(error) = http::serve(stream, limits, handler).await {
                tracing::debug!(%error, "a connection to the platform failed");
            }
        }
    };
    listener.run(connection, || {}).or(shared.expire()).await;
}
