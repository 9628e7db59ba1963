//! Settings of the processes, one struct per feature. Every key has a default.

pub mod entry;
pub mod ledger;
pub mod log;
pub mod node;
pub mod relay;
pub mod settings;
