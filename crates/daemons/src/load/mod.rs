//! Load-tests the system, with injected faults and embedded stand-ins.
//!
//! An [`Experiment`] defines the load and the faults. It is run with each policy
//! side by side, with the same seed, and produces a [`Report`].

mod arrivals;
mod capacity;
mod client;
mod experiment;
mod faults;
mod report;
mod run;
mod scenario;
mod table;
mod tally;

pub use arrivals::{Arrival, arrivals};
pub use capacity::{capacity, mean_service_time, scaled, slowed};
pub use experiment::{Experiment, Fault, ScheduledFault, Share};
pub use report::{KindFigures, Latency, LeafFigures, PolicyFigures, Report, SecondFigures};
pub use run::run;
pub use scenario::Scenario;
pub use table::table;
pub use tally::{Failure, Sample, Tally};
