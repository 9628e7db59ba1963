//! Fleet membership on real control threads, some of which cannot read the instance
//! list.

mod support;

use guavacourse::modules::{
    catalog::LeafId,
    members::{Member, MemberState, Role},
};
use guavacourse_daemons::nodes::{ANY_PORT, Node};
use guavacourse_standins::{
    LinkFaults, LinkProxy, Outage, Platform, PlatformFaults, PlatformSettings,
};
use support::wait_until;

#[test]
fn a_node_cut_from_the_list_learns_members_from_its_peers() {
    let platform = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    let address = platform.address();
    let first = Node::start(0, address, Vec::new()).expect("a node");
    let list_link = LinkProxy::start(ANY_PORT, address, 1).expect("a proxy");
    let cut = Node::start(1, list_link.address(), vec![first.address]).expect("a node");
    let knows = |node: &Node, count| node.view().entries.len() == count;
    wait_until("the two nodes know each other", || {
        knows(&cut, 2) && knows(&first, 2)
    });
    list_link.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    let _third = Node::start(2, address, vec![first.address]).expect("a node");
    wait_until("the cut node knows the third", || knows(&cut, 3));
    platform.set_faults(PlatformFaults {
        list_overrides: vec![Member {
            name: "leaf".to_owned(),
            role: Role::Leaf,
            state: MemberState::Leaving,
            ..Member::default()
        }],
        ..PlatformFaults::default()
    });
    wait_until("the cut node knows that the leaf is leaving", || {
        cut.view().leaving.contains(&LeafId::of("leaf"))
    });
}

#[test]
fn a_node_that_starts_while_the_list_is_down_learns_members_from_its_peers() {
    let platform = Platform::start(ANY_PORT, &PlatformSettings::default()).expect("a platform");
    let address = platform.address();
    let nodes = [0, 1, 2].map(|i| Node::start(i, address, Vec::new()).expect("a node"));
    wait_until("the three nodes know each other", || {
        nodes.iter().all(|n| n.view().entries.len() == 3)
    });
    platform.set_faults(PlatformFaults {
        down: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let late = Node::start(9, address, vec![nodes[0].address]).expect("a node");
    wait_until("the late node knows the three", || {
        late.view().entries.len() == 3
    });
}
