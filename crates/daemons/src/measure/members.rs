//! Measures the cost of a large instance list to the control threads.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with few digits"
)]

use std::time::{Duration, Instant};

use guavacourse::modules::{
    catalog::LeafId,
    members::{Member, MemberState, Role},
};
use guavacourse_standins::{Platform, PlatformFaults, PlatformSettings};

use super::{
    control::{print_times, wait_until},
    counting::CountingProxy,
    usage::{resident_bytes, thread_cpu},
};
use crate::nodes::{ANY_PORT, Node};

/// Minimum time between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_secs(15);

/// Runs the measurement and prints the figures.
pub(super) fn run(nodes: usize, listed: usize, changes: usize) -> anyhow::Result<()> {
    let platform = Platform::start(ANY_PORT, &PlatformSettings::default())?;
    let mut leaves: Vec<Member> = (0..listed).map(leaf).collect();
    publish(&platform, &leaves);
    let before = resident_bytes()?;
    let fleet = Fleet::start(&platform, nodes)?;
    wait_until(|| fleet.all_know(leaves.last()))?;
    // Excludes the cost of starting from the figures.
    std::thread::sleep(CHANGE_INTERVAL);
    fleet.take_totals();
    let memory = resident_bytes()?.saturating_sub(before);
    let counters = platform.counters();
    let cpu = thread_cpu("control")?;
    let start = Instant::now();
    let mut times = Vec::new();
    for change in 0..changes.min(listed) {
        leaves[change].state = MemberState::Leaving;
        publish(&platform, &leaves);
        let published = Instant::now();
        wait_until(|| fleet.all_know(leaves.get(change)))?;
        times.push(published.elapsed());
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(published.elapsed()));
    }
    let seconds = start.elapsed().as_secs_f64() * nodes as f64;
    let cpu = thread_cpu("control")?.saturating_sub(cpu).as_secs_f64();
    let listings = platform.counters().listings - counters.listings;
    let (platform_bytes, peer_bytes) = fleet.take_totals();
    println!(
        "{nodes} nodes, {listed} more members, one change every {:.1} s; per process: {:.0} \
         bytes/s to and from the platform ({listings} reads of the list by all nodes), \
         {:.0} bytes/s for the exchanges that it opens and as many for those that it \
         answers; control thread {:.3} ms/s; memory {} KB",
        start.elapsed().as_secs_f64() / changes as f64,
        platform_bytes as f64 / seconds,
        peer_bytes as f64 / seconds,
        cpu * 1_000.0 / seconds,
        memory / 1_024 / nodes as u64,
    );
    print_times("list change known to all nodes", &mut times);
    Ok(())
}

/// Nodes that reach the platform and each other through counting proxies.
struct Fleet {
    nodes: Vec<Node>,
    platform: CountingProxy,
    peers: Vec<CountingProxy>,
}

impl Fleet {
    fn start(platform: &Platform, count: usize) -> anyhow::Result<Self> {
        let platform = CountingProxy::start(platform.address())?;
        let mut fleet = Self {
            nodes: Vec::new(),
            platform,
            peers: Vec::new(),
        };
        for number in 0..count {
            let seeds = fleet.nodes.first().map(|n| n.address);
            let peers = &mut fleet.peers;
            let node = Node::start_behind_proxy(
                number,
                fleet.platform.address(),
                seeds.into_iter().collect(),
                |server| {
                    let proxy = CountingProxy::start(server)?;
                    let address = proxy.address();
                    peers.push(proxy);
                    Ok(address)
                },
            )?;
            fleet.nodes.push(node);
        }
        wait_until(|| fleet.nodes.iter().all(|n| n.view().entries.len() == count))?;
        Ok(fleet)
    }

    /// Returns whether every node knows that a leaf is leaving.
    fn all_know(&self, leaf: Option<&Member>) -> bool {
        let Some(leaf) = leaf else { return true };
        let id = LeafId::of(&leaf.name);
        let known = |node: &Node| node.view().leaving.contains(&id);
        self.nodes.iter().all(known)
    }

    /// Returns the bytes of ended connections to the platform and between
    /// peers since the last call.
    fn take_totals(&self) -> (usize, usize) {
        let platform = self.platform.take_totals().into_iter().sum();
        let peers = self.peers.iter().flat_map(CountingProxy::take_totals).sum();
        (platform, peers)
    }
}

/// Returns a backend server for the list.
fn leaf(number: usize) -> Member {
    Member {
        name: format!("index-{number:04}-colombo"),
        role: Role::Leaf,
        data_centre: "colombo".to_owned(),
        incarnation: fastrand::u64(1..),
        ..Member::default()
    }
}

/// Publishes leaves on the instance list; the last one is always leaving.
fn publish(platform: &Platform, leaves: &[Member]) {
    let mut list_overrides = leaves.to_vec();
    if let Some(last) = list_overrides.last_mut() {
        last.state = MemberState::Leaving;
    }
    platform.set_faults(PlatformFaults {
        list_overrides,
        ..PlatformFaults::default()
    });
}
