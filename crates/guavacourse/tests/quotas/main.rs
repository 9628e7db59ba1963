//! Tests of quotas without a network: many processes with simulated links.

mod contention;
#[cfg(test)]
mod debug;
mod failures;
mod fleet;
mod partners;
mod steady;
