//! Test fixture: views of a small inventory, and a driver that runs one query step
//! by step.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use guavacourse::modules::{
    answer::Answer,
    call::{AttemptId, Call, HeldVersions, NotRun, Outcome, Reply, Rows, Unknown},
    catalog::Catalog,
    inventory::{Address, Config, Kind, Leaf, Policy, Service},
    keys::{KEY_SPACE, KeyRange},
    load_balancer::LoadBalancer,
    members::{Member, Role},
    query::{Query, QueryRequest, Step},
    time::Time,
    view::View,
};
use proptest::test_runner::{self, RngAlgorithm, TestRng, TestRunner};

/// Data centres of every fixture; the query runs in the first.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Converts milliseconds to a time.
pub fn ms(millis: u64) -> Time {
    Time(millis * 1000)
}

/// Returns the loopback address with port `n`.
pub fn address(n: u16) -> Address {
    Address(SocketAddr::from((Ipv4Addr::LOCALHOST, n)))
}

/// Builds views of services `roster-0`, `roster-1` and so on, each with shards of
/// about equal size and a replica of each shard in the first `replicas` data
/// centres, and one relay per data centre.
#[derive(Clone)]
pub struct Fixture {
    pub services: u32,
    pub shards: u32,
    pub replicas: usize,
    pub epoch: u64,
    pub policy: Policy,
    pub kind: Kind,
}

impl Default for Fixture {
    fn default() -> Self {
        Self {
            services: 1,
            shards: 2,
            replicas: 3,
            epoch: 1,
            policy: Policy::Adaptive,
            kind: Kind {
                name: "gang-dispatch".to_owned(),
                hedge_budget: 1.0,
                retry_budget: 1.0,
                canary: false,
                ..Kind::default()
            },
        }
    }
}

impl Fixture {
    /// Returns the key range of shard `n`.
    pub fn range(&self, n: u32) -> KeyRange {
        let width = KEY_SPACE / self.shards;
        let until = if n + 1 == self.shards {
            KEY_SPACE
        } else {
            (n + 1) * width
        };
        KeyRange::new(n * width, until)
    }

    /// Returns the configuration, with one kind that names all services.
    pub fn config(&self) -> Config {
        let services: Vec<Service> = (0..self.services).map(|n| self.service(n)).collect();
        let mut kind = self.kind.clone();
        kind.services = services
            .iter()
            .map(|service| service.name.clone())
            .collect();
        Config {
            epoch: self.epoch,
            policy: self.policy,
            services,
            kinds: vec![kind],
            ..Config::default()
        }
    }

    /// Returns the view of the configuration at `revision`.
    pub fn view(&self, revision: u64) -> Arc<View> {
        Arc::new(view(&self.config(), revision))
    }

    fn service(&self, n: u32) -> Service {
        let leaves = (0..self.shards).flat_map(|shard| {
            let range = self.range(shard);
            let centres = DATA_CENTRES.iter().take(self.replicas);
            centres.map(move |dc| Leaf {
                name: format!("roster-{n}-{shard}-{dc}"),
                data_centre: (*dc).to_owned(),
                from: range.from,
                until: range.until,
                ..Leaf::default()
            })
        });
        Service {
            name: format!("roster-{n}"),
            slots: 3,
            connections: 30,
            leaves: leaves.collect(),
            ..Service::default()
        }
    }
}

/// Returns a view of a configuration with one relay per data centre.
pub fn view(config: &Config, revision: u64) -> View {
    let relays = (1..).zip(DATA_CENTRES).map(|(n, dc)| Member {
        name: format!("relay-{dc}"),
        role: Role::Relay,
        data_centre: dc.to_owned(),
        address: address(n),
        ..Member::default()
    });
    View {
        catalog: Arc::new(Catalog::new(revision, config)),
        relays: relays.collect(),
        ..View::default()
    }
}

/// A call that was sent, with the relay and the snapshot that it was sent for.
#[derive(Clone, Copy, Debug)]
pub struct SentCall {
    pub relay: Address,
    pub version: u64,
    pub epoch: u64,
    pub call: Call,
}

/// Runs one query on a simulated clock and collects the steps that it returns.
pub struct Driver {
    pub view: Arc<View>,
    pub balancer: LoadBalancer,
    pub query: Query,
    pub now: Time,
    /// Calls sent since the last [`Driver::take_sent`].
    pub sent: Vec<SentCall>,
    pub cancelled: Vec<AttemptId>,
    /// Fingerprints of content that relays were told is harmless.
    pub cleared: Vec<u64>,
    pub answer: Option<Answer>,
}

impl Driver {
    /// Starts a query at time 1 ms with a fresh balancer.
    pub fn start(view: &Arc<View>) -> Self {
        Self::start_with(view, LoadBalancer::new(DATA_CENTRES[0]), request(), ms(1))
    }

    /// Starts a query at time 1 ms with a fresh balancer; the request accepts a coverage
    /// of `min_coverage`.
    pub fn start_with_coverage(view: &Arc<View>, min_coverage: f64) -> Self {
        let request = QueryRequest {
            least_coverage: Some(min_coverage),
            ..request()
        };
        Self::start_with(view, LoadBalancer::new(DATA_CENTRES[0]), request, ms(1))
    }

    /// Starts a query at `now`.
    pub fn start_with(
        view: &Arc<View>,
        mut balancer: LoadBalancer,
        request: QueryRequest,
        now: Time,
    ) -> Self {
        let started = Query::start(Arc::clone(view), &mut balancer, request, now);
        let (query, steps) = started.expect("the request is valid");
        let mut driver = Self {
            view: Arc::clone(view),
            balancer,
            query,
            now,
            sent: Vec::new(),
            cancelled: Vec::new(),
            cleared: Vec::new(),
            answer: None,
        };
        driver.apply(steps);
        driver
    }

    /// Starts another query on the same balancer.
    pub fn next_query(self, now: Time) -> Self {
        Self::start_with(&self.view, self.balancer, request(), now)
    }

    /// Returns the calls sent since the last time this was called.
    pub fn take_sent(&mut self) -> Vec<SentCall> {
        std::mem::take(&mut self.sent)
    }

    /// Replies to a call at the current time.
    pub fn reply(&mut self, call: Call, outcome: Outcome) {
        let reply = Reply {
            attempt: call.attempt,
            queued: 0,
            service: Duration::from_millis(1),
            retry_after: Duration::ZERO,
            load: None,
            outcome,
        };
        self.reply_with(reply);
    }

    /// Passes in a reply at the current time.
    pub fn reply_with(&mut self, reply: Reply) {
        let steps = self.query.on_reply(&mut self.balancer, reply, self.now);
        self.apply(steps);
    }

    /// Replies with the rows of a healthy leaf at `version`.
    pub fn reply_rows(&mut self, sent: SentCall, version: u64) {
        let outcome = Outcome::Rows(self.rows_of(sent, version));
        self.reply(sent.call, outcome);
    }

    /// Returns the rows of a healthy leaf at `version`.
    pub fn rows_of(&self, sent: SentCall, version: u64) -> Rows {
        let catalog = &self.view.catalog;
        let leaf = catalog.leaf(sent.call.leaf).expect("the leaf is planned");
        let range = catalog.shards[leaf.shard].range;
        Rows {
            version,
            newest: version,
            epoch: sent.epoch,
            range,
            body: Arc::from(format!("[{}]", range.from).into_bytes()),
            origin: None,
        }
    }

    /// Refuses a call, which proves that it did not run.
    pub fn refuse(&mut self, sent: SentCall, why: NotRun) {
        self.reply(sent.call, Outcome::NotRun(why));
    }

    /// Ends a call without rows; it may have run.
    pub fn reply_unknown(&mut self, sent: SentCall, why: Unknown) {
        self.reply(sent.call, Outcome::Unknown(why));
    }

    /// Replies that the leaf does not hold the requested snapshot, only the versions
    /// `oldest` to `newest` at `epoch`.
    pub fn reply_elsewhere(&mut self, sent: SentCall, oldest: u64, newest: u64, epoch: u64) {
        let held = HeldVersions {
            oldest,
            newest,
            epoch,
        };
        self.reply(sent.call, Outcome::Elsewhere(held));
    }

    /// Advances the clock to `until` and runs the timers that are due by then.
    pub fn advance(&mut self, until: Time) {
        while self.query.next_timer() <= until && self.answer.is_none() {
            self.now = self.now.max(self.query.next_timer());
            let steps = self.query.on_timer(&mut self.balancer, self.now);
            self.apply(steps);
        }
        self.now = until;
    }

    /// Returns the answer. Panics if the query has not finished.
    pub fn answer(&self) -> &Answer {
        self.answer.as_ref().expect("the query has finished")
    }

    fn apply(&mut self, steps: Vec<Step>) {
        for step in steps {
            assert!(self.answer.is_none(), "a step followed `Step::Finish`");
            match step {
                Step::Send { relay, part } => {
                    self.sent.extend(part.calls.iter().map(|call| SentCall {
                        relay,
                        version: part.version,
                        epoch: part.epoch,
                        call: *call,
                    }));
                }
                Step::Cancel { attempts, .. } => self.cancelled.extend(attempts),
                Step::Clear { content, .. } => self.cleared.push(content),
                Step::Finish(answer) => self.answer = Some(*answer),
            }
        }
    }
}

/// Returns a property test runner with a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Returns a request with the kind's own deadline and least coverage.
pub fn request() -> QueryRequest {
    QueryRequest {
        kind: "gang-dispatch".to_owned(),
        deadline: None,
        least_coverage: None,
        body: Arc::from(&b"{}"[..]),
        forward: None,
        age: Duration::ZERO,
        customer: None,
        only_services: Vec::new(),
        trial: 0,
    }
}
