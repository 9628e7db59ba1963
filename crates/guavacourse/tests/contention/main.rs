//! Tests of admission control under contention: each replays the load that one decision
//! answers.

mod fleet;
mod scarce;
