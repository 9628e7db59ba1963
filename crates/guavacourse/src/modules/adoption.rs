//! Decides which revision of the configuration a process puts in force.
//!
//! Revisions only increase: a process never adopts a lower revision, or another
//! body for the revision in force, whatever the store or a peer offers.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::catalog::stable_hash;

/// Identifies one body of the configuration. Revision 0 means none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default)]
pub struct Stamp {
    /// Sequence number among the accepted configurations, from 1.
    pub revision: u64,
    /// Hash of the body.
    pub digest: u64,
}

impl Stamp {
    /// Creates the stamp of `body` as `revision`.
    #[must_use]
    pub fn of(revision: u64, body: &[u8]) -> Self {
        Self {
            revision,
            digest: stable_hash(body),
        }
    }
}

/// How an offered revision compares with the one in force.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RevisionOrder {
    /// It is newer: fetch its body and adopt it.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older: the source lags.
    Older,
    /// It has the revision in force with another body: the source is wrong.
    Conflicting,
}

/// Why a body was not adopted.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum Refusal {
    /// The revision in force is higher.
    #[error(
        "revision {offered} is below revision {held} in force; \
         if the store was restored, apply the wanted configuration with --above {held}"
    )]
    Older {
        /// Revision in force.
        held: u64,
        /// Revision offered.
        offered: u64,
    },
    /// The revision in force has another body.
    #[error(
        "revision {revision} was offered with another body than the one in force; \
         apply the wanted configuration with --above {revision}"
    )]
    Conflicting {
        /// Revision in force and offered.
        revision: u64,
    },
    /// The body does not have the digest of its stamp.
    #[error("the body of revision {revision} is damaged; it is fetched again")]
    Damaged {
        /// Revision offered.
        revision: u64,
    },
}

/// The revision in force, and the number of refused offers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Adoption {
    held: Stamp,
    refused: u64,
}

impl Adoption {
    /// Returns the stamp in force.
    #[must_use]
    pub fn current(&self) -> Stamp {
        self.held
    }

    /// Returns how many lower or conflicting revisions were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Compares an offer with the revision in force.
    #[must_use]
    pub fn compare(&self, offered: Stamp) -> RevisionOrder {
        if offered.revision > self.held.revision {
            return RevisionOrder::Newer;
        }
        if offered.revision < self.held.revision {
            return RevisionOrder::Older;
        }
        if offered.digest == self.held.digest {
            return RevisionOrder::Same;
        }
        RevisionOrder::Conflicting
    }

    /// Puts a body in force if its stamp is newer and its digest is `digest`.
    /// Returns whether it changed the revision in force.
    ///
    /// # Errors
    ///
    /// Returns why the body was refused; the revision in force stays.
    pub fn adopt(&mut self, offered: Stamp, digest: u64) -> Result<bool, Refusal> {
        let revision = offered.revision;
        match self.compare(offered) {
            RevisionOrder::Same => Ok(false),
            RevisionOrder::Newer if offered.digest != digest => Err(Refusal::Damaged { revision }),
            RevisionOrder::Newer => {
                self.held = offered;
                Ok(true)
            }
            RevisionOrder::Older => Err(Refusal::Older {
                held: self.held.revision,
                offered: revision,
            }),
            RevisionOrder::Conflicting => Err(Refusal::Conflicting { revision }),
        }
    }

    /// Counts a lower or conflicting offer from a source that should hold the
    /// latest revision, and returns why it is refused; `None` if the offer is
    /// neither.
    pub fn refuse(&mut self, offered: Stamp) -> Option<Refusal> {
        let refusal = self.adopt(offered, offered.digest.wrapping_add(1)).err()?;
        if matches!(refusal, Refusal::Damaged { .. }) {
            return None;
        }
        self.refused += 1;
        Some(refusal)
    }
}
