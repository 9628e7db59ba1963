//! Carries out what the core decides: orders to the threads that speak to
//! leaves, and deliveries to entries.

use std::{
    cell::{Cell, RefCell},
    iter,
    rc::Rc,
    time::Duration,
};

use futures_lite::{FutureExt, future::yield_now};
use smol::{
    LocalExecutor, Timer,
    channel::{self, Receiver, Sender},
};

use super::{
    exchanges::{Dispatch, Interrupt, Order, Report},
    outbox::Outbox,
};
use crate::{
    edge::{clock::Clock, published::Published, tasks::Tasks},
    modules::{
        admission::{Admission, JobKey, SessionId, Step},
        call::{AttemptId, Part, Reply},
        catalog::LeafId,
        collections::Map,
        spread::Spread,
        time::Time,
        view::View,
    },
};

/// Time between two looks at the published view.
const VIEW_LOOK: Duration = Duration::from_millis(100);

/// Reports that are taken in together at most.
const REPORTS_MAX: usize = 256;

/// The traffic of one relay but for its exchanges with leaves. Lives on one
/// thread, and so does every decision.
pub(super) struct Traffic {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    view: Published<View>,
    quarantined: Box<dyn Fn(u64)>,
    admission: RefCell<Admission>,
    /// To the threads that speak to leaves.
    lines: Vec<Sender<Order>>,
    spread: RefCell<Spread>,
    outboxes: RefCell<Map<SessionId, Outbox>>,
    chores: Tasks,
    sessions: Cell<u64>,
    armed: Cell<Time>,
    leaving: Cell<bool>,
    rearm: (channel::Sender<()>, channel::Receiver<()>),
}

impl Traffic {
    pub(super) fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        view: Published<View>,
        quarantined: Box<dyn Fn(u64)>,
        lines: Vec<Sender<Order>>,
    ) -> Rc<Self> {
        let spread = Spread::new(lines.len());
        Rc::new(Self {
            executor,
            clock,
            view,
            quarantined,
            admission: RefCell::default(),
            lines,
            spread: spread.into(),
            outboxes: RefCell::default(),
            chores: Tasks::default(),
            sessions: Cell::new(0),
            armed: Cell::new(Time::MAX),
            leaving: Cell::new(false),
            rearm: channel::bounded(1),
        })
    }

    /// Opens a session whose replies go to `outbox`; none on a relay that
    /// leaves.
    pub(super) fn open(&self, outbox: Outbox) -> Option<SessionId> {
        if self.leaving.get() {
            return None;
        }
        let id = SessionId(self.sessions.get());
        self.sessions.set(id.0 + 1);
        self.outboxes.borrow_mut().insert(id, outbox);
        Some(id)
    }

    /// Ends a session and withdraws its calls.
    pub(super) fn close(self: &Rc<Self>, session: SessionId) {
        let outbox = self.outboxes.borrow_mut().remove(&session);
        drop(outbox);
        self.event(|core, now| core.close(session, now));
    }

    /// Takes in parts whose deadlines count from now.
    pub(super) fn submit(self: &Rc<Self>, session: SessionId, parts: Vec<Part>) {
        self.event(|core, now| {
            core.configure(self.view.load(), now);
            for part in parts {
                core.submit(session, part, now);
            }
        });
    }

    /// Withdraws attempts.
    pub(super) fn cancel(self: &Rc<Self>, session: SessionId, attempts: &[AttemptId]) {
        self.event(|core, now| core.cancel(session, attempts, now));
    }

    /// Takes in that suspected contents ran without harm elsewhere.
    pub(super) fn clear(self: &Rc<Self>, contents: &[u64]) {
        self.event(|core, now| core.clear(contents, now));
    }

    /// Runs timers and takes over new views until dropped.
    pub(super) async fn tick(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let due = self.admission.borrow().next_tick().unwrap_or(Time::MAX);
            let next = due.min(now.after(VIEW_LOOK));
            self.armed.set(next);
            let wait = async {
                Timer::after(next.left(now)).await;
            };
            let rearm = async {
                // The sender lives as long as `self`.
                let _ = self.rearm.1.recv().await;
            };
            wait.or(rearm).await;
            self.event(|core, now| {
                core.configure(self.view.load(), now);
                core.tick(now);
            });
        }
    }

    /// Takes in what the threads that speak to leaves report, until they end.
    pub(super) async fn follow(self: Rc<Self>, reports: Receiver<Report>) {
        while let Ok(first) = reports.recv().await {
            let more = iter::from_fn(|| reports.try_recv().ok());
            let batch = iter::once(first).chain(more).take(REPORTS_MAX);
            self.event(|core, now| batch.for_each(|report| take_in(core, report, now)));
            // Lets entries' messages in between.
            yield_now().await;
        }
    }

    /// Announces that the relay leaves, finishes what it has, and returns.
    pub(super) async fn leave(self: &Rc<Self>, patience: Duration) {
        self.leaving.set(true);
        let announced: Vec<_> = {
            let outboxes = self.outboxes.borrow();
            outboxes.values().map(Outbox::leaving).collect()
        };
        let finished = async {
            futures::future::join_all(announced).await;
            self.event(|core, _| core.leave());
            while self.admission.borrow().held() > 0 {
                Timer::after(LEAVE_LOOK).await;
            }
        };
        finished.or(give_up(patience, "calls were left")).await;
        let delivered = async {
            while self.undelivered() {
                Timer::after(LEAVE_LOOK).await;
            }
        };
        let late = give_up(DELIVER_PATIENCE, "an entry did not take its replies");
        delivered.or(late).await;
        self.join().await;
    }

    /// Ends every task that was started here.
    async fn join(&self) {
        self.chores.join().await;
        let outboxes = std::mem::take(&mut *self.outboxes.borrow_mut());
        for outbox in outboxes.into_values() {
            outbox.join().await;
        }
        for line in &self.lines {
            line.close();
        }
    }

    fn undelivered(&self) -> bool {
        self.outboxes.borrow().values().any(|o| !o.is_empty())
    }

    /// Tells the core of an event and does what it says.
    fn event(self: &Rc<Self>, event: impl FnOnce(&mut Admission, Time)) {
        let now = self.clock.now();
        let mut core = self.admission.borrow_mut();
        event(&mut core, now);
        let steps = core.take_steps();
        let due = core.next_tick();
        drop(core);
        for step in steps {
            self.carry_out(step);
        }
        if due.is_some_and(|due| due < self.armed.get()) {
            // A full channel already holds a wake-up.
            let _ = self.rearm.0.try_send(());
        }
    }

    fn carry_out(self: &Rc<Self>, step: Step) {
        match step {
            Step::Dispatch { job, fresh } => self.dispatch(job, fresh),
            Step::Abandon(job) => self.interrupt(job, Interrupt::Withdrawn),
            Step::Expire(job) => self.interrupt(job, Interrupt::Late),
            Step::CloseKept(leaf, count) => self.order(leaf, Order::CloseKept(leaf, count)),
            Step::Probe(leaf) => self.probe(leaf),
            Step::Deliver(session, reply) => self.deliver(session, reply),
            Step::Quarantine { content, then } => self.warn(content, then),
        }
    }

    /// Hands an order to the thread that speaks to `leaf`.
    fn order(&self, leaf: LeafId, order: Order) {
        let thread = self.spread.borrow_mut().thread(leaf);
        let sent = self.lines[thread].try_send(order);
        // Sessions that break now see the relay end, and turn to others.
        assert!(
            sent.is_ok() || self.leaving.get(),
            "a thread that speaks to leaves has ended"
        );
    }

    fn interrupt(&self, job: JobKey, why: Interrupt) {
        let found = self.admission.borrow().job(job).map(|job| job.call.leaf);
        // A call that has ended meanwhile needs no interrupt.
        if let Some(leaf) = found {
            self.order(leaf, Order::Interrupt(job, why));
        }
    }

    fn probe(&self, leaf: LeafId) {
        let address = self.admission.borrow().address(leaf);
        if let Some(address) = address {
            self.order(leaf, Order::Probe(leaf, address.0));
        }
    }

    /// Tells every entry of a content that crashes leaves, and only then
    /// delivers the reply of the call that showed it.
    fn warn(self: &Rc<Self>, content: u64, then: Option<(SessionId, Reply)>) {
        (self.quarantined)(content);
        let heard: Vec<_> = {
            let outboxes = self.outboxes.borrow();
            outboxes.values().map(|o| o.quarantine(content)).collect()
        };
        let traffic = Rc::clone(self);
        self.chores.spawn(&self.executor, async move {
            futures::future::join_all(heard).await;
            if let Some((session, reply)) = then {
                traffic.deliver(session, reply);
            }
        });
    }

    fn deliver(&self, session: SessionId, reply: Reply) {
        if let Some(outbox) = self.outboxes.borrow().get(&session) {
            outbox.push(reply);
        }
    }

    fn dispatch(&self, key: JobKey, fresh: bool) {
        let core = self.admission.borrow();
        let Some(job) = core.job(key).cloned() else {
            return;
        };
        let leaf = job.call.leaf;
        let (Some(address), Some(name)) = (core.address(leaf), core.name(leaf)) else {
            return;
        };
        let name = name.to_owned();
        drop(core);
        let dispatch = Dispatch {
            key,
            job,
            leaf: name,
            address: address.0,
            fresh,
        };
        self.order(leaf, Order::Dispatch(dispatch));
    }
}

/// Longest wait of a leaving relay for entries to take their last replies.
const DELIVER_PATIENCE: Duration = Duration::from_secs(2);

/// Time between two looks at what a leaving relay still holds.
const LEAVE_LOOK: Duration = Duration::from_millis(5);

/// Warns that the relay stops although something is left.
async fn give_up(patience: Duration, left: &str) {
    Timer::after(patience).await;
    tracing::warn!("the relay stops although {left}; look for a frozen process");
}

/// Tells the core of a report.
fn take_in(core: &mut Admission, report: Report, now: Time) {
    match report {
        Report::Ended(key, ending, after) => core.finish(key, &ending, after, now),
        Report::Abandoned(key) => core.abandoned(key, now),
        Report::Released(leaf) => core.released(leaf, false, now),
        Report::Closed(leaf) => core.closed(leaf, now),
        Report::Probed(leaf, alive) => core.probed(leaf, alive, now),
    }
}
