//! Limits on the requests of customers, summed over the fleet.
//!
//! Each process keeps a token bucket per customer for the whole fleet. It debits its own
//! requests at once and those of the others when their reports arrive. While the bucket
//! holds more than the others may use before their next reports, requests are admitted;
//! otherwise the process keeps to its share of the quota. `docs/design/quotas.md`
//! describes the exchange and what happens when processes do not hear from each other.

mod account;
mod demand;
mod link;
mod partners;
mod reach;
mod report;
mod tolerance;

use std::time::Duration;

use self::{
    account::{Account, Others},
    link::{Flow, Link, SILENCE},
};
pub use self::{
    partners::{Partner, Partners, Place},
    reach::Reach,
    report::{CustomerId, Report, Role, Usage},
    tolerance::Tolerance,
};
use super::{
    collections::{Map, Set},
    customers::Customer,
    time::Time,
};

/// Shortest time for which the others may have admitted requests that this process does
/// not know of: a report crosses up to three links, on each of which it waits for the
/// next exchange.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time over which the usual demand is smoothed. It decides who may use how much of a
/// quota once processes do not hear from each other, so it must be about the same on
/// both sides although they notice at different times.
const USUAL_WINDOW: Duration = Duration::from_secs(10);

/// Interval between two updates of the usual demand.
const USUAL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time without an exchange on a link.
const MAX_QUIET: Duration = Duration::from_secs(1);

/// Time without a refusal after which a customer counts as within its quota.
const CALM_PERIOD: Duration = Duration::from_secs(5);

/// Time after the start from which a process that found no partner relies on its own
/// counting, if the window of the tolerance is not longer.
const MIN_SETTLE_PERIOD: Duration = Duration::from_secs(5);

/// Fraction of the slack that processes which know nothing may use at once.
const START_FRACTION: f64 = 0.5;

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run.
    Admitted,
    /// It must not run.
    Refused {
        /// Time after which it may be repeated.
        retry_after: Duration,
        /// Why it is refused.
        reason: Reason,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The fleet admits as many requests as the quota allows.
    Exhausted,
    /// This process does not hear from some others, and its part of the quota is used.
    Isolated,
}

/// A change that operators may want to know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A customer's requests are refused from now on.
    OverQuota(String),
    /// A customer's requests are no longer refused.
    WithinQuota {
        /// The customer.
        customer: String,
        /// Its requests that were refused in the meantime.
        refused: u64,
    },
    /// A process no longer reports.
    Lost(String),
    /// A process reports again.
    Regained(String),
}

/// Quotas of all customers, as one process keeps them.
#[derive(Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    accounts: Map<CustomerId, Account>,
    links: Map<String, Link>,
    /// Processes of the fleet, with this one.
    members: u32,
    /// When the process got its first configuration; `None` before.
    started: Option<Time>,
    /// Whether the levels rest on a full window of counting.
    settled: bool,
    usual_at: Time,
    /// Whether all processes were heard from at the last refill of all buckets.
    complete: bool,
    events: Vec<Event>,
    random: fastrand::Rng,
}

impl Quotas {
    /// Creates the state of a process that knows nothing; `seed` must differ between
    /// processes and starts.
    #[must_use]
    pub fn new(tolerance: Tolerance, seed: u64) -> Self {
        Self {
            tolerance,
            accounts: Map::default(),
            links: Map::default(),
            members: 1,
            started: None,
            settled: false,
            usual_at: Time::default(),
            complete: false,
            events: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a configuration and the names of all processes of the fleet.
    pub fn configure<'a, 'b>(
        &mut self,
        customers: impl IntoIterator<Item = &'a Customer>,
        members: impl IntoIterator<Item = &'b str>,
        now: Time,
    ) {
        let members: Set<&str> = members.into_iter().collect();
        self.members = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
        self.complete = false;
        self.links
            .retain(|name, link| members.contains(name.as_str()) || link.live(now));
        let mut known = Set::default();
        for customer in customers {
            let quota = customer.quota.filter(|quota| quota.rate > 0.0);
            let Some(quota) = quota else { continue };
            let id = CustomerId::of(&customer.name);
            known.insert(id);
            if !self.accounts.contains_key(&id) {
                let account = self.open_account(&customer.name, quota, now);
                self.accounts.insert(id, account);
            }
            if let Some(account) = self.accounts.get_mut(&id) {
                account.configure(quota, &self.tolerance);
            }
        }
        self.accounts.retain(|id, _| known.contains(id));
        if self.started.is_none() && !self.accounts.is_empty() {
            self.started = Some(now);
        }
    }

    /// Creates the state of a customer. If the process has just started, the requests of
    /// the last window are unknown, and all processes may have started at the same time.
    fn open_account(&self, name: &str, quota: super::customers::Quota, now: Time) -> Account {
        if self.settled {
            return Account::new(name, quota, quota.burst.max(1.0), 0.0, now);
        }
        let start = (self.tolerance.slack * START_FRACTION).min(quota.burst.max(1.0));
        let share = start / f64::from(self.members);
        Account::new(name, quota, share, share, now)
    }

    /// Returns whether any customer has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Decides on a request of a customer.
    pub fn admit(&mut self, customer: &str, now: Time) -> Verdict {
        let id = CustomerId::of(customer);
        let Some(account) = self.accounts.get(&id) else {
            return Verdict::Admitted;
        };
        let others = others(account, id, &self.links, self.members, now);
        let Some(account) = self.accounts.get_mut(&id) else {
            return Verdict::Admitted;
        };
        if account.admit(&others, self.random.f64(), now) {
            return Verdict::Admitted;
        }
        if account.refused_at.is_none() {
            self.events.push(Event::OverQuota(account.name.clone()));
        }
        account.refused_at = Some(now);
        account.refusals += 1;
        Verdict::Refused {
            retry_after: account.retry_after(&others, self.random.f64(), now),
            reason: if others.covered < 1.0 {
                Reason::Isolated
            } else {
                Reason::Exhausted
            },
        }
    }

    /// Takes back the admission of a request that provably reached no leaf.
    pub fn refund(&mut self, customer: &str) {
        if let Some(account) = self.accounts.get_mut(&CustomerId::of(customer)) {
            account.refund();
        }
    }

    /// Returns the requests left in a customer's bucket, as far as the process knows;
    /// `None` if it has no quota.
    #[must_use]
    pub fn level(&self, customer: &str) -> Option<f64> {
        let account = self.accounts.get(&CustomerId::of(customer));
        account.map(|account| account.level)
    }

    /// Returns whether a process should be called now: there is something new to tell
    /// it, or nothing was exchanged for a while.
    #[must_use]
    pub fn due(&self, partner: &str, now: Time) -> bool {
        let Some(link) = self.links.get(partner) else {
            return true;
        };
        let quiet = link.heard.is_none_or(|heard| now.since(heard) >= MAX_QUIET);
        quiet
            || link.news
            || !link.confirmed()
            || self.accounts.iter().any(|(id, account)| {
                let flow = link.flow(*id);
                counter(account, link.role, &flow) - flow.zero != flow.sent
            })
    }

    /// Returns the report to a process that is called or has called.
    pub fn report(&mut self, partner: &str, role: Role, now: Time) -> Report {
        self.advance(now);
        self.link_with(partner, role);
        let members = self.covered_members(partner, role, now);
        let usages = self.usages(partner, role, now);
        let link = self.link_with(partner, role);
        let whole = !link.confirmed();
        link.sequence += 1;
        let mut usage = Vec::new();
        for mut entry in usages {
            let flow = link.flows.entry(entry.customer).or_default();
            entry.admitted -= flow.zero;
            if whole || flow.differs(&entry) {
                flow.record(&entry);
                usage.push(entry);
            }
        }
        Report {
            nonce: link.nonce,
            sequence: link.sequence,
            ack: link.heard_sequence,
            members,
            whole,
            settled: self.settled,
            usage,
        }
    }

    /// Applies the report of a process. Reports that are older than one that arrived
    /// are ignored.
    pub fn receive(&mut self, partner: &str, role: Role, report: &Report, now: Time) {
        self.refill(now);
        self.link_with(partner, role);
        let Some(link) = self.links.get_mut(partner) else {
            return;
        };
        let known = link.heard_nonce == report.nonce;
        if known && report.sequence <= link.heard_sequence {
            return;
        }
        let baseline = !known && report.sequence != 1;
        if baseline && !report.whole {
            // The sender learns by the number of the last report that it has to send all.
            return;
        }
        link.heard_nonce = report.nonce;
        for flow in link.flows.values_mut() {
            if !known {
                flow.received = 0;
            }
            if report.whole {
                flow.demand = 0.0;
                flow.silent = 0.0;
            }
        }
        let returned = link.heard.is_some() && !link.live(now);
        if link.lost {
            self.events.push(Event::Regained(partner.to_owned()));
        }
        link.lost = false;
        link.heard_sequence = report.sequence;
        link.heard = Some(now);
        link.members = report.members;
        link.acked = report.ack;
        link.news = !report.usage.is_empty();
        let told = role == Role::Parent && link.confirmed();
        // A child follows the level of its parent, so that nothing that it misses makes
        // it differ for long. A process that knows nothing follows any other.
        let follows = match role {
            Role::Parent => report.settled || !self.settled,
            Role::Child | Role::Peer => report.settled && !self.settled,
        };
        let adopted = !self.settled && report.settled && report.whole;
        for usage in &report.usage {
            let flow = link.flows.entry(usage.customer).or_default();
            let learned = if baseline {
                0
            } else {
                usage.admitted - flow.received
            };
            flow.received = usage.admitted;
            flow.learned += learned;
            flow.demand = usage.demand;
            flow.silent = usage.silent;
            // A customer of a configuration that is not in force here yet.
            let Some(account) = self.accounts.get_mut(&usage.customer) else {
                continue;
            };
            account.all += learned;
            if role == Role::Child {
                account.below += learned;
            }
            if follows {
                let unreported = account.below - flow.zero - flow.sent;
                account.follow(usage.level, unreported, now);
            } else {
                account.debit_learned(learned, returned, now);
            }
        }
        if adopted {
            self.adopt(report, now);
        }
        if told {
            self.note_told(partner);
        }
    }

    /// Returns what has happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Updates what changes with time alone.
    pub fn advance(&mut self, now: Time) {
        if let Some(started) = self.started {
            self.settled |= now.since(started) >= self.tolerance.window.max(MIN_SETTLE_PERIOD);
        }
        for (name, link) in &mut self.links {
            if link.heard.is_some() && !link.lost && !link.live(now) {
                link.lost = true;
                self.events.push(Event::Lost(name.clone()));
            }
        }
        for account in self.accounts.values_mut() {
            let calm = account
                .refused_at
                .is_some_and(|at| now.since(at) >= CALM_PERIOD);
            if calm {
                account.refused_at = None;
                self.events.push(Event::WithinQuota {
                    customer: account.name.clone(),
                    refused: std::mem::take(&mut account.refusals),
                });
            }
        }
        self.refill(now);
        self.update_usual(now);
    }

    /// Refills the buckets if the process does not hear from all others, or has heard
    /// from all of them only since the last time.
    fn refill(&mut self, now: Time) {
        let complete = heard_members(&self.links, now) >= self.members;
        if complete && self.complete {
            return;
        }
        self.complete = complete;
        for (id, account) in &mut self.accounts {
            let others = others(account, *id, &self.links, self.members, now);
            account.refill(now, others.covered);
        }
    }

    /// Updates the usual demand, unless a process is silent: its share of the quota
    /// rests on the demand before.
    fn update_usual(&mut self, now: Time) {
        let elapsed = now.since(self.usual_at);
        if elapsed < USUAL_INTERVAL || heard_members(&self.links, now) < self.members {
            return;
        }
        self.usual_at = now;
        let weight = 1.0 - (-elapsed.div_duration_f64(USUAL_WINDOW)).exp();
        for account in self.accounts.values_mut() {
            account.usual += weight * (account.demand.rate(now) - account.usual);
        }
        for link in self.links.values_mut().filter(|link| link.live(now)) {
            for flow in link.flows.values_mut() {
                flow.usual += weight * (flow.demand - flow.usual);
            }
        }
    }

    /// Takes over the levels of a process that has counted for longer. Customers that
    /// it does not name have used nothing.
    fn adopt(&mut self, report: &Report, now: Time) {
        let named: Set<CustomerId> = report.usage.iter().map(|usage| usage.customer).collect();
        for (id, account) in &mut self.accounts {
            if !named.contains(id) {
                account.follow(account.capacity(), 0, now);
            }
        }
        self.settled = true;
    }

    /// Records what the parent has acknowledged, so that another parent can be told of
    /// the rest.
    fn note_told(&mut self, parent: &str) {
        let Some(link) = self.links.get(parent) else {
            return;
        };
        for (id, account) in &mut self.accounts {
            let flow = link.flow(*id);
            account.told = flow.zero + flow.sent;
        }
    }

    /// Forgets what other processes reported once this one hears from a parent that took
    /// their place. Until then their usual demand tells what they may use.
    pub fn retain(&mut self, partners: &Partners, now: Time) {
        let parent = partners.calls.iter().find(|partner| {
            let link = self.links.get(&partner.name);
            partner.role == Role::Parent && link.is_some_and(|link| link.live(now))
        });
        if let Some(parent) = parent {
            self.links
                .retain(|name, link| link.role == Role::Child || *name == parent.name);
        }
    }

    /// Returns the link with a partner, and creates it if there is none in this role.
    fn link_with(&mut self, partner: &str, role: Role) -> &mut Link {
        let links = &mut self.links;
        if links.get(partner).is_some_and(|link| link.role != role) {
            links.remove(partner);
        }
        links.entry(partner.to_owned()).or_insert_with(|| {
            let mut link = Link::new(role, self.random.u64(1..));
            for (id, account) in &self.accounts {
                link.flows.entry(*id).or_default().zero = match role {
                    Role::Parent => account.told,
                    Role::Peer => account.below,
                    Role::Child => account.all,
                };
            }
            link
        })
    }

    /// Returns the processes that a report to a partner covers.
    fn covered_members(&self, partner: &str, role: Role, now: Time) -> u32 {
        let links = self.links.iter().filter(|(name, link)| {
            link.live(now) && name.as_str() != partner && passes_on(link.role, role)
        });
        1 + links.map(|(_, link)| link.members).sum::<u32>()
    }

    /// Returns what to report to a partner, with counters from the start of the process.
    fn usages(&self, partner: &str, role: Role, now: Time) -> Vec<Usage> {
        let link = self.links.get(partner);
        let mut usages = Vec::new();
        for (id, account) in &self.accounts {
            let flow = link.map(|link| link.flow(*id)).unwrap_or_default();
            let (mut demand, mut silent) = (account.demand.rate(now), 0.0);
            for (name, link) in &self.links {
                if name == partner || !passes_on(link.role, role) {
                    continue;
                }
                let flow = link.flow(*id);
                if link.live(now) {
                    demand += flow.demand;
                    silent += flow.silent;
                } else {
                    silent += flow.usual;
                }
            }
            let admitted = counter(account, role, &flow);
            let unused = admitted == 0 && demand < f64::EPSILON && silent < f64::EPSILON;
            let level = account.level_at(now);
            if unused && level >= account.capacity() {
                continue;
            }
            usages.push(Usage {
                customer: *id,
                admitted,
                demand,
                silent,
                level,
            });
        }
        usages
    }
}

/// Returns whether what a process learns on a link of one role is reported on a link of
/// another.
fn passes_on(learned: Role, told: Role) -> bool {
    told == Role::Child || learned == Role::Child
}

/// Returns the counter of a customer that is reported to a partner: to a child all that
/// the process knows apart from the child's own, to others what the process and its
/// children admitted.
fn counter(account: &Account, role: Role, flow: &Flow) -> i64 {
    match role {
        Role::Child => account.all - flow.learned,
        Role::Parent | Role::Peer => account.below,
    }
}

/// Returns the processes that this one hears from, with itself.
fn heard_members(links: &Map<String, Link>, now: Time) -> u32 {
    let live = links.values().filter(|link| link.live(now));
    1 + live.map(|link| link.members).sum::<u32>()
}

/// Returns what is known of the other processes for one customer.
fn others(
    account: &Account,
    id: CustomerId,
    links: &Map<String, Link>,
    members: u32,
    now: Time,
) -> Others {
    let mut others = Others::default();
    let (mut usual, mut silent) = (account.usual, 0.0);
    let heard = heard_members(links, now);
    // While processes are silent, reports take detours and time-outs.
    let delay = if heard < members {
        SILENCE
    } else {
        REPORT_DELAY
    };
    for link in links.values() {
        let flow = link.flow(id);
        if !link.live(now) {
            silent += flow.usual;
            continue;
        }
        let age = link.heard.map_or(SILENCE, |heard| now.since(heard));
        others.demand += flow.demand;
        others.unseen += flow.demand * age.max(delay).as_secs_f64();
        usual += (flow.usual - flow.silent).max(0.0);
        silent += flow.silent;
    }
    others.covered = if heard >= members {
        1.0
    } else {
        let number = f64::from(heard) / f64::from(members);
        let total = usual + silent;
        let share = if total > f64::EPSILON {
            usual / total
        } else {
            number
        };
        f64::midpoint(share, number)
    };
    others
}
