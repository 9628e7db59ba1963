//! Faults of a configuration. Each message names the place and the remedy.

use std::{fmt, net::SocketAddr};

use serde::Serialize;
use thiserror::Error;

use crate::modules::keys::{KEY_SPACE, KeyRange};

/// A named part of the configuration.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// An entry of `data-centres`.
    DataCentre(String),
    /// An entry of `instances`.
    Instance(String),
    /// An entry of `kinds`.
    Kind(String),
    /// An entry of a service's `leaves`.
    Leaf(String),
    /// An entry of `services`.
    Service(String),
}

impl Place {
    /// Returns the category of the part, as messages name it.
    #[must_use]
    pub fn category(&self) -> &'static str {
        match self {
            Self::DataCentre(_) => "data centre",
            Self::Instance(_) => "instance",
            Self::Kind(_) => "kind",
            Self::Leaf(_) => "leaf",
            Self::Service(_) => "service",
        }
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::DataCentre(name)
            | Self::Instance(name)
            | Self::Kind(name)
            | Self::Leaf(name)
            | Self::Service(name) => name,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.category(), self.name())
    }
}

/// Why a configuration was refused.
#[derive(Clone, Debug, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The text is not TOML, or a key or value has the wrong shape.
    #[error("line {line}, column {column}: {message}; {remedy}")]
    Syntax {
        /// Line of the fault, from 1.
        line: usize,
        /// Column of the fault, from 1.
        column: usize,
        /// What the parser found.
        message: String,
        /// What to change.
        remedy: &'static str,
    },
    /// A part has no name.
    #[error("a {} has no name; add `name`", .0.category())]
    NoName(Place),
    /// Two parts of one kind have the same name.
    #[error("{0} is there twice; rename or remove one")]
    DuplicateName(Place),
    /// A part has no address.
    #[error(
        "{place}: `{key}` is not an address; write IP number and port, such as \"10.0.0.1:7000\""
    )]
    NoAddress {
        /// The part.
        place: Place,
        /// The key.
        key: &'static str,
    },
    /// Two parts have the same address.
    #[error("{first} and {second} both have address {address}; give each its own")]
    DuplicateAddress {
        /// The part that comes first.
        first: Place,
        /// The part that comes second.
        second: Place,
        /// The address.
        address: SocketAddr,
    },
    /// A part names a data centre that is not listed.
    #[error(
        "{place}: `data-centre` names `{name}`, which `data-centres` does not list; correct it or add the data centre"
    )]
    UnknownDataCentre {
        /// The part.
        place: Place,
        /// The unknown name.
        name: String,
    },
    /// A kind names a service that is not listed.
    #[error(
        "{place}: `services` names `{name}`, which `services` does not list; correct it or add the service"
    )]
    UnknownService {
        /// The kind.
        place: Place,
        /// The unknown name.
        name: String,
    },
    /// A kind names no service.
    #[error("{0}: `services` is empty; name the services that a request touches")]
    NoServices(Place),
    /// A count or time is zero but must not be.
    #[error("{place}: `{key}` is zero or missing; set it to more than zero")]
    Zero {
        /// The part.
        place: Place,
        /// The key.
        key: &'static str,
    },
    /// A fraction is outside 0 to 1.
    #[error("{place}: `{key}` is {value}; set it between 0 and 1")]
    NotPart {
        /// The kind.
        place: Place,
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// The `settle` time of a kind is longer than its deadline.
    #[error(
        "{0}: `settle` is over `deadline`; lower it, or set it to \"0s\" to wait for full coverage"
    )]
    LateSettle(Place),
    /// The hashes of two leaf names are equal.
    #[error("leaves `{first}` and `{second}` have names with the same hash; rename one")]
    SameId {
        /// Name of one leaf.
        first: String,
        /// Name of the other leaf.
        second: String,
    },
    /// A leaf's range is empty or extends past the key space.
    #[error(
        "leaf `{leaf}` holds keys {range}; set `from` below `until`, and `until` to at most {KEY_SPACE}"
    )]
    BadRange {
        /// The leaf.
        leaf: String,
        /// Its range.
        range: KeyRange,
    },
    /// No leaf of the service holds some keys.
    #[error(
        "service `{service}`: no leaf holds keys {missing}; change `from` or `until` of its leaves, or add a leaf"
    )]
    Gap {
        /// The service.
        service: String,
        /// The keys that no leaf holds.
        missing: KeyRange,
    },
    /// Two ranges of a service share some keys but are not equal.
    #[error(
        "service `{service}`: leaves `{first}` and `{second}` share keys {shared} but hold different ranges; replicas hold equal ranges, shards hold none in common"
    )]
    Overlap {
        /// The service.
        service: String,
        /// A leaf of one range.
        first: String,
        /// A leaf of the other range.
        second: String,
        /// The keys that both hold.
        shared: KeyRange,
    },
    /// The key ranges changed under the same epoch.
    #[error("service `{service}` changes its key ranges under epoch {epoch}; set `epoch` to {}", .epoch + 1)]
    EpochKept {
        /// The service.
        service: String,
        /// The epoch.
        epoch: u64,
    },
    /// The epoch went down.
    #[error(
        "`epoch` goes from {before} down to {after}; set it to {before}, or more if key ranges change"
    )]
    EpochLowered {
        /// Epoch in force.
        before: u64,
        /// Epoch of the new configuration.
        after: u64,
    },
}

impl Fault {
    /// Moves a syntax fault down by the number of lines that stand above the text
    /// that was read.
    pub fn shift_line(&mut self, lines: usize) {
        if let Self::Syntax { line, .. } = self {
            *line += lines;
        }
    }

    /// Converts the parser's error in `text` to a fault.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start);
        let before = text.get(..offset).unwrap_or(text);
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let message = error.message().replace('\n', ", ");
        Self::Syntax {
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
            remedy: remedy(&message),
            message,
        }
    }
}

/// Returns the remedy for a parser's error message.
fn remedy(message: &str) -> &'static str {
    if message.contains("expected a duration") || message.contains("unit") {
        return "write a time with its unit, such as \"100ms\" or \"2s\"";
    }
    if message.contains("unknown field") {
        return "correct the key's spelling or remove it";
    }
    if message.contains("socket address") {
        return "write IP number and port, such as \"10.0.0.1:7000\"";
    }
    "correct the value"
}
