//! The relay of an entry in the same process.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use smol::{
    LocalExecutor, Task,
    channel::{Sender, unbounded},
};

use super::{exchanges::Line, outbox::Outbox, protocol::LeafProtocol, traffic::Traffic};
use crate::{
    edge::{clock::Clock, entry::Calls, published::Published},
    modules::{
        admission::SessionId,
        call::{AttemptId, Part, Reply},
        collections::Map,
        inventory::Address,
        view::View,
    },
};

/// Calls leaves from the entry's own thread.
pub(crate) struct LocalRelay {
    traffic: Rc<Traffic>,
    session: SessionId,
    waiters: Rc<Waiters>,
    tasks: Vec<Task<()>>,
    line: Task<()>,
}

/// Who waits for the replies to attempts.
#[derive(Default)]
struct Waiters {
    open: RefCell<Map<AttemptId, Sender<Reply>>>,
}

impl LocalRelay {
    /// Starts the relay on the thread of `executor`; none if it cannot serve.
    pub(crate) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        clock: Clock,
        view: Published<View>,
        protocol: Arc<dyn LeafProtocol>,
        quarantined: impl Fn(u64) + 'static,
    ) -> Option<Self> {
        let (orders, taken) = unbounded();
        let (reporter, reports) = unbounded();
        let line = Line {
            clock,
            orders: taken,
            reports: reporter,
            protocol,
        };
        let traffic = Traffic::new(
            Rc::clone(executor),
            clock,
            view,
            Box::new(quarantined),
            vec![orders],
        );
        let waiters = Rc::<Waiters>::default();
        let settle = Rc::clone(&waiters);
        let outbox = Outbox::Local(Box::new(move |reply| settle.settle(reply)));
        let session = traffic.open(outbox)?;
        Some(Self {
            session,
            waiters,
            tasks: vec![
                executor.spawn(Rc::clone(&traffic).tick()),
                executor.spawn(Rc::clone(&traffic).follow(reports)),
            ],
            line: executor.spawn(line.run(Rc::clone(executor))),
            traffic,
        })
    }

    /// Finishes the calls that it has and ends every task.
    pub(crate) async fn stop(self, patience: Duration) {
        self.traffic.leave(patience).await;
        self.line.await;
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

impl Waiters {
    fn settle(&self, reply: Reply) {
        // A reply to an attempt that was given up concerns nobody.
        if let Some(to) = self.open.borrow_mut().remove(&reply.attempt) {
            let _ = to.try_send(reply);
        }
    }
}

impl Calls for LocalRelay {
    fn send(&self, _: Address, part: Part, to: &Sender<Reply>) {
        let attempts = part.calls.iter().map(|call| (call.attempt, to.clone()));
        self.waiters.open.borrow_mut().extend(attempts);
        self.traffic.submit(self.session, vec![part]);
    }

    fn cancel(&self, _: Address, attempts: Vec<AttemptId>) {
        let mut open = self.waiters.open.borrow_mut();
        for attempt in &attempts {
            open.remove(attempt);
        }
        drop(open);
        self.traffic.cancel(self.session, &attempts);
    }

    fn clear(&self, _: Address, content: u64) {
        self.traffic.clear(&[content]);
    }
}
