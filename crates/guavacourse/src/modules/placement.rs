//! Where calls go: what is known of the load of leaves, and how calls are spread.

pub(crate) mod distances;
pub mod draining;
pub(crate) mod leaf_load;
pub mod load_board;
pub mod load_estimate;
pub mod load_report;
mod ranking;
pub(crate) mod spread;
pub mod warm_up;
