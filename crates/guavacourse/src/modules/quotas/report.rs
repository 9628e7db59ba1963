//! What processes tell each other of the use of quotas.

use crate::modules::catalog::stable_hash;

/// Identifies a customer in reports, by the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerId(pub u64);

impl CustomerId {
    /// Returns the identity of the customer called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// What a process is to the one that reports to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A process of the same data centre that reports here.
    Child,
    /// The process of the same data centre to which this one reports.
    Parent,
    /// The first process of another data centre.
    Peer,
}

/// What one process tells another of the use of quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Chosen anew whenever the sender starts to count on the link.
    pub nonce: u64,
    /// Number of the report under this nonce, from 1.
    pub sequence: u32,
    /// Number of the last report that the sender has received; 0 if none.
    pub ack: u32,
    /// Processes that the report covers.
    pub members: u32,
    /// Whether `usage` names every customer whose quota was used.
    pub whole: bool,
    /// Whether the levels rest on a full window of counting.
    pub settled: bool,
    /// Customers whose use changed.
    pub usage: Vec<Usage>,
}

/// Use of one customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The customer.
    pub customer: CustomerId,
    /// Requests admitted since the sender started to count on the link, less those that
    /// were refunded.
    pub admitted: i64,
    /// Requests asked, a second.
    pub demand: f64,
    /// Usual demand of the processes from which the sender hears nothing.
    pub silent: f64,
    /// Requests left in the sender's bucket; negative if it is overdrawn.
    pub level: f64,
}
