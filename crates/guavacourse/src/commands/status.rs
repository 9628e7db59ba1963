//! `guavacourse status`: shows which revision each process has in force.

use std::{collections::BTreeMap, net::SocketAddr};

use bpaf::Bpaf;
use serde::Serialize;

use super::{
    Exit,
    failure::Failure,
    output::Output,
    target::{Target, target},
};
use crate::{
    edge::{
        operator::{self, ProcessStatus},
        platform::{InstanceList, PlatformError},
    },
    modules::{head::AcceptedChange, inventory::Config, members::Role},
};

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    /// Address of a process to ask too, if the platform is down
    #[bpaf(long, argument("IP:PORT"))]
    peer: Vec<SocketAddr>,
    #[bpaf(external)]
    target: Target,
}

#[derive(Debug, Serialize)]
struct Body {
    accepted: Option<AcceptedChange>,
    /// Why the store could not be read.
    store_fault: Option<String>,
    /// Why the instance list could not be read.
    list_fault: Option<String>,
    /// Highest revision in force anywhere.
    highest: u64,
    converged: bool,
    processes: Vec<ProcessStatus>,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    smol::block_on(status(args))
}

async fn status(args: &Args) -> Result<Output, Failure> {
    let store = args.target.revision(None).await;
    let list = args.target.list().list().await;
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for peer in &args.peer {
        addresses.insert(*peer, peer.to_string());
    }
    if let Ok((_, text)) = &store {
        add_inventory(&mut addresses, text);
    }
    for member in list.iter().flatten().filter(|m| m.role != Role::Leaf) {
        addresses.insert(member.address.0, member.name.clone());
    }
    let processes = operator::fetch_status(addresses).await;
    let (accepted, store_fault) = match store {
        Ok((accepted, _)) => (Some(accepted), None),
        Err(Failure::NothingAccepted) => (None, None),
        Err(failure) if processes.is_empty() => return Err(failure),
        Err(failure) => (None, Some(failure.to_string())),
    };
    let highest = processes.iter().filter_map(|p| p.revision).max();
    let body = Body {
        converged: converged(accepted.as_ref(), &processes),
        accepted,
        store_fault,
        list_fault: list.err().as_ref().map(PlatformError::to_string),
        highest: highest.unwrap_or_default(),
        processes,
    };
    let exit = if body.converged {
        Exit::Done
    } else {
        Exit::Diverged
    };
    Ok(Output::new(exit, render(&body), &body))
}

/// Adds the addresses of all processes in the inventory.
fn add_inventory(addresses: &mut BTreeMap<SocketAddr, String>, text: &str) {
    let Ok(config) = toml::from_str::<Config>(text) else {
        return;
    };
    for instance in &config.instances {
        for address in [instance.entry, instance.relay] {
            addresses.insert(address.0, instance.name.clone());
        }
    }
}

/// Returns whether every process answers and has the accepted revision in force.
/// If no accepted revision is known, all must have the same one.
fn converged(accepted: Option<&AcceptedChange>, processes: &[ProcessStatus]) -> bool {
    let highest = processes.iter().filter_map(|p| p.revision).max();
    let expected = accepted.map(|a| a.stamp.revision).or(highest);
    processes.iter().all(|p| p.revision == expected)
}

fn render(body: &Body) -> String {
    let mut lines = Vec::new();
    match &body.accepted {
        Some(a) => lines.push(format!("accepted: revision {}", a.stamp.revision)),
        None => lines.push("accepted: unknown".to_owned()),
    }
    for fault in body.store_fault.iter().chain(&body.list_fault) {
        lines.push(format!("platform: {fault}"));
    }
    for process in &body.processes {
        lines.push(process_line(process));
    }
    let summary = if body.processes.is_empty() {
        "no process is known; add instances to the inventory, or name some with --peer"
    } else if body.converged {
        "every process has the same revision in force"
    } else {
        "not every process has the accepted revision in force; run this again in 16 s, then check \
         the processes that still differ"
    };
    lines.push(summary.to_owned());
    lines.join("\n")
}

fn process_line(process: &ProcessStatus) -> String {
    let name = &process.name;
    let address = process.address;
    let Some(revision) = process.revision else {
        return format!("{name} at {address}: no answer; check that it runs");
    };
    let age = process.age_ms.unwrap_or_default() / 1_000;
    let leaving = if process.leaving { ", leaving" } else { "" };
    format!("{name} at {address}: revision {revision} for {age} s{leaving}")
}
