//! Checks that each booking runs at most once and that its results agree with its
//! runs, while concurrent callers resend bookings through other entries and
//! processes, links, leaves and the store fail. The leaves count the runs of each
//! id; no failure excuses a second run.

mod callers;
#[path = "../common/mod.rs"]
mod common;
mod faults;
mod fleet;
#[path = "../support/mod.rs"]
mod support;

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use fastrand::Rng;

use callers::{Booking, Ready, SendResult, book, book_by_ticket};
use common::INSTANCES;
use guavacourse_daemons::client::Answer;
use guavacourse_standins::{LinkFaults, Stall};
use support::Fleet;

const SEED: u64 = 20_261_204;
const CALLERS: usize = 12;

/// Minimum number of bookings per caller.
const MIN_BOOKINGS: usize = 30;

/// Pause between the load balancer's readiness checks.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for calls that no caller waits for to reach their leaf or fail.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Starts callers that send bookings until `stop` is set, at least
/// [`MIN_BOOKINGS`] each.
fn start_callers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<Booking>>> {
    let threads = (0..CALLERS).map(|number| {
        let mut entries: Vec<_> = (0..INSTANCES).map(|entry| fleet.caller(entry)).collect();
        let mut rng = Rng::with_seed(SEED + u64::try_from(number).expect("small"));
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut bookings = Vec::new();
            while bookings.len() < MIN_BOOKINGS || !stop.load(Ordering::Relaxed) {
                bookings.extend(smol::block_on(book(&mut entries, &mut rng, number)));
            }
            bookings
        })
    });
    threads.collect()
}

/// Counts the last results of the bookings, by kind of id.
fn summary(bookings: &[Booking]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for booking in bookings {
        let id_kind = if booking.ticket { "ticket" } else { "key" };
        let result = match booking.results.last() {
            Some(SendResult::Done(_)) => "done".to_owned(),
            Some(SendResult::NotRun(reason)) => format!("not-run {reason}"),
            Some(SendResult::Unknown { reason, .. }) => format!("unknown {reason}"),
            Some(SendResult::Refused(status, error)) => format!("refused {status} {error}"),
            Some(SendResult::NoReply(_)) | None => "no reply".to_owned(),
            Some(SendResult::Unreachable) => "unreachable".to_owned(),
        };
        *counts.entry(format!("{id_kind}: {result}")).or_default() += 1;
    }
    counts
}

/// Returns every guarantee that the history of a booking violates.
fn find_violations(booking: &Booking, runs: u32) -> Vec<String> {
    let mut violations = Vec::new();
    let results = &booking.results;
    let done = results
        .iter()
        .any(|result| matches!(result, SendResult::Done(_)));
    let not_run = results
        .iter()
        .any(|result| matches!(result, SendResult::NotRun(_)));
    if runs > 1 {
        violations.push(format!("ran {runs} times"));
    }
    if done && runs != 1 {
        violations.push(format!("reported done, ran {runs} times"));
    }
    if not_run && runs > 0 {
        violations.push(format!("reported not run, ran {runs} times"));
    }
    if results
        .iter()
        .any(|result| matches!(result, SendResult::Done(run) if *run != 1))
    {
        violations.push("reported a run other than the first".to_owned());
    }
    violations
        .into_iter()
        .map(|violation| format!("{}: {violation}; results: {results:?}", booking.id))
        .collect()
}

/// Injects failures while callers send bookings, and checks the results that the
/// callers got against the runs that the leaves counted.
fn check_history(mut fleet: Fleet, inject: impl FnOnce(&mut Fleet, &mut Rng) -> usize) {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fleet, &stop);
    let failures = inject(&mut fleet, &mut Rng::with_seed(SEED));
    stop.store(true, Ordering::Relaxed);
    let bookings: Vec<Booking> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("no panic"))
        .collect();
    thread::sleep(SETTLE_TIME);
    let runs = fleet.leaves.all_runs();
    println!("{failures} failures; {:#?}", summary(&bookings));
    let copies: usize = bookings.iter().map(|booking| booking.results.len()).sum();
    let total_runs: u32 = runs.values().sum();
    println!(
        "{} bookings, {copies} copies, {total_runs} runs",
        bookings.len()
    );
    let violations: Vec<String> = bookings
        .iter()
        .flat_map(|booking| {
            find_violations(booking, runs.get(&booking.id).copied().unwrap_or_default())
        })
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(runs.values().all(|runs| *runs == 1));
    assert!(
        bookings
            .iter()
            .any(|booking| matches!(booking.results.last(), Some(SendResult::Done(_))))
    );
}

#[test]
fn bookings_run_at_most_once_under_failures() {
    check_history(fleet::start(SEED), faults::inject_fleet_failures);
}

#[test]
fn bookings_run_at_most_once_while_links_fail() {
    check_history(fleet::start_proxied(SEED), faults::inject_link_failures);
}

/// Sends one booking with a ticket.
fn send(fleet: &Fleet, entry: usize, ticket: &str, first_try: bool) -> Answer {
    let first_try = first_try.to_string();
    let headers = [("ticket", ticket), ("key", "7"), ("first-try", &first_try)];
    let body = format!("{{\"ticket\": \"{ticket}\"}}");
    let mut caller = fleet.caller(entry);
    let answer = caller.post("/actions/book", &headers, body.as_bytes());
    smol::block_on(answer).expect("an answer")
}

fn mint(fleet: &Fleet, entry: usize) -> String {
    let mut caller = fleet.caller(entry);
    let answer = smol::block_on(caller.post("/tickets", &[], b"")).expect("an answer");
    answer.body["ticket"].as_str().expect("a ticket").to_owned()
}

/// Formats an answer without the id, which differs in each run.
fn show(answer: &Answer) -> String {
    let text = |field: &str| answer.body[field].as_str().unwrap_or_default();
    format!("{} {} {}", answer.status, text("error"), text("reason"))
}

fn runs(fleet: &Fleet, ticket: &str) -> u32 {
    let (id, _) = ticket.rsplit_once('.').expect("a ticket has a tag");
    fleet.leaves.runs(id)
}

#[test]
fn tickets_of_a_restarted_entry_never_run() {
    let mut fleet = fleet::start(SEED);
    let used = mint(&fleet, 0);
    assert_eq!(send(&fleet, 1, &used, true).status, 200);
    let unused = mint(&fleet, 0);
    fleet.entries[0].kill();
    fleet.entries[0].start();
    fleet.wait_ready();
    let shown: Vec<String> = [0, 1]
        .into_iter()
        .flat_map(|entry| {
            [
                show(&send(&fleet, entry, &used, false)),
                show(&send(&fleet, entry, &unused, false)),
                show(&send(&fleet, entry, &unused, true)),
            ]
        })
        .collect();
    assert_eq!((runs(&fleet, &used), runs(&fleet, &unused)), (1, 0));
    insta::assert_debug_snapshot!(shown, @r#"
    [
        "502 unknown-outcome issuer-gone",
        "502 unknown-outcome issuer-gone",
        "503 not-run issuer-gone",
        "502 unknown-outcome issuer-gone",
        "502 unknown-outcome issuer-gone",
        "503 not-run issuer-gone",
    ]
    "#);
}

#[test]
fn a_frozen_entry_runs_a_late_handover_once() {
    let fleet = fleet::start(SEED);
    let ticket = mint(&fleet, 0);
    fleet.entries[0].signal("STOP");
    let frozen = [
        show(&send(&fleet, 1, &ticket, true)),
        show(&send(&fleet, 2, &ticket, false)),
    ];
    fleet.entries[0].signal("CONT");
    fleet.wait_ready();
    thread::sleep(SETTLE_TIME);
    let resumed = [
        send(&fleet, 1, &ticket, false),
        send(&fleet, 0, &ticket, false),
    ];
    assert_eq!(runs(&fleet, &ticket), 1);
    assert_eq!(resumed[0].status, 200);
    assert_eq!(resumed[0].body, resumed[1].body);
    insta::assert_debug_snapshot!(frozen, @r#"
    [
        "504 unknown-outcome still-running",
        "504 unknown-outcome still-running",
    ]
    "#);
}

/// Sends a booking with a ticket of entry 0 through another entry while the link
/// to entry 0 fails, and again once the link works. Returns both answers, and the
/// number of runs after each.
fn resend_over(fleet: &Fleet, entry: usize, first_try: bool, faults: LinkFaults) -> String {
    let ticket = mint(fleet, 0);
    let link = &fleet.entry_links[0];
    let cut = faults.cut;
    link.set_faults(faults);
    while cut && TcpStream::connect(link.address()).is_ok() {
        thread::yield_now();
    }
    let failed = show(&send(fleet, entry, &ticket, first_try));
    thread::sleep(SETTLE_TIME / 4);
    let early_runs = runs(fleet, &ticket);
    link.set_faults(LinkFaults::default());
    thread::sleep(SETTLE_TIME / 4);
    let recovered = show(&send(fleet, entry, &ticket, false));
    let direct = show(&send(fleet, 0, &ticket, false));
    assert_eq!(recovered, direct);
    format!(
        "{failed}, {early_runs} runs; {recovered}, {} runs",
        runs(fleet, &ticket)
    )
}

#[test]
fn a_ticket_resent_over_failing_links_between_entries_runs_once() {
    let fleet = fleet::start_proxied(SEED);
    let stalled = |stall| LinkFaults {
        stall,
        ..LinkFaults::default()
    };
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    let lossy = LinkFaults {
        loss: 1.0,
        ..LinkFaults::default()
    };
    // An entry with an open connection may send on it before it detects the cut,
    // so each cut is tested through an entry that has none yet.
    let shown = [
        resend_over(&fleet, 1, true, cut.clone()),
        resend_over(&fleet, 2, false, cut),
        resend_over(&fleet, 1, true, stalled(Stall::ToServer)),
        resend_over(&fleet, 1, true, stalled(Stall::ToClient)),
        resend_over(&fleet, 1, true, lossy),
    ];
    insta::assert_debug_snapshot!(shown, @r#"
    [
        "503 not-run issuer-unreachable, 0 runs; 200  , 1 runs",
        "502 unknown-outcome issuer-unreachable, 0 runs; 200  , 1 runs",
        "504 unknown-outcome still-running, 0 runs; 200  , 1 runs",
        "504 unknown-outcome still-running, 1 runs; 200  , 1 runs",
        "502 unknown-outcome handover-lost, 0 runs; 200  , 1 runs",
    ]
    "#);
}

/// Starts a thread that checks which entries are ready, as the platform's load
/// balancer does.
fn start_balancer(fleet: &Fleet, ready: &Arc<Ready>, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let mut entries: Vec<_> = (0..INSTANCES).map(|entry| fleet.caller(entry)).collect();
    let (ready, stop) = (Arc::clone(ready), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for (entry, caller) in entries.iter_mut().enumerate() {
                let answer = smol::block_on(caller.get("/ready"));
                let up = answer.is_ok_and(|answer| answer.status == 200);
                ready[entry].store(up, Ordering::Relaxed);
            }
            thread::sleep(READINESS_CHECK_INTERVAL);
        }
    })
}

/// Starts callers that book by ticket through ready entries until `stop` is set.
fn start_ticket_callers(
    fleet: &Fleet,
    ready: &Arc<Ready>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Vec<SendResult>>>> {
    let threads = (0..CALLERS / 2).map(|number| {
        let mut entries: Vec<_> = (0..INSTANCES).map(|entry| fleet.caller(entry)).collect();
        let mut rng = Rng::with_seed(SEED + u64::try_from(number).expect("small"));
        let (ready, stop) = (Arc::clone(ready), Arc::clone(stop));
        thread::spawn(move || {
            let mut bookings = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let booking = book_by_ticket(&mut entries, &ready, &mut rng, number);
                bookings.push(smol::block_on(booking));
            }
            bookings
        })
    });
    threads.collect()
}

#[test]
fn a_rolling_restart_interrupts_no_booking() {
    let mut fleet = fleet::start_with_long_deadline(SEED);
    let stop = Arc::new(AtomicBool::new(false));
    let ready: Arc<Ready> = Arc::new([const { AtomicBool::new(true) }; INSTANCES]);
    let balancer = start_balancer(&fleet, &ready, &stop);
    let callers = start_ticket_callers(&fleet, &ready, &stop);
    let mut codes = Vec::new();
    for instance in 0..INSTANCES {
        codes.push(fleet.entries[instance].terminate().code());
        fleet.entries[instance].start();
        fleet.wait_ready();
        codes.push(fleet.relays[instance].terminate().code());
        fleet.relays[instance].start();
        fleet.wait_ready();
    }
    stop.store(true, Ordering::Relaxed);
    balancer.join().expect("no panic");
    let bookings: Vec<Vec<SendResult>> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("no panic"))
        .collect();
    assert_eq!(codes, [Some(0); 2 * INSTANCES]);
    let mut interrupted: BTreeMap<String, usize> = BTreeMap::new();
    for result in bookings.iter().flatten() {
        if !matches!(result, SendResult::Done(1) | SendResult::Unreachable) {
            *interrupted.entry(format!("{result:?}")).or_default() += 1;
        }
    }
    println!("{} bookings; interrupted: {interrupted:#?}", bookings.len());
    assert!(interrupted.is_empty());
    assert!(fleet.leaves.all_runs().values().all(|runs| *runs == 1));
}
