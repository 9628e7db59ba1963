//! Tests how calls are placed by the load that leaves report, without a network.
//!
//! `cargo test -p guavacourse --test placement -- --nocapture` prints the figures.

mod even;
mod faults;
mod former;
#[allow(
    clippy::cast_precision_loss,
    reason = "numbers of calls are far below 2^52"
)]
mod replay;
mod sharing;
