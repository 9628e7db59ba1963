//! Routes calls to leaves: through the relay in this process, or as a part of a
//! query that a peer runs.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use smol::{LocalExecutor, Task, channel::Sender};

use super::{
    peer_call::{self, PeerOutcome},
    peers::Peers,
    query_answer::QueryAnswer,
};
use crate::{
    edge::{entry::CallSender, published::Published, relay::LocalRelay},
    modules::{
        call::{AttemptId, Call, NotRun, Origin, Outcome, Part, Reply, Rows, Unknown},
        collections::Map,
        inventory::Address,
        query::QueryRequest,
        view::View,
    },
};

/// HTTP status of the replies from a part that a peer ran: peers return records
/// without a status.
const STATUS_OK: u16 = 200;

/// Sends calls to leaves, or hands parts of queries to peers.
pub(super) struct CallRouter {
    pub(super) local: LocalRelay,
    /// Address of this process in plans.
    own: Address,
    view: Published<View>,
    peers: Rc<Peers>,
    executor: Rc<LocalExecutor<'static>>,
    /// Tasks of the parts that peers run, by each attempt of the part. A part
    /// can only be cancelled as a whole.
    part_tasks: Rc<RefCell<Map<AttemptId, Rc<Task<()>>>>>,
}

impl CallRouter {
    /// Creates the router of the process whose address in plans is `own`.
    pub(super) fn new(
        local: LocalRelay,
        own: Address,
        view: Published<View>,
        peers: &Rc<Peers>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self {
            local,
            own,
            view,
            peers: Rc::clone(peers),
            executor: Rc::clone(executor),
            part_tasks: Rc::default(),
        }
    }

    /// Cancels the parts that peers run, and gives calls to leaves at most
    /// `timeout` to finish.
    pub(super) async fn stop(self, timeout: Duration) {
        self.part_tasks.take();
        self.local.stop(timeout).await;
    }

    /// Sends a part of a query to the peer that runs it.
    fn send_part(&self, peer: Address, part: Part, to: &Sender<Reply>) {
        let positions = self.service_positions(&part);
        let attempts: Vec<AttemptId> = part.calls.iter().map(|call| call.attempt).collect();
        let (peers, part_tasks, to) = (
            Rc::clone(&self.peers),
            Rc::clone(&self.part_tasks),
            to.clone(),
        );
        let task = self.executor.spawn(async move {
            let request = part_request(&part, &positions);
            let outcome = peer_call::run(&peers, peer, part.revision, &request).await;
            let mut open = part_tasks.borrow_mut();
            // Kept until the end of the task: dropping the last handle to a task
            // cancels it.
            let handles: Vec<_> = part.calls.iter().map(|c| open.remove(&c.attempt)).collect();
            drop(open);
            for reply in replies(&part, &positions, outcome) {
                // An error means that the query no longer waits for the attempt.
                let _ = to.try_send(reply);
            }
            drop(handles);
        });
        let task = Rc::new(task);
        let handles = attempts.into_iter().map(|id| (id, Rc::clone(&task)));
        self.part_tasks.borrow_mut().extend(handles);
    }

    /// Returns the position of each call's service among the services of the
    /// part's kind, in the order of the calls.
    fn service_positions(&self, part: &Part) -> Vec<u16> {
        let view = self.view.load();
        let catalog = &view.catalog;
        let kind = catalog.kinds.get(&part.kind);
        let services = kind.map(|kind| kind.rules.services.as_slice());
        let position = |call: &Call| {
            let leaf = catalog.leaf(call.leaf)?;
            let name = &catalog.services.get(leaf.service)?.name;
            let position = services?.iter().position(|service| service == name)?;
            u16::try_from(position).ok()
        };
        part.calls.iter().filter_map(position).collect()
    }
}

impl CallSender for CallRouter {
    fn send(&self, relay: Address, part: Part, to: &Sender<Reply>) {
        if relay == self.own {
            self.local.send(relay, part, to);
        } else {
            self.send_part(relay, part, to);
        }
    }

    fn cancel(&self, relay: Address, attempts: Vec<AttemptId>) {
        if relay == self.own {
            return self.local.cancel(relay, attempts);
        }
        let mut open = self.part_tasks.borrow_mut();
        let handles: Vec<_> = attempts.iter().map(|id| open.remove(id)).collect();
        drop(open);
        // Dropping the handle of the last attempt cancels the part's task.
        drop(handles);
    }

    fn clear(&self, relay: Address, content: u64) {
        if relay == self.own {
            self.local.clear(relay, content);
        }
    }
}

/// Returns the query that a peer runs for a part. It may miss as many shards as
/// the whole query may. While more of them are missing, the peer goes on waiting.
#[allow(clippy::cast_precision_loss, reason = "numbers of shards are small")]
fn part_request(part: &Part, positions: &[u16]) -> QueryRequest {
    let count = positions.len() as f64;
    let least = (count - f64::from(part.spare)) / count.max(1.0);
    QueryRequest {
        kind: part.kind.clone(),
        deadline: Some(part.budget),
        least_coverage: Some(least.clamp(0.0, 1.0)),
        body: Arc::clone(&part.body),
        forward: part.forward.clone(),
        age: part.age,
        customer: part.customer.clone(),
        only_services: positions.to_vec(),
        trial: 0,
    }
}

/// Returns the replies to the calls of a part. The first successful one holds the
/// records of all, the others an empty body.
fn replies(part: &Part, positions: &[u16], peer_outcome: PeerOutcome) -> Vec<Reply> {
    let outcome = match peer_outcome {
        PeerOutcome::Completed(QueryAnswer::Records {
            body,
            signatures,
            services: answered,
            ..
        }) => return record_replies(part, positions, body.into(), &answered, signatures),
        PeerOutcome::Completed(QueryAnswer::NotRun { .. }) | PeerOutcome::NotRun => {
            Outcome::NotRun(NotRun::Unreachable)
        }
        PeerOutcome::Completed(_) | PeerOutcome::Unknown => Outcome::Unknown(Unknown::Exhausted),
    };
    let calls = part.calls.iter();
    calls.map(|call| reply(call, outcome.clone())).collect()
}

fn record_replies(
    part: &Part,
    positions: &[u16],
    body: Arc<[u8]>,
    answered: &[u16],
    signatures: Vec<String>,
) -> Vec<Reply> {
    let mut signed: Map<u16, String> = answered.iter().copied().zip(signatures).collect();
    let mut body = Some(body);
    let mut outcome = |position: &u16| {
        let Some(signature) = signed.remove(position) else {
            return Outcome::Unknown(Unknown::Exhausted);
        };
        let origin = Origin {
            status: STATUS_OK,
            signature,
            media: String::new(),
        };
        let body = body.take().unwrap_or_default();
        Outcome::Rows(Rows::signed(body, Arc::new(origin), part.epoch))
    };
    let calls = part.calls.iter().zip(positions);
    calls
        .map(|(call, position)| reply(call, outcome(position)))
        .collect()
}

fn reply(call: &Call, outcome: Outcome) -> Reply {
    Reply {
        attempt: call.attempt,
        queued: 0,
        service: Duration::ZERO,
        retry_after: Duration::ZERO,
        load: None,
        outcome,
    }
}
