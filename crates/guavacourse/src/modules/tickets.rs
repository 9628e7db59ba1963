//! Tickets: ids of non-idempotent actions that an entry mints without keeping
//! any state.
//!
//! A ticket names the instance and incarnation that minted it. Only that
//! incarnation ever runs its action.

use std::{
    fmt,
    hash::{BuildHasher, RandomState},
    str::FromStr,
};

use thiserror::Error;

use super::ledger::Serial;

/// Maximum length of a ticket that is parsed, in bytes.
const MAX_TICKET_BYTES: usize = 256;

/// Id of one action. Its text is `INSTANCE.INCARNATION.SERIAL.TAG`, with the
/// numbers in hexadecimal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Name of the instance that minted it.
    pub instance: String,
    /// Incarnation of the process that minted it.
    pub incarnation: u64,
    /// Number of the ticket within the incarnation.
    pub serial: Serial,
    /// Keyed hash over the serial, which makes the ticket unguessable.
    pub tag: u64,
}

impl Ticket {
    /// Returns the id that backend servers see: the ticket without its tag.
    #[must_use]
    pub fn action_id(&self) -> String {
        let Serial(serial) = self.serial;
        format!("{}.{:x}.{serial:x}", self.instance, self.incarnation)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.action_id(), self.tag)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(TicketError::Syntax);
        }
        let mut fields = text.rsplitn(4, '.');
        let tag = parse_hex(fields.next())?;
        let serial = Serial(parse_hex(fields.next())?);
        let incarnation = parse_hex(fields.next())?;
        let instance = fields.next().ok_or(TicketError::Syntax)?;
        let ticket = Self {
            instance: instance.to_owned(),
            incarnation,
            serial,
            tag,
        };
        let canonical = !instance.is_empty() && ticket.to_string() == text;
        canonical.then_some(ticket).ok_or(TicketError::Syntax)
    }
}

fn parse_hex(field: Option<&str>) -> Result<u64, TicketError> {
    let field = field.ok_or(TicketError::Syntax)?;
    u64::from_str_radix(field, 16).map_err(|_| TicketError::Syntax)
}

/// Why a ticket was refused. Nothing ran.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TicketError {
    /// The text is not a ticket.
    #[error("the ticket is malformed; send it as POST /tickets returned it")]
    Syntax,
    /// The tag does not match.
    #[error("the ticket was not minted here; fetch one by POST /tickets")]
    Forged,
}

/// Where the action of a ticket may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketOrigin {
    /// On this incarnation.
    Own(Serial),
    /// Nowhere: an earlier incarnation of this instance minted it.
    PastIncarnation,
    /// On another instance.
    Other,
}

/// Mints the tickets of one incarnation and detects forged ones.
#[derive(Clone, Debug)]
pub struct Issuer {
    instance: String,
    incarnation: u64,
    secret: RandomState,
}

impl Issuer {
    /// Creates an issuer with its own random secret.
    #[must_use]
    pub fn new(instance: impl Into<String>, incarnation: u64) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            secret: RandomState::new(),
        }
    }

    /// Returns the ticket for a serial that the ledger has allocated.
    #[must_use]
    pub fn sign(&self, serial: Serial) -> Ticket {
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            serial,
            tag: self.tag(serial),
        }
    }

    /// Returns where the action of `ticket` may run.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError::Forged`] if the ticket names this incarnation but its
    /// tag does not match.
    pub fn origin(&self, ticket: &Ticket) -> Result<TicketOrigin, TicketError> {
        if ticket.instance != self.instance {
            return Ok(TicketOrigin::Other);
        }
        if ticket.incarnation != self.incarnation {
            return Ok(TicketOrigin::PastIncarnation);
        }
        let genuine = ticket.tag == self.tag(ticket.serial);
        genuine
            .then_some(TicketOrigin::Own(ticket.serial))
            .ok_or(TicketError::Forged)
    }

    fn tag(&self, serial: Serial) -> u64 {
        self.secret.hash_one((self.incarnation, serial))
    }
}
