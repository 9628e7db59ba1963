//! A relay that runs in the same process and thread as its entry.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use smol::{
    LocalExecutor, Task,
    channel::{Sender, unbounded},
};

use super::{
    dispatcher::{Dispatcher, Observer},
    exchanges::ExchangeRunner,
    outbox::Outbox,
    protocol::LeafProtocol,
};
use crate::{
    edge::{clock::Clock, entry::CallSender, http::ReceiveMemory, published::Published},
    modules::{
        admission::SessionId,
        call::{AttemptId, Part, Reply},
        collections::Map,
        inventory::Address,
        view::View,
    },
};

/// Calls leaves on the entry's thread.
pub(crate) struct LocalRelay {
    dispatcher: Rc<Dispatcher>,
    session: SessionId,
    waiters: Rc<Waiters>,
    tasks: Vec<Task<()>>,
    exchanges: Task<()>,
}

/// Channels to the tasks that wait for replies, by attempt.
#[derive(Default)]
struct Waiters {
    senders: RefCell<Map<AttemptId, Sender<Reply>>>,
}

impl LocalRelay {
    /// Starts the relay on the thread of `executor`; none if no session can be
    /// opened. Calls `observer` with what it learns. `memory` limits the responses that
    /// are read at the same time.
    pub(crate) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        clock: Clock,
        view: Published<View>,
        protocol: Arc<dyn LeafProtocol>,
        observer: Observer,
        memory: ReceiveMemory,
    ) -> Option<Self> {
        let (commands, receiver) = unbounded();
        let (reporter, reports) = unbounded();
        let runner = ExchangeRunner {
            clock,
            commands: receiver,
            reports: reporter,
            protocol,
            memory,
        };
        let dispatcher =
            Dispatcher::new(Rc::clone(executor), clock, view, observer, vec![commands]);
        let waiters = Rc::<Waiters>::default();
        let receiving = Rc::clone(&waiters);
        let outbox = Outbox::Local(Box::new(move |reply| receiving.deliver(reply)));
        let session = dispatcher.open(outbox)?;
        Some(Self {
            session,
            waiters,
            tasks: vec![
                executor.spawn(Rc::clone(&dispatcher).run_timers()),
                executor.spawn(Rc::clone(&dispatcher).handle_reports(reports)),
            ],
            exchanges: executor.spawn(runner.run(Rc::clone(executor))),
            dispatcher,
        })
    }

    /// Waits up to `timeout` for running calls to end, then ends every task.
    pub(crate) async fn stop(self, timeout: Duration) {
        self.dispatcher.leave(timeout).await;
        self.exchanges.await;
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

impl Waiters {
    fn deliver(&self, reply: Reply) {
        // A reply to a cancelled attempt is dropped.
        if let Some(sender) = self.senders.borrow_mut().remove(&reply.attempt) {
            let _ = sender.try_send(reply);
        }
    }
}

impl CallSender for LocalRelay {
    fn send(&self, _: Address, part: Part, to: &Sender<Reply>) {
        let waiting = part.calls.iter().map(|call| (call.attempt, to.clone()));
        self.waiters.senders.borrow_mut().extend(waiting);
        self.dispatcher.submit(self.session, vec![part]);
    }

    fn cancel(&self, _: Address, attempts: Vec<AttemptId>) {
        let mut senders = self.waiters.senders.borrow_mut();
        for attempt in &attempts {
            senders.remove(attempt);
        }
        drop(senders);
        self.dispatcher.cancel(self.session, &attempts);
    }

    fn clear(&self, _: Address, content: u64) {
        self.dispatcher.clear(&[content]);
    }
}
