//! Experiments with the plain and the adaptive policy for queries, in a simulation
//! of the fleet with a simulated clock and fixed seeds.
//!
//! `cargo test -p guavacourse --test policy -- --nocapture` prints the figures.

mod hedging;
mod losses;
mod partial;
mod replicas;
mod setup;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of experiments are far below 2^52"
)]
mod simulation;
