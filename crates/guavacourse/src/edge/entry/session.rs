//! A session with a relay: sends calls, receives replies and checks that the
//! relay is alive.

use std::{
    cell::Cell,
    io,
    rc::{Rc, Weak},
    time::Duration,
};

use capnp::capability::Promise;
use futures::stream::FuturesUnordered;
use futures_lite::{FutureExt, StreamExt, future};
use smol::{Timer, channel::Receiver, future::yield_now};

use super::relay_sessions::{Inner, Message, SessionEvent};
use crate::{
    edge::{fleet, wire},
    generated::wire_capnp::{session, sink},
    modules::{
        call::{AttemptId, NotRun, Part},
        inventory::Address,
        liveness::{LivenessAction, LivenessMonitor, Owed},
    },
};

/// Maximum wait for a relay to open a session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// An open session with a relay.
pub(super) struct Session {
    relay: Address,
    link: fleet::Link,
    client: session::Client,
    /// Whether the relay has announced that it is leaving.
    leaving: Rc<Cell<bool>>,
    /// Messages that the relay has not acknowledged yet. Dropping a promise would
    /// cancel its message.
    unacked: FuturesUnordered<Promise<(), capnp::Error>>,
    liveness: LivenessMonitor,
}

/// What a session reacts to.
enum Event {
    Message(Message),
    Broken,
    CheckDue,
    Closed,
}

impl Session {
    /// Connects to a relay and opens a session.
    ///
    /// # Errors
    ///
    /// Returns why no session could be opened; no call was sent.
    pub(super) async fn open(inner: &Rc<Inner>, relay: Address) -> Result<Session, capnp::Error> {
        let link = fleet::connect(&inner.executor, relay.0).await?;
        let leaving = Rc::<Cell<bool>>::default();
        let started = inner.clock.now();
        let request = link.node.relay_request();
        let opened = async {
            let found = request.send().promise.await?;
            let mut open = found.get()?.get_relay()?.open_request();
            let mut params = open.get();
            params.set_entry(&inner.identity.instance);
            params.set_incarnation(inner.identity.incarnation);
            params.set_sink(capnp_rpc::new_client(SinkServer {
                relay,
                leaving: Rc::clone(&leaving),
                inner: Rc::downgrade(inner),
            }));
            let opened = open.send().promise.await?;
            opened.get()?.get_session()
        };
        let timeout = async {
            Timer::after(OPEN_TIMEOUT).await;
            Err(timed_out())
        };
        let client = opened.or(timeout).await?;
        let now = inner.clock.now();
        Ok(Session {
            relay,
            link,
            client,
            leaving,
            unacked: FuturesUnordered::new(),
            liveness: LivenessMonitor::new(now.since(started), now),
        })
    }

    /// Sends messages until the session is idle or the inbox is closed.
    ///
    /// # Errors
    ///
    /// Returns the error that broke the session.
    pub(super) async fn run(
        &mut self,
        inner: &Rc<Inner>,
        first: Option<Message>,
        inbox: &Receiver<Message>,
    ) -> capnp::Result<()> {
        let mut next = match first {
            Some(first) => Event::Message(first),
            None => self.next_event(inner, inbox).await,
        };
        loop {
            match next {
                Event::Message(message) => self.send_batch(inner, message, inbox).await,
                Event::Broken => return Err(timed_out()),
                Event::CheckDue => match self.check_liveness(inner) {
                    LivenessAction::Idle => return Ok(()),
                    LivenessAction::Lost => {
                        tracing::warn!(
                            relay = %self.relay.0,
                            "the relay does not answer on an open session; check that its \
                             process is not suspended and that the network forwards its traffic"
                        );
                        return Err(timed_out());
                    }
                    LivenessAction::Ping => self.submit(inner, &[]),
                    LivenessAction::Recovered => self.report(inner, SessionEvent::Up(self.relay)),
                    LivenessAction::Suspect => self.report(inner, SessionEvent::Down(self.relay)),
                    LivenessAction::NoAction => {}
                },
                Event::Closed => return Ok(()),
            }
            next = self.next_event(inner, inbox).await;
        }
    }

    /// Returns whether the relay has announced that it is leaving.
    pub(super) fn leaving(&self) -> bool {
        self.leaving.get()
    }

    async fn next_event(&mut self, inner: &Inner, inbox: &Receiver<Message>) -> Event {
        let due = inner
            .clock
            .instant(self.liveness.next_check(self.owed(inner)));
        let send_failed = async {
            while let Some(ack) = self.unacked.next().await {
                if ack.is_err() {
                    return Event::Broken;
                }
            }
            future::pending().await
        };
        let broken = async {
            let _ = (&mut self.link.driver).await;
            Event::Broken
        };
        let message = async { inbox.recv().await.map_or(Event::Closed, Event::Message) };
        let check_due = async {
            match due {
                Some(due) => drop(Timer::at(due).await),
                None => future::pending().await,
            }
            // Lets the driver read what has arrived.
            yield_now().await;
            Event::CheckDue
        };
        send_failed.or(broken).or(message).or(check_due).await
    }

    /// Checks whether the relay is alive.
    fn check_liveness(&mut self, inner: &Inner) -> LivenessAction {
        let (received, owed) = (self.link.received_bytes(), self.owed(inner));
        self.liveness.check(received, owed, inner.clock.now())
    }

    fn owed(&self, inner: &Inner) -> Owed {
        if !self.unacked.is_empty() {
            Owed::Acknowledgement
        } else if inner.has_pending(self.relay) {
            Owed::Results
        } else {
            Owed::Nothing
        }
    }

    /// Reports an event, unless the relay is leaving, which has been reported.
    fn report(&self, inner: &Inner, event: SessionEvent) {
        if !self.leaving.get() {
            inner.report(event);
        }
    }

    /// Sends a message together with all others that are queued.
    async fn send_batch(&mut self, inner: &Inner, first: Message, inbox: &Receiver<Message>) {
        yield_now().await;
        let mut parts = Vec::new();
        let mut cancelled = Vec::new();
        let mut cleared = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Submit(part) => parts.push(part),
                Message::Cancel(attempts) => cancelled.extend(attempts),
                Message::Clear(content) => cleared.push(content),
            }
            next = inbox.try_recv().ok();
        }
        if !cleared.is_empty() {
            self.clear(inner, &cleared);
        }
        if self.leaving.get() {
            // The relay may exit as soon as its announcement is acknowledged, so
            // no call may be sent after that.
            for part in &parts {
                inner.fail_part(self.relay, part, NotRun::Leaving);
            }
        } else if !parts.is_empty() {
            self.submit(inner, &parts);
        }
        if !cancelled.is_empty() {
            self.cancel(inner, &cancelled);
        }
    }

    /// Submits parts without waiting: replies come through the sink.
    fn submit(&mut self, inner: &Inner, parts: &[Part]) {
        let mut request = self.client.submit_request();
        let list = request.get().init_parts(wire::list_len(parts.len()));
        wire::write_parts(list, parts);
        self.track_ack(inner, request.send().promise);
    }

    fn cancel(&mut self, inner: &Inner, attempts: &[AttemptId]) {
        let mut request = self.client.cancel_request();
        let mut list = request.get().init_attempts(wire::list_len(attempts.len()));
        for (i, attempt) in (0..).zip(attempts) {
            list.set(i, attempt.0);
        }
        self.track_ack(inner, request.send().promise);
    }

    fn clear(&mut self, inner: &Inner, contents: &[u64]) {
        let mut request = self.client.clear_request();
        let list = request
            .get()
            .init_fingerprints(wire::list_len(contents.len()));
        wire::write_numbers(list, contents);
        self.track_ack(inner, request.send().promise);
    }

    /// Keeps the acknowledgement of a message until it arrives.
    fn track_ack<T>(
        &mut self,
        inner: &Inner,
        ack: impl Future<Output = capnp::Result<T>> + 'static,
    ) {
        if self.unacked.is_empty() {
            self.liveness
                .restart_timeout(self.link.received_bytes(), inner.clock.now());
        }
        self.unacked.push(Promise::from_future(async move {
            ack.await?;
            Ok(())
        }));
    }
}

/// Receives the replies of one relay.
struct SinkServer {
    relay: Address,
    leaving: Rc<Cell<bool>>,
    inner: Weak<Inner>,
}

impl sink::Server for SinkServer {
    async fn deliver(
        self: Rc<Self>,
        params: sink::DeliverParams,
        _: sink::DeliverResults,
    ) -> capnp::Result<()> {
        let Some(inner) = self.inner.upgrade() else {
            return Ok(());
        };
        for reply in wire::read_replies(params.get()?.get_replies()?)? {
            inner.deliver(self.relay, reply);
        }
        Ok(())
    }

    async fn leaving(
        self: Rc<Self>,
        _: sink::LeavingParams,
        _: sink::LeavingResults,
    ) -> capnp::Result<()> {
        self.leaving.set(true);
        if let Some(inner) = self.inner.upgrade() {
            inner.report(SessionEvent::Leaving(self.relay));
        }
        Ok(())
    }

    async fn quarantine(
        self: Rc<Self>,
        params: sink::QuarantineParams,
        _: sink::QuarantineResults,
    ) -> capnp::Result<()> {
        let contents: Vec<u64> = params.get()?.get_fingerprints()?.iter().collect();
        let Some(control) = self.inner.upgrade().map(|inner| inner.control.clone()) else {
            return Ok(());
        };
        control.block(&contents).await;
        Ok(())
    }
}

fn timed_out() -> capnp::Error {
    io::Error::from(io::ErrorKind::TimedOut).into()
}
