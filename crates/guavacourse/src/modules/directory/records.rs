//! Entries of the registry, and changes to them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::modules::{
    collections::Map,
    crash_evidence::{CrashReport, CrashedLeaf},
    customers::Customer,
    inventory::{Address, CallerLimits, Kind},
    members::{Member, MemberState},
};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Deployment {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Connections that one leaf accepts from the whole fleet, by service.
    pub connections: Map<String, u32>,
    /// Bounds on what callers may send.
    pub callers: CallerLimits,
    /// Calls a second that a cold leaf takes from the whole fleet, by service; cold
    /// leaves of other services take as many as warm ones.
    #[serde(skip_serializing_if = "Map::is_empty")]
    pub warm_ups: Map<String, f64>,
    /// Customers whose callers must send a key; `None` if callers need none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Customer>>,
}

/// Entry of a leaf, written by the leaf itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeafRecord {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Where it serves HTTP.
    pub address: Address,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: MemberState,
    /// Its incarnation; increases with each start.
    pub born: u64,
    /// Sequence number of the record within the incarnation.
    pub sequence: u64,
    /// How much longer it stays cold.
    #[serde(default, with = "humantime_serde")]
    pub cold: Duration,
}

/// A change in the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A configuration was written.
    Deployed(Box<Deployment>),
    /// A leaf wrote its entry.
    Leaf(LeafRecord),
    /// The entry of a leaf is gone.
    LeafGone(String),
    /// A process of the fleet registered.
    Member(Member),
    /// A process of the fleet is gone.
    MemberGone(String),
    /// A process reported a crash of a leaf.
    Crashed(CrashReport),
    /// The report of a crash is gone.
    CrashGone {
        /// Fingerprint of the request's content.
        content: u64,
        /// The leaf.
        leaf: CrashedLeaf,
    },
    /// The report of a crash was withdrawn, because a leaf has answered the content.
    CrashWithdrawn {
        /// Fingerprint of the request's content.
        content: u64,
        /// The leaf.
        leaf: CrashedLeaf,
    },
    /// Operators asked that nothing is sent to the leaves of a data centre.
    Evacuated(String),
    /// Operators took that back.
    EvacuationEnded(String),
    /// An entry cannot be read.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

impl Change {
    /// Returns the version of the configuration that was written; 0 for other changes.
    #[must_use]
    pub fn version(&self) -> u64 {
        match self {
            Self::Deployed(deployment) => deployment.version,
            _ => 0,
        }
    }

    /// Returns the process that registered, if this is its entry.
    #[must_use]
    pub fn member(&self) -> Option<&Member> {
        match self {
            Self::Member(member) => Some(member),
            _ => None,
        }
    }
}

/// What a call to the registry returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistryReading {
    /// Revision of the registry after which to ask for further changes.
    pub as_of: u64,
    /// The whole content as changes, or the changes since an earlier reading.
    pub changes: Vec<Change>,
}

impl RegistryReading {
    /// Removes the changes of leaves, and returns the rest.
    #[must_use]
    pub fn without_leaves(mut self) -> Self {
        self.changes
            .retain(|change| !matches!(change, Change::Leaf(_) | Change::LeafGone(_)));
        self
    }
}

/// What a call that lists the registry returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListReading {
    /// The whole content, or the part of it that was listed.
    pub reading: RegistryReading,
    /// How much of the registry it holds.
    pub extent: Extent,
}

/// How much of the registry a list holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Extent {
    /// Only a part was wanted, or the list does not move on.
    #[default]
    Part,
    /// All of it.
    Whole,
    /// The list is too long to be read to its end.
    Cut,
}

/// An event in the directory, for the log of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryEvent {
    /// A version came into force.
    InForce {
        /// The version.
        version: u64,
    },
    /// A lower version than the one in force was offered.
    OlderVersion {
        /// The version in force.
        held: u64,
        /// The version offered.
        offered: u64,
    },
    /// The leaves were read for the first time.
    Loaded {
        /// How many there are.
        leaves: usize,
    },
    /// A leaf registered, or its entry changed.
    Registered {
        /// Its name.
        leaf: String,
        /// Whether it accepts new work.
        state: MemberState,
        /// Its incarnation.
        born: u64,
    },
    /// The entry of a leaf is older than the one known, and is ignored.
    OldEntry {
        /// Its name.
        leaf: String,
    },
    /// A leaf was removed.
    Gone {
        /// Its name.
        leaf: String,
    },
    /// Request content is quarantined, because leaves crash under it.
    Quarantined {
        /// Its fingerprint.
        content: u64,
        /// The leaves.
        leaves: Vec<CrashedLeaf>,
    },
    /// Request content is no longer quarantined, because a leaf has answered it.
    Released {
        /// Its fingerprint.
        content: u64,
    },
    /// Nothing is sent to the leaves of a data centre.
    Evacuated {
        /// Name of the data centre.
        data_centre: String,
    },
    /// The leaves of a data centre may be called again.
    EvacuationEnded {
        /// Name of the data centre.
        data_centre: String,
    },
    /// An entry cannot be read; reported again only if its fault changes.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}
