//! Sessions from one traffic thread of an entry to the relays.
//!
//! The session to a relay is opened by the first call to it and closed when it
//! has been idle. A session that broke is reopened a few times even without a
//! call. Calls of several requests that are ready at the same time are sent in
//! one message.

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use futures_lite::{FutureExt, future};
use smol::{
    LocalExecutor, Task, Timer,
    channel::{Receiver, Sender, unbounded},
};

use super::{query_runner::CallSender, session::Session};
use crate::{
    edge::{clock::Clock, control::PeerHandle},
    modules::{
        call::{AttemptId, NotRun, Outcome, Part, Reply, Unknown},
        collections::Map,
        inventory::Address,
        reopen::ReopenBackoff,
    },
};

/// Time that a call waits for a session to open before it fails.
const SESSION_WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timer delay from which this thread, not the relay, is taken to be stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// A change in the state of a relay, as its session shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionEvent {
    /// The relay cannot be reached, its session broke, or it has been silent.
    Down(Address),
    /// The relay has announced that it is leaving.
    Leaving(Address),
    /// The session has opened, or a silent relay answers again.
    Up(Address),
}

/// Identity of this entry, which relays log.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the instance.
    pub(crate) instance: String,
    /// Incarnation of the entry.
    pub(crate) incarnation: u64,
}

/// The sessions of one traffic thread. Clones share the same state.
#[derive(Clone)]
pub(crate) struct RelaySessions(Rc<Inner>);

pub(super) struct Inner {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) identity: Identity,
    pub(super) clock: Clock,
    pub(super) control: PeerHandle,
    outboxes: RefCell<Map<Address, Outbox>>,
    /// Senders for the replies to pending attempts, by relay.
    waiters: RefCell<Map<Address, Waiters>>,
    events: Sender<SessionEvent>,
    /// Number of replies that nobody waited for any more.
    late_replies: Cell<u64>,
}

/// Queue of messages to one relay, and the task that sends them.
struct Outbox {
    messages: Sender<Message>,
    pump: Task<()>,
}

/// Senders for the replies of one relay.
type Waiters = Map<AttemptId, Sender<Reply>>;

pub(super) enum Message {
    Submit(Part),
    Cancel(Vec<AttemptId>),
    Clear(u64),
}

impl RelaySessions {
    /// Creates sessions whose tasks run on `executor` and report to `events`. No
    /// session is opened yet.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        identity: Identity,
        clock: Clock,
        events: Sender<SessionEvent>,
        control: PeerHandle,
    ) -> Self {
        Self(Rc::new(Inner {
            executor,
            identity,
            clock,
            control,
            outboxes: RefCell::default(),
            waiters: RefCell::default(),
            events,
            late_replies: Cell::new(0),
        }))
    }

    /// Closes every session and ends its task.
    pub(crate) async fn close(&self) {
        let outboxes = self.0.outboxes.take();
        for outbox in outboxes.into_values() {
            outbox.pump.cancel().await;
        }
    }

    /// Returns the number of replies that came after their attempt had ended.
    pub(crate) fn late_replies(&self) -> u64 {
        self.0.late_replies.get()
    }

    fn post(&self, relay: Address, message: Message) {
        let mut outboxes = self.0.outboxes.borrow_mut();
        let outbox = outboxes
            .entry(relay)
            .or_insert_with(|| self.open_outbox(relay));
        // The pump holds the receiver for as long as the outbox lives.
        let _ = outbox.messages.try_send(message);
    }

    fn open_outbox(&self, relay: Address) -> Outbox {
        let (messages, inbox) = unbounded();
        let inner = Rc::downgrade(&self.0);
        Outbox {
            messages,
            pump: self.0.executor.spawn(pump(inner, relay, inbox)),
        }
    }
}

impl CallSender for RelaySessions {
    fn send(&self, relay: Address, part: Part, to: &Sender<Reply>) {
        let mut waiting = self.0.waiters.borrow_mut();
        let waiters = waiting.entry(relay).or_default();
        waiters.extend(part.calls.iter().map(|call| (call.attempt, to.clone())));
        drop(waiting);
        self.post(relay, Message::Submit(part));
    }

    fn cancel(&self, relay: Address, attempts: Vec<AttemptId>) {
        let mut waiting = self.0.waiters.borrow_mut();
        let waiters = waiting.entry(relay).or_default();
        let open = attempts
            .into_iter()
            .filter(|attempt| waiters.remove(attempt).is_some())
            .collect::<Vec<_>>();
        drop(waiting);
        if !open.is_empty() {
            self.post(relay, Message::Cancel(open));
        }
    }

    fn clear(&self, relay: Address, content: u64) {
        self.post(relay, Message::Clear(content));
    }
}

impl Inner {
    /// Delivers a relay's reply to the request that waits for it.
    pub(super) fn deliver(&self, relay: Address, reply: Reply) {
        let mut waiting = self.waiters.borrow_mut();
        let waiters = waiting.get_mut(&relay);
        match waiters.and_then(|waiters| waiters.remove(&reply.attempt)) {
            Some(to) => drop(to.try_send(reply)),
            None => self.late_replies.set(self.late_replies.get() + 1),
        }
    }

    /// Ends every pending attempt at `relay` with `outcome`.
    fn fail_all(&self, relay: Address, outcome: &Outcome) {
        let waiters = self.waiters.borrow_mut().remove(&relay);
        for (attempt, to) in waiters.into_iter().flatten() {
            // Sending fails only if the request has given the attempt up.
            let _ = to.try_send(failed_reply(attempt, outcome.clone()));
        }
    }

    /// Fails the calls of queued messages that no session has sent. A later
    /// session must not send them: it would run work, even actions, that nobody
    /// waits for any more.
    fn fail_queued(&self, relay: Address, inbox: &Receiver<Message>) {
        while let Ok(message) = inbox.try_recv() {
            if let Message::Submit(part) = message {
                self.fail_part(relay, &part, NotRun::Unreachable);
            }
        }
    }

    /// Fails the calls of a part that was not sent.
    pub(super) fn fail_part(&self, relay: Address, part: &Part, why: NotRun) {
        let mut waiting = self.waiters.borrow_mut();
        let waiters = waiting.entry(relay).or_default();
        for call in &part.calls {
            if let Some(to) = waiters.remove(&call.attempt) {
                // Sending fails only if the request has given the attempt up.
                let _ = to.try_send(failed_reply(call.attempt, Outcome::NotRun(why)));
            }
        }
    }

    /// Reports the relay as down, and fails all calls that wait for a session as
    /// not sent.
    fn fail_unreachable(&self, relay: Address, inbox: &Receiver<Message>) {
        self.report(SessionEvent::Down(relay));
        self.fail_queued(relay, inbox);
        self.fail_all(relay, &Outcome::NotRun(NotRun::Unreachable));
    }

    /// Returns whether any attempt at a relay waits for its reply.
    pub(super) fn has_pending(&self, relay: Address) -> bool {
        let waiting = self.waiters.borrow();
        waiting
            .get(&relay)
            .is_some_and(|waiters| !waiters.is_empty())
    }

    pub(super) fn report(&self, event: SessionEvent) {
        // The traffic thread drops the receiver only when it ends.
        let _ = self.events.try_send(event);
    }
}

/// Opens and runs the sessions to one relay, one at a time: when a call is
/// queued, and again after a session broke.
async fn pump(inner: Weak<Inner>, relay: Address, inbox: Receiver<Message>) {
    let mut reopen = ReopenBackoff::default();
    loop {
        let mut first = match next_trigger(&inbox, reopen.wait()).await {
            OpenTrigger::Call(first) => Some(first),
            OpenTrigger::Reopen => None,
            OpenTrigger::Ended => return,
        };
        let Some(inner) = inner.upgrade() else { return };
        match open(&inner, relay, &mut first, &inbox).await {
            Ok(mut session) => {
                inner.report(SessionEvent::Up(relay));
                let opened = inner.clock.now();
                let ended = session.run(&inner, first, &inbox).await;
                if ended.is_err() {
                    inner.report(SessionEvent::Down(relay));
                }
                inner.fail_queued(relay, &inbox);
                if ended.is_ok() || session.leaving() {
                    reopen.ended();
                } else {
                    reopen.broke(inner.clock.now().since(opened));
                }
                // Replies can no longer arrive, but the leaf may have run the calls.
                inner.fail_all(relay, &Outcome::Unknown(Unknown::Closed));
            }
            Err(error) => {
                tracing::warn!(
                    relay = %relay.0,
                    %error,
                    "cannot open a session to the relay; check that it runs and is reachable"
                );
                inner.fail_unreachable(relay, &inbox);
                reopen.broke(Duration::ZERO);
            }
        }
    }
}

/// Opens a session. Calls that have waited for [`SESSION_WAIT_TIMEOUT`] fail as
/// not sent, so that they can be retried elsewhere.
async fn open(
    inner: &Rc<Inner>,
    relay: Address,
    first: &mut Option<Message>,
    inbox: &Receiver<Message>,
) -> capnp::Result<Session> {
    let fail_waiting = async {
        let mut started = inner.clock.now();
        loop {
            Timer::after(SESSION_WAIT_TIMEOUT).await;
            let now = inner.clock.now();
            if now.since(started) < SESSION_WAIT_TIMEOUT + STALL_THRESHOLD {
                break;
            }
            started = now;
        }
        *first = None;
        inner.fail_unreachable(relay, inbox);
        future::pending().await
    };
    Session::open(inner, relay).or(fail_waiting).await
}

/// Why the next session is opened; `Ended` if no further one is.
enum OpenTrigger {
    Call(Message),
    Reopen,
    Ended,
}

/// Waits for a call, or for `wait`, after which a session is reopened without
/// one. Messages other than calls are dropped, as there is no session.
async fn next_trigger(inbox: &Receiver<Message>, wait: Option<Duration>) -> OpenTrigger {
    let call = async {
        loop {
            match inbox.recv().await {
                Ok(call @ Message::Submit(_)) => return OpenTrigger::Call(call),
                Ok(Message::Cancel(_) | Message::Clear(_)) => {}
                Err(_) => return OpenTrigger::Ended,
            }
        }
    };
    let reopen = async {
        match wait {
            Some(wait) => drop(Timer::after(wait).await),
            None => future::pending().await,
        }
        OpenTrigger::Reopen
    };
    call.or(reopen).await
}

fn failed_reply(attempt: AttemptId, outcome: Outcome) -> Reply {
    Reply {
        attempt,
        queued: 0,
        service: Duration::ZERO,
        retry_after: Duration::ZERO,
        load: None,
        outcome,
    }
}
