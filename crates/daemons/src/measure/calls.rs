//! Measures the payload bytes and processor time of the calls that control
//! threads make.

use std::{net::SocketAddr, time::Duration};

use guavacourse::{
    edge::{
        operator,
        platform::{HttpInstanceList, HttpStore, InstanceList, Store},
    },
    modules::{
        head::HEAD_KEY,
        inventory::Address,
        members::{Member, MemberState, Role},
    },
};

use super::{
    counting::CountingProxy,
    usage::{current_thread_cpu, thread_cpu},
};

/// Calls over which each figure is averaged.
const CALLS: u32 = 200;

/// Wait after which a watch ends without a change.
const WATCH_WAIT: Duration = Duration::from_millis(1);

/// Measures the payload bytes per connection of each kind of call, and the
/// processor time of the side that makes it.
pub(super) fn run(platform: SocketAddr, peer: SocketAddr) -> anyhow::Result<()> {
    let proxy = CountingProxy::start(platform)?;
    let store = HttpStore::background(proxy.address());
    let list = HttpInstanceList::new(proxy.address());
    let version = smol::block_on(operator::read_head(&store))?.0;
    measure_call("watch that ends without a change", &proxy, || {
        smol::block_on(store.watch(HEAD_KEY, version, WATCH_WAIT))?;
        Ok(())
    })?;
    measure_call("read of the head", &proxy, || {
        smol::block_on(operator::read_head(&store))?;
        Ok(())
    })?;
    let member = Member {
        name: "instance-0".to_owned(),
        role: Role::Entry,
        data_centre: "dc-0".to_owned(),
        address: Address(peer),
        state: MemberState::Live,
        incarnation: 1,
        ..Member::default()
    };
    measure_call("heartbeat", &proxy, || {
        smol::block_on(list.register(&member))?;
        Ok(())
    })?;
    let members = smol::block_on(list.list())?.len();
    let name = format!("read of the instance list with {members} members");
    measure_call(&name, &proxy, || {
        smol::block_on(list.list())?;
        Ok(())
    })?;
    let peer = CountingProxy::start(peer)?;
    let before = thread_cpu("peers")?;
    measure_call("exchange with a peer", &peer, || {
        let asked = [(peer.address(), String::new())];
        smol::block_on(operator::fetch_status(asked));
        Ok(())
    })?;
    let answered = thread_cpu("peers")?.saturating_sub(before) / CALLS;
    println!(
        "answer to an exchange: {:.3} ms of processor time",
        answered.as_secs_f64() * 1_000.0
    );
    Ok(())
}

/// Makes a call many times through a proxy, and prints the mean cost of one.
fn measure_call(
    name: &str,
    proxy: &CountingProxy,
    mut call: impl FnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    collect_totals(proxy);
    let before = current_thread_cpu()?;
    for _ in 0..CALLS {
        call()?;
    }
    let spent = current_thread_cpu()?.saturating_sub(before) / CALLS;
    let connections = collect_totals(proxy);
    let bytes: usize = connections.iter().sum();
    println!(
        "{name}: {} bytes of payload, {:.3} ms of processor time",
        bytes / connections.len().max(1),
        spent.as_secs_f64() * 1_000.0
    );
    Ok(())
}

/// Waits 300 ms for a proxy's connections to end, then returns the bytes of each
/// ended connection.
fn collect_totals(proxy: &CountingProxy) -> Vec<usize> {
    std::thread::sleep(Duration::from_millis(300));
    proxy.take_totals()
}
