//! An entry: serves callers over HTTP and sends their calls to relays.

mod action_run;
mod actions;
mod book;
mod callers;
mod claims;
mod engine;
mod handover;
pub(crate) mod links;
mod server;
mod session;
pub(crate) mod traffic;

pub(crate) use engine::{Calls, Engine};
pub use server::{EntryServer, RunningEntry};
