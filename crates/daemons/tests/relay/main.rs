//! Tests of relays, between client sessions and simulated leaves.

mod exchange;
mod harness;
mod leaving;
mod quarantine;
