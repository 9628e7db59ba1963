//! Checks that real control threads put configurations in force despite outages of
//! the store, cut instances, restarts, and an instance list that is late or wrong.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use guavacourse::{
    edge::{operator, platform::HttpStore},
    modules::{
        commit::{CommitOutcome, Proposal},
        members::{Member, MemberState, Role},
        roster::{ProcessName, Roster},
        time::Time,
    },
};
use guavacourse_daemons::nodes::{ANY_PORT, Node};
use guavacourse_standins::{
    LinkFaults, LinkProxy, Outage, Platform, PlatformFaults, PlatformSettings,
};

/// Generous maximum time to wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

fn start_node(number: usize, platform: SocketAddr, seeds: Vec<SocketAddr>) -> Node {
    Node::start(number, platform, seeds).expect("a node")
}

/// A platform and the processes that use it.
struct Fleet {
    platform: Platform,
    nodes: Vec<Node>,
}

impl Fleet {
    fn start(count: usize) -> Self {
        let platform = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
        let address = platform.address();
        let nodes = (0..count).map(|i| start_node(i, address, Vec::new()));
        let fleet = Self {
            nodes: nodes.collect(),
            platform,
        };
        wait_until("each node knows the others", || {
            let knows = |node: &Node| node.view().entries.len() == count;
            fleet.nodes.iter().all(knows)
        });
        fleet
    }

    fn apply(&self, base: u64, epoch: u64) -> CommitOutcome {
        let store = HttpStore::background(self.platform.address());
        smol::block_on(operator::apply(&store, proposal(base, epoch)))
    }

    fn set_down(&self, down: Outage) {
        self.platform.set_faults(PlatformFaults {
            down,
            ..PlatformFaults::default()
        });
    }

    fn wait_revision(&self, revision: u64) {
        wait_until("the revision is in force on each node", || {
            self.nodes.iter().all(|n| n.revision() == revision)
        });
    }
}

fn proposal(base: u64, epoch: u64) -> Proposal {
    Proposal {
        base,
        above: 0,
        text: format!("epoch = {epoch}\n"),
        operation: format!("{:016x}", fastrand::u64(..)),
        author: "tests".to_owned(),
        seconds: 0,
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_change_reaches_every_node() {
    let fleet = Fleet::start(7);
    for revision in 1..=3 {
        let outcome = fleet.apply(revision - 1, revision);
        assert!(matches!(outcome, CommitOutcome::Accepted(..)), "{outcome}");
        fleet.wait_revision(revision);
    }
    assert!(fleet.nodes.iter().all(|n| n.view().catalog.epoch == 3));
}

#[test]
fn the_store_fails_right_after_one_node_has_a_change() {
    let fleet = Fleet::start(7);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    fleet.apply(1, 2);
    wait_until("one node has the change", || {
        fleet.nodes.iter().any(|n| n.revision() == 2)
    });
    fleet.set_down(Outage::Refuse);
    fleet.wait_revision(2);
}

#[test]
fn the_operators_offer_spreads_without_the_store() {
    let fleet = Fleet::start(7);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    fleet.set_down(Outage::Refuse);
    let addresses = [fleet.nodes[0].address];
    let accepted = guavacourse::modules::adoption::Stamp::of(2, b"epoch = 2\n");
    let adopters = smol::block_on(operator::offer(&addresses, accepted, "epoch = 2\n"));
    assert_eq!(adopters, 1);
    fleet.wait_revision(2);
}

#[test]
fn a_new_instance_starts_from_its_peers() {
    let mut fleet = Fleet::start(3);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    fleet.set_down(Outage::Refuse);
    let platform = fleet.platform.address();
    let seeds = vec![fleet.nodes[1].address];
    drop(fleet.nodes.pop());
    let restarted = start_node(2, platform, seeds);
    wait_until("the restarted node is ready", || restarted.view().ready());
    assert_eq!(restarted.revision(), 1);
    let alone = start_node(9, platform, Vec::new());
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        !alone.view().ready(),
        "a node without a source is not ready"
    );
}

#[test]
fn a_cut_instance_catches_up() {
    let fleet = Fleet::start(3);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    let store = LinkProxy::start(ANY_PORT, fleet.platform.address(), 1).expect("a proxy");
    let cut = start_node(8, store.address(), Vec::new());
    wait_until("the node starts", || cut.revision() == 1);
    let links = || fleet.nodes.iter().chain([&cut]).map(|n| &n.link);
    let faults = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    links()
        .chain([&store])
        .for_each(|l| l.set_faults(faults.clone()));
    fleet.apply(1, 2);
    fleet.wait_revision(2);
    assert_eq!(cut.revision(), 1, "nothing reaches the cut node");
    links().for_each(|l| l.set_faults(LinkFaults::default()));
    wait_until("the node learns from its peers", || cut.revision() == 2);
}

#[test]
fn a_store_with_an_older_revision_is_refused() {
    let fleet = Fleet::start(3);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    let restored = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    let old = HttpStore::background(restored.address());
    let other = Proposal {
        text: "# restored\nepoch = 7\n".to_owned(),
        ..proposal(0, 7)
    };
    smol::block_on(operator::apply(&old, other));
    let seeds = vec![fleet.nodes[0].address];
    let node = start_node(8, fleet.platform.address(), seeds);
    fleet.apply(1, 2);
    wait_until("the node follows", || node.revision() == 2);
    let stray = start_node(9, restored.address(), vec![node.address]);
    wait_until("the higher revision of a peer wins", || {
        stray.revision() == 2
    });
    wait_until("the store's revision is refused", || {
        stray.view().refused > 0
    });
    assert_eq!(stray.revision(), 2);
}

#[test]
fn a_stale_list_does_not_mark_a_leaving_process_live() {
    let fleet = Fleet::start(3);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    let leaving = &fleet.nodes[0];
    let live = fleet.platform.instances().into_iter();
    let stale: Vec<Member> = live.filter(|m| m.name == "instance-0").collect();
    fleet.platform.set_faults(PlatformFaults {
        list_overrides: stale,
        ..PlatformFaults::default()
    });
    leaving.control.leave();
    wait_until("the peers know that it leaves", || {
        fleet.nodes[1..].iter().all(|n| {
            let view = n.view();
            let member = view.entries.iter().find(|m| m.name == "instance-0");
            member.is_some_and(|m| m.state == MemberState::Leaving)
        })
    });
}

#[test]
fn a_slow_store_delays_but_loses_no_change() {
    let fleet = Fleet::start(3);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    fleet.platform.set_faults(PlatformFaults {
        delay: Duration::from_millis(1_500),
        ..PlatformFaults::default()
    });
    let outcome = fleet.apply(1, 2);
    assert!(matches!(outcome, CommitOutcome::Accepted(..)), "{outcome}");
    fleet.wait_revision(2);
}

#[test]
fn cut_watchers_do_not_hold_back_their_data_centre() {
    let platform = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    let address = platform.address();
    let links: Vec<LinkProxy> = (0..4)
        .map(|i| LinkProxy::start(ANY_PORT, address, i).expect("a proxy"))
        .collect();
    // Every third node number is in the same data centre.
    let nodes: Vec<Node> = (0..)
        .step_by(3)
        .zip(&links)
        .map(|(number, link)| start_node(number, link.address(), Vec::new()))
        .collect();
    let fleet = Fleet { platform, nodes };
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    wait_until("each node knows the others", || {
        fleet.nodes.iter().all(|n| n.view().entries.len() == 4)
    });
    let mut roster = Roster::default();
    roster.merge_list(fleet.platform.instances(), Time::default());
    let watchers = roster.watchers("dc-0", Time::default());
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    for (number, link) in (0..).step_by(3).zip(&links) {
        let name = ProcessName::new(&format!("instance-{number}"), Role::Entry);
        if watchers.contains(&name) {
            link.set_faults(cut.clone());
        }
    }
    fleet.apply(1, 2);
    fleet.wait_revision(2);
}

#[test]
fn blocked_contents_reach_every_node() {
    let mut fleet = Fleet::start(7);
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    fleet.set_down(Outage::Refuse);
    fleet.nodes[3].control.quarantine(42);
    let platform = fleet.platform.address();
    let seeds = vec![fleet.nodes[0].address];
    fleet.nodes.push(start_node(9, platform, seeds));
    wait_until("each node blocks the content", || {
        let blocks = |n: &Node| n.view().quarantined.contains(&42);
        fleet.nodes.iter().all(blocks)
    });
}

#[test]
fn a_store_that_lost_writes_is_followed_again() {
    let mut fleet = Fleet::start(3);
    for revision in 1..=4 {
        fleet.apply(revision - 1, revision);
    }
    fleet.wait_revision(4);
    let address = fleet.platform.address();
    let empty = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    std::mem::replace(&mut fleet.platform, empty).stop();
    let settings = PlatformSettings::default();
    fleet.platform = Platform::start(address, &settings).expect("the address is free");
    let store = HttpStore::background(address);
    let above = Proposal {
        above: 4,
        ..proposal(0, 5)
    };
    let outcome = smol::block_on(operator::apply(&store, above));
    assert!(matches!(outcome, CommitOutcome::Accepted(..)), "{outcome}");
    fleet.wait_revision(5);
}

// Guards against a configuration that comes back with an older copy of the store, in
// processes that run and in one that starts.
#[test]
fn an_older_copy_of_the_store_takes_no_revision_back() {
    let fleet = Fleet::start(3);
    fleet.platform.send_era();
    fleet.apply(0, 1);
    fleet.wait_revision(1);
    let copy = fleet.platform.copy();
    fleet.apply(1, 2);
    fleet.wait_revision(2);
    fleet.platform.restore(&copy);
    let seeds = vec![fleet.nodes[0].address];
    let late = start_node(9, fleet.platform.address(), seeds);
    // No pause between the checks: peers would correct an older revision within milliseconds.
    while late.revision() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(late.revision(), 2);
    assert!(fleet.nodes.iter().all(|node| node.revision() == 2));
    let above = Proposal {
        above: 2,
        ..proposal(1, 3)
    };
    let store = HttpStore::background(fleet.platform.address());
    let outcome = smol::block_on(operator::apply(&store, above));
    assert!(matches!(outcome, CommitOutcome::Accepted(..)), "{outcome}");
    wait_until("the next revision is in force", || {
        let nodes = fleet.nodes.iter().chain([&late]);
        nodes.map(Node::revision).all(|revision| revision == 3)
    });
}
