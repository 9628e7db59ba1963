//! Queues replies and announcements for one entry and pushes them.

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

/// Maximum number of deliveries that an entry has not acknowledged.
const MAX_UNACKED_DELIVERIES: usize = 8;

/// Maximum size of the rows in one delivery, in bytes, unless a single reply is
/// larger.
const MAX_DELIVERY_BYTES: usize = 1024 * 1024;

/// Longest wait for an entry to acknowledge a quarantined content. The caller that
/// sent the content waits meanwhile.
const QUARANTINE_ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an entry to acknowledge that the relay is leaving. The relay
/// keeps serving meanwhile; an entry that has not acknowledged may lose calls.
const LEAVE_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends replies and announcements to one entry.
pub(super) enum Outbox {
    /// The entry is another process.
    Remote(Remote),
    /// The entry is in this process.
    Local(Box<dyn Fn(Reply)>),
}

impl Outbox {
    /// Adds a reply.
    pub(super) fn push(&self, reply: Reply) {
        match self {
            Self::Remote(remote) => remote.push(reply),
            Self::Local(deliver) => deliver(reply),
        }
    }

    /// Announces a content that crashes backend servers. The future ends once the
    /// entry has acknowledged it or the wait has timed out. An entry in this process
    /// reads the published view instead.
    pub(super) fn quarantine(&self, content: u64) -> Acknowledgement {
        match self {
            Self::Remote(remote) => remote.quarantine(content).boxed_local(),
            Self::Local(_) => future::ready(()).boxed_local(),
        }
    }

    /// Returns whether the entry has acknowledged everything.
    pub(super) fn is_empty(&self) -> bool {
        match self {
            Self::Remote(remote) => remote.is_empty(),
            Self::Local(_) => true,
        }
    }

    /// Announces that the relay is leaving. The future ends once the entry has
    /// acknowledged it or the wait has timed out. An entry in this process leaves
    /// with the relay.
    pub(super) fn leaving(&self) -> Acknowledgement {
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

/// Ends once an entry has acknowledged an announcement or the wait has timed out.
type Acknowledgement = BoxedLocal<()>;

/// Collects replies and pushes those that are ready together in one delivery.
pub(super) struct Remote {
    shared: Rc<Shared>,
    sink: sink::Client,
    wake: channel::Sender<()>,
    task: Task<()>,
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
        let task = executor.spawn(push_batches(Rc::clone(&shared), sink.clone(), woken));
        Self {
            shared,
            sink,
            wake,
            task,
        }
    }

    /// Adds a reply.
    fn push(&self, reply: Reply) {
        self.shared.ready.borrow_mut().push(reply);
        self.wake();
    }

    /// Announces a content that crashes backend servers. The future ends once the
    /// entry has acknowledged it or the wait has timed out.
    fn quarantine(&self, content: u64) -> impl Future<Output = ()> + 'static {
        let mut request = self.sink.quarantine_request();
        wire::write_numbers(request.get().init_fingerprints(1), &[content]);
        wait_acked(request.send().promise, QUARANTINE_ACK_TIMEOUT)
    }

    /// Returns whether the entry has acknowledged everything.
    fn is_empty(&self) -> bool {
        self.shared.ready.borrow().is_empty() && self.shared.unacked.get() == 0
    }

    /// Announces that the relay is leaving. The future ends once the entry has
    /// acknowledged it or the wait has timed out.
    fn leaving(&self) -> impl Future<Output = ()> + 'static {
        wait_acked(
            self.sink.leaving_request().send().promise,
            LEAVE_ACK_TIMEOUT,
        )
    }

    /// Ends the task of the outbox.
    async fn join(self) {
        self.task.cancel().await;
    }

    fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.try_send(());
    }
}

/// Pushes replies in batches until the outbox is dropped.
async fn push_batches(shared: Rc<Shared>, sink: sink::Client, woken: channel::Receiver<()>) {
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
        // Lets other exchanges that have just ended add their replies.
        yield_now().await;
        while sent.len() < MAX_UNACKED_DELIVERIES {
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
            bytes <= MAX_DELIVERY_BYTES
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
    let list = request.get().init_replies(wire::list_len(batch.len()));
    wire::write_replies(list, batch);
    let acked = request.send().promise;
    let count = batch.len();
    async move {
        if let Err(error) = acked.await {
            tracing::debug!(%error, "an entry did not acknowledge its replies");
        }
        shared.unacked.set(shared.unacked.get() - count);
    }
}

/// Waits for the acknowledgement of an announcement, at most for `timeout`.
async fn wait_acked<T>(acked: impl Future<Output = capnp::Result<T>>, timeout: Duration) {
    let timed_out = async {
        Timer::after(timeout).await;
    };
    let acked = async {
        if let Err(error) = acked.await {
            tracing::debug!(%error, "an entry did not acknowledge an announcement");
        }
    };
    acked.or(timed_out).await;
}
