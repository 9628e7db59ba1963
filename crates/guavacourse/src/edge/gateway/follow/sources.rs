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
        era::Position,
        inventory::Address,
        journal::Cursor,
        members::Member,
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

/// Time in which peers are asked for the version of the configuration at the start of a
/// process. It delays the start where the copy lists processes that are gone.
pub(super) const VERSION_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a source that did not answer is skipped.
const AVOID_PERIOD: Duration = Duration::from_secs(1);

/// What a source is asked.
struct Question {
    /// Longest time that it waits for changes.
    wait: Duration,
    /// When it is asked.
    now: Time,
    /// Position of the registry up to which changes are known.
    known: Position,
}

/// Answer of a source.
struct News {
    cursor: Cursor,
    position: Position,
    age: Duration,
    /// Time up to which the state is known to be up to date.
    fresh_at: Time,
    /// Whether the source itself depends on peers.
    cut_off: bool,
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
    /// The peer that is followed while the registry cannot be read.
    backup: Cell<Option<Address>>,
    /// When the sources were first seen to depend on peers; `None` if they do not.
    cut_off: Cell<Option<Time>>,
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
            backup: Cell::new(None),
            cut_off: Cell::new(None),
        }
    }

    /// Asks a source for the changes after its cursor. Returns `None`, and skips
    /// the source for a while, if it does not answer.
    async fn ask(&self, source: Address, question: &Question) -> Option<News> {
        let Question { wait, now, .. } = *question;
        let reply = async { self.call(source, question).await };
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

    async fn call(&self, source: Address, question: &Question) -> capnp::Result<News> {
        let connection = self.feeds.get(source).await?;
        let cursor = self.cursors.borrow().get(&source).copied();
        let cursor = cursor.unwrap_or_default();
        let mut request = connection.capability.follow_request();
        let mut params = request.get();
        params.set_incarnation(cursor.incarnation);
        params.set_sequence(cursor.sequence);
        let wait = question.wait.as_millis();
        params.set_wait_millis(u32::try_from(wait).unwrap_or(u32::MAX));
        params.set_revision(question.known.revision);
        params.set_era(question.known.era);
        let answer = request.send().promise.await?;
        let news = answer.get()?.get_news()?;
        let changes = serde_json::from_slice(news.get_changes()?);
        let age = Duration::from_millis(news.get_age_millis());
        let held = Duration::from_millis(news.get_held_millis());
        Ok(News {
            cursor: Cursor {
                incarnation: news.get_incarnation(),
                sequence: news.get_sequence(),
            },
            position: Position {
                era: news.get_era(),
                revision: news.get_revision(),
            },
            age,
            // The time that the answer travelled counts as age, so that processes that
            // follow each other do not keep an old state fresh.
            fresh_at: question.now.after(held).before(age),
            cut_off: news.get_cut_off(),
            whole: news.get_whole(),
            changes: changes.map_err(|error| capnp::Error::failed(error.to_string()))?,
        })
    }

    /// Skips a source that was not up to date for a while.
    fn avoid(&self, source: Address, now: Time) {
        let until = now.after(AVOID_PERIOD);
        self.avoided.borrow_mut().insert(source, until);
    }

    /// Returns whether a peer is followed because the registry cannot be read.
    pub(super) fn has_backup(&self) -> bool {
        self.backup.get().is_some()
    }

    /// Records that no peer is followed in place of the registry.
    pub(super) fn end_backup(&self) {
        self.backup.set(None);
    }

    /// Returns when the sources were first seen to depend on peers themselves; `None` if
    /// they do not.
    pub(super) fn cut_off(&self) -> Option<Time> {
        self.cut_off.get()
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
        let mut cut_off = false;
        for source in &plan.sources {
            let address = source.address;
            let current = self.sources.current.get() == Some(address);
            let Some(news) = self.ask(address, current).await else {
                continue;
            };
            cut_off |= news.cut_off;
            let fresh = news.age <= plan.max_age && !news.cut_off;
            if fresh && self.apply_news(address, news) {
                if !current {
                    tracing::info!(
                        source = source.name,
                        "registry changes are now followed through a peer"
                    );
                }
                self.sources.current.set(Some(address));
                self.sources.cut_off.set(None);
                return true;
            }
        }
        let now = self.setup.clock.now();
        let since = self.sources.cut_off.get().unwrap_or(now);
        self.sources.cut_off.set(cut_off.then_some(since));
        self.sources.current.set(None);
        false
    }

    /// Applies the answer of the first of these processes that reads the registry and is
    /// not older than `max_age`. One that has lost the registry too may know more than
    /// this process, but is not followed: it may depend on this one. Returns whether
    /// there was one to follow.
    pub(super) async fn follow_backup(&self, peers: &[Member], max_age: Duration) -> bool {
        for peer in peers {
            let address = peer.address;
            let current = self.sources.backup.get() == Some(address);
            let Some(news) = self.ask(address, current).await else {
                continue;
            };
            let usable = news.age <= max_age && !news.cut_off;
            let newer = Some(news.fresh_at) > self.fresh_at.get();
            let applied = (usable || newer) && self.apply_news(address, news);
            if applied && usable {
                if !current {
                    tracing::info!(
                        peer = peer.name,
                        data_centre = peer.data_centre,
                        "registry changes are followed through a peer until the registry \
                         can be read"
                    );
                }
                self.sources.backup.set(Some(address));
                return true;
            }
            self.sources.avoid(address, self.setup.clock.now());
        }
        false
    }

    /// Asks a peer, unless it is to be skipped. The one that is followed may wait for a
    /// change before it answers.
    async fn ask(&self, peer: Address, current: bool) -> Option<News> {
        let now = self.setup.clock.now();
        if self.sources.avoided(peer, now) {
            return None;
        }
        let question = Question {
            wait: if current { POLL_WAIT } else { Duration::ZERO },
            now,
            known: self.position.get(),
        };
        self.sources.ask(peer, &question).await
    }

    /// Applies the answer of a source. Returns `false` if the source has seen less
    /// of the registry than this process.
    fn apply_news(&self, source: Address, news: News) -> bool {
        if news.position < self.position.get() {
            return false;
        }
        self.registry.note_era(news.position.era);
        self.sources
            .cursors
            .borrow_mut()
            .insert(source, news.cursor);
        let reading = RegistryReading {
            as_of: news.position.revision,
            changes: news.changes,
        };
        self.apply_reading(reading, news.position, news.whole, news.fresh_at);
        true
    }

    /// Returns the whole state of a peer; `None` if it does not answer or has no state.
    pub(super) async fn state_of(&self, peer: Address) -> Option<Vec<Change>> {
        let question = Question {
            wait: Duration::ZERO,
            now: self.setup.clock.now(),
            known: Position::default(),
        };
        let news = self.sources.ask(peer, &question).await?;
        let changes = Some(news.changes);
        changes.filter(|changes| changes.iter().any(|change| change.version() > 0))
    }
}
