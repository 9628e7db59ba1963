//! Finds the customer of a request by its key.

use std::sync::Arc;

use thiserror::Error;

use super::customer::{ApiKey, Customer};
use crate::modules::collections::Map;

/// How a request identifies its customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// Not at all.
    #[default]
    Missing,
    /// In a way that cannot be read; the text says what is wrong.
    Malformed(&'static str),
    /// By a key.
    Key(ApiKey),
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Denial {
    /// It has no key.
    #[error("the request has no key; send one as a bearer token")]
    MissingKey,
    /// Its key cannot be read.
    #[error("the key of the request cannot be read: {0}")]
    MalformedKey(&'static str),
    /// No customer holds its key.
    #[error("no customer holds this key; ask the operators for another")]
    UnknownKey,
}

/// Customers by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    by_key: Map<ApiKey, Arc<Customer>>,
    by_name: Map<String, Arc<Customer>>,
}

impl Keyring {
    /// Creates the keyring of customers that have passed [`super::check`].
    #[must_use]
    pub fn new(customers: &[Customer]) -> Self {
        let mut keyring = Self::default();
        for customer in customers {
            let customer = Arc::new(customer.clone());
            let keys = customer.keys.iter();
            let entries = keys.map(|key| (key.clone(), Arc::clone(&customer)));
            keyring.by_key.extend(entries);
            let name = customer.name.clone();
            keyring.by_name.insert(name, customer);
        }
        keyring
    }

    /// Returns the customer of a request; `None` if its kind is open to `anonymous`
    /// requests and it has no key.
    ///
    /// # Errors
    ///
    /// Returns why the request is denied.
    pub fn identify(
        &self,
        credential: &Credential,
        anonymous: bool,
    ) -> Result<Option<Arc<Customer>>, Denial> {
        match credential {
            Credential::Missing if anonymous => Ok(None),
            Credential::Missing => Err(Denial::MissingKey),
            Credential::Malformed(fault) => Err(Denial::MalformedKey(fault)),
            Credential::Key(key) => {
                let found = self.by_key.get(key).cloned();
                found.map(Some).ok_or(Denial::UnknownKey)
            }
        }
    }

    /// Returns the customer called `name`.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }
}
