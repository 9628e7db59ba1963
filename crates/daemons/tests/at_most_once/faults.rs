//! Injects failures of the fleet and of its links, one after the other, in an
//! order drawn from a seed.

use std::{thread, time::Duration};

use fastrand::Rng;
use guavacourse_standins::{
    LeafFaults, LinkFaults, LinkProxy, Outage, PlatformFaults, ReplyFault, Stall,
};

use super::{common::INSTANCES, support::Fleet};

/// A kind of failure.
#[derive(Clone, Copy, Debug)]
enum Failure {
    CrashLeaf,
    CutEntryLink,
    CutLink,
    CutRelayLink,
    FreezeEntry,
    FreezeRelay,
    KillEntry,
    KillRelay,
    LoseLeafReplies,
    LoseStoreReplies,
    LossyEntryLink,
    LossyRelayLink,
    SlowLinks,
    StallEntryLink,
    StallRelayLink,
    StallReplies,
    StoreDown,
}

/// Failures of processes, of the store, and of the leaves and the links to them.
/// They are injected in random order.
const FLEET_FAILURES: [Failure; 10] = [
    Failure::CrashLeaf,
    Failure::CutLink,
    Failure::FreezeEntry,
    Failure::FreezeRelay,
    Failure::KillEntry,
    Failure::KillRelay,
    Failure::LoseLeafReplies,
    Failure::LoseStoreReplies,
    Failure::StallReplies,
    Failure::StoreDown,
];

/// Failures of the links between entries and relays and between entries.
const LINK_FAILURES: [Failure; 7] = [
    Failure::CutEntryLink,
    Failure::CutRelayLink,
    Failure::LossyEntryLink,
    Failure::LossyRelayLink,
    Failure::SlowLinks,
    Failure::StallEntryLink,
    Failure::StallRelayLink,
];

/// Number of link failures that are injected together with a fleet failure.
const LINK_PAIRS: usize = 3;

/// How long a relay is frozen or its link stalled: longer than the silence after
/// which an entry declares the relay lost.
const STALL_DURATION: Duration = Duration::from_millis(1_300);

/// A failure that is being injected, and the process and leaf that it affects.
struct ActiveFailure {
    failure: Failure,
    instance: usize,
    leaf: usize,
}

/// Injects each of [`FLEET_FAILURES`] twice: alone, and together with another.
/// Returns the number of injected failures.
pub fn inject_fleet_failures(fleet: &mut Fleet, rng: &mut Rng) -> usize {
    let mut order = FLEET_FAILURES;
    rng.shuffle(&mut order);
    for failure in order {
        inject(fleet, &[failure], rng);
    }
    rng.shuffle(&mut order);
    for pair in order.chunks(2) {
        inject(fleet, pair, rng);
    }
    2 * order.len()
}

/// Injects each of [`LINK_FAILURES`] alone, and some of them together with one of
/// [`FLEET_FAILURES`]. Returns the number of injected failures.
pub fn inject_link_failures(fleet: &mut Fleet, rng: &mut Rng) -> usize {
    let mut order = LINK_FAILURES;
    rng.shuffle(&mut order);
    for failure in order {
        inject(fleet, &[failure], rng);
    }
    let mut others = FLEET_FAILURES;
    rng.shuffle(&mut others);
    rng.shuffle(&mut order);
    for (failure, other) in order.into_iter().zip(others).take(LINK_PAIRS) {
        inject(fleet, &[failure, other], rng);
    }
    order.len() + 2 * LINK_PAIRS
}

fn inject(fleet: &mut Fleet, failures: &[Failure], rng: &mut Rng) {
    let mut active = Vec::new();
    for failure in failures {
        active.push(ActiveFailure {
            failure: *failure,
            instance: rng.usize(..INSTANCES),
            leaf: rng.usize(..fleet.leaf_links.len()),
        });
    }
    for failure in &active {
        failure.begin(fleet);
    }
    let duration = Duration::from_millis(rng.u64(200..900));
    let is_stall = |failure| matches!(failure, &Failure::FreezeRelay | &Failure::StallRelayLink);
    let stalled = failures.iter().any(is_stall);
    thread::sleep(if stalled { STALL_DURATION } else { duration });
    for failure in &active {
        failure.end(fleet);
    }
    thread::sleep(Duration::from_millis(rng.u64(50..200)));
}

impl ActiveFailure {
    /// Returns the links that fail and their faults; `None` if no link between
    /// processes fails.
    fn link_faults<'a>(&self, fleet: &'a Fleet) -> Option<(&'a [LinkProxy], LinkFaults)> {
        let entry = std::slice::from_ref(fleet.entry_links.get(self.instance)?);
        let relay = std::slice::from_ref(&fleet.relay_links[self.instance]);
        let cut = LinkFaults {
            cut: true,
            ..LinkFaults::default()
        };
        let lossy = LinkFaults {
            loss: 0.2,
            ..LinkFaults::default()
        };
        let slow = LinkFaults {
            delay: Duration::from_millis(60),
            jitter: Duration::from_millis(60),
            bandwidth: 50_000,
            ..LinkFaults::default()
        };
        let stalled = LinkFaults {
            stall: Stall::ToClient,
            ..LinkFaults::default()
        };
        Some(match self.failure {
            Failure::CutEntryLink => (entry, cut),
            Failure::CutRelayLink => (relay, cut),
            Failure::LossyEntryLink => (entry, lossy),
            Failure::LossyRelayLink => (relay, lossy),
            Failure::SlowLinks => (&fleet.relay_links, slow),
            Failure::StallEntryLink => (entry, stalled),
            Failure::StallRelayLink => (relay, stalled),
            _ => return None,
        })
    }

    fn begin(&self, fleet: &mut Fleet) {
        if let Some((links, faults)) = self.link_faults(fleet) {
            for link in links {
                link.set_faults(faults.clone());
            }
            return;
        }
        match self.failure {
            Failure::CrashLeaf => {
                let leaf = fleet.leaves.leaves().nth(self.leaf);
                leaf.expect("a leaf").crash();
            }
            Failure::CutLink => fleet.leaf_links[self.leaf].set_faults(LinkFaults {
                cut: true,
                ..LinkFaults::default()
            }),
            Failure::StallReplies => fleet.leaf_links[self.leaf].set_faults(LinkFaults {
                stall: Stall::ToClient,
                ..LinkFaults::default()
            }),
            Failure::FreezeEntry => fleet.entries[self.instance].signal("STOP"),
            Failure::FreezeRelay => fleet.relays[self.instance].signal("STOP"),
            Failure::KillEntry => fleet.entries[self.instance].kill(),
            Failure::KillRelay => fleet.relays[self.instance].kill(),
            Failure::LoseLeafReplies => fleet.leaves.set_faults(&LeafFaults {
                reply: Some(ReplyFault::Lost),
                reply_part: 0.3,
                ..LeafFaults::default()
            }),
            Failure::LoseStoreReplies => fleet.platform.set_faults(PlatformFaults {
                lost_replies: 20,
                ..PlatformFaults::default()
            }),
            Failure::StoreDown => fleet.platform.set_faults(PlatformFaults {
                down: Outage::Close,
                ..PlatformFaults::default()
            }),
            _ => {}
        }
    }

    fn end(&self, fleet: &mut Fleet) {
        if let Some((links, _)) = self.link_faults(fleet) {
            for link in links {
                link.set_faults(LinkFaults::default());
            }
            return;
        }
        match self.failure {
            Failure::CutLink | Failure::StallReplies => {
                fleet.leaf_links[self.leaf].set_faults(LinkFaults::default());
            }
            Failure::FreezeEntry => fleet.entries[self.instance].signal("CONT"),
            Failure::FreezeRelay => fleet.relays[self.instance].signal("CONT"),
            Failure::KillEntry => fleet.entries[self.instance].start(),
            Failure::KillRelay => fleet.relays[self.instance].start(),
            Failure::LoseLeafReplies => fleet.leaves.set_faults(&LeafFaults::default()),
            Failure::LoseStoreReplies | Failure::StoreDown => {
                fleet.platform.set_faults(PlatformFaults::default());
            }
            _ => {}
        }
    }
}
