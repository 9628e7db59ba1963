//! Where calls go: what is known of the load of leaves, and how calls are spread.

pub mod counts;
pub(crate) mod distances;
pub mod draining;
pub(crate) mod leaf_load;
pub mod load_board;
pub mod load_estimate;
pub mod load_report;
pub mod outboxes;
pub mod outlook;
mod ranking;
mod sharing;
pub(crate) mod spread;
pub mod warm_up;
