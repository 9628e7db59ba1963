//! Calls of the operators' command to the processes of the fleet.

use std::{future::Future, net::SocketAddr, time::Duration};

use capnp::Error;
use futures::future::join_all;
use futures_lite::FutureExt;
use serde::Serialize;
use smol::{LocalExecutor, Timer};

use crate::{
    edge::fleet::{self, Link},
    generated::wire_capnp::peer,
    modules::adoption::Stamp,
};

/// Maximum time for a process to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Status that a process reports of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Name of the process; that of its instance if it did not answer.
    pub name: String,
    /// Address at which it was asked.
    pub address: SocketAddr,
    /// Revision in force; `None` if it did not answer.
    pub revision: Option<u64>,
    /// Time since the revision came into force there, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of lower or conflicting revisions that it refused.
    pub refused: u64,
}

/// Sends an accepted body to processes, so that a store outage right after the
/// acceptance does not delay the change. Returns how many received it.
pub async fn offer(addresses: &[SocketAddr], accepted: Stamp, text: &str) -> usize {
    let executor = LocalExecutor::new();
    let offers = addresses.iter().map(|address| {
        let sent = send_offer(&executor, *address, accepted, text);
        answer_or_warn(*address, sent)
    });
    let received = executor.run(join_all(offers)).await;
    received.into_iter().flatten().count()
}

/// Asks processes, given by address and instance name, for their status.
pub async fn fetch_status(
    addresses: impl IntoIterator<Item = (SocketAddr, String)>,
) -> Vec<ProcessStatus> {
    let executor = LocalExecutor::new();
    let requests = addresses.into_iter().map(|(address, name)| {
        let status = send_exchange(&executor, address);
        async move {
            answer_or_warn(address, status)
                .await
                .unwrap_or(ProcessStatus {
                    name,
                    address,
                    revision: None,
                    age_ms: None,
                    leaving: false,
                    refused: 0,
                })
        }
    });
    executor.run(join_all(requests)).await
}

async fn send_offer(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    accepted: Stamp,
    text: &str,
) -> Result<(), Error> {
    let (_link, peer) = connect(executor, address).await?;
    let mut request = peer.offer_request();
    let mut params = request.get();
    params.set_revision(accepted.revision);
    params.set_digest(accepted.digest);
    params.set_body(text.as_bytes());
    request.send().promise.await?;
    Ok(())
}

async fn send_exchange(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
) -> Result<ProcessStatus, Error> {
    let (_link, peer) = connect(executor, address).await?;
    let response = peer.exchange_request().send().promise.await?;
    let summary = response.get()?.get_summary()?;
    Ok(ProcessStatus {
        name: summary.get_name()?.to_string()?,
        address,
        revision: Some(summary.get_revision()),
        age_ms: Some(summary.get_age_millis()),
        leaving: summary.get_leaving(),
        refused: summary.get_refused(),
    })
}

async fn connect(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
) -> Result<(Link, peer::Client), Error> {
    let link = fleet::connect(executor, address).await?;
    let peer = link.node.peer_request().send().pipeline.get_peer();
    Ok((link, peer))
}

/// Waits for an answer; logs a warning and returns `None` if there is none.
async fn answer_or_warn<T>(
    address: SocketAddr,
    call: impl Future<Output = Result<T, Error>>,
) -> Option<T> {
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Err(Error::overloaded(
            "no answer within the time limit".to_owned(),
        ))
    };
    match call.or(timeout).await {
        Ok(answer) => Some(answer),
        Err(e) => {
            tracing::warn!("no answer from {address}: {e}; check that it runs");
            None
        }
    }
}
