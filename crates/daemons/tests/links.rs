//! Queries and bookings while the links to relays are lossy, slow, stalled or cut,
//! and while a relay is frozen.

mod common;
mod support;

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use guavacourse::modules::{
    inventory::{Class, Config, Kind, Leaf, Service},
    keys::{KEY_SPACE, KeyRange},
};
use guavacourse_daemons::client::{Answer, Caller};
use guavacourse_standins::{LinkFaults, Outage, PlatformFaults, Stall, row_keys};
use serde_json::Value;
use support::{Fleet, Plan};

/// Number of shards. With one replica each, an answer is complete only if every
/// shard can be reached through some relay.
const SHARDS: u32 = 12;

const DEADLINE: Duration = Duration::from_secs(2);

/// Extra time after the deadline for an answer on a slow machine.
const DEADLINE_SLACK: Duration = Duration::from_secs(20);

/// Maximum time until the entries avoid a fault, on a slow machine.
const FAILOVER_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum time until a relay that was down is used again, on a slow machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);

/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(400);

/// Duration of a fault that stops all bytes: longer than the silence after which a
/// session is declared lost.
const STALL_DURATION: Duration = Duration::from_millis(1_300);

/// Number of consecutive complete answers that shows that the entries avoid a fault.
const REQUIRED_STREAK: usize = 20;

/// Pause of a caller between two requests, shorter than any timeout of a session.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Creates a service of `SHARDS` shards with `replicas` leaves each.
fn service(name: &str, replicas: u32) -> Service {
    let width = KEY_SPACE / SHARDS;
    let leaves = (0..SHARDS).flat_map(|shard| {
        (0..replicas).map(move |replica| Leaf {
            name: format!("{name}-{shard}-{replica}"),
            data_centre: format!("dc{}", (shard + replica) % 3),
            from: shard * width,
            until: if shard + 1 == SHARDS {
                KEY_SPACE
            } else {
                (shard + 1) * width
            },
            ..Leaf::default()
        })
    });
    Service {
        name: name.to_owned(),
        slots: 8,
        connections: 60,
        leaves: leaves.collect(),
        ..Service::default()
    }
}

fn inventory(replicas: u32) -> Config {
    let kind = |name: &str, class| Kind {
        name: name.to_owned(),
        class,
        services: vec!["desk".to_owned()],
        deadline: DEADLINE,
        least_coverage: 0.0,
        hedge_budget: 0.5,
        retry_budget: 0.5,
        canary: false,
        ..Kind::default()
    };
    Config {
        services: vec![service("desk", replicas)],
        kinds: vec![kind("search", Class::Query), kind("book", Class::Action)],
        ..common::inventory()
    }
}

fn start(replicas: u32) -> Fleet {
    Fleet::start(&Plan {
        process_links: true,
        ..Plan::new(inventory(replicas))
    })
}

/// Returns the keys in which an answer's rows differ from its coverage: those
/// outside the covered ranges, and those missing in them.
fn incorrect_keys(fleet: &Fleet, answer: &Answer, body: &[u8]) -> Vec<u32> {
    let gaps = answer.body["coverage"]["missing"].as_array();
    let gaps = gaps.expect("a list").iter();
    let bound = |gap: &Value, name: &str| gap[name].as_u64().expect("a key");
    let gaps: Vec<_> = gaps
        .map(|gap| bound(gap, "from")..bound(gap, "until"))
        .collect();
    let version = answer.body["index_version"].as_u64().unwrap_or_default();
    let leaves = fleet.config.services[0].leaves.iter();
    let ranges: BTreeSet<(u32, u32)> = leaves.map(|leaf| (leaf.from, leaf.until)).collect();
    let covered = ranges
        .into_iter()
        .filter(|(from, _)| !gaps.iter().any(|gap| gap.contains(&u64::from(*from))));
    let expected: BTreeSet<u32> = covered
        .flat_map(|(from, until)| row_keys("search", body, KeyRange::new(from, until), version))
        .collect();
    let rows = answer.body["rows"].as_array().expect("rows").iter();
    let keys = rows.map(|row| u32::try_from(row["key"].as_u64().expect("a key")).expect("a key"));
    let keys: BTreeSet<u32> = keys.collect();
    keys.symmetric_difference(&expected).copied().collect()
}

/// Sends one query and checks the answer. Returns whether it is complete.
fn query(fleet: &Fleet, caller: &mut Caller, number: usize) -> bool {
    let body = format!("{{\"desk\": {number}}}");
    let started = Instant::now();
    let answer = smol::block_on(caller.post("/query/search", &[], body.as_bytes()));
    let answer = answer.expect("an answer");
    assert!(
        started.elapsed() < DEADLINE + DEADLINE_SLACK,
        "{number}: {:?}",
        started.elapsed()
    );
    if answer.status != 200 {
        return false;
    }
    let incorrect = incorrect_keys(fleet, &answer, body.as_bytes());
    assert!(incorrect.is_empty(), "{incorrect:?}: {}", answer.body);
    answer.body["coverage"]["missing"] == Value::Array(Vec::new())
}

/// Queries one entry until enough consecutive answers are complete. Returns how
/// long that took; none if it took longer than `timeout`.
fn time_until_complete(fleet: &Fleet, entry: usize, timeout: Duration) -> Option<Duration> {
    let mut caller = fleet.caller(entry);
    let started = Instant::now();
    let mut streak = 0;
    for number in 0.. {
        if streak == REQUIRED_STREAK {
            return Some(started.elapsed());
        }
        if started.elapsed() > timeout {
            return None;
        }
        streak = if query(fleet, &mut caller, number) {
            streak + 1
        } else {
            0
        };
        thread::sleep(REQUEST_PAUSE);
    }
    None
}

/// Queries all entries at once, with two callers each. Returns the result of
/// [`time_until_complete`] for each caller.
fn times_until_complete(fleet: &Fleet, timeout: Duration) -> Vec<Option<Duration>> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|number| scope.spawn(move || time_until_complete(fleet, number, timeout)))
            .collect();
        callers
            .into_iter()
            .map(|c| c.join().expect("no panic"))
            .collect()
    })
}

fn stalled(stall: Stall) -> LinkFaults {
    LinkFaults {
        stall,
        ..LinkFaults::default()
    }
}

#[test]
fn entries_move_off_a_stalled_relay_under_steady_load() {
    let fleet = start(1);
    assert!(
        times_until_complete(&fleet, FAILOVER_TIMEOUT)
            .iter()
            .all(Option::is_some)
    );
    for (relay, stall) in [Stall::ToServer, Stall::ToClient].into_iter().enumerate() {
        fleet.relay_links[relay].set_faults(stalled(stall));
        let times = times_until_complete(&fleet, FAILOVER_TIMEOUT);
        println!("{stall:?}: {times:?}");
        assert!(times.iter().all(Option::is_some), "{stall:?}: {times:?}");
        fleet.relay_links[relay].set_faults(LinkFaults::default());
    }
}

/// A failure to inject; at most two at a time.
#[derive(Clone, Copy, Debug)]
enum Failure {
    CrashLeaf,
    CutRelay,
    FreezeRelay,
    LoseStore,
    LossyRelay,
    ThrottleRelay,
    SlowRelay,
    StallRelay,
}

const FAILURES: [&[Failure]; 9] = [
    &[Failure::CutRelay],
    &[Failure::FreezeRelay],
    &[Failure::LossyRelay],
    &[Failure::ThrottleRelay],
    &[Failure::SlowRelay],
    &[Failure::StallRelay],
    &[Failure::StallRelay, Failure::CrashLeaf],
    &[Failure::LossyRelay, Failure::LoseStore],
    &[Failure::CutRelay, Failure::CrashLeaf],
];

impl Failure {
    fn duration(self) -> Duration {
        match self {
            Self::FreezeRelay | Self::StallRelay => STALL_DURATION,
            _ => FAULT_DURATION,
        }
    }

    fn link_faults(self) -> Option<LinkFaults> {
        let faults = LinkFaults::default();
        Some(match self {
            Self::CutRelay => LinkFaults {
                cut: true,
                ..faults
            },
            Self::LossyRelay => LinkFaults {
                loss: 0.05,
                ..faults
            },
            Self::ThrottleRelay => LinkFaults {
                bandwidth: 20_000,
                ..faults
            },
            Self::SlowRelay => LinkFaults {
                delay: Duration::from_millis(150),
                jitter: Duration::from_millis(150),
                ..faults
            },
            Self::StallRelay => stalled(Stall::Both),
            Self::CrashLeaf | Self::FreezeRelay | Self::LoseStore => return None,
        })
    }

    fn begin(self, fleet: &Fleet, relay: usize) {
        if let Some(faults) = self.link_faults() {
            fleet.relay_links[relay].set_faults(faults);
        }
        match self {
            Self::CrashLeaf => fleet.leaves.leaves().next().expect("a leaf").crash(),
            Self::FreezeRelay => fleet.relays[relay].signal("STOP"),
            Self::LoseStore => fleet.platform.set_faults(PlatformFaults {
                down: Outage::Close,
                ..PlatformFaults::default()
            }),
            _ => {}
        }
    }

    fn end(self, fleet: &Fleet, relay: usize) {
        if self.link_faults().is_some() {
            fleet.relay_links[relay].set_faults(LinkFaults::default());
        }
        match self {
            Self::FreezeRelay => fleet.relays[relay].signal("CONT"),
            Self::LoseStore => fleet.platform.set_faults(PlatformFaults::default()),
            _ => {}
        }
    }
}

#[test]
fn answers_are_correct_and_in_time_while_links_to_relays_fail() {
    let fleet = start(2);
    let done = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|number| {
                let (fleet, done) = (&fleet, &done);
                scope.spawn(move || {
                    let mut caller = fleet.caller(number);
                    let mut answers = Vec::new();
                    while !done.load(Ordering::Relaxed) {
                        answers.push(query(fleet, &mut caller, answers.len()));
                        thread::sleep(REQUEST_PAUSE);
                    }
                    answers
                })
            })
            .collect();
        for (number, failures) in FAILURES.iter().enumerate() {
            for failure in *failures {
                failure.begin(&fleet, number % 3);
            }
            thread::sleep(
                failures
                    .iter()
                    .map(|f| f.duration())
                    .max()
                    .unwrap_or_default(),
            );
            for failure in *failures {
                failure.end(&fleet, number % 3);
            }
        }
        done.store(true, Ordering::Relaxed);
        let results = callers.into_iter().map(|c| c.join().expect("no panic"));
        results.flatten().collect::<Vec<_>>()
    });
    let complete = answers.iter().filter(|complete| **complete).count();
    let recovery = times_until_complete(&fleet, RECOVERY_TIMEOUT);
    println!(
        "{} answers, {complete} complete; then {recovery:?}",
        answers.len()
    );
    assert!(recovery.iter().all(Option::is_some), "{recovery:?}");
}

#[test]
fn a_resumed_relay_is_used_again() {
    let fleet = start(1);
    assert!(
        times_until_complete(&fleet, FAILOVER_TIMEOUT)
            .iter()
            .all(Option::is_some)
    );
    fleet.relays[0].signal("STOP");
    let frozen = times_until_complete(&fleet, FAILOVER_TIMEOUT);
    assert!(frozen.iter().all(Option::is_some), "{frozen:?}");
    fleet.relays[0].signal("CONT");
    for other in &fleet.relay_links[1..] {
        other.set_faults(LinkFaults {
            cut: true,
            ..LinkFaults::default()
        });
    }
    let recovery = times_until_complete(&fleet, RECOVERY_TIMEOUT);
    println!("frozen: {frozen:?}; after resuming: {recovery:?}");
    assert!(recovery.iter().all(Option::is_some), "{recovery:?}");
}

/// Books once with a new ticket. Returns the ticket's id and the answer.
fn book(fleet: &Fleet, entry: usize, number: usize) -> (String, Answer) {
    let minted = smol::block_on(fleet.caller(entry).post("/tickets", &[], b""));
    let ticket = minted.expect("a ticket").body["ticket"].clone();
    let ticket = ticket.as_str().expect("a ticket").to_owned();
    let key = (number * 2_000).to_string();
    let headers = [("ticket", ticket.as_str()), ("key", key.as_str())];
    let body = format!("{{\"desk\": {number}}}");
    let mut caller = fleet.caller(entry);
    let answer = caller.post("/actions/book", &headers, body.as_bytes());
    let answer = smol::block_on(answer).expect("an answer");
    let (id, _) = ticket.rsplit_once('.').expect("a ticket has a tag");
    (id.to_owned(), answer)
}

fn start_for_bookings(deadline: Duration) -> Fleet {
    let mut config = inventory(3);
    config.kinds[1].deadline = deadline;
    Fleet::start(&Plan {
        process_links: true,
        ..Plan::new(config)
    })
}

/// Books concurrently through one entry; `meanwhile` runs while the requests are
/// pending. Returns the id of each ticket and its answer.
fn book_all(fleet: &Fleet, meanwhile: impl FnOnce()) -> Vec<(String, Answer)> {
    const BOOKINGS: usize = 24;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..BOOKINGS)
            .map(|number| scope.spawn(move || book(fleet, 0, number)))
            .collect();
        meanwhile();
        let results = callers.into_iter().map(|c| c.join().expect("no panic"));
        results.collect()
    })
}

/// A booking must not spend its time on a relay whose session does not open: the
/// deadline is shorter than the maximum wait for a session to open.
#[test]
fn bookings_do_not_wait_for_a_relay_that_opens_no_session() {
    let fleet = start_for_bookings(Duration::from_millis(950));
    for link in &fleet.relay_links[..1] {
        link.set_faults(stalled(Stall::Both));
    }
    let results = book_all(&fleet, || {});
    let done = results.iter().filter(|(_, answer)| answer.status == 200);
    let done = done.count();
    println!("{done} of {} done", results.len());
    // A third of the bookings need no other relay.
    assert!(done > results.len() * 2 / 3, "{done} done");
}

/// Guards against bookings that run twice: a booking that waits too long for a
/// session is reported as not sent and retried. If the next session still sent it,
/// it would run beside its retry.
#[test]
fn bookings_that_waited_for_a_session_are_not_sent_on_the_next() {
    let fleet = start_for_bookings(Duration::from_secs(10));
    for link in &fleet.relay_links {
        link.set_faults(stalled(Stall::Both));
    }
    let results = book_all(&fleet, || {
        // By now the waiting bookings have been reported as not sent, and new
        // sessions are being opened.
        thread::sleep(Duration::from_millis(1_500));
        for link in &fleet.relay_links {
            link.set_faults(LinkFaults::default());
        }
    });
    thread::sleep(DEADLINE);
    let runs = fleet.leaves.all_runs();
    let run_count = |id: &str| runs.get(id).copied().unwrap_or_default();
    for (id, answer) in &results {
        let max_runs = u32::from(answer.body["error"] != "not-run");
        assert!(
            run_count(id) <= max_runs,
            "{id} ran {} times: {}",
            run_count(id),
            answer.body
        );
    }
}
