//! Follows the head of the configuration in the platform's store.
//!
//! Each waiting watch counts against the store's rates, which grow more slowly
//! than the fleet. So a few processes of each data centre watch, and the
//! others learn of changes from peers. In case the watchers are cut off, every
//! process also reads the head periodically, less often in a larger fleet.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use super::{
    peers::{self, jittered},
    state::Shared,
};
use crate::{
    edge::{
        operator,
        platform::{PlatformError, Store, VersionedValue, WatchResult},
    },
    modules::{
        adoption::{RevisionOrder, Stamp},
        head::{HEAD_KEY, Head},
        time::Time,
    },
};

/// Maximum time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time for which a starting process waits for the store before it asks peers, and
/// time between two rounds of asking them.
const BOOTSTRAP_PERIOD: Duration = Duration::from_secs(1);

/// Time between two checks whether this process is a watcher.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two reads of the head by a process.
const MIN_HEAD_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of reads of the head per second by the whole fleet.
const MAX_HEAD_RATE: f64 = 10.0;

/// Shortest and longest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Adopts a first configuration from the store or from peers, then follows the
/// head.
pub(super) async fn follow(shared: Shared) {
    bootstrap(&shared).await;
    let mut follower = Follower {
        shared,
        version: 0,
        stamp: Stamp::default(),
        backoff: MIN_BACKOFF,
        last_read: Time::default(),
        era: None,
    };
    loop {
        follower.step().await;
    }
}

/// Adopts a first configuration: that of the store, or the highest of several
/// peers if the store gives none in time.
async fn bootstrap(shared: &Shared) {
    let store = async {
        while !shared.read(|s| s.bootstrapped) {
            if let Ok(WatchResult::Changed(value)) = watch(shared, 0, WATCH_WAIT).await {
                ask_before_adoption(shared).await;
                if adopt_head(shared, &value).await.is_ok() {
                    return;
                }
            }
            Timer::after(jittered(MIN_BACKOFF)).await;
        }
    };
    let peers = async {
        while !shared.read(|s| s.bootstrapped) {
            Timer::after(jittered(BOOTSTRAP_PERIOD)).await;
            peers::bootstrap(shared).await;
        }
    };
    store.or(peers).await;
}

/// Adopts the configuration of peers, if there are any, before that of a store which has
/// eras: it may have come back from an older copy, and revoked entries must not take effect
/// again.
async fn ask_before_adoption(shared: &Shared) {
    if shared.store.era().is_none_or(|era| era == 0) {
        return;
    }
    let timeout = async {
        Timer::after(BOOTSTRAP_PERIOD).await;
        tracing::warn!("no peer has told its configuration in time; that of the store is used");
    };
    peers::bootstrap(shared).or(timeout).await;
}

/// Follows the head.
struct Follower {
    shared: Shared,
    /// Version of the last head that was processed.
    version: u64,
    /// Stamp of the configuration that this head names.
    stamp: Stamp,
    /// Pause after the next failure.
    backoff: Duration,
    /// When the head was last read without a watch.
    last_read: Time,
    /// Era of the store to which the version belongs.
    era: Option<u64>,
}

impl Follower {
    /// Reads the head if that is due, otherwise watches it if this process is a
    /// watcher. Watchers read it too, because a store that lost writes restarts its
    /// versions, and a watch would wait for the old version to be passed.
    async fn step(&mut self) {
        let now = self.shared.read(|s| s.clock.now());
        let era = self.shared.store.era();
        if era != self.era {
            // Versions are given out again in another era.
            (self.era, self.version) = (era, 0);
        }
        if now.since(self.last_read) >= self.head_period() {
            self.last_read = now;
            let result = read(&self.shared).await;
            return self.on_result(result).await;
        }
        let is_watcher = self.shared.read(|s| {
            let watchers = s.roster.watchers(&s.node.data_centre, now);
            watchers.contains(&s.name())
        });
        if is_watcher {
            let result = watch(&self.shared, self.version, WATCH_WAIT).await;
            return self.on_result(result).await;
        }
        Timer::after(WATCHER_CHECK_PERIOD).await;
    }

    /// Returns the time between two reads that keeps the whole fleet within
    /// [`MAX_HEAD_RATE`].
    fn head_period(&self) -> Duration {
        let processes = self.shared.read(|s| s.roster.process_count());
        let period = f64::from(processes) / MAX_HEAD_RATE;
        jittered(MIN_HEAD_PERIOD.max(Duration::from_secs_f64(period)))
    }

    async fn on_result(&mut self, result: Result<WatchResult, PlatformError>) {
        let handled = match result {
            Ok(WatchResult::Changed(value)) => self.on_change(&value).await,
            Ok(WatchResult::Absent) => {
                self.version = 0;
                self.shared.refuse(Stamp::default(), "the store");
                Ok(())
            }
            Ok(WatchResult::Unchanged) => {
                // If the revision in force is higher, it came from a peer, and the
                // store has not caught up during a whole watch.
                self.shared.refuse(self.stamp, "the store");
                Ok(())
            }
            Err(e) => Err(e),
        };
        if let Err(e) = handled {
            tracing::warn!("cannot read the configuration head from the store: {e}");
            Timer::after(jittered(self.backoff)).await;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            return;
        }
        self.backoff = MIN_BACKOFF;
    }

    async fn on_change(&mut self, value: &VersionedValue) -> Result<(), PlatformError> {
        self.stamp = adopt_head(&self.shared, value).await?;
        self.version = value.version;
        Ok(())
    }
}

/// Adopts the configuration that the head names if it is newer, refuses it if it
/// is older or conflicting, and returns its stamp.
async fn adopt_head(shared: &Shared, value: &VersionedValue) -> Result<Stamp, PlatformError> {
    let head: Head = serde_json::from_slice(&value.value)
        .map_err(|e| PlatformError::malformed("an invalid configuration head", &e))?;
    let Some(accepted) = head.current() else {
        return Ok(Stamp::default());
    };
    match shared.read(|s| s.adoption.compare(accepted.stamp)) {
        RevisionOrder::Same => {}
        RevisionOrder::Newer => {
            let text = operator::read_body(&shared.store, accepted).await?;
            shared.adopt(accepted.stamp, text, "the store");
        }
        RevisionOrder::Older | RevisionOrder::Conflicting => {
            shared.refuse(accepted.stamp, "the store");
        }
    }
    Ok(accepted.stamp)
}

async fn watch(shared: &Shared, after: u64, wait: Duration) -> Result<WatchResult, PlatformError> {
    shared.store.watch(HEAD_KEY, after, wait).await
}

async fn read(shared: &Shared) -> Result<WatchResult, PlatformError> {
    let value = shared.store.get(HEAD_KEY).await?;
    Ok(value.map_or(WatchResult::Absent, WatchResult::Changed))
}
