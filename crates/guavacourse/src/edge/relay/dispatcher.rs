//! Passes events to the admission core and executes its steps: sends commands to
//! the exchange threads, and replies to entries.

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
    exchanges::{Command, Dispatch, Interrupt, Report},
    outbox::Outbox,
    protocol::Ended,
};
use crate::{
    edge::{clock::Clock, published::Published, tasks::Tasks},
    modules::{
        admission::{Admission, Ending, JobKey, SessionId, Step},
        call::{AttemptId, Part, Reply},
        catalog::LeafId,
        collections::Map,
        crash_evidence::Finding,
        leaf_notice::LeafEvent,
        line_budget::{LineBudget, LineDecision},
        thread_assignment::ThreadAssignment,
        time::Time,
        view::View,
    },
};

/// Time between two checks of the published view.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of reports that are applied together.
const MAX_REPORT_BATCH: usize = 256;

/// What a relay calls with what it learns.
pub(crate) struct Observer {
    /// Called with what is found out about request content.
    pub(crate) on_finding: Box<dyn Fn(Finding)>,
    /// Called with each change in what a leaf asks for.
    pub(crate) on_leaf_event: Box<dyn Fn(&LeafEvent)>,
}

/// Sessions, timers and admission state of one relay. All its decisions are made on
/// the thread that it lives on; exchanges with leaves may run on others.
pub(super) struct Dispatcher {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    view: Published<View>,
    observer: Observer,
    admission: RefCell<Admission>,
    /// Command channels, one to each exchange thread.
    commands: Vec<Sender<Command>>,
    /// Assignment of leaves to exchange threads.
    leaf_threads: RefCell<ThreadAssignment>,
    outboxes: RefCell<Map<SessionId, Outbox>>,
    tasks: Tasks,
    next_session: Cell<u64>,
    /// Time for which the timer is set.
    timer_due: Cell<Time>,
    leaving: Cell<bool>,
    /// Wakes the timer's task before it is due.
    timer_reset: (channel::Sender<()>, channel::Receiver<()>),
    /// Limits the log lines about what leaves ask for.
    event_lines: RefCell<LineBudget>,
}

impl Dispatcher {
    pub(super) fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        view: Published<View>,
        observer: Observer,
        commands: Vec<Sender<Command>>,
    ) -> Rc<Self> {
        let leaf_threads = ThreadAssignment::new(commands.len());
        Rc::new(Self {
            executor,
            clock,
            view,
            observer,
            admission: RefCell::default(),
            commands,
            leaf_threads: leaf_threads.into(),
            outboxes: RefCell::default(),
            tasks: Tasks::default(),
            next_session: Cell::new(0),
            timer_due: Cell::new(Time::MAX),
            leaving: Cell::new(false),
            timer_reset: channel::bounded(1),
            event_lines: RefCell::default(),
        })
    }

    /// Opens a session whose replies go to `outbox`; none if the relay is leaving.
    pub(super) fn open(&self, outbox: Outbox) -> Option<SessionId> {
        if self.leaving.get() {
            return None;
        }
        let id = SessionId(self.next_session.get());
        self.next_session.set(id.0 + 1);
        self.outboxes.borrow_mut().insert(id, outbox);
        Some(id)
    }

    /// Ends a session and cancels its calls.
    pub(super) fn close(self: &Rc<Self>, session: SessionId) {
        let outbox = self.outboxes.borrow_mut().remove(&session);
        drop(outbox);
        self.handle_event(|core, now| core.close(session, now));
    }

    /// Submits parts; their budgets count from now.
    pub(super) fn submit(self: &Rc<Self>, session: SessionId, parts: Vec<Part>) {
        self.handle_event(|core, now| {
            core.configure(self.view.load(), now);
            for part in parts {
                core.submit(session, part, now);
            }
        });
    }

    /// Cancels attempts.
    pub(super) fn cancel(self: &Rc<Self>, session: SessionId, attempts: &[AttemptId]) {
        self.handle_event(|core, now| core.cancel(session, attempts, now));
    }

    /// Clears suspected contents that ran on another leaf without crashing it.
    pub(super) fn clear(self: &Rc<Self>, contents: &[u64]) {
        self.handle_event(|core, now| core.clear(contents, now));
    }

    /// Runs the core's timers and applies new views until dropped.
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let due = self.admission.borrow().next_tick().unwrap_or(Time::MAX);
            let next = due.min(now.after(VIEW_CHECK_INTERVAL));
            self.timer_due.set(next);
            let wait = async {
                Timer::after(next.left(now)).await;
            };
            let reset = async {
                // Cannot fail: the sender lives as long as `self`.
                let _ = self.timer_reset.1.recv().await;
            };
            wait.or(reset).await;
            self.handle_event(|core, now| {
                core.configure(self.view.load(), now);
                core.tick(now);
            });
        }
    }

    /// Applies the reports of the exchange threads until these have ended.
    pub(super) async fn handle_reports(self: Rc<Self>, reports: Receiver<Report>) {
        while let Ok(first) = reports.recv().await {
            let more = iter::from_fn(|| reports.try_recv().ok());
            let batch = iter::once(first).chain(more).take(MAX_REPORT_BATCH);
            self.handle_event(|core, now| batch.for_each(|report| apply_report(core, report, now)));
            // Lets messages from entries be handled between batches.
            yield_now().await;
        }
    }

    /// Announces that the relay is leaving, waits up to `timeout` for its calls to
    /// end, delivers the replies, and ends every task.
    pub(super) async fn leave(self: &Rc<Self>, timeout: Duration) {
        self.leaving.set(true);
        let acks: Vec<_> = {
            let outboxes = self.outboxes.borrow();
            outboxes.values().map(Outbox::leaving).collect()
        };
        let finished = async {
            futures::future::join_all(acks).await;
            self.handle_event(|core, _| core.leave());
            while self.admission.borrow().pending() > 0 {
                Timer::after(DRAIN_CHECK_INTERVAL).await;
            }
        };
        finished.or(warn_after(timeout, "calls are pending")).await;
        let delivered = async {
            while self.undelivered() {
                Timer::after(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let timed_out = warn_after(
            DELIVERY_TIMEOUT,
            "an entry has not acknowledged its replies",
        );
        delivered.or(timed_out).await;
        self.join().await;
    }

    /// Ends every task that was started here.
    async fn join(&self) {
        self.tasks.join().await;
        let outboxes = std::mem::take(&mut *self.outboxes.borrow_mut());
        for outbox in outboxes.into_values() {
            outbox.join().await;
        }
        for sender in &self.commands {
            sender.close();
        }
    }

    fn undelivered(&self) -> bool {
        self.outboxes.borrow().values().any(|o| !o.is_empty())
    }

    /// Passes an event to the core and executes the resulting steps.
    fn handle_event(self: &Rc<Self>, event: impl FnOnce(&mut Admission, Time)) {
        let now = self.clock.now();
        let mut core = self.admission.borrow_mut();
        event(&mut core, now);
        let steps = core.take_steps();
        let due = core.next_tick();
        drop(core);
        for step in steps {
            self.execute(step);
        }
        if due.is_some_and(|due| due < self.timer_due.get()) {
            // A full channel already holds a wake-up.
            let _ = self.timer_reset.0.try_send(());
        }
    }

    fn execute(self: &Rc<Self>, step: Step) {
        match step {
            Step::Dispatch {
                job,
                new_connection,
            } => self.dispatch(job, new_connection),
            Step::Abandon(job) => self.interrupt(job, Interrupt::Cancelled),
            Step::Expire(job) => self.interrupt(job, Interrupt::DeadlinePassed),
            Step::CloseKept(leaf, count) => self.send(leaf, Command::CloseKept(leaf, count)),
            Step::Probe(leaf) => self.probe(leaf),
            Step::Deliver(session, reply) => self.deliver(session, reply),
            Step::Quarantine { content, then } => self.announce_quarantine(content, then),
            Step::Report(finding) => (self.observer.on_finding)(finding),
            Step::Note(event) => self.log_leaf_event(&event),
        }
    }

    /// Sends a command to the exchange thread of `leaf`.
    fn send(&self, leaf: LeafId, command: Command) {
        let thread = self.leaf_threads.borrow_mut().thread(leaf);
        let sent = self.commands[thread].try_send(command);
        // A panic breaks all sessions, so entries switch to other relays.
        assert!(
            sent.is_ok() || self.leaving.get(),
            "an exchange thread has ended"
        );
    }

    fn interrupt(&self, job: JobKey, reason: Interrupt) {
        let leaf = self.admission.borrow().job(job).map(|job| job.call.leaf);
        // A call that has already ended needs no interrupt.
        if let Some(leaf) = leaf {
            self.send(leaf, Command::Interrupt(job, reason));
        }
    }

    fn probe(&self, leaf: LeafId) {
        let address = self.admission.borrow().address(leaf);
        if let Some(address) = address {
            self.send(leaf, Command::Probe(leaf, address.0));
        }
    }

    /// Announces a content that crashes leaves to every entry. Delivers the reply of
    /// the call that proved it only once they have acknowledged or timed out.
    fn announce_quarantine(self: &Rc<Self>, content: u64, then: Option<(SessionId, Reply)>) {
        (self.observer.on_finding)(Finding::Quarantined(content));
        let acks: Vec<_> = {
            let outboxes = self.outboxes.borrow();
            outboxes.values().map(|o| o.quarantine(content)).collect()
        };
        let dispatcher = Rc::clone(self);
        self.tasks.spawn(&self.executor, async move {
            futures::future::join_all(acks).await;
            if let Some((session, reply)) = then {
                dispatcher.deliver(session, reply);
            }
        });
    }

    /// Logs a change in what a leaf asks for, within a limit on such lines, and passes it
    /// on.
    fn log_leaf_event(&self, event: &LeafEvent) {
        (self.observer.on_leaf_event)(event);
        let decision = self.event_lines.borrow_mut().count(self.clock.now());
        if let LineDecision::Write { left_out } = decision {
            if left_out > 0 {
                tracing::info!(left_out, "log lines about leaves were left out");
            }
            write_leaf_event(event);
        }
    }

    fn deliver(&self, session: SessionId, reply: Reply) {
        if let Some(outbox) = self.outboxes.borrow().get(&session) {
            outbox.push(reply);
        }
    }

    fn dispatch(&self, key: JobKey, new_connection: bool) {
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
            new_connection,
        };
        self.send(leaf, Command::Dispatch(dispatch));
    }
}

/// Longest wait of a leaving relay for entries to acknowledge their last replies.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two checks of a leaving relay for pending calls and replies.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits for `timeout`, then warns that the relay stops before it has drained.
async fn warn_after(timeout: Duration, pending: &str) {
    Timer::after(timeout).await;
    tracing::warn!("the relay stops although {pending}; check for a hung process");
}

/// Writes a change in what a leaf asks for to the log.
fn write_leaf_event(event: &LeafEvent) {
    match event {
        LeafEvent::Leaving { leaf } => tracing::info!(leaf, "a leaf says that it is leaving"),
        LeafEvent::Limited { leaf, total, own } => {
            tracing::info!(leaf, total, own, "a leaf limits its requests");
        }
        LeafEvent::Unlimited { leaf } => {
            tracing::info!(leaf, "a leaf no longer limits its requests");
        }
        LeafEvent::Paused { leaf, pause } => {
            tracing::info!(leaf, ?pause, "a leaf wants no requests for a while");
        }
        LeafEvent::Resumed { leaf } => tracing::info!(leaf, "the pause of a leaf is over"),
        LeafEvent::Malformed { leaf } => tracing::warn!(
            leaf,
            "a leaf sends a limit or a pause that is not a number; it is ignored"
        ),
    }
}

/// Passes a report to the core.
fn apply_report(core: &mut Admission, report: Report, now: Time) {
    match report {
        Report::Ended(key, Ended { ending, notice }, connection) => {
            if matches!(ending, Ending::Answered(_)) {
                core.notice(key, notice, now);
            }
            core.finish(key, &ending, connection, now);
        }
        Report::Abandoned(key) => core.abandoned(key, now),
        Report::Released(leaf) => core.released(leaf, false, now),
        Report::Closed(leaf) => core.closed(leaf, now),
        Report::Probed(leaf, alive) => core.probed(leaf, alive, now),
    }
}
