//! Tests which relays a traffic thread uses, from what it recorded about them.

use std::{net::Ipv4Addr, sync::Arc};

use guavacourse::modules::{
    catalog::Catalog,
    inventory::{Address, Config},
    load_balancer::LoadBalancer,
    members::{Member, Role},
    time::Time,
    view::View,
};

const INVENTORY: &str = r#"
    [[services]]
    name = "booking"
    leaves = [{ name = "b1", from = 0, until = 100 }]
"#;

const NOW: Time = Time(1_000);

/// Returns a view with one relay of the given incarnation.
fn view(incarnation: u64) -> Arc<View> {
    let config: Config = toml::from_str(INVENTORY).expect("a valid inventory");
    let relay = Member {
        name: "r1".to_owned(),
        role: Role::Relay,
        address: address(),
        incarnation,
        ..Member::default()
    };
    Arc::new(View {
        catalog: Arc::new(Catalog::new(1, &config)),
        relays: vec![relay],
        ..View::default()
    })
}

fn address() -> Address {
    "127.0.0.1:7".parse().map(Address).expect("an address")
}

/// Returns the number of leaves that may be called, over all shards.
fn count_choices(balancer: &LoadBalancer, view: &View) -> usize {
    let shards = view.catalog.shards.keys();
    shards
        .map(|shard| balancer.choices(view, shard, NOW).len())
        .sum()
}

#[test]
fn a_leaving_relay_is_used_again_once_it_has_restarted() {
    let mut balancer = LoadBalancer::new("dc");
    let first = view(1);
    balancer.sync(&first);
    assert_eq!(count_choices(&balancer, &first), 1);
    balancer.relay_leaving(address(), NOW);
    assert_eq!(count_choices(&balancer, &first), 0);
    let same = view(1);
    balancer.sync(&same);
    assert_eq!(count_choices(&balancer, &same), 0);
    let restarted = view(2);
    balancer.sync(&restarted);
    assert_eq!(count_choices(&balancer, &restarted), 1);
}

/// Shortly after [`NOW`]: a relay that went down at [`NOW`] is not due to be tried
/// again, which takes 10 s.
const LATER: Time = Time(2_000);

fn relay(number: u16) -> Member {
    Member {
        name: format!("r{number}"),
        role: Role::Relay,
        address: Address((Ipv4Addr::LOCALHOST, number).into()),
        incarnation: 1,
        ..Member::default()
    }
}

#[test]
fn the_relay_that_has_been_down_longest_is_tried_if_none_is_up() {
    let mut all = View::clone(&view(1));
    all.relays = vec![relay(1), relay(2), relay(3)];
    let all = Arc::new(all);
    let mut balancer = LoadBalancer::new("dc");
    balancer.sync(&all);
    for (at, relay) in [(NOW, &all.relays[1]), (LATER, &all.relays[0])] {
        balancer.relay_down(relay.address, at);
    }
    balancer.relay_leaving(all.relays[2].address, NOW);
    let shard = all.catalog.shards.keys().next().expect("a shard");
    let choices = balancer.choices(&all, shard, LATER);
    let relays: Vec<Address> = choices.iter().map(|choice| choice.relay).collect();
    assert_eq!(relays, [all.relays[1].address]);
}

#[test]
fn a_relay_that_was_down_is_used_at_once_after_its_restart() {
    let mut balancer = LoadBalancer::new("dc");
    balancer.sync(&view(1));
    balancer.relay_down(address(), NOW);
    let restarted = view(2);
    balancer.sync(&restarted);
    assert_eq!(count_choices(&balancer, &restarted), 1);
}
