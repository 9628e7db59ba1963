//! Tests which calls a relay sends to its leaves, and when.

mod canary;
mod findings;
mod harness;
mod health;
mod leaving;
mod notices;
mod quarantine;
mod queue;
