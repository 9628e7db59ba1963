//! Measures what a query, an action, a change or a leaf costs in processor time,
//! memory and bytes, for the capacity page.

mod actions;
mod calls;
mod configuration;
mod control;
mod core;
mod counting;
mod entry;
mod members;
mod relay;
mod tickets;
mod usage;

use std::path::PathBuf;

use bpaf::Bpaf;

/// Measures the cost of parts of the system on this machine.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command))]
pub enum Command {
    /// Measures the processor time of actions over a whole deployment
    #[bpaf(command)]
    Actions {
        /// Inventory in TOML; its addresses are not used
        #[bpaf(long, argument("FILE"))]
        inventory: PathBuf,
        /// Actions to send by ticket, and as many again by key
        #[bpaf(long, argument("COUNT"), fallback(4_000))]
        count: usize,
    },
    /// Measures the control thread: time until a change is in force, store
    /// calls, bytes, processor time and memory
    #[bpaf(command)]
    Control {
        /// Nodes of the fleet
        #[bpaf(long, argument("COUNT"), fallback(7))]
        nodes: usize,
        /// Changes per measurement
        #[bpaf(long, argument("COUNT"), fallback(10))]
        changes: usize,
    },
    /// Measures processor time of a query in an entry's core, and its bytes of
    /// state
    #[bpaf(command)]
    Core {
        /// Seconds of each run
        #[bpaf(long, argument("SECONDS"), fallback(3))]
        seconds: u64,
        /// Approximate bytes of rows in each reply
        #[bpaf(long, argument("BYTES"), fallback(64))]
        bytes: usize,
        /// Prints JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Measures processor time of an entry's traffic threads per query, over
    /// sockets
    #[bpaf(command)]
    Entry {
        /// Seconds of each run
        #[bpaf(long, argument("SECONDS"), fallback(5))]
        seconds: u64,
    },
    /// Measures the cost of a large instance list: bytes, processor time, memory
    /// and time until a change is known
    #[bpaf(command)]
    Members {
        /// Nodes of the fleet
        #[bpaf(long, argument("COUNT"), fallback(70))]
        nodes: usize,
        /// Backend servers in the list besides the nodes
        #[bpaf(long, argument("COUNT"), fallback(4_780))]
        listed: usize,
        /// Changes to the list
        #[bpaf(long, argument("COUNT"), fallback(5))]
        changes: usize,
    },
    /// Measures leaf calls per core-second of a relay, and its bytes of state
    #[bpaf(command)]
    Relay {
        /// Seconds of each run
        #[bpaf(long, argument("SECONDS"), fallback(3))]
        seconds: u64,
        /// Approximate bytes of rows in each reply
        #[bpaf(long, argument("BYTES"), fallback(64))]
        bytes: usize,
        /// Threads of the relay
        #[bpaf(long, argument("COUNT"), fallback(1))]
        threads: u16,
        /// Prints JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Runs the relay process that the `relay` command measures
    #[bpaf(command, hide)]
    RelayChild {
        /// Inventory in TOML
        #[bpaf(long, argument("FILE"))]
        inventory: PathBuf,
        /// Threads of the relay
        #[bpaf(long, argument("COUNT"))]
        threads: u16,
    },
    /// Measures memory and processor time of tickets
    #[bpaf(command)]
    Tickets {
        /// Tickets to mint, use and resend
        #[bpaf(long, argument("COUNT"), fallback(200_000))]
        count: usize,
    },
}

impl Command {
    /// Runs the measurement and prints its figures.
    ///
    /// # Errors
    ///
    /// Returns an error if the measurement cannot be started or one of its steps
    /// fails.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Self::Actions { inventory, count } => actions::run(&inventory, count),
            Self::Control { nodes, changes } => control::run(nodes, changes),
            Self::Core {
                seconds,
                bytes,
                json,
            } => core::run(seconds, bytes, json),
            Self::Entry { seconds } => entry::run(seconds),
            Self::Members {
                nodes,
                listed,
                changes,
            } => members::run(nodes, listed, changes),
            Self::Relay {
                seconds,
                bytes,
                threads,
                json,
            } => relay::run(seconds, bytes, threads, json),
            Self::RelayChild { inventory, threads } => relay::serve(&inventory, threads),
            Self::Tickets { count } => tickets::run(count),
        }
    }
}
