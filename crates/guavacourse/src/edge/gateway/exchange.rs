//! Applies the quotas of customers, and exchanges their use with other processes.
//!
//! Each exchange is one call with a report in both directions. Its time limits are its
//! own, because a link may go silent without being closed.

mod wire;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures_lite::FutureExt;
use opentelemetry::{KeyValue, metrics::Counter};
use smol::{LocalExecutor, Timer};

use self::wire::Message;
use super::{GatewayConfig, protocol::CallerAnswer};
use crate::{
    edge::{clock::Clock, pool::Pool, published::Published, tasks::Tasks},
    generated::wire_capnp::exchange,
    modules::{
        collections::Set,
        customers::{Customer, Keyring},
        line_budget::{LineBudget, LineDecision},
        load_balancer::LoadBalancer,
        members::Member,
        placement::{load_board::Observation, outboxes::Outboxes},
        quotas::{Event, Partner, Partners, Place, Quotas, Reach, Reason, Role, Verdict},
        time::Time,
        view::View,
    },
};

/// Interval between exchanges while there is something new.
const INTERVAL: Duration = Duration::from_millis(200);

/// Random part of the interval, so that processes which started together do not all call
/// at the same moment.
const INTERVAL_JITTER: Duration = Duration::from_millis(20);

/// Interval at which a process that has just started checks for a configuration. Until
/// its first exchange it refuses most requests of customers with quotas.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the configuration is checked while no customer has a quota.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer of a process. One that has used up its processor time may
/// be silent for 100 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of customers with metrics of their own.
const MAX_LABELS: usize = 100;

/// Label of all other customers.
const OTHER_LABEL: &str = "other";

/// Quotas of the traffic thread, and their exchange with other processes.
pub(super) struct Exchange {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    view: Published<View>,
    own: Member,
    place: Place,
    quotas: RefCell<Quotas>,
    /// View under which the quotas were configured.
    configured: RefCell<Option<Arc<View>>>,
    balancer: Rc<RefCell<LoadBalancer>>,
    outboxes: RefCell<Outboxes>,
    pool: Pool<exchange::Client>,
    /// Processes that did not answer.
    reach: RefCell<Reach>,
    /// Processes that are being called.
    calling: RefCell<Set<String>>,
    tasks: Tasks,
    requests: Counter<u64>,
    /// Customers with metrics of their own.
    labels: RefCell<Set<String>>,
    line_budget: Cell<LineBudget>,
}

/// Answers the exchanges of other processes.
pub(super) struct ExchangeServer {
    pub(super) exchange: Rc<Exchange>,
}

impl Exchange {
    /// Creates the state without any connection; `requests` counts decisions.
    pub(super) fn new(
        executor: &Rc<LocalExecutor<'static>>,
        clock: Clock,
        view: Published<View>,
        config: &GatewayConfig,
        balancer: &Rc<RefCell<LoadBalancer>>,
        requests: Counter<u64>,
    ) -> Self {
        let own = config.member();
        Self {
            executor: Rc::clone(executor),
            clock,
            view,
            place: Place::new(&own.name, own.power),
            own,
            quotas: RefCell::new(Quotas::new(config.tolerance, fastrand::u64(..))),
            configured: RefCell::default(),
            balancer: Rc::clone(balancer),
            outboxes: RefCell::default(),
            pool: Pool::new(executor, |node| {
                node.exchange_request().send().pipeline.get_exchange()
            }),
            reach: RefCell::default(),
            calling: RefCell::default(),
            tasks: Tasks::default(),
            requests,
            labels: RefCell::default(),
            line_budget: Cell::default(),
        }
    }

    /// Decides on a request of a customer; returns the answer if it must not run.
    pub(super) fn admit(&self, view: &Arc<View>, customer: &Customer) -> Option<CallerAnswer> {
        customer.quota?;
        self.configure(view);
        let now = self.clock.now();
        let verdict = self.quotas.borrow_mut().admit(&customer.name, now);
        let (label, answer) = match verdict {
            Verdict::Admitted => ("admitted", None),
            Verdict::Refused {
                retry_after,
                reason,
            } => {
                let (label, reason) = match reason {
                    Reason::Exhausted => ("exhausted", "the quota of the customer is used up"),
                    Reason::Isolated => (
                        "isolated",
                        "this process's part of the customer's quota is used up",
                    ),
                };
                let answer = CallerAnswer::OverQuota {
                    retry_after,
                    reason: format!("{reason}; repeat later"),
                };
                (label, Some(answer))
            }
        };
        self.count(&customer.name, label);
        answer
    }

    /// Takes back the admission of a request that provably reached no leaf.
    pub(super) fn refund(&self, customer: &Customer) {
        if customer.quota.is_some() {
            self.quotas.borrow_mut().refund(&customer.name);
            self.count(&customer.name, "refunded");
        }
    }

    /// Exchanges reports until the future is dropped, while customers have quotas or calls
    /// are placed by load.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            self.configure(&self.view.load());
            let quotas = !self.quotas.borrow().is_empty();
            let interval = if !self.view.load().ready() {
                START_INTERVAL
            } else if quotas || self.balancer.borrow().shares_observations() {
                self.exchange_due();
                INTERVAL
            } else {
                IDLE_INTERVAL
            };
            Timer::after(interval + INTERVAL_JITTER.mul_f64(fastrand::f64())).await;
        }
    }

    /// Ends all exchanges and closes all connections.
    pub(super) async fn close(&self) {
        self.tasks.cancel().await;
        self.pool.clear();
    }

    /// Applies the configuration and the members of a view, if it is another one.
    fn configure(&self, view: &Arc<View>) {
        let mut configured = self.configured.borrow_mut();
        if configured
            .as_ref()
            .is_some_and(|old| Arc::ptr_eq(old, view))
        {
            return;
        }
        *configured = Some(Arc::clone(view));
        let keyring = view.catalog.customers.as_ref();
        let customers = keyring.into_iter().flat_map(Keyring::customers);
        let names = view.entries.iter().map(|member| member.name.as_str());
        let names = names.chain([self.own.name.as_str()]);
        let names: Set<&str> = names.collect();
        let mut reach = self.reach.borrow_mut();
        reach.retain(|name| names.contains(name));
        let mut quotas = self.quotas.borrow_mut();
        quotas.configure(customers.map(Arc::as_ref), names, self.clock.now());
    }

    /// Calls the processes to which there is something to report.
    fn exchange_due(self: &Rc<Self>) {
        let now = self.clock.now();
        let partners = self.partners(now);
        self.collect_observations(now);
        let mut quotas = self.quotas.borrow_mut();
        quotas.advance(now);
        quotas.retain(&partners, now);
        let events = quotas.take_events();
        for partner in partners.calls {
            let near = partner.role != Role::Peer;
            let due = (!quotas.is_empty() && quotas.due(&partner.name, now))
                || (near && self.outboxes.borrow().due(&partner.name));
            if due && self.calling.borrow_mut().insert(partner.name.clone()) {
                self.tasks
                    .spawn(&self.executor, Rc::clone(self).call(partner));
            }
        }
        drop(quotas);
        self.log(events);
    }

    /// Returns the processes with which this one exchanges reports.
    fn partners(&self, now: Time) -> Partners {
        let view = self.view.load();
        let reach = self.reach.borrow();
        Partners::select(&self.own, &view.entries, |name| reach.answers(name, now))
    }

    /// Exchanges reports with a process.
    async fn call(self: Rc<Self>, partner: Partner) {
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            Err(capnp::Error::overloaded("no answer in time".to_owned()))
        };
        let answer = self.send(&partner).or(timeout).await;
        self.calling.borrow_mut().remove(&partner.name);
        let now = self.clock.now();
        match answer {
            Ok(message) => {
                self.reach.borrow_mut().answered(&partner.name);
                let mut quotas = self.quotas.borrow_mut();
                quotas.receive(&partner.name, partner.role, &message.report, now);
                drop(quotas);
                self.deliver_observations(message.observations);
            }
            Err(error) => {
                tracing::debug!(partner = partner.name, %error, "no exchange of quotas with a peer");
                self.pool.remove(partner.address);
                self.reach.borrow_mut().failed(&partner.name, now);
            }
        }
    }

    async fn send(&self, partner: &Partner) -> capnp::Result<Message> {
        let connection = self.pool.get(partner.address).await?;
        let mut request = connection.capability.report_request();
        let message = self.message(&partner.name, partner.role);
        wire::write_message(request.get().init_report(), &message);
        let answer = request.send().promise.await?;
        wire::read_message(answer.get()?.get_report()?)
    }

    /// Returns the message to a process.
    fn message(&self, partner: &str, role: Role) -> Message {
        let now = self.clock.now();
        let remote = role == Role::Peer;
        Message {
            sender: self.own.name.clone(),
            power: self.own.power,
            remote,
            report: self.quotas.borrow_mut().report(partner, role, now),
            observations: if remote {
                Vec::new()
            } else {
                self.take_observations(partner, now)
            },
        }
    }

    /// Returns the message that answers the one of another process.
    fn answer(&self, message: &Message) -> capnp::Result<Message> {
        let now = self.clock.now();
        self.configure(&self.view.load());
        let role = if message.remote {
            Role::Peer
        } else {
            Role::Child
        };
        let place = Place::new(&message.sender, message.power);
        // Reports that do not follow the order could go round in a circle.
        let accepted = self.place < place && (!message.remote || self.partners(now).first);
        if !accepted {
            let text = "this process is not the first of its data centre; call that one";
            return Err(capnp::Error::failed(text.to_owned()));
        }
        let mut quotas = self.quotas.borrow_mut();
        quotas.receive(&message.sender, role, &message.report, now);
        drop(quotas);
        Ok(self.message(&message.sender, role))
    }

    /// Returns the observations of leaves for a process of the data centre.
    fn take_observations(&self, partner: &str, now: Time) -> Vec<Observation> {
        self.collect_observations(now);
        self.outboxes.borrow_mut().take(partner, now)
    }

    /// Moves what this process has observed to the outboxes of the others.
    fn collect_observations(&self, now: Time) {
        let observations = self.balancer.borrow_mut().take_observations(now);
        self.outboxes.borrow_mut().add(&observations, now);
    }

    /// Takes observations of leaves by other processes of the data centre.
    fn deliver_observations(&self, observations: Vec<Observation>) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.merge_observations(observations, self.clock.now());
    }

    /// Counts a decision.
    fn count(&self, customer: &str, decision: &'static str) {
        let mut labels = self.labels.borrow_mut();
        let known = labels.contains(customer);
        if !known && labels.len() < MAX_LABELS {
            labels.insert(customer.to_owned());
        }
        let label = if known || labels.contains(customer) {
            customer
        } else {
            OTHER_LABEL
        };
        let attributes = [
            KeyValue::new("customer", label.to_owned()),
            KeyValue::new("decision", decision),
        ];
        self.requests.add(1, &attributes);
    }

    /// Logs changes; the number of lines is limited.
    fn log(&self, events: Vec<Event>) {
        for event in events {
            let mut budget = self.line_budget.get();
            let decision = budget.count(self.clock.now());
            self.line_budget.set(budget);
            let LineDecision::Write { left_out } = decision else {
                continue;
            };
            if left_out > 0 {
                tracing::info!(left_out, "log lines about quotas were left out");
            }
            match event {
                Event::OverQuota(customer) => {
                    tracing::info!(customer, "requests over a quota are refused");
                }
                Event::WithinQuota { customer, refused } => {
                    tracing::info!(customer, refused, "a customer keeps to its quota again");
                }
                Event::Lost(partner) => {
                    tracing::warn!(partner, "a process no longer reports its use of quotas");
                }
                Event::Regained(partner) => {
                    tracing::info!(partner, "a process reports its use of quotas again");
                }
            }
        }
    }
}

impl exchange::Server for ExchangeServer {
    async fn report(
        self: Rc<Self>,
        params: exchange::ReportParams,
        mut results: exchange::ReportResults,
    ) -> capnp::Result<()> {
        let message = wire::read_message(params.get()?.get_report()?)?;
        let answer = self.exchange.answer(&message)?;
        wire::write_message(results.get().init_report(), &answer);
        self.exchange.deliver_observations(message.observations);
        Ok(())
    }
}
