//! The exchanges with some of the leaves, on one thread.
//!
//! Orders come in on one channel and reports go out on another. So the thread
//! that decides touches no socket of a leaf, and those that do decide nothing.

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

use super::protocol::{self, LeafCall, LeafProtocol};
use crate::{
    edge::{clock::Clock, http::Connection, tasks::Tasks},
    modules::{
        admission::{After, Ending, Job, JobKey},
        call::Unknown,
        catalog::LeafId,
        collections::Map,
    },
};

/// Longest wait for a connection to a leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a leaf to close a connection whose request was withdrawn.
/// Until then its slot counts as taken.
const HANG_UP_PATIENCE: Duration = Duration::from_millis(100);

/// What the thread that decides wants done.
pub(super) enum Order {
    /// Send a call to its leaf.
    Dispatch(Dispatch),
    /// Wait no longer for the end of a call.
    Interrupt(JobKey, Interrupt),
    /// Close kept connections of a leaf, and report each.
    CloseKept(LeafId, u32),
    /// See whether a leaf accepts a connection.
    Probe(LeafId, SocketAddr),
}

/// A call to be sent.
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
    pub(super) fresh: bool,
}

/// Why an exchange is not waited for any longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// The entry withdrew the call.
    Withdrawn,
    /// The deadline passed.
    Late,
}

/// What has happened to a call or a connection.
pub(super) enum Report {
    /// An exchange ended.
    Ended(JobKey, Ending, After),
    /// The connection of a withdrawn call is closed.
    Abandoned(JobKey),
    /// A connection that was being closed after its exchange is closed.
    Released(LeafId),
    /// A kept connection is closed.
    Closed(LeafId),
    /// A leaf was probed; whether it accepted the connection.
    Probed(LeafId, bool),
}

/// The near end of a thread's channels, before it runs.
pub(super) struct Line {
    pub(super) clock: Clock,
    pub(super) orders: Receiver<Order>,
    pub(super) reports: Sender<Report>,
    pub(super) protocol: Arc<dyn LeafProtocol>,
}

impl Line {
    /// Carries out orders until their channel is closed, then ends every task
    /// that was started for them.
    pub(super) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let exchanges = Rc::new(Exchanges {
            executor,
            clock: self.clock,
            reports: self.reports,
            protocol: self.protocol,
            pool: RefCell::default(),
            flights: RefCell::default(),
            chores: Tasks::default(),
        });
        while let Ok(order) = self.orders.recv().await {
            exchanges.carry_out(order);
        }
        exchanges.join().await;
    }
}

/// Connections and calls on their way. Lives on one thread.
struct Exchanges {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    reports: Sender<Report>,
    protocol: Arc<dyn LeafProtocol>,
    pool: RefCell<Map<LeafId, Vec<Connection>>>,
    flights: RefCell<SecondaryMap<JobKey, Flight>>,
    chores: Tasks,
}

/// A call on its way.
struct Flight {
    interrupt: oneshot::Sender<Interrupt>,
    task: Task<()>,
}

impl Exchanges {
    fn carry_out(self: &Rc<Self>, order: Order) {
        match order {
            Order::Dispatch(dispatch) => self.dispatch(dispatch),
            Order::Interrupt(job, why) => self.interrupt(job, why),
            Order::CloseKept(leaf, count) => self.close_kept(leaf, count),
            Order::Probe(leaf, address) => self.probe(leaf, address),
        }
    }

    /// Ends every task that was started here.
    async fn join(&self) {
        let flights = std::mem::take(&mut *self.flights.borrow_mut());
        for (_, flight) in flights {
            flight.task.cancel().await;
        }
        self.chores.join().await;
        self.pool.borrow_mut().clear();
    }

    fn report(&self, report: Report) {
        // A relay that has stopped wants no reports.
        let _ = self.reports.try_send(report);
    }

    fn interrupt(&self, job: JobKey, why: Interrupt) {
        if let Some(flight) = self.flights.borrow_mut().remove(job) {
            // An exchange that just ended needs no interrupt.
            let _ = flight.interrupt.send(why);
            self.chores.keep(flight.task);
        }
    }

    fn dispatch(self: &Rc<Self>, call: Dispatch) {
        let kept = if call.fresh {
            None
        } else {
            self.take_kept(call.job.call.leaf)
        };
        let (interrupt, interrupted) = oneshot::channel();
        let key = call.key;
        let exchanges = Rc::clone(self);
        let task = self.executor.spawn(async move {
            exchanges.fly(call, kept, interrupted).await;
        });
        self.flights
            .borrow_mut()
            .insert(key, Flight { interrupt, task });
    }

    fn take_kept(&self, leaf: LeafId) -> Option<Connection> {
        self.pool.borrow_mut().get_mut(&leaf).and_then(Vec::pop)
    }

    /// Runs one exchange and reports its end.
    async fn fly(
        self: &Rc<Self>,
        call: Dispatch,
        kept: Option<Connection>,
        interrupted: oneshot::Receiver<Interrupt>,
    ) {
        // One to an address that the leaf has left was in use when it moved.
        let fit = |kept: &Connection| kept.address() == call.address && kept.kept() && kept.alive();
        let mut slot = kept.filter(fit);
        let sent = Cell::new(false);
        let run = async { Some(self.run(&call, &mut slot, &sent).await) };
        let interrupted = async {
            // An error means that nobody can interrupt the call any more.
            let Ok(why) = interrupted.await else {
                return future::pending().await;
            };
            match why {
                Interrupt::Withdrawn => None,
                Interrupt::Late if sent.get() => Some(Ending::Lost(Unknown::Timeout)),
                Interrupt::Late => Some(Ending::Unsent),
            }
        };
        let ending = run.or(interrupted).await;
        let own = self.flights.borrow_mut().remove(call.key);
        if let Some(flight) = own {
            self.chores.keep(flight.task);
        }
        self.end(call.key, call.job.call.leaf, ending, slot).await;
    }

    async fn run(
        &self,
        call: &Dispatch,
        slot: &mut Option<Connection>,
        sent: &Cell<bool>,
    ) -> Ending {
        if slot.is_none() {
            let opened = connect(call.address).await;
            *slot = opened.map(|c| c.with_close_delimited(self.protocol.unframed()));
        }
        let Some(connection) = slot.as_mut() else {
            return Ending::Unreachable;
        };
        sent.set(true);
        // Unique over all sessions, unlike the attempts of entries.
        let echo = call.key.data().as_ffi();
        let leaf_call = LeafCall {
            job: &call.job,
            leaf: &call.leaf,
            address: call.address,
            echo,
            left: call.job.deadline.left(self.clock.now()),
        };
        protocol::exchange(&*self.protocol, connection, &leaf_call).await
    }

    /// Reports the end of an exchange, and closes or keeps its connection.
    async fn end(
        &self,
        key: JobKey,
        leaf: LeafId,
        ending: Option<Ending>,
        slot: Option<Connection>,
    ) {
        let Some(ending) = ending else {
            if let Some(connection) = slot {
                connection.close(HANG_UP_PATIENCE).await;
            }
            return self.report(Report::Abandoned(key));
        };
        let answered = matches!(ending, Ending::Answered(_));
        match slot {
            Some(connection) if answered && connection.reusable() => {
                let mut pool = self.pool.borrow_mut();
                pool.entry(leaf).or_default().push(connection);
                self.report(Report::Ended(key, ending, After::Kept));
            }
            Some(connection) if ending != Ending::Lost(Unknown::Closed) => {
                self.report(Report::Ended(key, ending, After::Closing));
                connection.close(HANG_UP_PATIENCE).await;
                self.report(Report::Released(leaf));
            }
            _ => self.report(Report::Ended(key, ending, After::Closed)),
        }
    }

    /// Closes kept connections, and reports each once the leaf has let go.
    fn close_kept(self: &Rc<Self>, leaf: LeafId, count: u32) {
        for _ in 0..count {
            let kept = self.take_kept(leaf);
            let exchanges = Rc::clone(self);
            self.chores.spawn(&self.executor, async move {
                if let Some(connection) = kept {
                    connection.close(HANG_UP_PATIENCE).await;
                }
                exchanges.report(Report::Closed(leaf));
            });
        }
    }

    /// Looks whether a leaf accepts a connection.
    fn probe(self: &Rc<Self>, leaf: LeafId, address: SocketAddr) {
        let exchanges = Rc::clone(self);
        self.chores.spawn(&self.executor, async move {
            let connection = connect(address).await;
            let alive = connection.is_some();
            if let Some(connection) = connection {
                connection.close(HANG_UP_PATIENCE).await;
            }
            exchanges.report(Report::Probed(leaf, alive));
        });
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let late = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    Connection::open(address).or(late).await.ok()
}
