//! Replies on their way to one entry.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use futures_lite::{
    FutureExt,
    future::{self, BoxedLocal},
};
use smol::{LocalExecutor, Task, Timer, channel, future::yield_now};

use crate::{
    edge::wire,
    generated::wire_capnp::sink,
    modules::call::{Outcome, Reply},
};

/// Deliveries that an entry may leave unacknowledged.
const DELIVERIES_MAX: usize = 8;

/// Bytes of rows in one delivery, unless a single reply is larger.
const DELIVERY_BYTES: usize = 1024 * 1024;

/// Longest wait for an entry to hear of a content that crashes leaves. The
/// caller of the content waits meanwhile.
const WARN_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an entry to hear that the relay leaves. The relay goes on
/// serving meanwhile; an entry that has not heard may lose calls.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The way of replies to one entry.
pub(super) enum Outbox {
    /// To another process.
    Remote(Remote),
    /// Within this process.
    Local(Box<dyn Fn(Reply)>),
}

impl Outbox {
    /// Adds a reply.
    pub(super) fn push(&self, reply: Reply) {
        match self {
            Self::Remote(remote) => remote.push(reply),
            Self::Local(take) => take(reply),
        }
    }

    /// Announces a content that crashes backend servers; returns once the entry
    /// has heard. One in this process reads the published view.
    pub(super) fn quarantine(&self, content: u64) -> Heard {
        match self {
            Self::Remote(remote) => remote.quarantine(content).boxed_local(),
            Self::Local(_) => future::ready(()).boxed_local(),
        }
    }

    /// Tells whether the entry has acknowledged everything.
    pub(super) fn is_empty(&self) -> bool {
        match self {
            Self::Remote(remote) => remote.is_empty(),
            Self::Local(_) => true,
        }
    }

    /// Announces that the relay leaves; returns once the entry has heard. One
    /// in this process leaves with it.
    pub(super) fn leaving(&self) -> Heard {
        match self {
            Self::Remote(remote) => remote.leaving().boxed_local(),
            Self::Local(_) => future::ready(()).boxed_local(),
        }
    }

    /// Ends the task of the outbox.
    pub(super) async fn join(self) {
        if let Self::Remote(remote) = self {
            remote.join().await;
        }
    }
}

/// Ends once an entry has heard an announcement.
type Heard = BoxedLocal<()>;

/// Collects replies and pushes all that became ready together.
pub(super) struct Remote {
    shared: Rc<Shared>,
    sink: sink::Client,
    wake: channel::Sender<()>,
    pump: Task<()>,
}

#[derive(Default)]
struct Shared {
    ready: RefCell<Vec<Reply>>,
    /// Replies that the entry has not acknowledged.
    unacked: Cell<usize>,
}

impl Remote {
    /// Creates an outbox that pushes to `sink`.
    pub(super) fn new(executor: &LocalExecutor<'static>, sink: sink::Client) -> Self {
        let shared = Rc::<Shared>::default();
        let (wake, woken) = channel::bounded(1);
        let pump = executor.spawn(pump(Rc::clone(&shared), sink.clone(), woken));
        Self {
            shared,
            sink,
            wake,
            pump,
        }
    }

    /// Adds a reply.
    fn push(&self, reply: Reply) {
        self.shared.ready.borrow_mut().push(reply);
        self.wake();
    }

    /// Announces a content that crashes backend servers; returns once the entry
    /// has heard.
    fn quarantine(&self, content: u64) -> impl Future<Output = ()> + 'static {
        let mut request = self.sink.quarantine_request();
        wire::write_numbers(request.get().init_fingerprints(1), &[content]);
        announced(request.send().promise, WARN_TIMEOUT)
    }

    /// Tells whether the entry has acknowledged everything.
    fn is_empty(&self) -> bool {
        self.shared.ready.borrow().is_empty() && self.shared.unacked.get() == 0
    }

    /// Announces that the relay leaves; returns once the entry has heard.
    fn leaving(&self) -> impl Future<Output = ()> + 'static {
        announced(self.sink.leaving_request().send().promise, LEAVE_TIMEOUT)
    }

    /// Ends the task of the outbox.
    async fn join(self) {
        self.pump.cancel().await;
    }

    fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.try_send(());
    }
}

/// Pushes what is ready until the outbox is dropped.
async fn pump(shared: Rc<Shared>, sink: sink::Client, woken: channel::Receiver<()>) {
    let mut sent: FuturesUnordered<BoxedLocal<()>> = FuturesUnordered::new();
    loop {
        let acked = async {
            match sent.next().await {
                Some(()) => true,
                None => future::pending().await,
            }
        };
        let more = async { woken.recv().await.is_ok() };
        if !acked.or(more).await {
            return;
        }
        // Lets other exchanges that are ready now add their replies.
        yield_now().await;
        while sent.len() < DELIVERIES_MAX {
            let Some(batch) = shared.take_batch() else {
                break;
            };
            sent.push(deliver(&sink, &batch, Rc::clone(&shared)).boxed_local());
        }
    }
}

impl Shared {
    /// Takes the replies of one delivery; none if there are none.
    fn take_batch(&self) -> Option<Vec<Reply>> {
        let mut ready = self.ready.borrow_mut();
        let mut bytes = 0;
        let fitting = ready.iter().take_while(|reply| {
            bytes += size(reply);
            bytes <= DELIVERY_BYTES
        });
        let count = fitting.count().max(1).min(ready.len());
        let batch: Vec<Reply> = ready.drain(..count).collect();
        self.unacked.set(self.unacked.get() + batch.len());
        (!batch.is_empty()).then_some(batch)
    }
}

fn size(reply: &Reply) -> usize {
    match &reply.outcome {
        Outcome::Rows(rows) => rows.body.len(),
        _ => 0,
    }
}

/// Sends one delivery; the future waits for its acknowledgement.
fn deliver(
    sink: &sink::Client,
    batch: &[Reply],
    shared: Rc<Shared>,
) -> impl Future<Output = ()> + 'static {
    let mut request = sink.deliver_request();
    let list = request.get().init_replies(wire::count(batch.len()));
    wire::write_replies(list, batch);
    let heard = request.send().promise;
    let count = batch.len();
    async move {
        if let Err(error) = heard.await {
            tracing::debug!(%error, "an entry did not take its replies");
        }
        shared.unacked.set(shared.unacked.get() - count);
    }
}

/// Waits for the acknowledgement of an announcement, at most for `timeout`.
async fn announced<T>(heard: impl Future<Output = capnp::Result<T>>, timeout: Duration) {
    let late = async {
        Timer::after(timeout).await;
    };
    let heard = async {
        if let Err(error) = heard.await {
            tracing::debug!(%error, "an entry did not hear an announcement");
        }
    };
    heard.or(late).await;
}
