//! Simulates the platform: its key-value store and its instance list.

mod faults;
mod instances;
mod rate;
mod routes;
mod server;
mod store;
mod view;

pub use faults::PlatformFaults;
pub use server::{Counters, Platform, PlatformCopy, PlatformSettings};
pub use view::PlatformView;
