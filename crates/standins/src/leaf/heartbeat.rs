//! Registers the simulated leaves in the platform's instance list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use guavacourse::{
    edge::http::Connection,
    modules::{
        inventory::Address,
        members::{Member, MemberState, Role},
    },
};
use http_types::{Method, Request, Url};
use smol::Timer;

use super::server::Leaf;
use crate::outage::Outage;

/// Sends heartbeats for `leaves` to the platform forever, with `interval` between
/// rounds.
pub(super) async fn run(leaves: Vec<Arc<Leaf>>, platform: SocketAddr, interval: Duration) {
    loop {
        if let Err(error) = send_heartbeats(&leaves, platform).await {
            tracing::debug!(%error, "failed to send a heartbeat for the leaves to the platform");
        }
        Timer::after(interval).await;
    }
}

async fn send_heartbeats(leaves: &[Arc<Leaf>], platform: SocketAddr) -> anyhow::Result<()> {
    let mut connection = Connection::open(platform).await?;
    for leaf in leaves {
        let Some(member) = member(leaf) else {
            continue;
        };
        let path = format!("http://{platform}/instances/{}/leaf", member.name);
        let mut request = Request::new(Method::Put, Url::parse(&path)?);
        request.set_body(serde_json::to_string(&member)?);
        connection.exchange(request).await?;
    }
    Ok(())
}

/// Returns the leaf's entry in the instance list, or `None` while it is down.
fn member(leaf: &Leaf) -> Option<Member> {
    let state = leaf.lock();
    if state.faults.down != Outage::None {
        return None;
    }
    Some(Member {
        name: leaf.spec.name.clone(),
        role: Role::Leaf,
        data_centre: leaf.spec.data_centre.clone(),
        address: Address(leaf.address),
        state: if state.faults.draining {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
        incarnation: state.incarnation,
        ..Member::default()
    })
}
