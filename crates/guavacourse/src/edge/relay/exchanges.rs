//! Runs the exchanges with some of the leaves on one thread.
//!
//! Commands arrive on one channel and reports leave on another. If a relay has
//! exchange threads, the dispatcher's thread makes every decision and touches no
//! socket of a leaf, and the exchange threads do only I/O.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures::channel::oneshot;
use futures_lite::{FutureExt, future};
use slotmap::{Key, SecondaryMap};
use smol::{
    LocalExecutor, Task, Timer,
    channel::{Receiver, Sender},
};

use super::{
    kept::LeafConnection,
    protocol::{self, Ended, LeafCall, LeafProtocol},
};
use crate::{
    edge::{
        clock::Clock,
        http::{Connection, ReceiveMemory},
        tasks::Tasks,
    },
    modules::{
        admission::{ConnectionState, Ending, Job, JobKey},
        call::Unknown,
        catalog::LeafId,
        collections::Map,
    },
};

/// Longest wait for a connection to a leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a leaf to close a connection that the relay has closed, such
/// as that of a cancelled call. Until then the call's slot counts as taken.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Memory for the responses that one thread of a relay process reads at the same time, in
/// bytes. A gateway derives its own from the memory of its instance.
pub(super) const RESPONSE_MEMORY: usize = 16 * 1024 * 1024;

/// A command from the dispatcher.
pub(super) enum Command {
    /// Send a call to its leaf.
    Dispatch(Dispatch),
    /// Stop waiting for the end of a call.
    Interrupt(JobKey, Interrupt),
    /// Close this number of kept connections of a leaf, and report each.
    CloseKept(LeafId, u32),
    /// Test whether a leaf accepts a connection.
    Probe(LeafId, SocketAddr),
}

/// A call to send.
pub(super) struct Dispatch {
    /// Key of the call.
    pub(super) key: JobKey,
    /// The call.
    pub(super) job: Job,
    /// Name of its leaf.
    pub(super) leaf: String,
    /// Address of its leaf.
    pub(super) address: SocketAddr,
    /// Whether it goes on a new connection rather than on a kept one.
    pub(super) new_connection: bool,
}

impl Dispatch {
    /// Returns the caller's id of the request, which the leaf echoes; none if the leaf
    /// echoes an id that is unique to the call.
    fn request_id(&self) -> Option<&str> {
        let forward = self.job.part.forward.as_ref();
        forward.map(|forward| forward.id.as_str())
    }
}

/// Why an exchange is interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// The entry cancelled the call.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
}

/// A change of a call or a connection, reported to the dispatcher.
pub(super) enum Report {
    /// An exchange ended.
    Ended(JobKey, Ended, ConnectionState),
    /// The connection of a cancelled call is closed.
    Abandoned(JobKey),
    /// A connection reported as closing after its exchange is now closed.
    Released(LeafId),
    /// A kept connection is closed.
    Closed(LeafId),
    /// A leaf was probed; true if it accepted the connection.
    Probed(LeafId, bool),
}

/// Executes the dispatcher's commands on one thread.
pub(super) struct ExchangeRunner {
    pub(super) clock: Clock,
    pub(super) commands: Receiver<Command>,
    pub(super) reports: Sender<Report>,
    pub(super) protocol: Arc<dyn LeafProtocol>,
    /// Memory for the responses that are read at the same time.
    pub(super) memory: ReceiveMemory,
}

impl ExchangeRunner {
    /// Executes commands until their channel is closed, then ends every task that
    /// was started for them.
    pub(super) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let exchanges = Rc::new(Exchanges {
            executor,
            clock: self.clock,
            reports: self.reports,
            protocol: self.protocol,
            memory: self.memory,
            pool: RefCell::default(),
            calls: RefCell::default(),
            tasks: Tasks::default(),
        });
        while let Ok(command) = self.commands.recv().await {
            exchanges.execute(command);
        }
        exchanges.join().await;
    }
}

/// Kept connections and running calls of one thread.
struct Exchanges {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    reports: Sender<Report>,
    protocol: Arc<dyn LeafProtocol>,
    memory: ReceiveMemory,
    pool: RefCell<Map<LeafId, Vec<LeafConnection>>>,
    calls: RefCell<SecondaryMap<JobKey, RunningCall>>,
    tasks: Tasks,
}

/// A running call.
struct RunningCall {
    interrupt: oneshot::Sender<Interrupt>,
    task: Task<()>,
}

impl Exchanges {
    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::Interrupt(job, reason) => self.interrupt(job, reason),
            Command::CloseKept(leaf, count) => self.close_kept(leaf, count),
            Command::Probe(leaf, address) => self.probe(leaf, address),
        }
    }

    /// Ends every task that was started here.
    async fn join(&self) {
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        for (_, running) in calls {
            running.task.cancel().await;
        }
        self.tasks.join().await;
        self.pool.borrow_mut().clear();
    }

    fn report(&self, report: Report) {
        // Fails only if the relay has stopped.
        let _ = self.reports.try_send(report);
    }

    fn interrupt(&self, job: JobKey, reason: Interrupt) {
        if let Some(running) = self.calls.borrow_mut().remove(job) {
            // Fails only if the exchange has just ended.
            let _ = running.interrupt.send(reason);
            self.tasks.add(running.task);
        }
    }

    fn dispatch(self: &Rc<Self>, call: Dispatch) {
        let kept = if call.new_connection {
            None
        } else {
            self.take_kept_for(&call)
        };
        let (interrupt, interrupted) = oneshot::channel();
        let key = call.key;
        let exchanges = Rc::clone(self);
        let task = self.executor.spawn(async move {
            exchanges.run_call(call, kept, interrupted).await;
        });
        self.calls
            .borrow_mut()
            .insert(key, RunningCall { interrupt, task });
    }

    fn take_kept(&self, leaf: LeafId) -> Option<LeafConnection> {
        self.pool.borrow_mut().get_mut(&leaf).and_then(Vec::pop)
    }

    /// Returns the kept connection for a call: the last one on which its request has not
    /// been refused, or else the last one, which a new one must replace.
    fn take_kept_for(&self, call: &Dispatch) -> Option<LeafConnection> {
        let mut pool = self.pool.borrow_mut();
        let kept = pool.get_mut(&call.job.call.leaf)?;
        let free = kept
            .iter()
            .rposition(|kept| !kept.has_refused(call.request_id()));
        match free {
            Some(index) => Some(kept.remove(index)),
            None => kept.pop(),
        }
    }

    /// Runs one exchange and reports its end.
    async fn run_call(
        self: &Rc<Self>,
        call: Dispatch,
        kept: Option<LeafConnection>,
        interrupted: oneshot::Receiver<Interrupt>,
    ) {
        let mut connection = kept.filter(|kept| kept.usable(call.address));
        let replaced = connection.take_if(|kept| kept.has_refused(call.request_id()));
        let sent = Cell::new(false);
        let run = async {
            if let Some(replaced) = replaced {
                // Closed before another is opened, to stay within the leaf's limit.
                replaced.close(CLOSE_TIMEOUT).await;
            }
            Some(self.send_call(&call, &mut connection, &sent).await)
        };
        let interrupted = async {
            // An error means that the call can no longer be interrupted.
            let Ok(reason) = interrupted.await else {
                return future::pending().await;
            };
            match reason {
                Interrupt::Cancelled => None,
                Interrupt::DeadlinePassed if sent.get() => {
                    Some(Ending::Lost(Unknown::Timeout).into())
                }
                Interrupt::DeadlinePassed => Some(Ending::Unsent.into()),
            }
        };
        let ended = run.or(interrupted).await;
        let running = self.calls.borrow_mut().remove(call.key);
        if let Some(running) = running {
            self.tasks.add(running.task);
        }
        self.finish(call.key, call.job.call.leaf, ended, connection)
            .await;
    }

    async fn send_call(
        &self,
        call: &Dispatch,
        connection: &mut Option<LeafConnection>,
        sent: &Cell<bool>,
    ) -> Ended {
        if connection.is_none() {
            let opened = connect(call.address).await;
            let close_delimited = self.protocol.allows_close_delimited();
            *connection = opened.map(|opened| {
                let opened = opened.with_close_delimited(close_delimited);
                LeafConnection::new(opened.with_memory(self.memory.clone()))
            });
        }
        let Some(connection) = connection.as_mut() else {
            return Ending::Unreachable.into();
        };
        sent.set(true);
        // Unique over all sessions, unlike the attempt ids of entries.
        let call_id = call.key.data().as_ffi();
        let leaf_call = LeafCall {
            job: &call.job,
            leaf: &call.leaf,
            address: call.address,
            call_id,
            time_left: call.job.deadline.left(self.clock.now()),
        };
        let ended = protocol::exchange(&*self.protocol, connection.http(), &leaf_call).await;
        if let Ending::Lost(reason) = &ended.ending {
            tracing::debug!(leaf = call.leaf, ?reason, "an exchange with a leaf failed");
        }
        if let Some(id) = call.request_id()
            && ended.refused()
        {
            connection.record_refusal(id, call.job.deadline, self.clock.now());
        }
        ended
    }

    /// Reports the end of an exchange, and closes or keeps its connection.
    async fn finish(
        &self,
        key: JobKey,
        leaf: LeafId,
        ended: Option<Ended>,
        connection: Option<LeafConnection>,
    ) {
        let Some(ended) = ended else {
            if let Some(connection) = connection {
                connection.close(CLOSE_TIMEOUT).await;
            }
            return self.report(Report::Abandoned(key));
        };
        let answered = matches!(ended.ending, Ending::Answered(_));
        match connection {
            Some(connection) if answered && connection.reusable() => {
                let mut pool = self.pool.borrow_mut();
                pool.entry(leaf).or_default().push(connection);
                self.report(Report::Ended(key, ended, ConnectionState::Kept));
            }
            Some(connection) if ended.ending != Ending::Lost(Unknown::Closed) => {
                self.report(Report::Ended(key, ended, ConnectionState::Closing));
                connection.close(CLOSE_TIMEOUT).await;
                self.report(Report::Released(leaf));
            }
            _ => self.report(Report::Ended(key, ended, ConnectionState::Closed)),
        }
    }

    /// Closes kept connections, and reports each once the leaf has closed it too or
    /// the wait has timed out.
    fn close_kept(self: &Rc<Self>, leaf: LeafId, count: u32) {
        for _ in 0..count {
            let kept = self.take_kept(leaf);
            let exchanges = Rc::clone(self);
            self.tasks.spawn(&self.executor, async move {
                if let Some(connection) = kept {
                    connection.close(CLOSE_TIMEOUT).await;
                }
                exchanges.report(Report::Closed(leaf));
            });
        }
    }

    /// Tests whether a leaf accepts a connection.
    fn probe(self: &Rc<Self>, leaf: LeafId, address: SocketAddr) {
        let exchanges = Rc::clone(self);
        self.tasks.spawn(&self.executor, async move {
            let connection = connect(address).await;
            let alive = connection.is_some();
            if let Some(connection) = connection {
                connection.close(CLOSE_TIMEOUT).await;
            }
            exchanges.report(Report::Probed(leaf, alive));
        });
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    Connection::open(address).or(timed_out).await.ok()
}
