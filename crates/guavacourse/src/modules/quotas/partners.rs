//! Selects the processes with which a process exchanges the use of quotas.
//!
//! In each data centre all processes report to the first in an order that depends only
//! on their power and names, and the first ones report to each other. A process calls
//! only processes that precede it, so that no report goes round in a circle, whatever
//! the processes believe of each other.

use std::cmp::Reverse;

use super::report::Role;
use crate::modules::{
    catalog::stable_hash,
    collections::Map,
    inventory::Address,
    members::{Member, MemberState},
    ownership::mix,
};

/// Place of a process in the order; lower ones come first.
///
/// Unlike the order of [`crate::modules::readers`], it does not depend on the other
/// processes: two processes that know different members never both precede the other.
/// Where the strong processes have the same power, both orders are the same.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    power: Reverse<u32>,
    hash: Reverse<u64>,
    name: String,
}

impl Place {
    /// Returns the place of a process.
    #[must_use]
    pub fn new(name: &str, power: u32) -> Self {
        Self {
            power: Reverse(power),
            hash: Reverse(mix(stable_hash(name.as_bytes()))),
            name: name.to_owned(),
        }
    }
}

/// A process to call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Where it accepts exchanges.
    pub address: Address,
    /// What it is to this process.
    pub role: Role,
}

/// With whom a process exchanges reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Partners {
    /// Processes that it calls.
    pub calls: Vec<Partner>,
    /// Whether it is the first process of its data centre.
    pub first: bool,
}

impl Partners {
    /// Selects the partners of `own` among `members`, leaving out those that do not
    /// answer.
    #[must_use]
    pub fn select<'a>(
        own: &Member,
        members: impl IntoIterator<Item = &'a Member>,
        answers: impl Fn(&str) -> bool,
    ) -> Self {
        let mut firsts: Map<&str, (Place, &Member)> = Map::default();
        for member in members {
            let eligible = member.state == MemberState::Live
                && !member.queries.is_unspecified()
                && member.name != own.name
                && answers(&member.name);
            if !eligible {
                continue;
            }
            let place = Place::new(&member.name, member.power);
            let first = firsts.get(member.data_centre.as_str());
            if first.is_none_or(|(first, _)| place < *first) {
                firsts.insert(&member.data_centre, (place, member));
            }
        }
        let own_place = Place::new(&own.name, own.power);
        let partner = |member: &Member, role| Partner {
            name: member.name.clone(),
            address: member.queries,
            role,
        };
        let near = firsts.remove(own.data_centre.as_str());
        if let Some((_, parent)) = near.filter(|(place, _)| *place < own_place) {
            return Self {
                calls: vec![partner(parent, Role::Parent)],
                first: false,
            };
        }
        let mut calls: Vec<_> = firsts.into_values().collect();
        calls.retain(|(place, _)| *place < own_place);
        calls.sort_by(|(a, _), (b, _)| a.cmp(b));
        let calls = calls.iter().map(|(_, member)| partner(member, Role::Peer));
        Self {
            calls: calls.collect(),
            first: true,
        }
    }
}
