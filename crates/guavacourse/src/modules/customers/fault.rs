//! Checks the customers of a configuration.

use thiserror::Error;

use super::customer::{ApiKey, Customer, Quota};
use crate::modules::collections::{Map, Set};

/// Why the customers of a configuration are refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CustomerFault {
    /// A customer has no name.
    #[error("a customer has no name; give it one")]
    Unnamed,
    /// The name of a customer cannot be sent in a header.
    #[error("the name `{0}` of a customer is not visible ASCII; use such characters only")]
    Unprintable(String),
    /// Two customers have the same name.
    #[error("two customers are named `{0}`; rename one")]
    SameName(String),
    /// Two customers hold the same key.
    #[error("`{first}` and `{second}` hold the same key; give each its own")]
    SharedKey {
        /// Name of the first.
        first: String,
        /// Name of the second.
        second: String,
    },
    /// A key is empty.
    #[error("`{0}` has an empty key; remove it")]
    EmptyKey(String),
    /// A quota is negative or infinite.
    #[error("the quota of `{0}` is not a number of 0 or more; give such a rate and burst")]
    InvalidQuota(String),
}

/// Checks the customers of a configuration.
///
/// # Errors
///
/// Returns the first fault.
pub fn check(customers: &[Customer]) -> Result<(), CustomerFault> {
    let mut names: Set<&str> = Set::default();
    let mut holders: Map<&ApiKey, &str> = Map::default();
    for customer in customers {
        let name = customer.name.as_str();
        if name.is_empty() {
            return Err(CustomerFault::Unnamed);
        }
        if !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(CustomerFault::Unprintable(name.to_owned()));
        }
        if !names.insert(name) {
            return Err(CustomerFault::SameName(name.to_owned()));
        }
        for key in &customer.keys {
            if key.0.is_empty() {
                return Err(CustomerFault::EmptyKey(name.to_owned()));
            }
            if let Some(first) = holders.insert(key, name).filter(|first| *first != name) {
                return Err(CustomerFault::SharedKey {
                    first: first.to_owned(),
                    second: name.to_owned(),
                });
            }
        }
        if customer.quota.is_some_and(|quota| !is_valid(quota)) {
            return Err(CustomerFault::InvalidQuota(name.to_owned()));
        }
    }
    Ok(())
}

fn is_valid(quota: Quota) -> bool {
    let valid = |number: f64| number.is_finite() && number >= 0.0;
    valid(quota.rate) && valid(quota.burst)
}
