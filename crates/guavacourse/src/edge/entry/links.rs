//! Sessions from one traffic thread of an entry to the relays.
//!
//! A relay's session is opened when the first call goes there and closed when
//! it is idle; one that broke is opened again a few times without a call. Calls
//! of several requests that become ready together travel in one message.

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

use super::{engine::Calls, session::Session};
use crate::{
    edge::{clock::Clock, control::PeerHandle},
    modules::{
        call::{AttemptId, NotRun, Outcome, Part, Reply, Unknown},
        collections::Map,
        inventory::Address,
        reopen::Reopen,
    },
};

/// Longest wait of a call for a session that is being opened.
const OPEN_PATIENCE: Duration = Duration::from_millis(300);

/// Lateness of a timer from which this thread, not the relay, is behind.
const BEHIND: Duration = Duration::from_millis(50);

/// What the links learn of a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkEvent {
    /// It cannot be reached, its session broke, or it has been silent.
    Down(Address),
    /// It says that it leaves.
    Leaving(Address),
    /// Its session is open, or it is heard again.
    Up(Address),
}

/// Who this end is, for the relay's log.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the instance.
    pub(crate) instance: String,
    /// Incarnation of the entry.
    pub(crate) incarnation: u64,
}

/// The sessions of one traffic thread. Clones share them.
#[derive(Clone)]
pub(crate) struct Links(Rc<Inner>);

pub(super) struct Inner {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) identity: Identity,
    pub(super) clock: Clock,
    pub(super) control: PeerHandle,
    outboxes: RefCell<Map<Address, Outbox>>,
    /// Who waits for the reply to an attempt, by relay.
    waiting: RefCell<Map<Address, Waiters>>,
    events: Sender<LinkEvent>,
    /// Replies that nobody waited for any more.
    late: Cell<u64>,
}

/// The way to one relay's session, and the task that drives it.
struct Outbox {
    messages: Sender<Message>,
    pump: Task<()>,
}

/// Who waits for the replies of one relay.
type Waiters = Map<AttemptId, Sender<Reply>>;

pub(super) enum Message {
    Submit(Part),
    Cancel(Vec<AttemptId>),
    Clear(u64),
}

impl Links {
    /// Creates links whose tasks run on `executor`; they report to `events`.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        identity: Identity,
        clock: Clock,
        events: Sender<LinkEvent>,
        control: PeerHandle,
    ) -> Self {
        Self(Rc::new(Inner {
            executor,
            identity,
            clock,
            control,
            outboxes: RefCell::default(),
            waiting: RefCell::default(),
            events,
            late: Cell::new(0),
        }))
    }

    /// Closes every session and ends its task.
    pub(crate) async fn close(&self) {
        let outboxes = self.0.outboxes.take();
        for outbox in outboxes.into_values() {
            outbox.pump.cancel().await;
        }
    }

    /// Returns the number of replies that came after their attempt was settled.
    pub(crate) fn late(&self) -> u64 {
        self.0.late.get()
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

impl Calls for Links {
    fn send(&self, relay: Address, part: Part, to: &Sender<Reply>) {
        let mut waiting = self.0.waiting.borrow_mut();
        let waiters = waiting.entry(relay).or_default();
        waiters.extend(part.calls.iter().map(|call| (call.attempt, to.clone())));
        drop(waiting);
        self.post(relay, Message::Submit(part));
    }

    fn cancel(&self, relay: Address, attempts: Vec<AttemptId>) {
        let mut waiting = self.0.waiting.borrow_mut();
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
    /// Hands a reply of a relay to whoever waits for it.
    pub(super) fn settle(&self, relay: Address, reply: Reply) {
        let mut waiting = self.waiting.borrow_mut();
        let waiters = waiting.get_mut(&relay);
        match waiters.and_then(|waiters| waiters.remove(&reply.attempt)) {
            Some(to) => drop(to.try_send(reply)),
            None => self.late.set(self.late.get() + 1),
        }
    }

    /// Settles every open attempt at `relay` with `outcome`.
    fn fail_all(&self, relay: Address, outcome: &Outcome) {
        let waiters = self.waiting.borrow_mut().remove(&relay);
        for (attempt, to) in waiters.into_iter().flatten() {
            // Whoever no longer listens has given the attempt up.
            let _ = to.try_send(failed(attempt, outcome.clone()));
        }
    }

    /// Takes back messages that no session has sent. Sent on a later one they
    /// would run work, and an action, that nobody waits for any more.
    fn return_unsent(&self, relay: Address, inbox: &Receiver<Message>) {
        while let Ok(message) = inbox.try_recv() {
            if let Message::Submit(part) = message {
                self.refuse(relay, &part, NotRun::Unreachable);
            }
        }
    }

    /// Settles calls of a part that was not sent.
    pub(super) fn refuse(&self, relay: Address, part: &Part, why: NotRun) {
        let mut waiting = self.waiting.borrow_mut();
        let waiters = waiting.entry(relay).or_default();
        for call in &part.calls {
            if let Some(to) = waiters.remove(&call.attempt) {
                // Whoever no longer listens has given the attempt up.
                let _ = to.try_send(failed(call.attempt, Outcome::NotRun(why)));
            }
        }
    }

    /// Tells those whose calls wait for a session that nothing was sent.
    fn unsent(&self, relay: Address, inbox: &Receiver<Message>) {
        self.report(LinkEvent::Down(relay));
        self.return_unsent(relay, inbox);
        self.fail_all(relay, &Outcome::NotRun(NotRun::Unreachable));
    }

    /// Tells whether a relay has replies to give.
    pub(super) fn owes(&self, relay: Address) -> bool {
        let waiting = self.waiting.borrow();
        waiting
            .get(&relay)
            .is_some_and(|waiters| !waiters.is_empty())
    }

    pub(super) fn report(&self, event: LinkEvent) {
        // The traffic thread drops the receiver only when it ends.
        let _ = self.events.try_send(event);
    }
}

/// Opens sessions to one relay, one after the other, as messages come, and again
/// when one broke.
async fn pump(inner: Weak<Inner>, relay: Address, inbox: Receiver<Message>) {
    let mut reopen = Reopen::default();
    loop {
        let mut first = match next_call(&inbox, reopen.wait()).await {
            Next::Call(first) => Some(first),
            Next::Reopen => None,
            Next::Ended => return,
        };
        let Some(inner) = inner.upgrade() else { return };
        match open(&inner, relay, &mut first, &inbox).await {
            Ok(mut session) => {
                inner.report(LinkEvent::Up(relay));
                let opened = inner.clock.now();
                let ended = session.run(&inner, first, &inbox).await;
                if ended.is_err() {
                    inner.report(LinkEvent::Down(relay));
                }
                inner.return_unsent(relay, &inbox);
                if ended.is_ok() || session.leaving() {
                    reopen.ended();
                } else {
                    reopen.broke(inner.clock.now().since(opened));
                }
                // A reply can no longer come: the leaf may have run the call.
                inner.fail_all(relay, &Outcome::Unknown(Unknown::Closed));
            }
            Err(error) => {
                tracing::warn!(
                    relay = %relay.0,
                    %error,
                    "no session to the relay; check that it runs and is reachable"
                );
                inner.unsent(relay, &inbox);
                reopen.broke(Duration::ZERO);
            }
        }
    }
}

/// Opens a session. Calls that have waited for it for a while go elsewhere.
async fn open(
    inner: &Rc<Inner>,
    relay: Address,
    first: &mut Option<Message>,
    inbox: &Receiver<Message>,
) -> capnp::Result<Session> {
    let late = async {
        let mut started = inner.clock.now();
        loop {
            Timer::after(OPEN_PATIENCE).await;
            let now = inner.clock.now();
            if now.since(started) < OPEN_PATIENCE + BEHIND {
                break;
            }
            started = now;
        }
        *first = None;
        inner.unsent(relay, inbox);
        future::pending().await
    };
    Session::open(inner, relay).or(late).await
}

/// What opens the next session.
enum Next {
    Call(Message),
    Reopen,
    Ended,
}

/// Waits for a call, or until the session is to be opened without one.
async fn next_call(inbox: &Receiver<Message>, wait: Option<Duration>) -> Next {
    let call = async {
        loop {
            match inbox.recv().await {
                Ok(call @ Message::Submit(_)) => return Next::Call(call),
                Ok(Message::Cancel(_) | Message::Clear(_)) => {}
                Err(_) => return Next::Ended,
            }
        }
    };
    let reopen = async {
        match wait {
            Some(wait) => drop(Timer::after(wait).await),
            None => future::pending().await,
        }
        Next::Reopen
    };
    call.or(reopen).await
}

fn failed(attempt: AttemptId, outcome: Outcome) -> Reply {
    Reply {
        attempt,
        queued: 0,
        service: Duration::ZERO,
        outcome,
    }
}
