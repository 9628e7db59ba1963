//! I/O around the core: sockets, files and timers.

pub(crate) mod account;
pub mod claims;
pub mod clock;
pub mod control;
pub mod entry;
pub(crate) mod fleet;
pub mod gateway;
pub mod http;
pub(crate) mod latch;
pub mod log;
pub mod metrics;
pub(crate) mod node;
pub mod operator;
pub mod platform;
pub(crate) mod pool;
pub mod published;
pub mod relay;
pub mod signals;
pub(crate) mod tasks;
pub(crate) mod wire;
pub(crate) mod worker;
