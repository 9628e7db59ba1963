//! Discrete-event simulation of a fleet: entries that run queries against leaves
//! behind relays, with network delays, service times, slots and queues.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    fmt,
    ops::Range,
    sync::Arc,
    time::Duration,
};

use guavacourse::modules::{
    answer::Answer,
    call::{AttemptId, Call, NotRun, Outcome, Reply, Rows, Unknown},
    catalog::LeafId,
    collections::Map,
    inventory::Address,
    keys::KeyRange,
    load_balancer::LoadBalancer,
    query::{Query, QueryRequest, Step},
    time::Time,
    view::View,
};

use crate::setup::{DATA_CENTRES, KIND, QueueReports, Setup, address};

/// One-way delay between an entry and a relay of its own data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// Time until an entry detects that a relay no longer answers.
const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a relay or an entry gives up opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Queue length from which a relay refuses hedges and retries.
const EXTRA_CALL_QUEUE_LIMIT: usize = 2;
/// Queries that start within this time are not measured, because balancers are still
/// learning.
const WARM_UP: Duration = Duration::from_secs(1);

/// An event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A query arrives at an entry.
    Arrive,
    /// A call reaches the relay of its leaf.
    Submit(CallKey),
    /// A leaf completes a call.
    Done(CallKey),
    /// A reply reaches its entry.
    Deliver(CallKey),
    /// The timer of a query is due.
    Timer(usize),
    /// A cancellation reaches the relay of its call.
    Cancel(CallKey),
    /// Entries detect that the relay of a data centre is gone.
    LinkDown(usize),
}

/// Identifies a call of any entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct CallKey {
    entry: usize,
    attempt: AttemptId,
}

/// A call that was sent and whose reply has not been delivered.
struct PendingCall {
    query: usize,
    leaf: LeafId,
    relay: Address,
    extra: bool,
    service: Duration,
    running: bool,
    queued: u32,
    outcome: Option<Outcome>,
}

struct LeafState {
    dc: usize,
    /// Whether the leaf belongs to the first service.
    in_first_service: bool,
    running: u32,
    queue: VecDeque<CallKey>,
}

/// A query that has not been answered.
struct ActiveQuery {
    query: Query,
    entry: usize,
    started: Time,
    timer: Time,
}

/// Measurements of one query.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub started: Time,
    pub latency: Duration,
    pub coverage: f64,
}

/// Measurements of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    pub samples: Vec<Sample>,
    /// Calls that leaves started.
    pub calls: u64,
    /// Calls that would have been made with exactly one for each shard.
    pub needed: u64,
    /// Hedges among the calls sent.
    pub hedges: u64,
    /// Start times of all calls to the leaf that is slow for part of the experiment.
    pub slow_leaf_calls: Vec<Time>,
}

/// Number of runs of an experiment, each with the next seed.
const RUNS: u64 = 4;

/// Runs one experiment several times and pools the measurements, because tail
/// latencies need many queries.
pub fn run(setup: &Setup) -> Measurements {
    let mut pooled = Measurements::default();
    for seed in 0..RUNS {
        let measured = run_once(&Setup {
            seed: setup.seed + seed,
            ..setup.clone()
        });
        pooled.samples.extend(measured.samples);
        pooled.slow_leaf_calls.extend(measured.slow_leaf_calls);
        pooled.calls += measured.calls;
        pooled.needed += measured.needed;
        pooled.hedges += measured.hedges;
    }
    pooled
}

fn run_once(setup: &Setup) -> Measurements {
    let mut simulation = Simulation::new(setup);
    simulation.push(Time::default(), Event::Arrive);
    if let Some((dc, at)) = setup.faults.lost_dc {
        simulation.push(at.after(LINK_TIMEOUT), Event::LinkDown(dc));
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(event);
    }
    simulation.measured
}

struct Simulation<'a> {
    setup: &'a Setup,
    view: Arc<View>,
    rng: fastrand::Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    balancers: Vec<LoadBalancer>,
    leaves: Map<LeafId, LeafState>,
    pending: Map<CallKey, PendingCall>,
    queries: Map<usize, ActiveQuery>,
    arrivals: usize,
    measured: Measurements,
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup) -> Self {
        let view = setup.view();
        let leaves = view.catalog.leaves.values().map(|leaf| {
            let dc = DATA_CENTRES.iter().position(|dc| *dc == leaf.data_centre);
            let state = LeafState {
                dc: dc.expect("the data centre is known"),
                in_first_service: leaf.name.starts_with("gang-0-"),
                running: 0,
                queue: VecDeque::new(),
            };
            (leaf.id, state)
        });
        Self {
            setup,
            leaves: leaves.collect(),
            view,
            rng: fastrand::Rng::with_seed(setup.seed),
            now: Time::default(),
            events: BinaryHeap::new(),
            sequence: 0,
            balancers: DATA_CENTRES.map(LoadBalancer::new).into(),
            pending: Map::default(),
            queries: Map::default(),
            arrivals: 0,
            measured: Measurements::default(),
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Submit(key) => self.submit(key),
            Event::Done(key) => self.complete(key),
            Event::Deliver(key) => self.deliver(key),
            Event::Timer(id) => self.timer(id),
            Event::Cancel(key) => self.cancel(key),
            Event::LinkDown(dc) => self.link_down(dc),
        }
    }

    fn arrive(&mut self) {
        if self.now.0 < self.setup.duration.as_micros() as u64 {
            let interval = self
                .setup
                .mean_interval()
                .mul_f64(-(1.0 - self.rng.f64()).ln());
            self.push(self.now.after(interval), Event::Arrive);
        }
        let entry = self.arrivals % DATA_CENTRES.len();
        let request = QueryRequest {
            kind: KIND.to_owned(),
            deadline: None,
            least_coverage: None,
            body: Arc::from(&b"{}"[..]),
            forward: None,
            age: Duration::ZERO,
            customer: None,
            only_services: Vec::new(),
            trial: 0,
        };
        let view = Arc::clone(&self.view);
        let started = Query::start(view, &mut self.balancers[entry], request, self.now);
        let (query, steps) = started.expect("the request is valid");
        let id = self.arrivals;
        self.arrivals += 1;
        let active = ActiveQuery {
            query,
            entry,
            started: self.now,
            timer: Time::MAX,
        };
        self.queries.insert(id, active);
        self.perform(id, steps);
    }

    fn perform(&mut self, id: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Send { relay, part } => {
                    for call in part.calls {
                        self.send(id, relay, call);
                    }
                }
                Step::Cancel { attempts, .. } => {
                    let entry = self.queries[&id].entry;
                    for attempt in attempts {
                        self.send_cancel(CallKey { entry, attempt });
                    }
                }
                Step::Clear { .. } => {}
                Step::Finish(answer) => self.finish(id, &answer),
            }
        }
        self.set_timer(id);
    }

    fn set_timer(&mut self, id: usize) {
        let Some(active) = self.queries.get_mut(&id) else {
            return;
        };
        let wake = active.query.next_timer().max(self.now);
        if wake < active.timer {
            active.timer = wake;
            self.push(wake, Event::Timer(id));
        }
    }

    fn timer(&mut self, id: usize) {
        let Some(active) = self.queries.get_mut(&id) else {
            return;
        };
        if self.now < active.timer {
            return;
        }
        active.timer = Time::MAX;
        let steps = if self.now >= active.query.next_timer() {
            active
                .query
                .on_timer(&mut self.balancers[active.entry], self.now)
        } else {
            Vec::new()
        };
        self.perform(id, steps);
    }

    fn finish(&mut self, id: usize, answer: &Answer) {
        let active = self.queries.remove(&id).expect("the query is active");
        let coverage = match &answer.body {
            Ok(body) => body.coverage.fraction,
            Err(failure) => failure.coverage.fraction,
        };
        if active.started >= Time::default().after(WARM_UP) {
            self.measured.samples.push(Sample {
                started: active.started,
                latency: self.now.since(active.started),
                coverage,
            });
        }
        self.measured.hedges += u64::from(answer.trace.hedges);
        self.measured.needed += u64::from(self.setup.services);
    }

    fn send(&mut self, query: usize, relay: Address, call: Call) {
        let entry = self.queries[&query].entry;
        let key = CallKey {
            entry,
            attempt: call.attempt,
        };
        let pending = PendingCall {
            query,
            leaf: call.leaf,
            relay,
            extra: call.extra,
            service: Duration::ZERO,
            running: false,
            queued: 0,
            outcome: None,
        };
        self.pending.insert(key, pending);
        let dc = relay_dc(relay);
        if !self.is_lost(dc) {
            self.push(self.now.after(self.delay(entry, dc)), Event::Submit(key));
        } else if self.is_loss_detected(dc) {
            self.schedule_reply(key, Outcome::NotRun(NotRun::Unreachable), CONNECT_TIMEOUT);
        }
    }

    /// Handles a call at the relay: queues it for a slot of its leaf, or refuses it.
    fn submit(&mut self, key: CallKey) {
        let Some(call) = self.pending.get(&key) else {
            return;
        };
        let leaf = self.leaves.get_mut(&call.leaf).expect("the leaf is known");
        let dc = leaf.dc;
        if relay_dc(call.relay) == dc {
            if call.extra && leaf.queue.len() >= EXTRA_CALL_QUEUE_LIMIT {
                let delay = self.delay(key.entry, dc);
                return self.schedule_reply(key, Outcome::NotRun(NotRun::QueueFull), delay);
            }
            leaf.queue.push_back(key);
            let id = call.leaf;
            self.start_queued(id);
        } else {
            assert!(
                self.is_lost(dc),
                "a relay of another data centre is used only after a loss"
            );
            self.schedule_reply(key, Outcome::NotRun(NotRun::Unreachable), CONNECT_TIMEOUT);
        }
    }

    /// Starts queued calls in free slots.
    fn start_queued(&mut self, id: LeafId) {
        loop {
            let leaf = self.leaves.get_mut(&id).expect("the leaf is known");
            if leaf.running >= self.setup.slots {
                return;
            }
            let Some(key) = leaf.queue.pop_front() else {
                return;
            };
            leaf.running += 1;
            let queued = u32::try_from(leaf.queue.len()).expect("queues are short");
            self.start(key, id, queued);
        }
    }

    fn start(&mut self, key: CallKey, id: LeafId, queued: u32) {
        self.measured.calls += 1;
        let mut factor = self.draw_factor();
        let leaf = &self.leaves[&id];
        if self.rng.f64() < self.setup.faults.stragglers {
            factor *= 10.0;
        }
        if let Some(slow) = self.setup.faults.slow_leaf
            && leaf.in_first_service
            && leaf.dc == slow.dc
        {
            self.measured.slow_leaf_calls.push(self.now);
            if (slow.from..slow.until).contains(&self.now) {
                factor *= slow.factor;
            }
        }
        let queued = match self.setup.faults.queue_reports {
            QueueReports::Accurate => queued,
            QueueReports::Inverted => 10_u32.saturating_sub(10 * queued),
            QueueReports::Random => self.rng.u32(0..20),
        };
        let service = self.setup.service_time.mul_f64(factor);
        let call = self.pending.get_mut(&key).expect("the call is pending");
        call.queued = queued;
        call.service = service;
        call.running = true;
        self.push(self.now.after(service), Event::Done(key));
    }

    /// Draws the service time of a call, as a multiple of the mean, or of the median
    /// if a spread is given.
    fn draw_factor(&mut self) -> f64 {
        let Some(spread) = self.setup.spread else {
            return 0.4 + 0.4 * (self.rng.f64() + self.rng.f64() + self.rng.f64());
        };
        // The sum of 12 uniform draws is close to a normal distribution with a
        // standard deviation of 1.
        let normal: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        (spread * normal).exp()
    }

    fn complete(&mut self, key: CallKey) {
        let Some(call) = self.pending.get_mut(&key) else {
            return;
        };
        call.running = false;
        let id = call.leaf;
        self.leaves.get_mut(&id).expect("the leaf is known").running -= 1;
        self.start_queued(id);
        let rows = Rows {
            version: 1,
            newest: 1,
            epoch: 1,
            range: KeyRange::ALL,
            body: Arc::from(&b"[1]"[..]),
            origin: None,
        };
        let dc = self.leaves[&id].dc;
        if !self.is_lost(dc) {
            self.schedule_reply(key, Outcome::Rows(rows), self.delay(key.entry, dc));
        }
    }

    /// Sets the outcome of a call and delivers the reply after `delay`.
    fn schedule_reply(&mut self, key: CallKey, outcome: Outcome, delay: Duration) {
        let call = self.pending.get_mut(&key).expect("the call is pending");
        call.outcome = Some(outcome);
        self.push(self.now.after(delay), Event::Deliver(key));
    }

    fn deliver(&mut self, key: CallKey) {
        let Some(call) = self.pending.remove(&key) else {
            return;
        };
        if let Some(Outcome::NotRun(NotRun::Unreachable)) = call.outcome
            && self.is_lost(relay_dc(call.relay))
        {
            self.balancers[key.entry].relay_down(call.relay, self.now);
        }
        let reply = Reply {
            attempt: key.attempt,
            queued: call.queued,
            service: call.service,
            retry_after: Duration::ZERO,
            load: None,
            outcome: call.outcome.expect("the call has ended"),
        };
        let Some(active) = self.queries.get_mut(&call.query) else {
            return;
        };
        let steps = active
            .query
            .on_reply(&mut self.balancers[key.entry], reply, self.now);
        self.perform(call.query, steps);
    }

    /// Sends a cancellation for a call to its relay.
    fn send_cancel(&mut self, key: CallKey) {
        if let Some(call) = self.pending.get(&key) {
            let delay = self.delay(key.entry, relay_dc(call.relay));
            self.push(self.now.after(delay), Event::Cancel(key));
        }
    }

    /// Removes a cancelled call from its slot or from the queue.
    fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.pending.remove(&key) else {
            return;
        };
        let leaf = self.leaves.get_mut(&call.leaf).expect("the leaf is known");
        if call.running {
            leaf.running -= 1;
            self.start_queued(call.leaf);
        } else {
            leaf.queue.retain(|other| *other != key);
        }
    }

    /// Marks the relay of a lost data centre as down at all entries and ends its
    /// pending calls.
    fn link_down(&mut self, dc: usize) {
        let relay = address(u16::try_from(dc + 1).expect("few data centres"));
        for balancer in &mut self.balancers {
            balancer.relay_down(relay, self.now);
        }
        let mut calls: Vec<CallKey> = self
            .pending
            .iter()
            .filter(|(_, call)| call.relay == relay)
            .map(|(key, _)| *key)
            .collect();
        calls.sort_unstable();
        for key in calls {
            self.schedule_reply(key, Outcome::Unknown(Unknown::Closed), Duration::ZERO);
        }
    }

    /// Returns whether a data centre is lost.
    fn is_lost(&self, dc: usize) -> bool {
        let loss = self.setup.faults.lost_dc;
        loss.is_some_and(|(lost, at)| lost == dc && self.now >= at)
    }

    /// Returns whether entries have detected that a data centre is lost.
    fn is_loss_detected(&self, dc: usize) -> bool {
        let loss = self.setup.faults.lost_dc;
        loss.is_some_and(|(lost, at)| lost == dc && self.now >= at.after(LINK_TIMEOUT))
    }

    /// Returns the one-way delay between two data centres.
    fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            LOCAL_DELAY
        } else {
            self.setup.remote_delay
        }
    }
}

fn relay_dc(relay: Address) -> usize {
    usize::from(relay.0.port()) - 1
}

impl Measurements {
    /// Returns the measurements with only the samples that started within `span`.
    pub fn within(&self, span: Range<Time>) -> Self {
        let samples = self.samples.iter();
        let samples = samples.filter(|sample| span.contains(&sample.started));
        Self {
            samples: samples.copied().collect(),
            ..self.clone()
        }
    }

    /// Returns the latency at `quantile`, from 0 to 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let mut sorted: Vec<Duration> = self.samples.iter().map(|sample| sample.latency).collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        sorted[rank.clamp(1, sorted.len()) - 1].as_secs_f64() * 1e3
    }

    /// Returns the mean coverage.
    pub fn mean_coverage(&self) -> f64 {
        let sum: f64 = self.samples.iter().map(|sample| sample.coverage).sum();
        sum / self.samples.len() as f64
    }

    /// Returns the hedges as a fraction of the calls needed.
    pub fn hedge_fraction(&self) -> f64 {
        self.hedges as f64 / self.needed as f64
    }

    /// Returns the calls beyond one for each shard, as a fraction of the calls needed.
    pub fn extra_fraction(&self) -> f64 {
        self.calls as f64 / self.needed as f64 - 1.0
    }
}

impl fmt::Display for Measurements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms, coverage {:.4}, extra {:.2}% ({} queries)",
            self.latency_ms(0.5),
            self.latency_ms(0.99),
            self.latency_ms(0.999),
            self.mean_coverage(),
            self.extra_fraction() * 100.0,
            self.samples.len()
        )
    }
}
