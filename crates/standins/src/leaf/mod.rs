//! Simulates backend servers (leaves).

mod call;
mod faults;
mod fleet;
mod heartbeat;
mod reply;
mod rows;
mod server;
mod settings;
mod state;

pub use faults::{Health, LeafFaults, LoadReport, ReplyFault, Straggle};
pub use fleet::{LeafFleet, LeafHandle};
pub use rows::{Row, row_keys};
pub use settings::{ColdStart, FleetSettings, ServiceTime};
pub use state::{LeafCounters, ServedIndex, Versions};
