//! Converts the messages of an exchange between the core's types and Cap'n Proto.

use std::time::Duration;

use capnp::Result;

use crate::{
    edge::wire::list_len,
    generated::wire_capnp::{observation, usage, usage_report},
    modules::{
        catalog::LeafId,
        placement::{load_board::Observation, load_report::LoadReport},
        quotas::{CustomerId, Report, Usage},
    },
};

/// A message of an exchange.
#[derive(Debug)]
pub(super) struct Message {
    /// Name of the sender, and the share of a core that it may use.
    pub(super) sender: String,
    pub(super) power: u32,
    /// Whether the sender is the first process of another data centre.
    pub(super) remote: bool,
    pub(super) report: Report,
    pub(super) observations: Vec<Observation>,
}

/// Writes a message.
pub(super) fn write_message(mut out: usage_report::Builder<'_>, message: &Message) {
    let report = &message.report;
    out.set_sender(&message.sender);
    out.set_nonce(report.nonce);
    out.set_sequence(report.sequence);
    out.set_ack(report.ack);
    out.set_members(report.members);
    out.set_power(message.power);
    out.set_remote(message.remote);
    out.set_whole(report.whole);
    out.set_settled(report.settled);
    if !report.usage.is_empty() {
        let mut list = out.reborrow().init_usage(list_len(report.usage.len()));
        for (index, usage) in (0..).zip(&report.usage) {
            write_usage(list.reborrow().get(index), usage);
        }
    }
    if !message.observations.is_empty() {
        let mut list = out.init_observations(list_len(message.observations.len()));
        for (index, observation) in (0..).zip(&message.observations) {
            write_observation(list.reborrow().get(index), observation);
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "fractions need no more digits"
)]
fn write_usage(mut out: usage::Builder<'_>, usage: &Usage) {
    out.set_customer(usage.customer.0);
    out.set_admitted(usage.admitted);
    out.set_demand(usage.demand as f32);
    out.set_silent(usage.silent as f32);
    out.set_level(usage.level as f32);
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "fractions need no more digits"
)]
fn write_observation(mut out: observation::Builder<'_>, observation: &Observation) {
    out.set_leaf(observation.leaf.0);
    out.set_age_millis(u32::try_from(observation.age.as_millis()).unwrap_or(u32::MAX));
    out.set_failures(observation.failures as f32);
    out.set_calls(observation.calls);
    out.set_relayed(observation.relayed);
    if let Some(report) = &observation.report {
        out.set_running(report.running);
        out.set_waiting(report.waiting);
        out.set_slots(report.slots);
        out.set_pace(report.pace.unwrap_or_default());
    }
}

/// Reads a message.
pub(super) fn read_message(message: usage_report::Reader<'_>) -> Result<Message> {
    let usage = message.get_usage()?.iter().map(read_usage);
    let observations = message.get_observations()?.iter().map(read_observation);
    Ok(Message {
        sender: message.get_sender()?.to_string()?,
        power: message.get_power(),
        remote: message.get_remote(),
        report: Report {
            nonce: message.get_nonce(),
            sequence: message.get_sequence(),
            ack: message.get_ack(),
            members: message.get_members(),
            whole: message.get_whole(),
            settled: message.get_settled(),
            usage: usage.collect(),
        },
        observations: observations.collect(),
    })
}

fn read_usage(usage: usage::Reader<'_>) -> Usage {
    Usage {
        customer: CustomerId(usage.get_customer()),
        admitted: usage.get_admitted(),
        demand: f64::from(usage.get_demand()),
        silent: f64::from(usage.get_silent()),
        level: f64::from(usage.get_level()),
    }
}

fn read_observation(observation: observation::Reader<'_>) -> Observation {
    let report = LoadReport {
        running: observation.get_running(),
        waiting: observation.get_waiting(),
        slots: observation.get_slots(),
        pace: Some(observation.get_pace()).filter(|pace| *pace > 0),
    };
    Observation {
        leaf: LeafId(observation.get_leaf()),
        age: Duration::from_millis(u64::from(observation.get_age_millis())),
        report: Some(report).filter(|report| report.slots > 0),
        calls: observation.get_calls(),
        failures: f64::from(observation.get_failures()),
        relayed: observation.get_relayed(),
    }
}
