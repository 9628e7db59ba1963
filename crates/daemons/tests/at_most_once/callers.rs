//! Callers that resend bookings through other entries, and the replies they get.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use fastrand::Rng;
use guavacourse::edge::http::ExchangeError;
use guavacourse_daemons::client::{Answer, Caller};
use smol::{Timer, future::FutureExt};

use super::common::INSTANCES;

/// Maximum number of attempts at one booking; each sends one copy of the request,
/// or two at once.
const MAX_ATTEMPTS: u32 = 6;

/// Maximum time that a caller waits for a reply before it resends.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a booking is resent or a ticket is requested again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of sending one copy of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The booking ran; the number says which run of its id this was, as counted
    /// by the leaf.
    Done(u64),
    /// The booking did not run, for this reason.
    NotRun(String),
    /// It is not known whether the booking ran.
    Unknown {
        reason: String,
        /// Whether the message advises to resend with the same id.
        resend: bool,
    },
    /// Nothing was done with this copy; the status and the error of the reply.
    Refused(u16, String),
    /// No reply arrived.
    NoReply(String),
    /// No connection could be opened; a load balancer would choose another entry.
    Unreachable,
}

impl SendResult {
    fn is_final(&self) -> bool {
        match self {
            Self::Done(_) | Self::NotRun(_) => true,
            Self::Unknown { resend, .. } => !resend,
            Self::Refused(..) | Self::NoReply(_) | Self::Unreachable => false,
        }
    }
}

/// One booking and the results of its copies, in order.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Id by which the leaves count runs.
    pub id: String,
    /// Whether the id is a ticket and not the caller's own key.
    pub ticket: bool,
    pub results: Vec<SendResult>,
}

/// Sends one booking through entries chosen at random. Returns `None` if no
/// ticket could be fetched.
pub async fn book(callers: &mut [Caller], rng: &mut Rng, worker: usize) -> Option<Booking> {
    let ticket = rng.u8(..10) < 7;
    let (name, value, id) = if ticket {
        let ticket = fetch_ticket(callers, rng).await?;
        let (id, _) = ticket.rsplit_once('.').expect("a ticket has a tag");
        let id = id.to_owned();
        ("ticket", ticket, id)
    } else {
        let key = format!("booking-{worker}-{:x}", rng.u64(..));
        let id = format!("key:{key}");
        ("idempotency-key", key, id)
    };
    let key = rng.u32(..65_536).to_string();
    let body = format!("{{\"worker\": {worker}, \"booking\": \"{id}\"}}");
    let mut booking = Booking {
        id,
        ticket,
        results: Vec::new(),
    };
    let marks_first_try = rng.bool();
    for attempt in 0..MAX_ATTEMPTS {
        let first_try = if attempt == 0 && marks_first_try {
            "true"
        } else {
            "false"
        };
        let headers = [
            (name, value.as_str()),
            ("key", &key),
            ("first-try", first_try),
        ];
        let send_two = attempt > 0 && rng.u8(..4) == 0;
        let entry = rng.usize(..INSTANCES);
        let result = if send_two {
            // Two copies at once, through different entries.
            let (one, two) = two_callers(callers, entry);
            let sends = smol::future::zip(
                send_with_timeout(one, &headers, body.as_bytes()),
                send_with_timeout(two, &headers, body.as_bytes()),
            );
            let (one, two) = sends.await;
            booking.results.push(one);
            two
        } else {
            send_with_timeout(&mut callers[entry], &headers, body.as_bytes()).await
        };
        let is_final = result.is_final();
        // A caller that sent `first-try: true` and learnt that the booking did not
        // run must not resend it, because a resend may run.
        let first_not_run = first_try == "true" && matches!(result, SendResult::NotRun(_));
        booking.results.push(result);
        if first_not_run || (is_final && rng.u8(..3) > 0) {
            break;
        }
        Timer::after(RETRY_DELAY).await;
    }
    Some(booking)
}

fn two_callers(callers: &mut [Caller], first: usize) -> (&mut Caller, &mut Caller) {
    let second = (first + 1) % callers.len();
    let [one, two] = callers
        .get_disjoint_mut([first, second])
        .expect("two entries");
    (one, two)
}

async fn fetch_ticket(callers: &mut [Caller], rng: &mut Rng) -> Option<String> {
    for _ in 0..20 {
        let caller = &mut callers[rng.usize(..INSTANCES)];
        let request = async { caller.post("/tickets", &[], b"").await.ok() };
        if let Some(answer) = request.or(reply_timeout()).await
            && let Some(ticket) = answer.body["ticket"].as_str()
        {
            return Some(ticket.to_owned());
        }
        Timer::after(RETRY_DELAY).await;
    }
    None
}

/// Sends one copy and waits for its reply for at most [`REPLY_TIMEOUT`].
async fn send_with_timeout(
    caller: &mut Caller,
    headers: &[(&str, &str)],
    body: &[u8],
) -> SendResult {
    let timeout = async {
        reply_timeout().await;
        SendResult::NoReply("timed out".to_owned())
    };
    send(caller, headers, body).or(timeout).await
}

async fn send(caller: &mut Caller, headers: &[(&str, &str)], body: &[u8]) -> SendResult {
    match caller.post("/actions/book", headers, body).await {
        Ok(answer) => read_result(&answer),
        Err(ExchangeError::Unreachable(_)) => SendResult::Unreachable,
        Err(error) => SendResult::NoReply(error.to_string()),
    }
}

/// Whether each entry was ready when the load balancer last checked it.
pub type Ready = [AtomicBool; INSTANCES];

/// Sends one booking with a ticket through ready entries, and resends it until a
/// result is final. Returns the results of all requests, in order.
pub async fn book_by_ticket(
    callers: &mut [Caller],
    ready: &Ready,
    rng: &mut Rng,
    worker: usize,
) -> Vec<SendResult> {
    let mut results = Vec::new();
    let ticket = loop {
        let caller = &mut callers[pick_entry(ready, rng)];
        match caller.post("/tickets", &[], b"").await {
            Ok(answer) => break answer.body["ticket"].as_str().expect("a ticket").to_owned(),
            Err(ExchangeError::Unreachable(_)) => results.push(SendResult::Unreachable),
            Err(error) => results.push(SendResult::NoReply(error.to_string())),
        }
    };
    let body = format!("{{\"worker\": {worker}, \"booking\": \"{ticket}\"}}");
    let headers = [("ticket", ticket.as_str()), ("key", "7")];
    while !results.last().is_some_and(SendResult::is_final) {
        let entry = pick_entry(ready, rng);
        results.push(send(&mut callers[entry], &headers, body.as_bytes()).await);
    }
    results
}

/// Returns a random entry among the ready ones, or among all if none is ready.
fn pick_entry(ready: &Ready, rng: &mut Rng) -> usize {
    let up: Vec<usize> = (0..INSTANCES)
        .filter(|entry| ready[*entry].load(Ordering::Relaxed))
        .collect();
    rng.choice(up).unwrap_or_else(|| rng.usize(..INSTANCES))
}

async fn reply_timeout() -> Option<Answer> {
    Timer::after(REPLY_TIMEOUT).await;
    None
}

fn read_result(answer: &Answer) -> SendResult {
    let text = |field: &str| answer.body[field].as_str().unwrap_or_default().to_owned();
    match (answer.status, text("error").as_str()) {
        (200, _) => SendResult::Done(answer.body["rows"][0]["run"].as_u64().unwrap_or_default()),
        (503, "not-run") => SendResult::NotRun(text("reason")),
        (502 | 504, "unknown-outcome") => SendResult::Unknown {
            reason: text("reason"),
            resend: text("message").starts_with("resend with the same id"),
        },
        (status, error) => SendResult::Refused(status, error.to_owned()),
    }
}
