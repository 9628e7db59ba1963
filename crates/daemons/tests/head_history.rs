//! Operators change the configuration concurrently in a store that loses replies.
//! The history of their calls and results must be linearizable.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use guavacourse::{
    edge::{
        operator,
        platform::{HttpStore, PlatformError},
    },
    modules::{
        commit::{CommitOutcome, Proposal},
        head::Head,
    },
};
use guavacourse_standins::{Platform, PlatformFaults, PlatformSettings};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action::{self, Call, Response},
            History,
        },
    },
    specifications::Specification,
};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPERATORS: usize = 4;
const CHANGES_PER_OPERATOR: usize = 5;
const SEEDS: u64 = 6;

/// An operator's access to the head, with its result.
#[derive(Clone, Debug)]
enum Operation {
    /// Proposes `operation` as the revision after `base`.
    Change {
        base: u64,
        operation: u64,
        accepted: bool,
    },
    /// Reads the current revision and its operation.
    Read { revision: u64, operation: u64 },
}

/// Specification of the head: one register with compare-and-swap.
struct HeadSpec;

impl Specification for HeadSpec {
    type State = (u64, u64);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match *operation {
            Operation::Change {
                base,
                operation,
                accepted: true,
            } => (base == state.0, (base + 1, operation)),
            Operation::Change { base, .. } => (base != state.0, *state),
            Operation::Read {
                revision,
                operation,
            } => ((revision, operation) == *state, *state),
        }
    }
}

/// Records the history of all operators.
#[derive(Default)]
struct Recorder(Mutex<Vec<(usize, Action<Operation>)>>);

impl Recorder {
    /// Records the call, runs `work` and records its response.
    fn record(&self, operator: usize, work: impl FnOnce() -> Operation) -> Operation {
        // The operation is known only with its response.
        let index = {
            let mut history = self.0.lock().expect("no panic");
            let placeholder = Operation::Read {
                revision: 0,
                operation: 0,
            };
            history.push((operator, Call(placeholder)));
            history.len() - 1
        };
        let done = work();
        let mut history = self.0.lock().expect("no panic");
        history[index].1 = Call(done.clone());
        history.push((operator, Response(done.clone())));
        done
    }
}

fn parse_id(operation: &str) -> u64 {
    u64::from_str_radix(operation, 16).expect("a hexadecimal id")
}

fn read_head(store: &HttpStore) -> Result<Head, PlatformError> {
    smol::block_on(operator::read_head(store)).map(|(_, head)| head)
}

fn read_until_answered(store: &HttpStore) -> Operation {
    let head = loop {
        if let Ok(head) = read_head(store) {
            break head;
        }
    };
    Operation::Read {
        revision: head.revision(),
        operation: head.current().map_or(0, |a| parse_id(&a.operation)),
    }
}

fn change(store: &HttpStore, base: u64, operation: u64) -> Operation {
    let proposal = Proposal {
        base,
        above: 0,
        text: format!("epoch = {base}\n"),
        operation: format!("{operation:x}"),
        author: "operator".to_owned(),
        seconds: 0,
    };
    let outcome = smol::block_on(operator::apply(store, proposal));
    let accepted = match outcome {
        CommitOutcome::Accepted(..) => true,
        CommitOutcome::Conflict { .. } => false,
        other => panic!("the change was neither accepted nor refused: {other}"),
    };
    Operation::Change {
        base,
        operation,
        accepted,
    }
}

fn run_operator(store: HttpStore, operator: usize, seed: u64, recorder: &Recorder) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed * 100 + operator as u64);
    let mut accepted = 0;
    for _ in 0..CHANGES_PER_OPERATOR {
        let last = recorder.record(operator, || read_until_answered(&store));
        let Operation::Read { revision, .. } = last else {
            continue;
        };
        thread::sleep(Duration::from_millis(rng.u64(..4)));
        let operation = rng.u64(1..);
        let done = recorder.record(operator, || change(&store, revision, operation));
        accepted += usize::from(matches!(done, Operation::Change { accepted: true, .. }));
    }
    accepted
}

/// Runs all operators once. Returns the history, the number of accepted changes and
/// the final revision.
fn run(seed: u64) -> (Vec<(usize, Action<Operation>)>, usize, u64) {
    let platform = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    let store = HttpStore::new(platform.address());
    let recorder = Recorder::default();
    let done = AtomicBool::new(false);
    let accepted = thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                platform.set_faults(PlatformFaults {
                    lost_replies: 1,
                    ..PlatformFaults::default()
                });
                thread::sleep(Duration::from_millis(7));
            }
        });
        let recorder = &recorder;
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| scope.spawn(move || run_operator(store, operator, seed, recorder)))
            .collect();
        let accepted = operators.into_iter().map(|o| o.join().expect("no panic"));
        let accepted = accepted.sum();
        done.store(true, Ordering::Relaxed);
        accepted
    });
    platform.set_faults(PlatformFaults::default());
    let revision = read_head(&store).expect("the store answers").revision();
    let history = recorder.0.into_inner().expect("no panic");
    (history, accepted, revision)
}

#[test]
fn changes_are_linearizable() {
    for seed in 0..SEEDS {
        let (history, accepted, revision) = run(seed);
        assert_eq!(
            accepted as u64, revision,
            "each revision is reported as accepted once"
        );
        let history = History::from_actions(history);
        assert!(WGLChecker::<HeadSpec>::is_linearizable(history));
    }
}

#[test]
fn a_change_with_a_wrong_result_is_detected() {
    let (mut history, ..) = run(0);
    let operations = history.iter_mut().map(|(_, action)| match action {
        Call(operation) | Response(operation) => operation,
    });
    let mut first = None;
    for change in operations {
        let Operation::Change {
            operation,
            accepted,
            ..
        } = change
        else {
            continue;
        };
        if *accepted && *first.get_or_insert(*operation) == *operation {
            *accepted = false;
        }
    }
    let history = History::from_actions(history);
    assert!(!WGLChecker::<HeadSpec>::is_linearizable(history));
}
