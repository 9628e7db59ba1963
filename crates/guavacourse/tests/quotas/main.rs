//! Tests of quotas without a network: many processes with simulated links.

mod contention;
mod failures;
mod fleet;
mod partners;
mod steady;
