//! Test harness: relays between client sessions and simulated leaves.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use guavacourse::{
    configs::{relay::RelayConfig, settings::Settings},
    edge::{
        clock::Clock,
        published::Published,
        relay::{RelayClient, RelayMessage, RelayServer, RunningRelay},
    },
    modules::{
        call::{AttemptId, Call, Outcome, Part, Reply},
        catalog::{Catalog, LeafId},
        inventory::{Config, Leaf, Service},
        keys::KEY_SPACE,
        view::View,
    },
};
use guavacourse_standins::{FleetSettings, LeafFaults, LeafFleet, LeafHandle, ServiceTime};
use smol::{LocalExecutor, Timer};

/// Maximum wait for a message that a test expects.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Threads of each relay: one dispatcher, and one for the exchanges with each leaf.
/// A relay with one thread is tested as a process.
const THREADS: u16 = 4;

/// Relays, their leaves, and one session with each relay.
pub struct Harness {
    pub fleet: LeafFleet,
    pub view: Published<View>,
    pub quarantined: Arc<Mutex<Vec<u64>>>,
    relays: Vec<Option<RunningRelay>>,
    clients: Vec<RelayClient>,
    /// Fingerprints that relays announced as quarantined.
    announced: RefCell<Vec<u64>>,
    /// Index of the relay that calls are sent to.
    selected: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Drop for Harness {
    /// Closes the sessions, so that no relay waits for their acknowledgements.
    fn drop(&mut self) {
        self.clients.clear();
        while self.executor.try_tick() {}
    }
}

impl Harness {
    /// Starts one relay and three leaves with two slots and a service time of
    /// `millis`.
    pub fn start(millis: u64) -> Self {
        Self::start_with(millis, 2, 4)
    }

    pub fn start_with(millis: u64, slots: u32, connections: u32) -> Self {
        let leaf = |name: &str| Leaf {
            name: name.to_owned(),
            until: KEY_SPACE,
            ..Leaf::default()
        };
        let service = Service {
            name: "rosters".to_owned(),
            slots,
            connections,
            leaves: ["a", "b", "c"].map(leaf).to_vec(),
            ..Service::default()
        };
        let config = Config {
            epoch: 1,
            services: vec![service],
            ..Config::default()
        };
        let settings = FleetSettings {
            service: ServiceTime {
                median: Duration::from_millis(millis),
                spread: 0.0,
            },
            ..FleetSettings::default()
        };
        let fleet = LeafFleet::start_with(&config, &settings).unwrap();
        let view = Published::new(View::default());
        let mut harness = Self {
            fleet,
            view,
            quarantined: Arc::default(),
            relays: Vec::new(),
            clients: Vec::new(),
            announced: RefCell::default(),
            selected: Cell::new(0),
            executor: Rc::new(LocalExecutor::new()),
        };
        let catalog = Arc::new(harness.catalog());
        harness.publish(|view| view.catalog = catalog);
        harness.add_relay();
        harness
    }

    /// Starts another relay for the same leaves.
    pub fn add_relay(&mut self) {
        let quarantined = Arc::clone(&self.quarantined);
        let report = move |fingerprint| quarantined.lock().unwrap().push(fingerprint);
        let settings = Settings {
            relay: RelayConfig { threads: THREADS },
            ..Settings::default()
        };
        let view = self.view.clone();
        let relay = RelayServer::start_with_view(&settings, view, Clock::start(), report).unwrap();
        let opening = RelayClient::open(&self.executor, relay.address());
        let client = smol::block_on(self.executor.run(opening)).unwrap();
        self.relays.push(Some(relay));
        self.clients.push(client);
    }

    /// Selects the relay that further calls are sent to.
    pub fn select_relay(&self, relay: usize) -> &Self {
        self.selected.set(relay);
        self
    }

    /// Removes the selected relay, so that a test can stop it.
    pub fn take_relay(&mut self) -> RunningRelay {
        self.relays[self.selected.get()].take().unwrap()
    }

    /// Publishes a changed view, as the control thread does.
    pub fn publish(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(view);
    }

    /// Creates a catalog of the running leaves.
    pub fn catalog(&self) -> Catalog {
        Catalog::new(1, self.fleet.config())
    }

    fn client(&self) -> &RelayClient {
        &self.clients[self.selected.get()]
    }

    pub fn leaf(&self, name: &str) -> &LeafHandle {
        self.fleet.leaf(name).unwrap()
    }

    pub fn submit(&self, part: Part) {
        let parts = [part];
        let sent = self.client().submit(&parts);
        smol::block_on(self.executor.run(sent)).unwrap();
    }

    pub fn cancel(&self, attempt: u64) {
        let attempts = [AttemptId(attempt)];
        let sent = self.client().cancel(&attempts);
        smol::block_on(self.executor.run(sent)).unwrap();
    }

    /// Returns the next message of the relay; none if the session ends or none
    /// arrives within `timeout`.
    pub fn next(&self, timeout: Duration) -> Option<RelayMessage> {
        let next = async { self.client().next().await };
        let expired = async {
            Timer::after(timeout).await;
            None
        };
        let message = smol::block_on(self.executor.run(smol::future::or(next, expired)));
        if let Some(RelayMessage::Quarantined(contents)) = &message {
            self.announced.borrow_mut().extend(contents);
        }
        message
    }

    /// Waits until a relay has announced quarantined contents, and returns the
    /// fingerprints announced so far.
    pub fn announced(&self) -> Vec<u64> {
        while self.announced.borrow().is_empty() {
            assert!(
                self.next(MESSAGE_TIMEOUT).is_some(),
                "nothing was quarantined"
            );
        }
        self.announced.borrow().clone()
    }

    /// Waits for `count` replies and returns them in the order of their attempts.
    pub fn replies(&self, count: usize) -> Vec<Reply> {
        let mut replies = Vec::new();
        while replies.len() < count {
            match self.next(MESSAGE_TIMEOUT) {
                Some(RelayMessage::Replies(more)) => replies.extend(more),
                Some(_) => {}
                None => panic!("expected {count} replies, got {replies:?}"),
            }
        }
        replies.sort_by_key(|reply| reply.attempt);
        replies
    }

    /// Submits a part and returns the outcomes of its calls.
    pub fn run(&self, part: Part) -> Vec<Outcome> {
        let count = part.calls.len();
        self.submit(part);
        self.replies(count).into_iter().map(|r| r.outcome).collect()
    }

    pub fn set_faults(&self, name: &str, faults: LeafFaults) {
        self.leaf(name).set_faults(faults);
    }
}

/// Creates a part with one call for each leaf; attempt ids count up from `first`.
pub fn part(first: u64, leaves: &[&str]) -> Part {
    let calls = (first..).zip(leaves).map(|(attempt, leaf)| Call {
        attempt: AttemptId(attempt),
        leaf: LeafId::of(leaf),
        extra: false,
    });
    Part {
        kind: "enquiry".to_owned(),
        worth: 1,
        budget: Duration::from_secs(5),
        epoch: 1,
        fingerprint: first,
        body: Arc::from(&b"{}"[..]),
        calls: calls.collect(),
        ..Part::default()
    }
}

pub fn action(first: u64, leaf: &str) -> Part {
    Part {
        action: format!("action-{first}"),
        ..part(first, &[leaf])
    }
}

/// Returns a short description of an outcome.
pub fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Failed(failed) => format!("failed with {}", failed.origin.status),
        Outcome::Rows(rows) => format!("rows {}", rows.range),
        Outcome::NotRun(why) => format!("not run: {why:?}"),
        Outcome::Unknown(why) => format!("unknown: {why:?}"),
        Outcome::Elsewhere(held) => format!(
            "elsewhere: {}..={} in {}",
            held.oldest, held.newest, held.epoch
        ),
    }
}
