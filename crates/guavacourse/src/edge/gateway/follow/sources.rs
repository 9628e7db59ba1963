//! Gets the changes of the registry from peers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};

use super::{Follower, Registry};
use crate::{
    edge::pool::Pool,
    generated::wire_capnp::feed,
    modules::{
        collections::Map,
        directory::{Change, RegistryReading},
        inventory::Address,
        journal::Cursor,
        readers::ReaderPlan,
        time::Time,
    },
};

/// Longest time that a source waits for changes before it answers. A silent source
/// is noticed a little later.
const POLL_WAIT: Duration = Duration::from_millis(600);

/// Additional time for the answer of a source: sources are in the same data centre,
/// but may have little processor time.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Time for which a source that did not answer is skipped.
const AVOID_PERIOD: Duration = Duration::from_secs(1);

/// Answer of a source.
struct News {
    cursor: Cursor,
    revision: u64,
    age: Duration,
    whole: bool,
    changes: Vec<Change>,
}

/// The peers that a process follows.
pub(super) struct Sources {
    feeds: Pool<feed::Client>,
    /// Position up to which the journal of each source was applied.
    cursors: RefCell<Map<Address, Cursor>>,
    /// Sources that did not answer, and the time until which each is skipped.
    avoided: RefCell<Map<Address, Time>>,
    /// The source that is followed; `None` if none was up to date.
    current: Cell<Option<Address>>,
}

impl Sources {
    /// Creates the state without any connection; tasks run on `executor`.
    pub(super) fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self {
            feeds: Pool::new(executor, |node| {
                node.feed_request().send().pipeline.get_feed()
            }),
            cursors: RefCell::default(),
            avoided: RefCell::default(),
            current: Cell::new(None),
        }
    }

    /// Asks a source for the changes after its cursor. Returns `None`, and skips
    /// the source for a while, if it does not answer.
    async fn ask(&self, source: Address, wait: Duration, now: Time) -> Option<News> {
        let reply = async { self.call(source, wait).await };
        let timeout = async {
            Timer::after(wait + ANSWER_MARGIN).await;
            Err(capnp::Error::overloaded("no answer in time".to_owned()))
        };
        match reply.or(timeout).await {
            Ok(news) => Some(news),
            Err(error) => {
                tracing::info!(source = %source.0, %error, "cannot get registry changes from a \
                    peer; the next one is tried");
                self.feeds.remove(source);
                let until = now.after(wait + AVOID_PERIOD);
                self.avoided.borrow_mut().insert(source, until);
                None
            }
        }
    }

    async fn call(&self, source: Address, wait: Duration) -> capnp::Result<News> {
        let connection = self.feeds.get(source).await?;
        let cursor = self.cursors.borrow().get(&source).copied();
        let cursor = cursor.unwrap_or_default();
        let mut request = connection.capability.follow_request();
        let mut params = request.get();
        params.set_incarnation(cursor.incarnation);
        params.set_sequence(cursor.sequence);
        params.set_wait_millis(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let answer = request.send().promise.await?;
        let news = answer.get()?.get_news()?;
        let changes = serde_json::from_slice(news.get_changes()?);
        Ok(News {
            cursor: Cursor {
                incarnation: news.get_incarnation(),
                sequence: news.get_sequence(),
            },
            revision: news.get_revision(),
            age: Duration::from_millis(news.get_age_millis()),
            whole: news.get_whole(),
            changes: changes.map_err(|error| capnp::Error::failed(error.to_string()))?,
        })
    }

    fn avoided(&self, source: Address, now: Time) -> bool {
        let avoided = self.avoided.borrow();
        avoided.get(&source).is_some_and(|until| now < *until)
    }
}

impl<R: Registry> Follower<R> {
    /// Applies the answer of the first source that is up to date. Returns whether
    /// there was one.
    pub(super) async fn follow_source(&self, plan: &ReaderPlan) -> bool {
        for source in &plan.sources {
            let (address, now) = (source.address, self.setup.clock.now());
            if self.sources.avoided(address, now) {
                continue;
            }
            let current = self.sources.current.get() == Some(address);
            let wait = if current { POLL_WAIT } else { Duration::ZERO };
            let Some(news) = self.sources.ask(address, wait, now).await else {
                continue;
            };
            let fresh = news.age <= plan.max_age;
            if fresh && self.apply_news(address, news) {
                if !current {
                    tracing::info!(
                        source = source.name,
                        "registry changes are now followed through a peer"
                    );
                }
                self.sources.current.set(Some(address));
                return true;
            }
        }
        self.sources.current.set(None);
        false
    }

    /// Applies the answer of a source. Returns `false` if the source has seen less
    /// of the registry than this process.
    fn apply_news(&self, source: Address, news: News) -> bool {
        if news.revision < self.revision.get() {
            return false;
        }
        self.sources
            .cursors
            .borrow_mut()
            .insert(source, news.cursor);
        let fresh_at = self.setup.clock.now().before(news.age);
        let reading = RegistryReading {
            as_of: news.revision,
            changes: news.changes,
        };
        self.apply_reading(reading, news.whole, fresh_at);
        true
    }
}
