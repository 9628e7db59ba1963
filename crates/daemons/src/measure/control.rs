//! Measures control threads: time until a change is in force, calls to the platform
//! and processor time.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with few digits"
)]

use std::time::{Duration, Instant};

use anyhow::{bail, ensure};
use guavacourse::{
    edge::{operator, platform::HttpStore},
    modules::{
        adoption::Stamp,
        commit::{CommitOutcome, Proposal},
    },
};
use guavacourse_standins::{
    LinkFaults, LinkProxy, Outage, Platform, PlatformFaults, PlatformSettings,
};

use super::{
    calls,
    configuration::{self, LEAF_COUNTS, inventory},
    usage::thread_cpu,
};
use crate::nodes::{ANY_PORT, Node};

/// Time after which waiting for a condition fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time over which the cost of an idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(20);

/// Time for which a node is cut off from the store and its peers.
const CUT_DURATION: Duration = Duration::from_secs(5);

/// Runs every measurement and prints the figures.
pub(super) fn run(nodes: usize, changes: usize) -> anyhow::Result<()> {
    configuration::memory()?;
    let fleet = Fleet::start(nodes)?;
    fleet.measure_idle()?;
    fleet.measure_store_up(changes)?;
    fleet.measure_outage(changes, true)?;
    fleet.measure_outage(changes, false)?;
    fleet.measure_reconnect(changes.min(5))?;
    for leaves in LEAF_COUNTS {
        fleet.measure_change(leaves, changes)?;
    }
    calls::run(fleet.platform.address(), fleet.nodes[0].address)?;
    configuration::deltas()
}

/// A platform and the nodes that use it.
struct Fleet {
    platform: Platform,
    nodes: Vec<Node>,
}

impl Fleet {
    fn start(count: usize) -> anyhow::Result<Self> {
        let platform = Platform::start(ANY_PORT, &PlatformSettings::default())?;
        let address = platform.address();
        let nodes: anyhow::Result<Vec<Node>> = (0..count)
            .map(|i| Node::start(i, address, Vec::new()))
            .collect();
        let fleet = Self {
            platform,
            nodes: nodes?,
        };
        wait_until(|| fleet.nodes.iter().all(|n| n.view().entries.len() == count))?;
        fleet.apply(&inventory(3, 1))?;
        fleet.wait_for_revision(1)?;
        Ok(fleet)
    }

    fn store(&self) -> HttpStore {
        HttpStore::background(self.platform.address())
    }

    fn set_outage(&self, down: Outage) {
        self.platform.set_faults(PlatformFaults {
            down,
            ..PlatformFaults::default()
        });
    }

    /// Proposes a configuration as the successor of the accepted revision and returns
    /// the stamp of the new revision.
    fn apply(&self, text: &str) -> anyhow::Result<Stamp> {
        let (_, head) = smol::block_on(operator::read_head(&self.store()))?;
        let proposal = Proposal {
            base: head.revision(),
            above: 0,
            text: text.to_owned(),
            operation: format!("{:016x}", fastrand::u64(..)),
            author: "measure".to_owned(),
            seconds: 0,
        };
        match smol::block_on(operator::apply(&self.store(), proposal)) {
            CommitOutcome::Accepted(accepted, _) => Ok(accepted.stamp),
            other => bail!("{other}"),
        }
    }

    fn wait_for_revision(&self, revision: u64) -> anyhow::Result<()> {
        wait_until(|| self.nodes.iter().all(|n| n.revision() == revision))
    }

    /// Measures the fleet's calls to the platform and its processor time while
    /// nothing changes.
    fn measure_idle(&self) -> anyhow::Result<()> {
        let before = self.platform.counters();
        let cpu = thread_cpu("control")?;
        std::thread::sleep(IDLE_PERIOD);
        let after = self.platform.counters();
        let cpu = thread_cpu("control")?.saturating_sub(cpu);
        let seconds = IDLE_PERIOD.as_secs_f64();
        let rate = |after: u64, before: u64| {
            let calls = u32::try_from(after - before).unwrap_or(u32::MAX);
            f64::from(calls) / seconds
        };
        println!(
            "idle, {} nodes: store {:.2} reads/s, {:.2} watches/s, {:.2} writes/s; \
             instance list {:.1} heartbeats/s, {:.1} reads/s; control thread {:.3} ms/s per node",
            self.nodes.len(),
            rate(after.reads, before.reads),
            rate(after.watches, before.watches),
            rate(after.writes, before.writes),
            rate(after.heartbeats, before.heartbeats),
            rate(after.listings, before.listings),
            cpu.as_secs_f64() * 1_000.0 / seconds / self.nodes.len() as f64,
        );
        Ok(())
    }

    /// Measures the time until a change is in force on all nodes, with the store up.
    fn measure_store_up(&self, changes: usize) -> anyhow::Result<()> {
        let mut times = Vec::new();
        for _ in 0..changes {
            let stamp = self.apply(&inventory(90, fastrand::u32(..)))?;
            let start = Instant::now();
            self.wait_for_revision(stamp.revision)?;
            times.push(start.elapsed());
        }
        print_times("in force on all nodes, store up", &mut times);
        Ok(())
    }

    /// Measures the time until a change is in force on all nodes during a store outage.
    ///
    /// The store goes down right after it has accepted the change if `at_once` is set, and
    /// the change is then offered to all nodes, as the operator's tool does. Otherwise
    /// the store goes down once one node has the change.
    fn measure_outage(&self, changes: usize, at_once: bool) -> anyhow::Result<()> {
        let mut times = Vec::new();
        for _ in 0..changes {
            let text = inventory(90, fastrand::u32(..));
            let stamp = self.apply(&text)?;
            let start = Instant::now();
            if !at_once {
                let reached = |n: &Node| n.revision() == stamp.revision;
                wait_until(|| self.nodes.iter().any(reached))?;
            }
            self.set_outage(Outage::Refuse);
            if at_once {
                let addresses: Vec<_> = self.nodes.iter().map(|n| n.address).collect();
                smol::block_on(operator::offer(&addresses, stamp, &text));
            }
            self.wait_for_revision(stamp.revision)?;
            times.push(start.elapsed());
            self.set_outage(Outage::None);
            wait_until(|| smol::block_on(operator::read_head(&self.store())).is_ok())?;
        }
        let name = if at_once {
            "in force on all nodes, store down after the acceptance, operator's offer"
        } else {
            "in force on all nodes, store down once one node has it"
        };
        print_times(name, &mut times);
        Ok(())
    }

    /// Measures the time until a node that was cut off from the store and its peers
    /// catches up.
    fn measure_reconnect(&self, changes: usize) -> anyhow::Result<()> {
        let platform = self.platform.address();
        let store = LinkProxy::start(ANY_PORT, platform, 1)?;
        let cut = Node::start(self.nodes.len(), store.address(), Vec::new())?;
        let links = || self.nodes.iter().chain([&cut]).map(|n| &n.link);
        let mut times = Vec::new();
        for _ in 0..changes {
            wait_until(|| cut.revision() == self.nodes[0].revision())?;
            let faults = LinkFaults {
                cut: true,
                ..LinkFaults::default()
            };
            links()
                .chain([&store])
                .for_each(|link| link.set_faults(faults.clone()));
            let stamp = self.apply(&inventory(90, fastrand::u32(..)))?;
            std::thread::sleep(CUT_DURATION);
            ensure!(
                cut.revision() < stamp.revision,
                "the node received the change while it was cut off"
            );
            let start = Instant::now();
            links()
                .chain([&store])
                .for_each(|link| link.set_faults(LinkFaults::default()));
            wait_until(|| cut.revision() == stamp.revision)?;
            times.push(start.elapsed());
            self.wait_for_revision(stamp.revision)?;
        }
        print_times(
            "in force on a node that was cut off, after the links are restored",
            &mut times,
        );
        cut.stop();
        Ok(())
    }

    /// Measures the processor time per node of a change of one line.
    fn measure_change(&self, leaves: usize, changes: usize) -> anyhow::Result<()> {
        let stamp = self.apply(&inventory(leaves, 0))?;
        self.wait_for_revision(stamp.revision)?;
        std::thread::sleep(Duration::from_secs(2));
        let idle = thread_cpu("control")?;
        std::thread::sleep(Duration::from_secs(5));
        let idle = thread_cpu("control")?.saturating_sub(idle).as_secs_f64() / 5.0;
        let before = thread_cpu("control")?;
        let start = Instant::now();
        for i in 0..changes {
            let seed = u32::try_from(i).unwrap_or_default() + 1;
            let stamp = self.apply(&inventory(leaves, seed))?;
            self.wait_for_revision(stamp.revision)?;
        }
        let spent = thread_cpu("control")?.saturating_sub(before).as_secs_f64();
        let spent = spent - idle * start.elapsed().as_secs_f64();
        let per_node = spent / changes as f64 / self.nodes.len() as f64;
        println!(
            "change of one line, {leaves} leaves: control thread {:.2} ms per node",
            per_node * 1_000.0
        );
        Ok(())
    }
}

/// Waits until `done` returns true.
pub(super) fn wait_until(mut done: impl FnMut() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !done() {
        ensure!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Prints the median and the range of measured times.
pub(super) fn print_times(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let (Some(min), Some(max)) = (times.first(), times.last()) else {
        return;
    };
    let median = times[times.len() / 2];
    println!(
        "{name}: median {:.3} s, min {:.3} s, max {:.3} s of {}",
        median.as_secs_f64(),
        min.as_secs_f64(),
        max.as_secs_f64(),
        times.len()
    );
}
