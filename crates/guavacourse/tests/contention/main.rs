//! Tests of admission control under contention: each replays the load that one decision
//! answers.

mod decisions;
mod fair;
mod fleet;
mod returns;
mod scarce;
