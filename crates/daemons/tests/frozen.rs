//! Processes that are frozen (`SIGSTOP`) while the configuration changes, and a
//! fleet that restarts while the store is down.

mod support;

use std::{net::SocketAddr, thread, time::Duration};

use guavacourse::{
    edge::operator::{self, ProcessStatus},
    modules::{
        inventory::{Config, DataCentre, Instance, Kind, Leaf, Service},
        members::Role,
        roster::{ProcessName, Roster},
        time::Time,
    },
};
use guavacourse_standins::{Outage, PlatformFaults};
use support::{Fleet, Plan, wait_until};

const KIND: &str = "roster";
const DATA_CENTRE: &str = "kandy";

/// Time in which stale state would spread: several exchanges of each process with
/// its peers.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Three instances of one data centre, so two of six processes watch the store.
fn config(epoch: u64) -> Config {
    let instance = |number| Instance {
        name: format!("instance-{number}"),
        data_centre: DATA_CENTRE.to_owned(),
        ..Instance::default()
    };
    Config {
        epoch,
        data_centres: vec![DataCentre {
            name: DATA_CENTRE.to_owned(),
            region: DATA_CENTRE.to_owned(),
        }],
        instances: (0..3).map(instance).collect(),
        services: vec![Service {
            name: KIND.to_owned(),
            slots: 4,
            connections: 30,
            leaves: vec![Leaf {
                name: "roster-0".to_owned(),
                data_centre: DATA_CENTRE.to_owned(),
                until: 65_536,
                ..Leaf::default()
            }],
            ..Service::default()
        }],
        kinds: vec![Kind {
            name: KIND.to_owned(),
            services: vec![KIND.to_owned()],
            ..Kind::default()
        }],
        ..Config::default()
    }
}

/// Returns the processes of the fleet with their addresses.
fn processes(fleet: &Fleet) -> Vec<(ProcessName, SocketAddr)> {
    let members = fleet.platform.instances().into_iter();
    let processes = members.filter(|m| m.role != Role::Leaf);
    processes
        .map(|m| (ProcessName::of(&m), m.address.0))
        .collect()
}

fn statuses(processes: &[(ProcessName, SocketAddr)]) -> Vec<ProcessStatus> {
    let addresses = processes
        .iter()
        .map(|(name, address)| (*address, name.as_str().to_owned()));
    smol::block_on(operator::fetch_status(addresses))
}

fn set_outage(fleet: &Fleet, down: Outage) {
    fleet.platform.set_faults(PlatformFaults {
        down,
        ..PlatformFaults::default()
    });
}

/// Applies a changed configuration as the revision after `base`.
fn apply_change(fleet: &Fleet, base: u64) {
    let mut next = fleet.config.clone();
    next.kinds[0].worth = u32::try_from(base).expect("few changes") + 1;
    fleet.apply(base, &next);
}

/// Returns the state in which the status of an entry shows the member on an
/// instance, if it shows it. `role` is the key of the members in the status.
fn member_state(fleet: &Fleet, entry: usize, role: &str, instance: &str) -> Option<String> {
    let status = smol::block_on(fleet.caller(entry).get("/status")).expect("an answer");
    let members = status.body[role].as_array().expect("members");
    let member = members.iter().find(|m| m["name"] == instance)?;
    member["state"].as_str().map(str::to_owned)
}

#[test]
fn frozen_processes_delay_no_change_and_revive_no_member() {
    let mut fleet = Fleet::start(&Plan::new(config(1)));
    let all = processes(&fleet);
    assert_eq!(all.len(), 6);
    let mut roster = Roster::default();
    roster.merge_list(fleet.platform.instances(), Time::default());
    let watchers = roster.watchers(DATA_CENTRE, Time::default());
    // Both watchers are frozen, and one process that does not watch. Meanwhile
    // another entry leaves.
    let non_watchers = |role| {
        let names = (0..3).map(move |i| ProcessName::new(&format!("instance-{i}"), role));
        names.filter(|name| !watchers.contains(name))
    };
    let leaving = non_watchers(Role::Entry)
        .next()
        .expect("an entry that does not watch");
    let non_watcher = non_watchers(Role::Relay)
        .chain(non_watchers(Role::Entry))
        .find(|name| *name != leaving)
        .expect("a process that does not watch");
    let frozen: Vec<&ProcessName> = watchers.iter().chain([&non_watcher]).collect();
    let signal = |fleet: &Fleet, signal_name| {
        for name in &frozen {
            process(fleet, name).signal(signal_name);
        }
    };
    signal(&fleet, "STOP");
    apply_change(&fleet, 1);
    let running: Vec<_> = all
        .iter()
        .filter(|(name, _)| !frozen.contains(&name))
        .cloned()
        .collect();
    wait_until("all others have the change", || {
        statuses(&running).iter().all(|s| s.revision == Some(2))
    });
    let leaving_index = instance_number(&leaving);
    assert!(fleet.entries[leaving_index].terminate().success());
    let instance = format!("instance-{leaving_index}");
    let others: Vec<_> = all
        .iter()
        .filter(|(name, _)| *name != leaving)
        .cloned()
        .collect();
    signal(&fleet, "CONT");
    wait_until("the resumed processes have the change", || {
        statuses(&others).iter().all(|s| s.revision == Some(2))
    });
    let entries = || (0..3).filter(|entry| *entry != leaving_index);
    let live = |fleet: &Fleet, entry| {
        member_state(fleet, entry, "entries", &instance).as_deref() == Some("live")
    };
    wait_until("no entry shows the one that left as live", || {
        !entries().any(|entry| live(&fleet, entry))
    });
    apply_change(&fleet, 2);
    wait_until("the next change is in force", || {
        statuses(&others).iter().all(|s| s.revision == Some(3))
    });
    thread::sleep(PROPAGATION_TIME);
    for status in statuses(&others) {
        assert_eq!(
            (status.revision, status.refused),
            (Some(3), 0),
            "{status:?}"
        );
    }
    assert!(
        !entries().any(|entry| live(&fleet, entry)),
        "an entry shows the one that left as live again"
    );
}

/// Kills all processes except the first `kept` entries before it starts any of
/// them again.
fn restart(fleet: &mut Fleet, kept: usize) {
    let entries = fleet.entries.iter_mut().skip(kept);
    let mut restarted: Vec<_> = entries.chain(&mut fleet.relays).collect();
    for process in &mut restarted {
        process.kill();
    }
    for process in restarted {
        process.start();
    }
}

fn instance_number(name: &ProcessName) -> usize {
    let (instance, _) = name.as_str().split_once('/').expect("instance and role");
    let number = instance.rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

fn process<'a>(fleet: &'a Fleet, name: &ProcessName) -> &'a support::Process {
    let processes = if name.as_str().ends_with("entry") {
        &fleet.entries
    } else {
        &fleet.relays
    };
    &processes[instance_number(name)]
}

#[test]
fn a_fleet_that_restarts_without_the_store_waits_for_it() {
    let mut fleet = Fleet::start(&Plan::new(config(1)));
    let all = processes(&fleet);
    apply_change(&fleet, 1);
    wait_until("the change is in force", || {
        statuses(&all).iter().all(|s| s.revision == Some(2))
    });
    set_outage(&fleet, Outage::Refuse);
    // One entry keeps running, and the others get the configuration from it.
    restart(&mut fleet, 1);
    wait_until(
        "the restarted processes have the revision of the one that kept running",
        || statuses(&all).iter().all(|s| s.revision == Some(2)),
    );
    restart(&mut fleet, 0);
    wait_until("all answer without a configuration", || {
        statuses(&all).iter().all(|s| s.revision == Some(0))
    });
    for entry in 0..3 {
        let mut caller = fleet.caller(entry);
        let asked = caller.post("/query/roster", &[], b"{}");
        let answer = smol::block_on(asked).expect("an answer");
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert_eq!(answer.body["error"], "not-ready");
    }
    thread::sleep(PROPAGATION_TIME);
    assert!(statuses(&all).iter().all(|s| s.revision == Some(0)));
    set_outage(&fleet, Outage::None);
    wait_until("all have the latest revision", || {
        statuses(&all).iter().all(|s| s.revision == Some(2))
    });
    fleet.wait_ready();
}
