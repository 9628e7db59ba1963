//! The entry: serves callers over HTTP and calls the leaves through relays.

mod action_run;
mod actions;
mod callers;
mod claims;
mod handover;
mod query_runner;
pub(crate) mod relay_sessions;
mod server;
mod session;
pub(crate) mod state;
mod ticket_ledger;

pub(crate) use query_runner::{CallSender, QueryRunner};
pub use server::{EntryServer, RunningEntry};
