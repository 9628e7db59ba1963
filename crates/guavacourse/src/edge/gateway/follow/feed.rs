//! Serves the changes of the registry to peers that follow this process.

use std::{rc::Rc, time::Duration};

use capnp::Result;
use futures::channel::oneshot;
use futures_lite::FutureExt;
use smol::Timer;

use super::{Follower, Registry};
use crate::{
    generated::wire_capnp::{feed, news},
    modules::{
        era::Position,
        journal::{CatchUp, Cursor},
    },
};

/// Longest wait for changes that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Serves the journal of a follower.
pub(super) struct FeedServer<R>(pub(super) Rc<Follower<R>>);

impl<R: Registry + 'static> feed::Server for FeedServer<R> {
    async fn follow(
        self: Rc<Self>,
        params: feed::FollowParams,
        mut results: feed::FollowResults,
    ) -> Result<()> {
        let params = params.get()?;
        let cursor = Cursor {
            incarnation: params.get_incarnation(),
            sequence: params.get_sequence(),
        };
        let wait = Duration::from_millis(params.get_wait_millis().into()).min(MAX_WAIT);
        let known = Position {
            era: params.get_era(),
            revision: params.get_revision(),
        };
        let asked = self.0.setup.clock.now();
        self.0.wait_for_change(cursor, wait).await;
        let mut news = results.get().init_news();
        news.set_held_millis(floor_millis(self.0.setup.clock.now().since(asked)));
        self.0.write_news(news, cursor, known)
    }
}

impl<R: Registry> Follower<R> {
    /// Waits at most `wait` for changes that a peer at `cursor` does not have.
    async fn wait_for_change(&self, cursor: Cursor, wait: Duration) {
        if self.journal.borrow().cursor() != cursor {
            return;
        }
        let (waker, woken) = oneshot::channel();
        self.waiters.borrow_mut().push(waker);
        let changed = async {
            // An error means that this process is stopping.
            let _ = woken.await;
        };
        let timeout = async {
            Timer::after(wait).await;
        };
        changed.or(timeout).await;
    }

    /// Wakes the peers that wait for changes.
    pub(super) fn wake_peers(&self) {
        for waiter in self.waiters.take() {
            // An error means that the peer no longer waits.
            let _ = waiter.send(());
        }
    }

    /// Writes what a peer at `cursor` lacks. The whole state is not sent to a peer that
    /// would ignore it, or that holds it already: one that has seen as much of the registry
    /// as this process. After a restore it is sent, because processes differ in what they
    /// know from before.
    fn write_news(
        &self,
        mut out: news::Builder<'_>,
        cursor: Cursor,
        known: Position,
    ) -> Result<()> {
        let journal = self.journal.borrow();
        let mut missed = journal.since(cursor);
        let position = self.position.get();
        let same = known == position && (known.era == 0 || self.cut_off.get().is_some());
        let held = known.revision > 0 && (same || known > position);
        if missed == CatchUp::FullState && held {
            missed = CatchUp::Since(Vec::new());
        }
        let whole = missed == CatchUp::FullState;
        let changes = match missed {
            CatchUp::Since(changes) => changes,
            CatchUp::FullState => self.directory.borrow().full_state(),
        };
        let latest = journal.cursor();
        out.set_incarnation(latest.incarnation);
        out.set_sequence(latest.sequence);
        out.set_revision(position.revision);
        out.set_era(position.era);
        out.set_age_millis(self.age().map_or(u64::MAX, ceil_millis));
        out.set_cut_off(self.cut_off.get().is_some());
        out.set_whole(whole);
        let text = serde_json::to_vec(&changes);
        let text = text.map_err(|error| capnp::Error::failed(error.to_string()))?;
        out.set_changes(&text);
        Ok(())
    }
}

/// Rounds down. The times in an answer are rounded so that the peer never takes the state
/// for newer than it is.
fn floor_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn ceil_millis(duration: Duration) -> u64 {
    floor_millis(duration).saturating_add(1)
}
