//! Checks that claims of callers' own keys are linearizable although the store
//! loses replies.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Barrier, Mutex},
    thread,
};

use guavacourse::{
    edge::{
        claims::{ClaimResult, resolve_claim},
        platform::{HttpStore, Store},
    },
    modules::{
        claims::{Claim, ClaimStep},
        ledger::Digest,
    },
};
use guavacourse_standins::{Platform, PlatformFaults, PlatformSettings};
use todc_utils::{Action, History, Specification, WGLChecker};

const PROCESSES: usize = 4;
const KEYS: usize = 100;
const DIGEST: Digest = Digest(1);

/// One claim by one process: the ticket that it proposed, and the one that the
/// claim returned.
#[derive(Clone, Copy, Debug)]
struct ClaimOp {
    proposed: usize,
    /// `None` if the store did not settle the claim.
    returned: Option<usize>,
}

/// Specification: a key is bound permanently to the first ticket proposed.
struct BoundOnce;

impl Specification for BoundOnce {
    type State = Option<usize>;
    type Operation = ClaimOp;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &ClaimOp, state: &Self::State) -> (bool, Self::State) {
        let bound = state.unwrap_or(op.proposed);
        let valid = op.returned.is_none_or(|returned| returned == bound);
        (valid, if valid { Some(bound) } else { *state })
    }
}

type Events = Mutex<Vec<(usize, Action<ClaimOp>)>>;

/// Proposes a ticket for `key`. Returns the ticket that the key is bound to;
/// `None` if the store did not settle the claim.
type Client = fn(HttpStore, &str, usize) -> Option<usize>;

fn claim(store: HttpStore, key: &str, proposed: usize) -> Option<usize> {
    let (mut claim, step) = Claim::start(proposed.to_string(), DIGEST);
    match smol::block_on(resolve_claim(&store, key, &mut claim, step)) {
        ClaimResult::Use(stored) => stored.record.ticket.parse().ok(),
        _ => None,
    }
}

/// A faulty client, which uses its own ticket without reading whether another
/// ticket has the claim.
fn claim_without_reading(store: HttpStore, key: &str, proposed: usize) -> Option<usize> {
    let (_, step) = Claim::start(proposed.to_string(), DIGEST);
    let ClaimStep::Create(record) = step else {
        return None;
    };
    let value = serde_json::to_vec(&record).expect("it is serialised");
    let _ = smol::block_on(store.put(key, value, 0));
    Some(proposed)
}

/// Lets all processes claim each key at the same time; returns one history per key.
fn histories(client: Client) -> Vec<History<ClaimOp>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = PlatformSettings {
        write_rate: 1_000_000,
        read_rate: 1_000_000,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(any, &settings).expect("a free port");
    let store = HttpStore::new(platform.address());
    let all = (0..KEYS).map(|number| {
        platform.set_faults(PlatformFaults {
            lost_replies: u32::try_from(number % (PROCESSES + 1)).expect("small"),
            ..PlatformFaults::default()
        });
        History::from_actions(claim_by_all(store, &format!("claims/k{number}"), client))
    });
    all.collect()
}

fn claim_by_all(store: HttpStore, key: &str, client: Client) -> Vec<(usize, Action<ClaimOp>)> {
    let events = Arc::new(Events::default());
    let start = Arc::new(Barrier::new(PROCESSES));
    let processes: Vec<_> = (0..PROCESSES)
        .map(|process| {
            let (events, start, key) = (Arc::clone(&events), Arc::clone(&start), key.to_owned());
            thread::spawn(move || {
                start.wait();
                let mut op = ClaimOp {
                    proposed: process,
                    returned: None,
                };
                events.lock().unwrap().push((process, Action::Call(op)));
                op.returned = client(store, &key, process);
                events.lock().unwrap().push((process, Action::Response(op)));
            })
        })
        .collect();
    for process in processes {
        process.join().expect("no panic");
    }
    std::mem::take(&mut *events.lock().unwrap())
}

#[test]
fn claims_are_linearizable() {
    for history in histories(claim) {
        assert!(WGLChecker::<BoundOnce>::is_linearizable(history));
    }
}

#[test]
fn the_checker_rejects_claims_that_are_not_read_back() {
    let rejected = histories(claim_without_reading)
        .into_iter()
        .filter(|history| !WGLChecker::<BoundOnce>::is_linearizable(history.clone()));
    assert!(rejected.count() > 0);
}
