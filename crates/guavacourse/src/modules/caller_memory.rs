//! Limits what all callers together, or all peers, can make a process hold.
//!
//! One account covers the bytes and the connections of all callers. When it is full, the
//! callers with the least progress lose their connections: see
//! `docs/design/caller-memory.md`. Callers whose requests run are never among them.

mod caller;
mod limits;

use slotmap::{SlotMap, new_key_type};

use self::caller::{Caller, Phase, Rank};
pub use self::limits::{CallerLimits, InstanceLimits, RECEIVE_BUFFER, WAITING_CONNECTIONS};
use super::time::Time;

/// Bytes up to which a connection may use the reserve: an ordinary request fits.
const SMALL_BYTES: usize = 32 * 1_024;

/// Connections that hold less free too little memory, and lose it last.
const MIN_FREED_BYTES: usize = 4 * 1_024;

/// Fraction of the limit that is freed beyond what is needed, so that a full account
/// does not choose victims at each read.
const HEADROOM_DIVISOR: usize = 16;

/// Factor on the bytes of a running request: the call to a leaf holds a copy.
const RUNNING_COPIES: usize = 2;

new_key_type! {
    /// Key of a connection.
    pub struct CallerKey;
}

/// The account has no room, and no connection that can give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

/// The account of all connections of callers.
#[derive(Debug)]
pub struct CallerMemory {
    limits: CallerLimits,
    callers: SlotMap<CallerKey, Caller>,
    /// Bytes that all connections hold.
    held: usize,
    /// Bytes and number of the connections that were told to close and have not yet.
    leaving: (usize, usize),
    /// Connections that must close and were not told yet.
    victims: Vec<CallerKey>,
}

impl CallerMemory {
    /// Creates an empty account.
    #[must_use]
    pub fn new(limits: CallerLimits) -> Self {
        Self {
            limits,
            callers: SlotMap::with_key(),
            held: 0,
            leaving: (0, 0),
            victims: Vec::new(),
        }
    }

    /// Returns the connections that must close for others since the last call.
    pub fn take_victims(&mut self) -> Vec<CallerKey> {
        std::mem::take(&mut self.victims)
    }

    /// Adds a connection, for which another may have to close.
    ///
    /// # Errors
    ///
    /// Returns an error if the request of every other connection runs.
    pub fn open(&mut self, now: Time) -> Result<CallerKey, NoRoom> {
        let full = self.callers.len() - self.leaving.1 >= self.limits.connections;
        if full && !self.evict_connection(now) {
            return Err(NoRoom);
        }
        Ok(self.callers.insert(Caller::new(now)))
    }

    /// Chooses the connection with the least progress, which must close; returns false if
    /// the requests of all run.
    pub fn evict_connection(&mut self, now: Time) -> bool {
        let victim = self.weakest(|caller| caller.rank(now));
        if let Some(victim) = victim {
            self.mark(victim);
        }
        victim.is_some()
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, key: CallerKey) {
        self.set_held(key, 0);
        if self
            .callers
            .remove(key)
            .is_some_and(|caller| caller.leaving)
        {
            self.leaving.1 -= 1;
        }
    }

    /// Records that a connection waits for a request.
    pub fn wait(&mut self, key: CallerKey, now: Time) {
        self.set_phase(key, Phase::Idle, now);
    }

    /// Records that the first bytes of a request have arrived.
    pub fn begin(&mut self, key: CallerKey, now: Time) {
        self.set_phase(key, Phase::Receiving, now);
    }

    /// Records that bytes of a request have passed, which begins with them if the
    /// connection has waited for one.
    pub fn receive(&mut self, key: CallerKey, bytes: usize, now: Time) {
        if let Some(caller) = self.callers.get_mut(key) {
            if caller.is_idle() {
                caller.enter(Phase::Receiving, now);
            }
            caller.moved(bytes, now);
        }
    }

    /// Records that a response is being written.
    pub fn answer(&mut self, key: CallerKey, now: Time) {
        self.set_phase(key, Phase::Writing, now);
    }

    /// Records that bytes of the request or the response have passed.
    pub fn moved(&mut self, key: CallerKey, bytes: usize, now: Time) {
        if let Some(caller) = self.callers.get_mut(key) {
            caller.moved(bytes, now);
        }
    }

    /// Sets the bytes that a connection holds, for which others may have to close.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it, or if it makes the least progress.
    pub fn charge(&mut self, key: CallerKey, held: usize, now: Time) -> Result<(), NoRoom> {
        self.set_held(key, held);
        let bound = if held <= SMALL_BYTES {
            self.limits.bytes
        } else {
            self.limits.bytes - self.limits.reserve
        };
        if self.staying() <= bound {
            return Ok(());
        }
        let target = bound - bound / HEADROOM_DIVISOR;
        while self.staying() > target {
            let holding = |least: usize| {
                move |caller: &Caller| caller.rank(now).filter(|_| caller.held >= least)
            };
            let large = self.weakest(holding(MIN_FREED_BYTES));
            let Some(victim) = large.or_else(|| self.weakest(holding(1))) else {
                break;
            };
            if victim == key {
                return Err(NoRoom);
            }
            self.mark(victim);
        }
        if self.staying() > bound {
            return Err(NoRoom);
        }
        Ok(())
    }

    /// Charges a connection for further bytes, such as those read ahead.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them: no more may be read.
    pub fn extend(&mut self, key: CallerKey, bytes: usize, now: Time) -> Result<(), NoRoom> {
        let held = self.callers.get(key).map_or(0, |caller| caller.held);
        self.charge(key, held.saturating_add(bytes), now)
    }

    /// Records that the request of a connection runs, and charges it for `held` bytes and
    /// the copies that running it takes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it: it must not run.
    pub fn run(&mut self, key: CallerKey, held: usize, now: Time) -> Result<(), NoRoom> {
        self.charge(key, held.saturating_mul(RUNNING_COPIES), now)?;
        self.set_phase(key, Phase::Running, now);
        Ok(())
    }

    /// Returns whether connections that were told to close still hold bytes beyond the
    /// limit: others must wait until they have let go.
    #[must_use]
    pub fn must_wait(&self) -> bool {
        self.leaving.0 > 0 && self.held > self.limits.bytes
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections, including those that were told to close.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether more connections are open than may be, because some that were told
    /// to close have not yet.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.callers.len() > self.limits.connections.saturating_add(self.limits.closing)
    }

    /// Returns the bytes held by the connections that were not told to close.
    fn staying(&self) -> usize {
        self.held - self.leaving.0
    }

    fn set_held(&mut self, key: CallerKey, held: usize) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        self.held = self.held - caller.held + held;
        if caller.leaving {
            self.leaving.0 = self.leaving.0 - caller.held + held;
        }
        caller.held = held;
    }

    fn set_phase(&mut self, key: CallerKey, phase: Phase, now: Time) {
        if let Some(caller) = self.callers.get_mut(key) {
            caller.enter(phase, now);
        }
    }

    /// Marks a connection as told to close.
    fn mark(&mut self, key: CallerKey) {
        if let Some(caller) = self.callers.get_mut(key) {
            caller.leaving = true;
            self.leaving.0 += caller.held;
            self.leaving.1 += 1;
            self.victims.push(key);
        }
    }

    /// Returns the connection of the lowest rank.
    fn weakest(&self, rank: impl Fn(&Caller) -> Option<Rank>) -> Option<CallerKey> {
        let staying = self.callers.iter().filter(|(_, caller)| !caller.leaving);
        let ranked = staying.filter_map(|(key, caller)| Some((rank(caller)?, key)));
        ranked.min().map(|(_, key)| key)
    }
}
