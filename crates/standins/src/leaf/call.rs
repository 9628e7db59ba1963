//! Runs queries and actions on a simulated leaf.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use guavacourse::modules::time::{Time, micros};
use http_types::{Request, Response};
use smol::Timer;

use super::{
    faults::{LeafFaults, ReplyFault},
    reply::{self, CommonHeaders, Refusal},
    rows::{Row, row_keys},
    server::{ConnectionHandle, Leaf},
    state::State,
};
use crate::error::error_response;

/// Deadline of a call without a `deadline-us` header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A call, as parsed from its request.
#[derive(Debug)]
struct Call {
    attempt: u64,
    kind: String,
    deadline: Duration,
    /// Pinned index version, or 0 for the newest.
    version: u64,
    epoch: u64,
    /// Idempotency id of an action, or empty for a query.
    action: String,
    body: Vec<u8>,
}

impl Call {
    async fn read(mut request: Request) -> Result<Self, &'static str> {
        let attempt = number_header(&request, "attempt").ok_or("header attempt is missing")?;
        let version =
            number_header(&request, "index-version").ok_or("header index-version is missing")?;
        let epoch = number_header(&request, "partition-epoch");
        let epoch = epoch.ok_or("header partition-epoch is missing")?;
        let action = text_header(&request, "action-id");
        if request.url().path() == "/action" && action.is_empty() {
            return Err("header action-id is missing");
        }
        let deadline =
            number_header(&request, "deadline-us").map_or(DEFAULT_DEADLINE, Duration::from_micros);
        let body = request.body_bytes().await;
        Ok(Self {
            attempt,
            kind: text_header(&request, "kind"),
            deadline,
            version,
            epoch,
            action,
            body: body.map_err(|_| "the body cannot be read")?,
        })
    }

    /// Returns whether the body contains the crash marker.
    fn has_crash_marker(&self, faults: &LeafFaults) -> bool {
        let marker = faults.crash_marker.as_bytes();
        !marker.is_empty()
            && self
                .body
                .windows(marker.len())
                .any(|window| window == marker)
    }
}

/// A call that did not get a slot.
struct RefusedCall {
    headers: CommonHeaders,
    reason: Refusal,
}

/// A call that got a slot.
struct StartedCall {
    slot: Slot,
    run: Execution,
}

/// How a started call runs, as drawn at its start.
struct Execution {
    headers: CommonHeaders,
    version: u64,
    /// Number of this run of the action, from 1; 0 for a query.
    run_number: u32,
    service_time: Duration,
    fault: Option<ReplyFault>,
    /// Time after which the call crashes the leaf, if it does.
    crash_after: Option<Duration>,
}

impl Leaf {
    /// Runs a query or an action.
    pub(super) async fn call(
        self: Arc<Self>,
        connection: ConnectionHandle,
        request: Request,
    ) -> Response {
        let call = match Call::read(request).await {
            Ok(call) => call,
            Err(error) => return error_response(400, error),
        };
        let started = match Arc::clone(&self).start(&call) {
            Ok(started) => started,
            Err(refused) => return reply::refusal(&refused.headers, refused.reason),
        };
        if let Some(after) = started.run.crash_after {
            Timer::after(after).await;
            self.crash();
            return self.close_unanswered(&connection).await;
        }
        let finished = async {
            Timer::after(started.run.service_time).await;
            true
        };
        let expired = async {
            Timer::after(call.deadline).await;
            false
        };
        let in_time = finished.or(expired).await;
        let StartedCall { mut slot, mut run } = started;
        slot.outcome = if in_time {
            Outcome::Finished
        } else {
            Outcome::Expired
        };
        drop(slot);
        run.headers.load = self.lock().reported_load(self.now());
        if !in_time {
            return reply::refusal(&run.headers, Refusal::Overrun);
        }
        match run.fault {
            Some(ReplyFault::Lost) => return self.close_unanswered(&connection).await,
            Some(ReplyFault::CutShort) => connection.close_after_response(),
            _ => {}
        }
        let rows = self.rows(&call, &run);
        reply::rows(&run.headers, run.version, &rows, run.fault)
    }

    /// Takes a slot for a call, or returns why it is refused.
    fn start(self: Arc<Self>, call: &Call) -> Result<StartedCall, RefusedCall> {
        let now = self.now();
        let mut state = self.lock();
        state.work.received += 1;
        let headers = common_headers(&state, call.attempt, now);
        let version = match self.admit(&mut state, call) {
            Ok(version) => version,
            Err(reason) => {
                match reason {
                    Refusal::Shed => state.work.shed += 1,
                    _ => state.work.refused += 1,
                }
                return Err(RefusedCall { headers, reason });
            }
        };
        state.work.started += 1;
        let running = state.running + 1;
        state.set_running(now, running);
        let run = Execution {
            headers,
            version,
            run_number: count_run(&mut state, call),
            service_time: self.draw_service_time(&mut state, now),
            fault: draw_fault(&mut state),
            crash_after: call
                .has_crash_marker(&state.faults)
                .then_some(state.faults.crash_after),
        };
        drop(state);
        let slot = Slot {
            leaf: self,
            since: now,
            outcome: Outcome::Cancelled,
        };
        Ok(StartedCall { slot, run })
    }

    /// Returns the index version to read, or why the call is refused.
    fn admit(&self, state: &mut State, call: &Call) -> Result<u64, Refusal> {
        if state.faults.draining {
            return Err(Refusal::Draining);
        }
        if call.deadline.is_zero() {
            return Err(Refusal::Expired);
        }
        let held = state.served.versions;
        let version = match call.version {
            0 => held.newest,
            pinned => pinned,
        };
        let holds = (held.oldest..=held.newest).contains(&version);
        if !holds || call.epoch != state.served.epoch {
            return Err(Refusal::Snapshot);
        }
        let shed = state.faults.shed;
        if state.running >= self.spec.slots || state.rng.f64() < shed {
            return Err(Refusal::Shed);
        }
        Ok(version)
    }

    fn draw_service_time(&self, state: &mut State, now: Time) -> Duration {
        let straggle = state.faults.straggle;
        let age = now.since(state.started);
        let mut factor = state.faults.slow * self.spec.cold.factor_at(age);
        if state.rng.f64() < straggle.part {
            factor *= straggle.factor;
        }
        self.spec.service.draw(&mut state.rng).mul_f64(factor)
    }

    fn rows(&self, call: &Call, run: &Execution) -> Vec<Row> {
        let row = |key| Row {
            leaf: self.spec.name.clone(),
            version: run.version,
            key,
            action: call.action.clone(),
            run: run.run_number,
        };
        let range = run.headers.served.range;
        if !call.action.is_empty() {
            return vec![row(range.from)];
        }
        let keys = row_keys(&call.kind, &call.body, range, run.version);
        keys.into_iter().map(row).collect()
    }
}

fn common_headers(state: &State, attempt: u64, now: Time) -> CommonHeaders {
    CommonHeaders {
        attempt,
        served: state.served,
        incarnation: state.incarnation,
        state: state.health(),
        load: state.reported_load(now),
    }
}

/// Counts a run of an action and returns its number, from 1; 0 for a query.
fn count_run(state: &mut State, call: &Call) -> u32 {
    if call.action.is_empty() {
        return 0;
    }
    let runs = state.runs.entry(call.action.clone()).or_default();
    *runs += 1;
    *runs
}

fn draw_fault(state: &mut State) -> Option<ReplyFault> {
    let applies = state.rng.f64() < state.faults.reply_part;
    state.faults.reply.filter(|_| applies)
}

/// Parses a header as a number; `None` if it is missing or malformed.
fn number_header(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.as_str().parse().ok()
}

/// Returns the value of a header, or an empty string if it is missing.
fn text_header(request: &Request, name: &str) -> String {
    let value = request.header(name).map(|values| values.as_str());
    value.unwrap_or_default().to_owned()
}

/// How a call that held a slot ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Cancelled,
    Expired,
    Finished,
}

/// A slot of a leaf, which dropping it frees.
struct Slot {
    leaf: Arc<Leaf>,
    since: Time,
    outcome: Outcome,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.leaf.now();
        let mut state = self.leaf.lock();
        let running = state.running.saturating_sub(1);
        state.set_running(now, running);
        state.work.busy_micros += micros(now.since(self.since));
        match self.outcome {
            Outcome::Cancelled => state.work.cancelled += 1,
            Outcome::Expired => state.work.expired += 1,
            Outcome::Finished => state.work.finished += 1,
        }
    }
}
