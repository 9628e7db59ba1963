//! The control thread: follows the registry and publishes what it says.

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};

use super::{GatewayConfig, Registry, RegistryError};
use crate::{
    edge::{clock::Clock, published::Published, worker::Stop},
    modules::{
        directory::{Directory, Note},
        inventory::Address,
        members::{Member, Role},
        time::Time,
        view::View,
    },
};

/// Longest wait of one watch. A watch whose connection has gone silent is
/// noticed a little later; that and a new reading must stay within the time in
/// which a leaving leaf gets no more work.
const WATCH_WAIT: Duration = Duration::from_millis(2_200);

/// Time after a change in which further ones are awaited, so that one call
/// brings them all.
const GATHER: Duration = Duration::from_millis(350);

/// Time between two renewals of the registration: a third of its lease.
const REGISTER_PERIOD: Duration = Duration::from_secs(4);

/// Shortest and longest pause after a failed call.
const PAUSE_MIN: Duration = Duration::from_millis(60);
const PAUSE_MAX: Duration = Duration::from_millis(700);

/// Longest wait for the end of the registration at the stop.
const RETIRE_TIMEOUT: Duration = Duration::from_millis(300);

/// What the thread starts with.
pub(super) struct Plan {
    pub(super) config: GatewayConfig,
    pub(super) clock: Clock,
    pub(super) view: Published<View>,
}

/// Runs until the stop.
pub(super) async fn run<R: Registry + 'static>(
    plan: Plan,
    registry: R,
    _: Rc<LocalExecutor<'static>>,
    stop: Stop,
) {
    let directory = Directory::new(plan.config.regions.clone());
    let follower = Follower {
        plan,
        registry,
        directory: RefCell::new(directory),
    };
    let work = async {
        let following = follower.follow();
        let registering = follower.keep_registered();
        let ticking = follower.tick();
        futures::future::join3(following, registering, ticking).await;
    };
    work.or(stop.wait()).await;
    let late = async {
        Timer::after(RETIRE_TIMEOUT).await;
        Ok(())
    };
    if let Err(error) = follower.registry.retire().or(late).await {
        tracing::warn!(%error, "the registration is left to its lease");
    }
}

struct Follower<R> {
    plan: Plan,
    registry: R,
    directory: RefCell<Directory>,
}

impl<R: Registry> Follower<R> {
    async fn follow(&self) {
        loop {
            let after = self.read().await;
            self.watch(after).await;
        }
    }

    /// Reads the whole registry, and returns its revision.
    async fn read(&self) -> u64 {
        let mut pause = Pause::default();
        loop {
            match self.registry.read().await {
                Ok(reading) => {
                    pause.ended();
                    let after = reading.as_of;
                    self.update(|directory, now| directory.replace(reading, now));
                    return after;
                }
                Err(error) => {
                    self.failed(&error);
                    pause.wait(&error).await;
                }
            }
        }
    }

    /// Follows the changes until they are no longer known.
    async fn watch(&self, mut after: u64) {
        let mut pause = Pause::default();
        loop {
            match self.registry.watch(after, WATCH_WAIT).await {
                Ok(reading) => {
                    pause.ended();
                    after = after.max(reading.as_of);
                    let any = !reading.changes.is_empty();
                    self.update(|directory, now| {
                        let mut different = false;
                        for change in reading.changes {
                            different |= directory.apply(change, now);
                        }
                        different
                    });
                    if any {
                        Timer::after(GATHER).await;
                    }
                }
                Err(RegistryError::Compacted) => {
                    tracing::info!(after, "the registry is read anew");
                    return;
                }
                Err(error) => {
                    self.failed(&error);
                    pause.wait(&error).await;
                }
            }
        }
    }

    fn failed(&self, _: &RegistryError) {
        let now = self.plan.clock.now();
        self.directory.borrow_mut().outage(now);
    }

    async fn keep_registered(&self) {
        let mut pause = Pause::default();
        loop {
            match self.registry.register().await {
                Ok(()) => {
                    pause.ended();
                    Timer::after(REGISTER_PERIOD).await;
                }
                Err(error) => pause.wait(&error).await,
            }
        }
    }

    /// Drops leaves that have not come back after an outage.
    async fn tick(&self) {
        loop {
            let due = self.directory.borrow().next_tick();
            let now = self.plan.clock.now();
            let wait = due.map_or(PAUSE_MAX, |due| due.left(now).min(PAUSE_MAX));
            Timer::after(wait).await;
            self.update(Directory::tick);
        }
    }

    /// Changes the directory, and publishes it if it is different.
    fn update(&self, change: impl FnOnce(&mut Directory, Time) -> bool) {
        let now = self.plan.clock.now();
        let mut directory = self.directory.borrow_mut();
        let different = change(&mut directory, now);
        for note in directory.take_notes() {
            log(&note);
        }
        if different {
            self.publish(&directory, now);
        }
    }

    fn publish(&self, directory: &Directory, now: Time) {
        let held = self.plan.view.load();
        let catalog = directory.catalog();
        let newer = catalog.revision > held.catalog.revision;
        let config = &self.plan.config;
        let own = Member {
            name: config.instance.clone(),
            role: Role::Relay,
            data_centre: config.data_centre.clone(),
            address: Address(config.callers),
            ..Member::default()
        };
        let entries = directory.members().map(|name| Member {
            name: name.clone(),
            ..Member::default()
        });
        self.plan.view.store(View {
            catalog,
            adopted: if newer { now } else { held.adopted },
            entries: entries.collect(),
            relays: vec![own],
            incarnations: directory.incarnations(),
            ..View::default()
        });
    }
}

/// Writes what changed the belief of this process to the log.
fn log(note: &Note) {
    match note {
        Note::InForce { version } => tracing::info!(version, "a configuration is in force"),
        Note::OlderVersion { held, offered } => tracing::warn!(
            held,
            offered,
            "an older configuration is not put in force; write one of a higher version"
        ),
        Note::Registered { leaf, state, born } => {
            tracing::info!(leaf, ?state, born, "a leaf registered");
        }
        Note::OldEntry { leaf } => tracing::debug!(leaf, "an old entry of a leaf is ignored"),
        Note::Gone { leaf } => tracing::info!(leaf, "the entry of a leaf is gone"),
        Note::Unreadable { key, fault } => tracing::warn!(
            key,
            fault,
            "an entry of the registry cannot be read; correct or remove it"
        ),
    }
}

/// Pauses between failed calls: they grow, and vary so that processes do not
/// call together.
#[derive(Debug, Default)]
struct Pause {
    failures: u32,
}

impl Pause {
    async fn wait(&mut self, error: &RegistryError) {
        if self.failures == 0 {
            tracing::warn!(%error, "the registry is lost");
        }
        let span = (PAUSE_MIN * (1 << self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        Timer::after(span.mul_f64(0.5 + fastrand::f64())).await;
    }

    fn ended(&mut self) {
        if self.failures > 0 {
            tracing::info!(failures = self.failures, "the registry serves again");
        }
        self.failures = 0;
    }
}
