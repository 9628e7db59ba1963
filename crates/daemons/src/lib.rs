//! Code shared by the programs and by the tests that run whole deployments.

pub mod client;
pub mod demo;
pub mod deployment;
pub mod load;
pub mod measure;
mod network_delays;
pub mod nodes;
pub mod settings;
