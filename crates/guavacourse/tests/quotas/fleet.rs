//! A simulated fleet of processes that exchange the use of quotas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use guavacourse::modules::{
    customers::{Customer, Quota},
    inventory::Address,
    members::Member,
    quotas::{Partners, Place, Quotas, Reach, Report, Role, Tolerance, Verdict},
    time::Time,
};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(5);

/// Interval and time limit of the exchange, as in `edge/gateway/exchange.rs`.
const INTERVAL: Duration = Duration::from_millis(210);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Tolerance of the deployment with 62 processes.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};

/// A customer with its usual rate in requests a second.
#[derive(Clone, Debug)]
pub struct Load {
    pub customer: Customer,
    pub usual: f64,
    /// Factor on the usual rate.
    pub factor: f64,
}

impl Load {
    /// Returns a customer whose quota is 1.6 times its usual rate, with a burst of twice
    /// the quota's rate.
    pub fn usual(name: &str, usual: f64) -> Self {
        let rate = 1.6 * usual;
        Self::new(name, usual, rate, 2.0 * rate)
    }

    /// Returns a customer.
    pub fn new(name: &str, usual: f64, rate: f64, burst: f64) -> Self {
        let customer = Customer {
            name: name.to_owned(),
            quota: Some(Quota { rate, burst }),
            ..Customer::default()
        };
        Self {
            customer,
            usual,
            factor: 1.0,
        }
    }
}

/// One process.
struct Process {
    member: Member,
    quotas: Quotas,
    /// When it calls its partners next.
    next_tick: Time,
    reach: Reach,
    /// Processes that it is calling, and when the call is given up.
    calling: BTreeMap<String, Time>,
    /// Until when it is suspended.
    frozen: Time,
    /// Time that its clock has missed.
    missed: Duration,
    /// Requests that arrived while it was suspended.
    backlog: Vec<usize>,
}

/// A message under way.
struct Message {
    arrival: Time,
    from: usize,
    to: usize,
    call: bool,
    role: Role,
    report: Report,
}

/// Requests of one customer.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: Vec<Time>,
    pub admitted: Vec<Time>,
    pub refused: usize,
    /// Requests refused although a bucket that knows all requests held one.
    pub wronged: usize,
    /// Level of that bucket, and when it was refilled.
    level: f64,
    refilled: Time,
}

impl Tally {
    /// Refills the bucket that knows all requests.
    fn refill(&mut self, quota: Quota, now: Time) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let level = self.level + elapsed * quota.rate;
        self.level = level.min(quota.burst.max(1.0));
    }
}

/// A simulated fleet.
pub struct Fleet {
    pub now: Time,
    pub loads: Vec<Load>,
    pub tallies: Vec<Tally>,
    /// Sides of a partition: processes with different numbers do not reach each other.
    pub sides: Vec<usize>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Number of exchanges that were started, and of customers in their reports.
    pub calls: usize,
    pub entries: usize,
    tolerance: Tolerance,
    processes: Vec<Process>,
    messages: Vec<Message>,
    random: fastrand::Rng,
}

impl Fleet {
    /// Starts a fleet of 62 processes in 6 data centres, 2 of them strong in each.
    pub fn large(loads: Vec<Load>, seed: u64) -> Self {
        Self::start(62, 6, loads, seed)
    }

    /// Starts a fleet whose processes all start at the same moment.
    pub fn start(count: usize, data_centres: usize, loads: Vec<Load>, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut processes = Vec::new();
        for number in 0..count {
            let port = u16::try_from(number + 1).expect("few processes");
            let member = Member {
                name: format!("p-{number}"),
                data_centre: format!("dc-{}", number % data_centres),
                queries: Address(SocketAddr::from((Ipv4Addr::LOCALHOST, port))),
                power: if number / data_centres < 2 { 500 } else { 120 },
                ..Member::default()
            };
            processes.push(Process {
                member,
                quotas: Quotas::new(TOLERANCE, random.u64(..)),
                next_tick: Time(random.u64(..210_000)),
                reach: Reach::default(),
                calling: BTreeMap::new(),
                frozen: Time::default(),
                missed: Duration::ZERO,
                backlog: Vec::new(),
            });
        }
        let mut fleet = Self {
            now: Time::default(),
            tallies: vec![Tally::default(); loads.len()],
            loads,
            sides: vec![0; count],
            loss: 0.0,
            calls: 0,
            entries: 0,
            tolerance: TOLERANCE,
            processes,
            messages: Vec::new(),
            random,
        };
        fleet.configure();
        fleet
    }

    /// Applies the customers' quotas in all processes.
    pub fn configure(&mut self) {
        for process in 0..self.processes.len() {
            self.configure_one(process);
        }
    }

    /// Applies the customers' quotas in one process.
    pub fn configure_one(&mut self, process: usize) {
        let names: Vec<String> = self.members().into_iter().map(|m| m.name).collect();
        let customers: Vec<Customer> = self.loads.iter().map(|l| l.customer.clone()).collect();
        let now = self.clock(process);
        self.processes[process]
            .quotas
            .configure(&customers, names.iter().map(String::as_str), now);
    }

    /// Restarts a process, which loses all that it knows.
    pub fn restart(&mut self, process: usize) {
        let seed = self.random.u64(..);
        let state = &mut self.processes[process];
        state.quotas = Quotas::new(self.tolerance, seed);
        state.reach = Reach::default();
        state.calling.clear();
        self.messages
            .retain(|message| message.from != process && message.to != process);
        self.configure_one(process);
    }

    /// Suspends a process for a time; the requests that arrive wait.
    pub fn freeze(&mut self, process: usize, duration: Duration) {
        self.processes[process].frozen = self.now.after(duration);
    }

    /// Suspends a process and its clock for a time.
    pub fn stop_clock(&mut self, process: usize, duration: Duration) {
        self.freeze(process, duration);
        self.processes[process].missed += duration;
    }

    /// Returns the time that the clock of a process shows.
    fn clock(&self, process: usize) -> Time {
        self.now.before(self.processes[process].missed)
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.deliver();
            for process in 0..self.processes.len() {
                self.tick(process);
            }
            self.arrive();
        }
    }

    /// Forgets the requests so far.
    pub fn clear(&mut self) {
        for tally in &mut self.tallies {
            *tally = Tally {
                level: tally.level,
                refilled: tally.refilled,
                ..Tally::default()
            };
        }
        self.calls = 0;
        self.entries = 0;
    }

    /// Returns the number of requests asked and refused.
    pub fn refused(&self) -> (usize, usize) {
        let asked = self.tallies.iter().map(|tally| tally.asked.len()).sum();
        let refused = self.tallies.iter().map(|tally| tally.refused).sum();
        (asked, refused)
    }

    /// Returns the number of requests refused although the quota was not used up.
    pub fn wronged(&self) -> usize {
        self.tallies.iter().map(|tally| tally.wronged).sum()
    }

    /// Panics if a customer had more requests admitted in a window than the quota and
    /// the tolerance allow.
    pub fn check_bound(&self) {
        for (load, tally) in self.loads.iter().zip(&self.tallies) {
            let quota = load.customer.quota.expect("a quota");
            let allowed = quota.rate * self.tolerance.window.as_secs_f64() + quota.burst;
            let bound = allowed + self.tolerance.requests(&quota);
            let most = most_in_window(&tally.admitted, self.tolerance.window);
            assert!(
                f64::from(most) <= bound,
                "{} had {most} requests admitted in a window, which may have {bound}",
                load.customer.name
            );
        }
    }

    fn members(&self) -> Vec<Member> {
        let members = self.processes.iter();
        members.map(|process| process.member.clone()).collect()
    }

    /// Sends requests of the customers to random processes.
    fn arrive(&mut self) {
        for customer in 0..self.loads.len() {
            let load = &self.loads[customer];
            let expected = load.usual * load.factor * STEP.as_secs_f64();
            let mut left = expected - self.exponential();
            while left > 0.0 {
                let process = self.random.usize(..self.processes.len());
                self.request(process, customer);
                left -= self.exponential();
            }
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.f64()).ln()
    }

    fn request(&mut self, process: usize, customer: usize) {
        if self.now < self.processes[process].frozen {
            self.processes[process].backlog.push(customer);
            return;
        }
        let name = &self.loads[customer].customer.name;
        let now = self.clock(process);
        let verdict = self.processes[process].quotas.admit(name, now);
        let tally = &mut self.tallies[customer];
        tally.asked.push(self.now);
        let quota = self.loads[customer].customer.quota.expect("a quota");
        tally.refill(quota, self.now);
        match verdict {
            Verdict::Admitted => {
                tally.admitted.push(self.now);
                tally.level -= 1.0;
            }
            Verdict::Refused { retry_after, .. } => {
                assert!(
                    retry_after <= Duration::from_millis(5_100),
                    "{retry_after:?}"
                );
                tally.refused += 1;
                tally.wronged += usize::from(tally.level >= 1.0);
            }
        }
    }

    /// Lets a process call its partners.
    fn tick(&mut self, number: usize) {
        if self.now < self.processes[number].frozen {
            return;
        }
        let now = self.clock(number);
        for customer in std::mem::take(&mut self.processes[number].backlog) {
            self.request(number, customer);
        }
        self.fail_calls(number);
        if now < self.processes[number].next_tick {
            return;
        }
        let partners = self.partners(number);
        let process = &mut self.processes[number];
        process.next_tick = now.after(INTERVAL);
        process.quotas.advance(now);
        process.quotas.retain(&partners, now);
        for partner in partners.calls {
            let busy = process.calling.contains_key(&partner.name);
            if busy || !process.quotas.due(&partner.name, now) {
                continue;
            }
            let report = process.quotas.report(&partner.name, partner.role, now);
            let timeout = now.after(CALL_TIMEOUT);
            process.calling.insert(partner.name.clone(), timeout);
            self.calls += 1;
            self.entries += report.usage.len();
            let to = partner.name[2..].parse().expect("a number");
            let message = Message {
                arrival: self.now,
                from: number,
                to,
                call: true,
                role: partner.role,
                report,
            };
            send(
                &mut self.messages,
                &mut self.random,
                self.loss,
                &self.sides,
                message,
            );
        }
    }

    fn fail_calls(&mut self, number: usize) {
        let now = self.clock(number);
        let process = &mut self.processes[number];
        let late: Vec<String> = process
            .calling
            .iter()
            .filter(|(_, timeout)| now >= **timeout)
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
            process.calling.remove(&name);
            process.reach.failed(&name, now);
        }
    }

    fn partners(&self, number: usize) -> Partners {
        let process = &self.processes[number];
        let answers = |name: &str| process.reach.answers(name, self.clock(number));
        Partners::select(&process.member, &self.members(), answers)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self
            .messages
            .extract_if(.., |message| message.arrival <= now);
        let mut due: Vec<Message> = due.collect();
        due.sort_by_key(|message| message.arrival);
        for message in due {
            if now < self.processes[message.to].frozen {
                continue;
            }
            if message.call {
                self.answer(&message);
                continue;
            }
            let name = self.processes[message.from].member.name.clone();
            let now = self.clock(message.to);
            let process = &mut self.processes[message.to];
            process.reach.answered(&name);
            if process.calling.remove(&name).is_some() {
                process
                    .quotas
                    .receive(&name, message.role, &message.report, now);
            }
        }
    }

    /// Answers a call, as the exchange does.
    fn answer(&mut self, message: &Message) {
        let caller = self.processes[message.from].member.clone();
        let own = &self.processes[message.to].member;
        let precedes = Place::new(&own.name, own.power) < Place::new(&caller.name, caller.power);
        let remote = message.role == Role::Peer;
        if !precedes || remote && !self.partners(message.to).first {
            return;
        }
        let role = if remote { Role::Peer } else { Role::Child };
        let now = self.clock(message.to);
        let quotas = &mut self.processes[message.to].quotas;
        quotas.receive(&caller.name, role, &message.report, now);
        let report = quotas.report(&caller.name, role, now);
        self.entries += report.usage.len();
        let answer = Message {
            arrival: self.now,
            from: message.to,
            to: message.from,
            call: false,
            role: message.role,
            report,
        };
        send(
            &mut self.messages,
            &mut self.random,
            self.loss,
            &self.sides,
            answer,
        );
    }

    /// Returns the names of the processes that call others as parent or peer.
    pub fn callers(&self) -> BTreeSet<(String, String)> {
        let mut pairs = BTreeSet::new();
        for (number, process) in self.processes.iter().enumerate() {
            for partner in self.partners(number).calls {
                pairs.insert((process.member.name.clone(), partner.name));
            }
        }
        pairs
    }
}

/// Sends a message that arrives after 4 to 12 ms, unless it is lost.
fn send(
    messages: &mut Vec<Message>,
    random: &mut fastrand::Rng,
    loss: f64,
    sides: &[usize],
    mut message: Message,
) {
    let cut = random.f64() < loss || sides[message.from] != sides[message.to];
    if !cut {
        let delay = Duration::from_micros(random.u64(4_000..12_000));
        message.arrival = message.arrival.after(delay);
        messages.push(message);
    }
}

/// Returns the most of these times, which are in order, that lie in one window.
pub fn most_in_window(times: &[Time], window: Duration) -> u32 {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while times[first].after(window) <= *time {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    u32::try_from(most).expect("few requests")
}

/// Returns the number of requests.
pub fn count(times: &[Time]) -> f64 {
    f64::from(u32::try_from(times.len()).expect("few requests"))
}
