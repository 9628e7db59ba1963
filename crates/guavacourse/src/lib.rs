//! A query tier for services that are split into many shards.
//!
//! Callers send queries and actions over HTTP to an *entry*. The entry plans a
//! request over the shards of its services and sends one batch of calls to each
//! *relay* that owns some of the *leaves* (the backend servers that hold the
//! shards). Only relays connect to leaves.
//!
//! - [`configs`]: settings of the processes, one struct per feature.
//! - [`modules`]: the core, which makes every decision. It does no I/O; the time is
//!   passed in.
//! - [`commands`]: the operators' command-line tool.
//! - [`edge`]: sockets, files and timers around the core.

pub mod commands;
pub mod configs;
pub mod edge;
pub mod modules;

#[allow(
    clippy::all,
    dead_code,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated from schema/wire.capnp"
)]
pub(crate) mod generated {
    pub(crate) mod wire_capnp;
}
