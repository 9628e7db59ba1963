//! Records the outcomes of the tickets that an entry minted, so that each
//! action runs at most once.
//!
//! A serial is the time at which it was allocated, made unique. Serials below
//! the *floor* never run. The floor rises with the entry's monotonic clock, and
//! past each record that is removed. So a serial without a record, at or above
//! the floor, has never run.

use std::collections::BTreeMap;

use crate::configs::ledger::LedgerConfig;

use super::{
    catalog::stable_hash,
    outcome::{ActionOutcome, NotRunCause},
    time::{Time, micros},
};

/// Number of a ticket within an incarnation: microseconds of the entry's
/// monotonic clock, made unique.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Serial(pub u64);

impl Serial {
    fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Hash of an action's kind, key and body, which distinguishes a resend from a
/// different request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of an action, equal in every process.
    #[must_use]
    pub fn of(kind: &str, key: u32, body: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(kind.len() + body.len() + 5);
        bytes.extend_from_slice(kind.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&key.to_le_bytes());
        bytes.extend_from_slice(body);
        Self(stable_hash(&bytes))
    }
}

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LedgerAdmission {
    /// Run it, and pass its outcome to [`Ledger::finish`].
    Run,
    /// It is running: wait for its outcome.
    Running,
    /// It has ended: return the recorded outcome.
    Ended(ActionOutcome),
    /// The ticket was used for another request.
    Mismatch,
    /// It may have run, but its record is gone. It never runs again.
    Expired,
}

/// What the ledger stores for one used ticket.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Record {
    digest: Digest,
    state: State,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum State {
    Running,
    Ended {
        outcome: ActionOutcome,
        expires: Time,
    },
}

/// Bytes of memory that one record takes, without the body of its outcome.
/// Doubled because records inserted in the order of their serials leave the
/// nodes of the B-tree half full.
pub const RECORD_BYTES: usize = size_of::<(Serial, Record)>() * 2;

/// The used tickets of one incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    settings: LedgerConfig,
    /// Latest time seen.
    now: Time,
    /// Last serial allocated.
    last: Serial,
    /// Lowest serial that may still run.
    floor: Serial,
    running: usize,
    bytes: usize,
    records: BTreeMap<Serial, Record>,
}

impl Ledger {
    /// Creates the ledger of a new incarnation.
    #[must_use]
    pub fn new(settings: LedgerConfig) -> Self {
        Self {
            settings,
            now: Time::default(),
            last: Serial::default(),
            floor: Serial(1),
            running: 0,
            bytes: 0,
            records: BTreeMap::new(),
        }
    }

    /// Allocates a serial, without storing a record of it.
    pub fn allocate(&mut self, now: Time) -> Serial {
        self.advance(now);
        self.last = self.last.next().max(Serial(self.now.0));
        self.last
    }

    /// Decides what to do with a request that carries the ticket of `serial`.
    pub fn begin(&mut self, serial: Serial, digest: Digest, now: Time) -> LedgerAdmission {
        self.advance(now);
        if let Some(admission) = self.lookup(serial, digest) {
            return admission;
        }
        if self.running >= self.settings.running {
            return self.insert_refused(serial, digest, NotRunCause::Overloaded);
        }
        self.running += 1;
        self.insert(serial, digest, State::Running);
        LedgerAdmission::Run
    }

    /// Records the outcome of a serial for which [`Ledger::begin`] returned
    /// [`LedgerAdmission::Run`].
    pub fn finish(&mut self, serial: Serial, outcome: ActionOutcome, now: Time) {
        self.advance(now);
        let expires = self.expiry();
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        if record.state != State::Running {
            return;
        }
        self.running -= 1;
        self.bytes += outcome.heap_bytes();
        record.state = State::Ended { outcome, expires };
        self.evict();
    }

    /// Returns the lowest serial that may still run.
    #[must_use]
    pub fn floor(&self) -> Serial {
        self.floor
    }

    /// Returns the number of running actions.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns an estimate of the memory that the records take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the decision on a serial that has a record or must not run.
    fn lookup(&self, serial: Serial, digest: Digest) -> Option<LedgerAdmission> {
        let Some(record) = self.records.get(&serial) else {
            let may_run = (self.floor..=self.last).contains(&serial);
            return (!may_run).then_some(LedgerAdmission::Expired);
        };
        if record.digest != digest {
            return Some(LedgerAdmission::Mismatch);
        }
        Some(match &record.state {
            State::Running => LedgerAdmission::Running,
            State::Ended { outcome, .. } => LedgerAdmission::Ended(outcome.clone()),
        })
    }

    fn insert_refused(
        &mut self,
        serial: Serial,
        digest: Digest,
        cause: NotRunCause,
    ) -> LedgerAdmission {
        let outcome = ActionOutcome::NotRun(cause);
        let state = State::Ended {
            outcome: outcome.clone(),
            expires: self.expiry(),
        };
        self.insert(serial, digest, state);
        LedgerAdmission::Ended(outcome)
    }

    fn insert(&mut self, serial: Serial, digest: Digest, state: State) {
        self.bytes += RECORD_BYTES;
        self.records.insert(serial, Record { digest, state });
        self.evict();
    }

    /// Returns when an outcome that is recorded now expires.
    fn expiry(&self) -> Time {
        self.now.after(self.settings.retention)
    }

    /// Advances the clock, raises the floor and removes expired records.
    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        let oldest = self.now.0.saturating_sub(micros(self.settings.retention));
        self.floor = self.floor.max(Serial(oldest));
        while let Some((serial, record)) = self.records.first_key_value() {
            match record.state {
                State::Ended { expires, .. } if expires <= self.now => self.remove(*serial),
                _ => return,
            }
        }
    }

    /// Removes the oldest outcomes while the records exceed their memory limit.
    fn evict(&mut self) {
        while self.bytes > self.settings.kept_bytes {
            let ended = |(_, record): &(&Serial, &Record)| record.state != State::Running;
            let Some((serial, _)) = self.records.iter().find(ended) else {
                return;
            };
            self.remove(*serial);
        }
    }

    /// Removes a record and raises the floor above its serial, which therefore
    /// never runs again.
    fn remove(&mut self, serial: Serial) {
        let Some(record) = self.records.remove(&serial) else {
            return;
        };
        self.floor = self.floor.max(serial.next());
        self.bytes -= RECORD_BYTES;
        if let State::Ended { outcome, .. } = record.state {
            self.bytes -= outcome.heap_bytes();
        }
    }
}
