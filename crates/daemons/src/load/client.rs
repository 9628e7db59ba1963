//! Sends requests to entries at their intended times.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use guavacourse::{
    edge::http::{Connection, ExchangeError},
    modules::{catalog::Catalog, inventory::Kind, keys::KeyRange},
};
use guavacourse_standins::row_keys;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, de::IgnoredAny};
use smol::{LocalExecutor, Timer};

use super::{
    arrivals::Arrival,
    tally::{Failure, Sample, Tally},
};

/// Delay after its intended time beyond which a send counts as late.
const LATE_SEND_THRESHOLD: Duration = Duration::from_millis(1);

/// Time after the kind's deadline for which the client still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// An entry, as the platform's load balancer sees it.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    lost: Cell<bool>,
}

/// Sends requests and records their outcomes.
pub(super) struct Client<'a> {
    catalog: &'a Catalog,
    targets: Vec<Target>,
    next: Cell<usize>,
    kinds: Vec<Kind>,
    tallies: RefCell<Vec<Tally>>,
    late_sends: Cell<u32>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Answer {
    rows: Vec<IgnoredAny>,
    index_version: u64,
    coverage: Coverage,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Coverage {
    fraction: f64,
    missing: Vec<Missing>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Missing {
    service: String,
    from: u32,
    until: u32,
}

/// Body of a refusal: the error and its reason.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Refusal {
    error: String,
    reason: String,
}

/// What the client recorded.
pub(super) struct ClientStats {
    pub(super) tallies: Vec<Tally>,
    pub(super) late_sends: u32,
}

impl<'a> Client<'a> {
    pub(super) fn new(
        catalog: &'a Catalog,
        kinds: Vec<Kind>,
        entries: impl Iterator<Item = SocketAddr>,
    ) -> Self {
        let target = |address| Target {
            address,
            idle: RefCell::default(),
            lost: Cell::new(false),
        };
        let tallies = kinds.iter().cloned().map(Tally::new).collect();
        Self {
            catalog,
            targets: entries.map(target).collect(),
            next: Cell::new(0),
            kinds,
            tallies: RefCell::new(tallies),
            late_sends: Cell::new(0),
        }
    }

    /// Sends each arrival at its time, and waits for all answers. Arrivals
    /// before the end of `warmup` are not recorded.
    pub(super) async fn send_all(
        self: &Rc<Self>,
        executor: &LocalExecutor<'a>,
        arrivals: &[Arrival],
        start: Instant,
        warmup: Duration,
    ) {
        let mut tasks = Vec::new();
        for arrival in arrivals.iter().copied() {
            let due = start + arrival.at;
            if due > Instant::now() {
                Timer::at(due).await;
            }
            if due.elapsed() > LATE_SEND_THRESHOLD && arrival.at >= warmup {
                self.late_sends.set(self.late_sends.get() + 1);
            }
            let client = Rc::clone(self);
            tasks.push(executor.spawn(async move {
                let sample = client.send(arrival, due).await;
                if let Some(at) = arrival.at.checked_sub(warmup) {
                    let sample = Sample { at, ..sample };
                    client.tallies.borrow_mut()[arrival.kind].add(sample);
                }
            }));
        }
        for task in tasks {
            task.await;
        }
    }

    /// Stops sending to an entry and closes its idle connections.
    pub(super) fn mark_lost(&self, entry: SocketAddr) {
        for target in self.targets.iter().filter(|t| t.address == entry) {
            target.lost.set(true);
            target.idle.borrow_mut().clear();
        }
    }

    pub(super) fn stats(&self) -> ClientStats {
        ClientStats {
            tallies: self.tallies.borrow().clone(),
            late_sends: self.late_sends.get(),
        }
    }

    async fn send(&self, arrival: Arrival, due: Instant) -> Sample {
        let kind = &self.kinds[arrival.kind];
        let body = format!("{{\"number\":{}}}", arrival.number);
        let answer = self.exchange(kind, &body).await;
        let mut sample = Sample {
            latency: due.elapsed(),
            ..Sample::default()
        };
        match answer {
            Ok(answer) => {
                sample.coverage = Some(answer.coverage.fraction);
                sample.calls = self.needed_calls(kind) * answer.coverage.fraction;
                sample.wrong = expected_rows(kind, &body, &answer) != answer.rows.len();
            }
            Err(failure) => sample.failure = Some(failure),
        }
        sample
    }

    /// Sends to one entry after another until one can be reached.
    async fn exchange(&self, kind: &Kind, body: &str) -> Result<Answer, Failure> {
        for _ in 0..self.targets.len() {
            let index = self.next.get();
            self.next.set(index + 1);
            let target = &self.targets[index % self.targets.len()];
            if target.lost.get() {
                continue;
            }
            let request = request(target.address, kind, body).ok_or(Failure::Malformed)?;
            match target.exchange(request, kind.deadline + ANSWER_GRACE).await {
                Ok(response) => return read_answer(response).await,
                Err(ExchangeError::Unreachable(_)) => target.lost.set(true),
                Err(ExchangeError::Timeout) => return Err(Failure::Timeout),
                Err(ExchangeError::Closed(_)) => return Err(Failure::Closed),
                Err(ExchangeError::Malformed(_) | ExchangeError::TooLarge(_)) => {
                    return Err(Failure::Malformed);
                }
            }
        }
        Err(Failure::Unreachable)
    }

    /// Returns the number of leaf calls that a complete answer needs.
    fn needed_calls(&self, kind: &Kind) -> f64 {
        let entry = self.catalog.kinds.get(&kind.name);
        let shards = entry.map_or(0, |entry| entry.shards.len());
        f64::from(u32::try_from(shards).unwrap_or(u32::MAX))
    }
}

impl Target {
    async fn exchange(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, ExchangeError> {
        let idle = self.idle.borrow_mut().pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(self.address)
                .await
                .map_err(ExchangeError::Unreachable)?,
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(ExchangeError::Timeout)
        };
        let response = futures_lite::FutureExt::or(connection.exchange(request), timed_out).await?;
        if connection.reusable() {
            self.idle.borrow_mut().push(connection);
        }
        Ok(response)
    }
}

/// Returns the number of rows that an answer with this coverage must have.
fn expected_rows(kind: &Kind, body: &str, answer: &Answer) -> usize {
    let version = answer.index_version;
    let row_count = |range| row_keys(&kind.name, body.as_bytes(), range, version).len();
    let all = row_count(KeyRange::ALL) * kind.services.len();
    let missing = answer.coverage.missing.iter();
    let missing_rows: usize = missing
        .filter(|gap| kind.services.contains(&gap.service))
        .map(|gap| row_count(KeyRange::new(gap.from, gap.until)))
        .sum();
    all.saturating_sub(missing_rows)
}

fn request(address: SocketAddr, kind: &Kind, body: &str) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}/query/{}", kind.name)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    Some(request)
}

async fn read_answer(mut response: Response) -> Result<Answer, Failure> {
    let body = response.body_bytes().await;
    let body = body.map_err(|_| Failure::Malformed)?;
    if response.status() != StatusCode::Ok {
        let refusal: Refusal = serde_json::from_slice(&body).unwrap_or_default();
        return Err(Failure::Refused(refusal.error, refusal.reason));
    }
    serde_json::from_slice(&body).map_err(|_| Failure::Malformed)
}
