//! The key-value store, without I/O.

use std::{collections::BTreeMap, time::Duration};

use guavacourse::modules::{collections::Map, time::Time};
use smol::channel::{Receiver, Sender, bounded};

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StoredValue {
    pub(super) value: Vec<u8>,
    pub(super) version: u64,
    lease: Option<u64>,
}

/// Why a write was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteError {
    /// The expected version differs from the current one, which is given here; 0
    /// if the key does not exist.
    Conflict(u64),
    /// The lease has expired.
    LeaseExpired,
}

/// What a store holds at one moment.
#[derive(Clone, Debug)]
pub(super) struct Content {
    version: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
}

/// A versioned key-value store with leases and watches.
#[derive(Debug, Default)]
pub(super) struct Store {
    version: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    watchers: Map<String, Vec<Sender<()>>>,
    /// Era that the answers name; 0 if they name none.
    pub(super) era: u64,
}

impl Store {
    pub(super) fn get(&self, key: &str) -> Option<&StoredValue> {
        self.keys.get(key)
    }

    /// Returns a copy of the content.
    pub(super) fn content(&self) -> Content {
        Content {
            version: self.version,
            keys: self.keys.clone(),
            leases: self.leases.clone(),
            next_lease: self.next_lease,
        }
    }

    /// Goes back to an older copy, and begins the next era.
    pub(super) fn restore(&mut self, content: Content) {
        self.version = content.version;
        self.keys = content.keys;
        self.leases = content.leases;
        self.next_lease = content.next_lease;
        self.era += 1;
        self.watchers.clear();
    }

    /// Returns a channel that closes at the next change of `key`.
    pub(super) fn watch(&mut self, key: &str) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let watchers = self.watchers.entry(key.to_owned()).or_default();
        watchers.retain(|watcher| !watcher.is_closed());
        watchers.push(sender);
        receiver
    }

    /// Writes a value if the current version of the key is `expected`, and returns
    /// the new version.
    pub(super) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        expected: u64,
        lease: Option<u64>,
    ) -> Result<u64, WriteError> {
        self.check_version(key, expected)?;
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(WriteError::LeaseExpired);
        }
        self.version += 1;
        let stored = StoredValue {
            value,
            version: self.version,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        self.watchers.remove(key);
        Ok(self.version)
    }

    /// Removes a key if its current version is `expected`.
    pub(super) fn delete(&mut self, key: &str, expected: u64) -> Result<(), WriteError> {
        self.check_version(key, expected)?;
        self.remove(key);
        Ok(())
    }

    pub(super) fn grant(&mut self, now: Time, ttl: Duration) -> u64 {
        self.next_lease += 1;
        let expires_at = now.after(ttl);
        self.leases
            .insert(self.next_lease, Lease { ttl, expires_at });
        self.next_lease
    }

    pub(super) fn renew(&mut self, now: Time, id: u64) -> Result<(), WriteError> {
        let lease = self.leases.get_mut(&id).ok_or(WriteError::LeaseExpired)?;
        lease.expires_at = now.after(lease.ttl);
        Ok(())
    }

    /// Ends a lease and removes its keys.
    pub(super) fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = |stored: &StoredValue| stored.lease == Some(id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| held(stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Revokes each lease that has expired.
    pub(super) fn expire(&mut self, now: Time) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns an error if the current version of `key` is not `expected`.
    fn check_version(&self, key: &str, expected: u64) -> Result<(), WriteError> {
        let current = self.get(key).map_or(0, |stored| stored.version);
        if current == expected {
            return Ok(());
        }
        Err(WriteError::Conflict(current))
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.version += 1;
            self.watchers.remove(key);
        }
    }
}
