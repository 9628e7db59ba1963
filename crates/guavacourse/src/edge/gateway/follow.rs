//! The control thread: follows the changes of the registry, directly or through a
//! peer, and publishes the resulting state.

mod backups;
mod events;
mod feed;
pub(super) mod findings;
mod pause;
mod restored;
mod sources;
mod trials;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::channel::oneshot;
use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer, channel::Receiver};

use self::{
    feed::FeedServer,
    pause::{Backoff, MAX_BACKOFF},
    restored::Restored,
    sources::Sources,
};
use super::{GatewayConfig, Registry, RegistryError, freshness::Freshness, trials::TrialRequest};
use crate::{
    edge::{
        account::CallerAccount,
        clock::Clock,
        node::{NodeServer, serve_fleet},
        published::Published,
        worker::StopSignal,
    },
    modules::{
        crash_evidence::{CrashReport, Finding},
        directory::{Change, Directory, Extent, ListReading, RegistryReading},
        era::Position,
        inventory::Address,
        journal::Journal,
        members::{Member, MemberState, Role},
        readers::{ReaderPlan, Readers},
        time::Time,
        view::View,
    },
};

/// Delay between a change and the next call to the registry, so that this call
/// returns all changes made in the meantime.
const BATCH_DELAY: Duration = Duration::from_millis(350);

/// Interval between renewals of the registration: a third of its lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Minimum pause between readings of a list that does not end.
const RELIST_INTERVAL: Duration = Duration::from_secs(5);

/// Pause between such readings as a multiple of the time that one takes, and its limit.
const RELIST_FACTOR: u32 = 10;
const MAX_RELIST_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before the sources are asked again if none was up to date.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for the registry to end the registration at shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Inputs of the control thread.
pub(super) struct Setup {
    pub(super) config: GatewayConfig,
    pub(super) clock: Clock,
    pub(super) view: Published<View>,
    /// Socket to which peers that follow this process connect.
    pub(super) listener: TcpListener,
    /// Account of all peers that connect to the process.
    pub(super) peer_account: CallerAccount,
    /// What the traffic thread finds out about request content.
    pub(super) findings: Receiver<Finding>,
    /// Trials of request content that the traffic thread asks for.
    pub(super) trials: Receiver<TrialRequest>,
    /// To the traffic thread.
    pub(super) freshness: Freshness,
    /// Number of times that an entry of the registry could not be read, for the metrics.
    pub(super) unreadable: Arc<AtomicU64>,
}

/// Runs the control thread until `stop`, then ends the registration.
pub(super) async fn run<R: Registry + 'static>(
    setup: Setup,
    registry: R,
    executor: Rc<LocalExecutor<'static>>,
    stop: StopSignal,
) {
    let Ok(listener) = setup.listener.try_clone() else {
        tracing::error!("cannot serve peers; raise the open-file limit and restart");
        return;
    };
    let account = setup.peer_account.clone();
    let follower = Rc::new(Follower::new(setup, registry, &executor));
    let node = NodeServer {
        feed: Some(capnp_rpc::new_client(FeedServer(Rc::clone(&follower)))),
        ..NodeServer::default()
    };
    let peers = executor.spawn(serve_fleet(
        listener,
        Rc::new(node),
        Rc::clone(&executor),
        account,
    ));
    let work = async {
        let following = follower.follow();
        let registering = follower.keep_registered();
        let expiring = follower.remove_expired();
        let reporting = follower.report_findings();
        let repeating = follower.repeat_reports();
        let trying = follower.serve_trials();
        let reporting = futures::future::join3(reporting, repeating, trying);
        futures::future::join4(following, registering, expiring, reporting).await;
    };
    work.or(stop.wait()).await;
    peers.cancel().await;
    let timeout = async {
        Timer::after(DEREGISTER_TIMEOUT).await;
        Ok(())
    };
    if let Err(error) = follower.registry.deregister().or(timeout).await {
        tracing::warn!(%error, "cannot end the registration; it lasts until its lease expires");
    }
}

/// Keeps the directory of this process up to date and publishes it.
struct Follower<R> {
    setup: Setup,
    registry: R,
    readers: Readers,
    directory: RefCell<Directory>,
    journal: RefCell<Journal>,
    sources: Sources,
    /// Peers that wait for changes.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Position of the registry up to which changes were applied.
    position: Cell<Position>,
    /// Whether a peer was asked for its version of the configuration.
    asked_version: Cell<bool>,
    /// Crashes that this process reported to the registry.
    reported: RefCell<VecDeque<CrashReport>>,
    /// Wakes the tasks that write to a restored registry again.
    restored: Restored,
    /// When this process last knew that it was up to date.
    fresh_at: Cell<Option<Time>>,
    /// When this process lost the registry and began to depend on peers; `None` if it
    /// reads the registry, or follows a process that does so for its data centre.
    cut_off: Cell<Option<Time>>,
    /// Whether all that this process knows comes from a list that was cut, so that leaves
    /// may be missing.
    incomplete: Cell<bool>,
    /// When this process first knew the configuration and the fleet, without all
    /// leaves; `None` if it never did.
    fleet_known: Cell<Option<Time>>,
}

/// Progress of this process's own reads of the registry.
#[derive(Debug, Default)]
struct ReadState {
    /// Position to watch from; `None` until the whole registry was read.
    after: Option<Position>,
    /// When to list the registry again; `None` if all of it was listed.
    list_again: Option<Time>,
    backoff: Backoff,
}

impl ReadState {
    /// Records how much of the registry a list holds whose reading began at `started`.
    fn record_list(&mut self, extent: Extent, started: Time, now: Time) {
        let whole = extent == Extent::Whole;
        let pause = now.since(started) * RELIST_FACTOR;
        let pause = pause.clamp(RELIST_INTERVAL, MAX_RELIST_INTERVAL);
        if !whole && self.list_again.is_none() {
            tracing::warn!(
                ?extent,
                ?pause,
                "the list of the registry has no end or no configuration; what was read is used, \
                 and it is read again after a pause; look for a fault of the store, and for \
                 entries of others"
            );
        }
        self.list_again = (!whole).then(|| now.after(pause));
    }
}

impl<R: Registry> Follower<R> {
    fn new(setup: Setup, registry: R, executor: &Rc<LocalExecutor<'static>>) -> Self {
        let config = &setup.config;
        Self {
            readers: Readers::new(&config.instance, &config.data_centre, config.max_delay),
            directory: Directory::new(&config.instance, config.regions.clone())
                .with_drain(config.drain)
                .into(),
            journal: Journal::new(fastrand::u64(1..)).into(),
            sources: Sources::new(executor),
            waiters: RefCell::default(),
            position: Cell::default(),
            asked_version: Cell::new(false),
            reported: RefCell::default(),
            restored: Restored::default(),
            fresh_at: Cell::new(None),
            cut_off: Cell::new(None),
            incomplete: Cell::new(false),
            fleet_known: Cell::new(None),
            setup,
            registry,
        }
    }

    async fn follow(&self) {
        let mut state = ReadState::default();
        self.read_first(&mut state).await;
        loop {
            let plan = self.reader_plan();
            if self.follow_source(&plan).await {
                state.after = None;
                continue;
            }
            if self.cut_off.get().is_some() {
                self.recover(&mut state).await;
                continue;
            }
            let behind = self.is_behind(&plan);
            if plan.sources.is_empty() || behind || state.after.is_some() {
                self.read_registry(&mut state, plan.watch_timeout).await;
            } else {
                Timer::after(SOURCE_RETRY_DELAY).await;
            }
        }
    }

    /// Reads the configuration and the fleet. If that leaves out leaves, they come from
    /// a source: in a large fleet, the whole registry is too much for each process to
    /// read when all start together. Until then the process hands its requests over; one
    /// that cannot is not ready before it has read the rest.
    async fn read_first(&self, state: &mut ReadState) {
        match self.registry.read_first().await {
            Ok(ListReading {
                mut reading,
                extent: Extent::Whole,
            }) if self.is_configured(&reading) => {
                let position = self.position_of(&reading);
                state.after = Some(position);
                self.add_newer_version(&mut reading).await;
                self.apply_reading(reading, position, true, self.setup.clock.now());
            }
            Ok(ListReading { mut reading, .. }) => {
                let members = reading.changes.iter().filter_map(Change::member);
                let plan = self.readers.plan(members);
                if !plan.start_wait.is_zero() {
                    self.add_newer_version(&mut reading).await;
                    self.fleet_known.set(Some(self.setup.clock.now()));
                    self.apply_changes(reading.without_leaves().changes);
                }
            }
            Err(error) => self.record_failure(state, &error).await,
        }
    }

    /// Returns whether this process has to read the registry itself, because no source
    /// has brought it up to date in time.
    fn is_behind(&self, plan: &ReaderPlan) -> bool {
        let now = self.setup.clock.now();
        let left = self.sources.cut_off().map(|at| now.since(at));
        if left.is_some_and(|left| left >= plan.takeover) {
            return true;
        }
        match (self.age(), self.fleet_known.get()) {
            (Some(age), _) => age >= plan.fallback_age,
            (None, Some(known)) => now.since(known) >= plan.start_wait,
            (None, None) => true,
        }
    }

    fn reader_plan(&self) -> ReaderPlan {
        self.readers.plan(self.directory.borrow().members())
    }

    /// Reads the whole registry, or waits once for changes after what was read.
    async fn read_registry(&self, state: &mut ReadState, wait: Duration) {
        let started = self.setup.clock.now();
        let known = self.position.get();
        // Peers may have brought this process further than its own readings did.
        state.after = state.after.map(|after| after.max(known));
        if state.list_again.is_some_and(|due| started >= due) {
            state.after = None;
        }
        let lists = state.after.is_none();
        let read = match state.after {
            None => self.registry.read().await,
            Some(after) => {
                let read = self.registry.watch(after, wait).await;
                read.map(|reading| ListReading {
                    reading,
                    extent: Extent::Part,
                })
            }
        };
        match read {
            Ok(ListReading { reading, .. })
                if self.was_overtaken(known, self.position_of(&reading)) =>
            {
                state.after = None;
                self.end_cut_off();
            }
            Ok(ListReading {
                mut reading,
                extent,
            }) => {
                state.backoff.reset();
                self.end_cut_off();
                let position = self.position_of(&reading);
                let changed = !reading.changes.is_empty();
                state.after = state.after.max(Some(position));
                // A list without a configuration is not believed: a registry that has just
                // come back may have left out a part.
                let configured = self.is_configured(&reading);
                let extent = if configured { extent } else { Extent::Part };
                if lists {
                    state.record_list(extent, started, self.setup.clock.now());
                    if extent == Extent::Cut && self.fresh_at.get().is_none() {
                        self.incomplete.set(true);
                    }
                }
                // Changes made during a reading of several pages may be missing from it.
                let fresh_at = if lists {
                    started
                } else {
                    self.setup.clock.now()
                };
                if known == Position::default() {
                    self.add_newer_version(&mut reading).await;
                }
                let whole = extent == Extent::Whole;
                self.apply_reading(reading, position, whole, fresh_at);
                if changed {
                    Timer::after(BATCH_DELAY).await;
                }
            }
            Err(error @ (RegistryError::Compacted | RegistryError::TooLarge))
                if state.after.is_some() =>
            {
                tracing::info!(after = ?state.after, "{error}");
                state.after = None;
            }
            Err(error @ RegistryError::Restored) => {
                tracing::info!(era = self.registry.era(), "{error}");
                state.after = None;
                Timer::after(SOURCE_RETRY_DELAY).await;
            }
            Err(error) => self.record_failure(state, &error).await,
        }
    }

    /// Returns whether a configuration is known, or comes with a reading.
    fn is_configured(&self, reading: &RegistryReading) -> bool {
        let mut changes = reading.changes.iter();
        self.directory.borrow().version() > 0 || changes.any(|change| change.version() > 0)
    }

    /// Returns whether peers brought this process past a reading while it was made, so
    /// that the reading is older than what is known.
    fn was_overtaken(&self, before: Position, reading: Position) -> bool {
        let known = self.position.get();
        known > before && reading < known
    }

    /// Returns the position of a reading that the registry has just returned.
    fn position_of(&self, reading: &RegistryReading) -> Position {
        Position {
            era: self.registry.era(),
            revision: reading.as_of,
        }
    }

    /// Records that the registry could not be read, and waits before the next call.
    async fn record_failure(&self, state: &mut ReadState, error: &RegistryError) {
        let now = self.setup.clock.now();
        // A peer that reads the registry has told apart already which entries are missing
        // because of an outage.
        if !self.sources.has_backup() {
            self.directory.borrow_mut().record_outage(now);
        }
        if self.cut_off.get().is_none() {
            self.cut_off.set(Some(now));
            self.wake_peers();
        }
        state.backoff.wait(error).await;
    }

    /// Records that this process gets the changes of the registry again without other
    /// peers than its sources.
    fn end_cut_off(&self) {
        self.sources.end_backup();
        if self.cut_off.take().is_some() {
            self.wake_peers();
        }
    }

    /// Applies a reading of the registry at `position` that was up to date at `fresh_at`.
    /// `whole` says that it holds the whole registry, not only changes.
    fn apply_reading(
        &self,
        reading: RegistryReading,
        position: Position,
        whole: bool,
        fresh_at: Time,
    ) {
        self.enter(position);
        let known = self.fresh_at.get();
        self.directory.borrow_mut().set_known_at(known);
        self.fresh_at.set(self.fresh_at.get().max(Some(fresh_at)));
        self.setup.freshness.record(fresh_at);
        if whole {
            let completed = self.incomplete.take();
            self.update(|directory, now| directory.replace(reading, now) | completed);
        } else {
            self.apply_changes(reading.changes);
        }
    }

    /// Moves to a position of the registry. If the registry was restored since the last
    /// one, what this process keeps in it is written again.
    fn enter(&self, position: Position) {
        let known = self.position.get();
        self.position.set(known.max(position));
        if !position.is_restored_after(known) {
            return;
        }
        tracing::warn!(
            ?known,
            ?position,
            "the registry came back from an older copy; entries that it lacks are kept until \
             their owners have had time to write them again"
        );
        self.directory
            .borrow_mut()
            .record_restore(self.setup.clock.now());
        self.restored.notify();
    }

    fn apply_changes(&self, changes: Vec<Change>) {
        self.update(|directory, now| {
            let mut different = false;
            for change in changes {
                different |= directory.apply(change, now);
            }
            different
        });
    }

    /// Returns the time since this process last knew that it was up to date;
    /// `None` if it never did.
    fn age(&self) -> Option<Duration> {
        let now = self.setup.clock.now();
        self.fresh_at.get().map(|fresh_at| now.since(fresh_at))
    }

    async fn keep_registered(&self) {
        let mut backoff = Backoff::default();
        loop {
            match self.registry.register(self.was_removed()).await {
                Ok(()) => {
                    backoff.reset();
                    self.restored.registration(RENEWAL_INTERVAL).await;
                }
                Err(error) => backoff.wait(&error).await,
            }
        }
    }

    /// Returns whether the entry of this process was seen to be removed.
    fn was_removed(&self) -> bool {
        let directory = self.directory.borrow();
        let mut members = directory.members();
        members.any(|member| {
            member.name == self.setup.config.instance && member.state == MemberState::Leaving
        })
    }

    /// Periodically removes leaves that have not registered again after an outage,
    /// processes whose entry has been gone for a while, and old quarantines.
    async fn remove_expired(&self) {
        loop {
            let due = self.directory.borrow().next_tick();
            let now = self.setup.clock.now();
            let wait = due.map_or(MAX_BACKOFF, |due| due.left(now).min(MAX_BACKOFF));
            Timer::after(wait).await;
            self.update(Directory::tick);
        }
    }

    /// Changes the directory, publishes it if it is different, and wakes the peers
    /// that wait for changes.
    fn update(&self, change: impl FnOnce(&mut Directory, Time) -> bool) {
        let now = self.setup.clock.now();
        let mut directory = self.directory.borrow_mut();
        let different = change(&mut directory, now);
        for event in directory.take_events() {
            events::log(&event);
        }
        let unreadable = directory.unreadable();
        self.setup.unreadable.store(unreadable, Ordering::Relaxed);
        let changes = directory.take_changes();
        if different {
            self.publish(&directory, now);
        }
        drop(directory);
        if !changes.is_empty() {
            self.journal.borrow_mut().extend(changes);
            self.wake_peers();
        }
    }

    fn publish(&self, directory: &Directory, now: Time) {
        let held = self.setup.view.load();
        let catalog = directory.catalog();
        let newer = catalog.revision > held.catalog.revision;
        let config = &self.setup.config;
        let own = Member {
            name: config.instance.clone(),
            role: Role::Relay,
            data_centre: config.data_centre.clone(),
            address: Address(config.callers),
            ..Member::default()
        };
        self.setup.view.store(View {
            catalog,
            adopted: if newer { now } else { held.adopted },
            entries: directory.members().cloned().collect(),
            relays: vec![own],
            draining: directory.draining(),
            drain_period: directory.drain_period(),
            cold: directory.cold_leaves(),
            incarnations: directory.incarnations(),
            quarantined: directory.crashes().quarantined(),
            trials: directory.crashes().trials(),
            suspected: directory.crashes().suspected(),
            shares: directory.shares(),
            incomplete: self.incomplete.get(),
            ..View::default()
        });
    }
}
