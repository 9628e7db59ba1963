//! Simulated dependencies of the query tier, for tests and measurements: the
//! platform's store and instance list, backend servers, and the network links
//! between processes.
//!
//! Each of them runs in its own threads, bound to given addresses or free ports,
//! and speaks the protocols of `docs/PROTOCOLS.md`. Dropping it joins the
//! threads. Faults are set through its handle or, except for links, as JSON over
//! `PUT /faults`.

mod error;
mod leaf;
mod link;
mod listener;
mod outage;
mod platform;
mod thread;

pub use leaf::{
    ColdStart, FleetSettings, Health, LeafCounters, LeafFaults, LeafFleet, LeafHandle, LoadReport,
    ReplyFault, Row, ServedIndex, ServiceTime, Straggle, Versions, row_keys,
};
pub use link::{LinkFaults, LinkProxy, Stall};
pub use outage::Outage;
pub use platform::{
    Counters, Platform, PlatformCopy, PlatformFaults, PlatformSettings, PlatformView,
};
