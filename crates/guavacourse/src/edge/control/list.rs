//! Registers the process in the instance list and reads the list.

use std::time::Duration;

use smol::Timer;

use super::{
    peers::{self, jittered},
    state::Shared,
};
use crate::{
    edge::platform::InstanceList,
    modules::{members::Member, partial_list::PartialList, read_budget::ReadBudget, time::Time},
};

/// Minimum time between two heartbeats of a process.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of heartbeats per second from the whole fleet.
const MAX_HEARTBEAT_RATE: f64 = 200.0;

/// Minimum time between two reads of the list by a process.
const MIN_READ_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of reads of the list per second by the whole fleet.
const MAX_READ_RATE: f64 = 100.0;

/// Sends heartbeats: registers the process again each period.
pub(super) async fn heartbeat(shared: Shared) {
    loop {
        let member = shared.read(super::state::State::member);
        if let Err(e) = shared.list.register(&member).await {
            tracing::warn!("cannot send a heartbeat to the instance list: {e}");
        }
        Timer::after(period(&shared, MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_RATE)).await;
    }
}

/// Registers `member` without waiting for the next heartbeat.
pub(super) fn register(shared: &Shared, member: Member) {
    let list = shared.list;
    shared.spawn(async move {
        if let Err(e) = list.register(&member).await {
            tracing::warn!(
                "cannot register in the instance list: {e}; the next heartbeat repeats it"
            );
        }
    });
}

/// Reads the list each period, and less often the larger it is. A process that
/// gets the members from a peer does not read the list at its start.
pub(super) async fn poll(shared: Shared) {
    let mut reader = Reader {
        budget: ReadBudget::new(shared.read(|s| s.clock.now())),
        tag: String::new(),
        unreadable: 0,
        shared,
    };
    match peers::fetch_first_members(&reader.shared).await {
        Some(bytes) => reader.spend(bytes),
        None => reader.read().await,
    }
    let now = reader.now();
    let wait = reader.budget.first_wait(fastrand::f64(), now);
    reader.pause(wait).await;
    loop {
        reader.read().await;
        let now = reader.now();
        let wait = jittered(reader.budget.wait(now));
        reader.pause(wait).await;
    }
}

/// Reads the list within a budget.
struct Reader {
    shared: Shared,
    budget: ReadBudget,
    /// Tag of the last reading, if no difference was deferred to a later one;
    /// otherwise empty, so that the list is read in full.
    tag: String,
    /// Number of unreadable entries in the last reading.
    unreadable: u32,
}

impl Reader {
    fn now(&self) -> Time {
        self.shared.read(|s| s.clock.now())
    }

    fn spend(&mut self, bytes: u32) {
        let now = self.now();
        self.budget.spend(bytes, now);
    }

    async fn pause(&self, wait: Duration) {
        let period = period(&self.shared, MIN_READ_PERIOD, MAX_READ_RATE);
        Timer::after(wait.max(period)).await;
    }

    async fn read(&mut self) {
        let requested_at = self.now();
        match self.shared.list.list_since(&self.tag).await {
            Ok(Some(listing)) => {
                self.spend(listing.bytes);
                self.report_unreadable(&listing.members);
                let settled = self.shared.merge_list(listing.members.items, requested_at);
                self.tag = if settled { listing.tag } else { String::new() };
            }
            Ok(None) => self.shared.update(|s| {
                let now = s.clock.now();
                s.roster.list_unchanged(now);
                s.publish();
            }),
            Err(e) => tracing::warn!("cannot read the instance list: {e}; keeping the last one"),
        }
    }

    /// Logs the entries that were left out of a reading, if their number has changed.
    fn report_unreadable(&mut self, members: &PartialList<Member>) {
        let PartialList {
            unreadable, fault, ..
        } = members;
        if *unreadable > 0 && *unreadable != self.unreadable {
            tracing::warn!(
                unreadable,
                fault,
                "entries of the instance list cannot be read and are left out; correct or \
                 remove them"
            );
        }
        self.unreadable = *unreadable;
    }
}

/// Returns the time between two calls that keeps the whole fleet within `rate`
/// calls per second; at least `min`.
fn period(shared: &Shared, min: Duration, rate: f64) -> Duration {
    let processes = shared.read(|s| s.roster.process_count());
    let period = Duration::from_secs_f64(f64::from(processes) / rate);
    jittered(min.max(period))
}
