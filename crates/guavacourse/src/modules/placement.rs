//! Where calls go: what is known of the load of leaves, and how calls are spread.

pub mod load_board;
pub mod load_report;
pub mod outlook;
