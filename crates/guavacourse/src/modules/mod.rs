//! The core: every decision, without input or output.

pub mod answer;
pub mod budget;
pub mod call;
pub mod catalog;
pub mod collections;
pub mod coverage;
pub mod exposure;
pub mod hedge;
pub mod inventory;
pub mod keys;
pub mod latency;
pub mod members;
pub mod ownership;
pub mod query;
pub mod replicas;
pub mod snapshot;
pub mod tier;
pub mod time;
pub mod view;
