//! What a process that has lost the registry learns from its peers.

use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use super::{Follower, ReadState, Registry, SOURCE_RETRY_DELAY};

/// Time after the loss of the registry before other data centres are asked. Within it,
/// another process of the data centre notices that the reader has lost the registry, and
/// reads it instead; bytes between regions are expensive.
const REMOTE_DELAY: Duration = Duration::from_millis(700);

impl<R: Registry> Follower<R> {
    /// Tries to read the registry until that works or a source is up to date, and
    /// meanwhile follows any process that can read it. A failing call can take as long as
    /// the longest wait of a watch, so both go on at the same time.
    pub(super) async fn recover(&self, state: &mut ReadState) {
        let reading = async {
            while self.cut_off.get().is_some() {
                self.read_registry(state, self.reader_plan().watch_timeout)
                    .await;
            }
        };
        let following = async { while !self.follow_peer().await {} };
        reading.or(following).await;
    }

    /// Follows a process that reads the registry: a source, another process of the data
    /// centre, or one of another data centre. Returns whether it was a source.
    async fn follow_peer(&self) -> bool {
        let plan = self.reader_plan();
        if self.follow_source(&plan).await {
            self.end_cut_off();
            return true;
        }
        if self.follow_backup(&plan.backups, plan.max_age).await {
            return false;
        }
        let now = self.setup.clock.now();
        let lost = self
            .cut_off
            .get()
            .map_or(Duration::ZERO, |at| now.since(at));
        let stale = self.age().is_none_or(|age| age > plan.max_age);
        let ask = stale || lost >= REMOTE_DELAY;
        if !(ask && self.follow_backup(&plan.remote, plan.remote_age).await) {
            self.sources.end_backup();
            Timer::after(SOURCE_RETRY_DELAY).await;
        }
        false
    }
}
