//! Admission control under contention: which shards a query leaves out, which queries
//! begin, and when refused requests return.
//!
//! `docs/design/contention.md` names the load that each decision answers.

pub mod fair;
pub mod late;
pub mod rates;
pub mod returns;
pub mod scarcity;
pub mod spare;
