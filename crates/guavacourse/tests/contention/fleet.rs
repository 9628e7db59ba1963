//! Leaves with slots and first-come queues, and queries that several instances run on
//! them, in steps of one millisecond.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use guavacourse::modules::{
    answer::Refusal,
    call::{AttemptId, ForwardedRequest, NotRun, Outcome, Reply, Rows},
    catalog::{Catalog, LeafId},
    inventory::{Address, Config, Forward, Kind, Leaf, Policy, Service},
    keys::{KEY_SPACE, KeyRange},
    load_balancer::LoadBalancer,
    members::{Member, Role},
    placement::load_report::LoadReport,
    query::{Query, QueryRequest, Step},
    time::Time,
    view::View,
};

/// Shards of each query, with one leaf each.
pub const SHARDS: u32 = 36;
/// Instances that run the queries.
const INSTANCES: usize = 6;
/// Slots of each leaf.
const SLOTS: usize = 4;
/// Time of one call at the usual pace.
const WORK: u64 = 15;

/// Converts milliseconds to a time.
pub fn ms(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Returns a kind with a target and a time limit in milliseconds.
pub fn kind(name: &str, least_coverage: f64, target: u64, limit: u64) -> Kind {
    let target = Duration::from_millis(target);
    Kind {
        name: name.to_owned(),
        services: vec!["parts".to_owned()],
        deadline: Duration::from_millis(limit),
        settle: target.saturating_sub(Duration::from_millis(17)),
        least_coverage,
        canary: false,
        forward: Some(Forward {
            target,
            ..Forward::default()
        }),
        ..Kind::default()
    }
}

/// A query that was started, and how it ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub kind: String,
    pub started: u64,
    pub took: u64,
    pub served: bool,
    /// Shards missing from the answer.
    pub missing: usize,
}

#[derive(Default)]
struct LeafState {
    waiting: VecDeque<(usize, AttemptId)>,
    running: Vec<(u64, usize, AttemptId)>,
    pace: u32,
    /// Whether calls that find no free slot are refused.
    sheds: bool,
    /// Calls that were refused, to be reported in the next step.
    refused: Vec<(usize, AttemptId)>,
    calls: usize,
}

struct Running {
    instance: usize,
    kind: String,
    started: u64,
    query: Query,
}

/// Leaves, instances and the queries that run.
pub struct Fleet {
    pub now: u64,
    pub ended: Vec<Ended>,
    /// Queries that were refused, with the time and the reason.
    pub refused: Vec<(u64, Refusal)>,
    view: Arc<View>,
    /// Whether leaves report their pace, on which admission control depends.
    reports: bool,
    balancers: Vec<LoadBalancer>,
    leaves: BTreeMap<LeafId, LeafState>,
    queries: BTreeMap<usize, Running>,
    count: usize,
}

impl Fleet {
    pub fn new(kinds: Vec<Kind>, reports: bool) -> Self {
        let width = KEY_SPACE / SHARDS;
        let leaves = (0..SHARDS).map(|n| Leaf {
            name: format!("leaf-{n}"),
            data_centre: "dc".to_owned(),
            from: n * width,
            until: if n + 1 == SHARDS {
                KEY_SPACE
            } else {
                (n + 1) * width
            },
            ..Leaf::default()
        });
        let service = Service {
            name: "parts".to_owned(),
            slots: 4,
            connections: 40,
            leaves: leaves.collect(),
            ..Service::default()
        };
        let config = Config {
            policy: Policy::Adaptive,
            services: vec![service],
            kinds,
            ..Config::default()
        };
        let relay = Member {
            name: "relay".to_owned(),
            role: Role::Relay,
            data_centre: "dc".to_owned(),
            address: Address(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
            ..Member::default()
        };
        let catalog = Catalog::new(1, &config);
        let leaf = || LeafState {
            pace: 100,
            ..LeafState::default()
        };
        Self {
            now: 1,
            ended: Vec::new(),
            refused: Vec::new(),
            leaves: catalog.ids.keys().map(|id| (*id, leaf())).collect(),
            view: Arc::new(View {
                catalog: Arc::new(catalog),
                relays: vec![relay],
                ..View::default()
            }),
            reports,
            balancers: (0..INSTANCES).map(|_| LoadBalancer::new("dc")).collect(),
            queries: BTreeMap::new(),
            count: 0,
        }
    }

    /// Sets the pace of the leaf of a shard.
    pub fn set_pace(&mut self, shard: u32, pace: u32) {
        let leaf = self.leaves.get_mut(&LeafId::of(&format!("leaf-{shard}")));
        leaf.expect("the shard exists").pace = pace;
    }

    /// Lets the leaf of a shard refuse calls that find no free slot.
    pub fn shed(&mut self, shard: u32) {
        let leaf = self.leaves.get_mut(&LeafId::of(&format!("leaf-{shard}")));
        leaf.expect("the shard exists").sheds = true;
    }

    /// Returns the number of calls to the leaf of a shard.
    pub fn calls(&self, shard: u32) -> usize {
        self.leaves[&LeafId::of(&format!("leaf-{shard}"))].calls
    }

    /// Starts a query on the next instance.
    pub fn start(&mut self, kind: &str) {
        self.count += 1;
        let instance = self.count % INSTANCES;
        let request = QueryRequest {
            kind: kind.to_owned(),
            deadline: None,
            least_coverage: None,
            body: Arc::from(&b"{}"[..]),
            forward: Some(Arc::new(ForwardedRequest {
                id: format!("request-{}", self.count),
                ..ForwardedRequest::default()
            })),
            age: Duration::ZERO,
            customer: None,
            only_services: Vec::new(),
            trial: 0,
        };
        let now = ms(self.now);
        let balancer = &mut self.balancers[instance];
        match Query::start(Arc::clone(&self.view), balancer, request, now) {
            Err(refusal) => self.refused.push((self.now, refusal)),
            Ok((query, steps)) => {
                let (kind, started) = (kind.to_owned(), self.now);
                let running = Running {
                    instance,
                    kind,
                    started,
                    query,
                };
                self.queries.insert(self.count, running);
                self.perform(self.count, steps);
            }
        }
    }

    /// Advances by one millisecond: ends calls, starts waiting ones and runs timers.
    pub fn tick(&mut self) {
        self.now += 1;
        for id in self.leaves.keys().copied().collect::<Vec<_>>() {
            for (number, reply) in self.finish_calls(id) {
                let Some(running) = self.queries.get_mut(&number) else {
                    continue;
                };
                let balancer = &mut self.balancers[running.instance];
                let steps = running.query.on_reply(balancer, reply, ms(self.now));
                self.perform(number, steps);
            }
        }
        let now = ms(self.now);
        let due = self
            .queries
            .iter()
            .filter(|(_, run)| run.query.next_timer() <= now);
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            let Some(running) = self.queries.get_mut(&number) else {
                continue;
            };
            let balancer = &mut self.balancers[running.instance];
            let steps = running.query.on_timer(balancer, now);
            self.perform(number, steps);
        }
    }

    fn finish_calls(&mut self, id: LeafId) -> Vec<(usize, Reply)> {
        let entry = self.view.catalog.leaf(id).expect("the leaf is configured");
        let range = self.view.catalog.shards[entry.shard].range;
        let leaf = self.leaves.get_mut(&id).expect("the leaf exists");
        let now = self.now;
        let done: Vec<_> = leaf.running.extract_if(.., |call| call.0 <= now).collect();
        while leaf.running.len() < SLOTS
            && let Some((number, attempt)) = leaf.waiting.pop_front()
        {
            let end = now + WORK * u64::from(leaf.pace) / 100;
            leaf.running.push((end, number, attempt));
        }
        let count = |n: usize| u32::try_from(n).expect("few calls");
        let load = self.reports.then_some(LoadReport {
            running: count(leaf.running.len()),
            waiting: count(leaf.waiting.len()),
            slots: count(SLOTS),
            pace: Some(leaf.pace),
        });
        let reply = |(_, number, attempt)| (number, answer(attempt, range, load));
        let refused = std::mem::take(&mut leaf.refused).into_iter();
        let shed = refused.map(|(number, attempt)| {
            let outcome = Outcome::NotRun(NotRun::Shed);
            let answer = answer(attempt, range, load);
            (number, Reply { outcome, ..answer })
        });
        done.into_iter().map(reply).chain(shed).collect()
    }

    fn perform(&mut self, number: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Send { part, .. } => {
                    for call in part.calls {
                        let leaf = self.leaves.get_mut(&call.leaf).expect("the leaf exists");
                        leaf.calls += 1;
                        if leaf.sheds && leaf.running.len() + leaf.waiting.len() >= SLOTS {
                            leaf.refused.push((number, call.attempt));
                        } else {
                            leaf.waiting.push_back((number, call.attempt));
                        }
                    }
                }
                Step::Cancel { attempts, .. } => {
                    for leaf in self.leaves.values_mut() {
                        leaf.waiting.retain(|(owner, attempt)| {
                            *owner != number || !attempts.contains(attempt)
                        });
                    }
                }
                Step::Clear { .. } => {}
                Step::Finish(answer) => {
                    let running = self.queries.remove(&number).expect("it runs");
                    self.ended.push(Ended {
                        kind: running.kind,
                        started: running.started,
                        took: self.now - running.started,
                        served: answer.body.is_ok(),
                        missing: answer.body.as_ref().map_or(0, |body| body.missing),
                    });
                }
            }
        }
    }

    /// Returns how many of the queries of a kind that were started from `since` on were
    /// served within `target` milliseconds, and how many were served at all.
    pub fn served(&self, kind: &str, since: u64, target: u64) -> [usize; 2] {
        let queries = self.ended.iter();
        let served = queries.filter(|q| q.kind == kind && q.started >= since && q.served);
        let in_time = served.clone().filter(|q| q.took <= target).count();
        [in_time, served.count()]
    }
}

fn answer(attempt: AttemptId, range: KeyRange, load: Option<LoadReport>) -> Reply {
    Reply {
        attempt,
        queued: 0,
        service: Duration::from_millis(1),
        retry_after: Duration::ZERO,
        load,
        outcome: Outcome::Rows(Rows {
            version: 1,
            newest: 1,
            epoch: 0,
            range,
            body: Arc::from(&b"[1]"[..]),
            origin: None,
        }),
    }
}
