//! Gossip with peers about the configuration and the members of the fleet.
//!
//! A process opens an exchange with a random peer each period, and with a few
//! at once when its own state has changed. A process that learns of a newer
//! revision fetches it.

use std::{net::SocketAddr, time::Duration};

use capnp::Error;
use futures::future::join_all;
use futures_lite::FutureExt;
use smol::Timer;

use super::{state::Shared, summary::Summary};
use crate::{
    edge::{
        fleet::{self, Link},
        wire::list_len,
    },
    generated::wire_capnp::peer,
    modules::{
        adoption::{RevisionOrder, Stamp},
        delta::Delta,
        members::Role,
        roster::ProcessName,
    },
};

/// Time between two exchanges that a process opens.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum time that an exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers that a change is pushed to at once.
const PUSH_PEERS: usize = 3;

/// Number of peers that a starting process asks, to adopt the highest of their
/// revisions.
const BOOTSTRAP_PEERS: usize = 8;

/// Why a process opens an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// No change of members: the peer does not have to fetch any.
    Other,
    /// A change of members, which the peer then fetches in its own exchange.
    Members,
}

/// A process to open an exchange with.
#[derive(Clone, Debug)]
struct Target {
    /// Its name; `None` for a seed.
    name: Option<ProcessName>,
    address: SocketAddr,
}

/// The answer of a peer, with the open connection to it.
struct Answer {
    /// Keeps the connection open.
    _link: Link,
    peer: peer::Client,
    summary: Summary,
}

/// Opens an exchange with a random peer each period.
pub(super) async fn gossip(shared: Shared) {
    loop {
        Timer::after(jittered(EXCHANGE_PERIOD)).await;
        shared.expire();
        for target in targets(&shared, 1) {
            exchange(&shared, &target, Cause::Other).await;
        }
    }
}

/// Opens exchanges with a few random peers, to spread a change.
pub(super) fn push(shared: &Shared, cause: Cause) {
    for target in targets(shared, PUSH_PEERS) {
        let task = shared.clone();
        shared.spawn(async move { exchange(&task, &target, cause).await });
    }
}

/// Handles the summary of a peer that opened an exchange, and opens one in return
/// if the peer is ahead.
pub(super) fn on_summary(shared: &Shared, summary: &Summary) {
    record(shared, summary);
    let ahead = shared.read(|s| {
        let newer = s.bootstrapped && s.adoption.compare(summary.stamp) == RevisionOrder::Newer;
        newer || summary.members_changed && s.roster.merged_list().digest() != summary.members
    });
    if !ahead {
        return;
    }
    let Some(address) = shared.read(|s| s.roster.address(&summary.name)) else {
        return;
    };
    let target = Target {
        name: Some(summary.name.clone()),
        address: address.0,
    };
    let task = shared.clone();
    shared.spawn(async move { exchange(&task, &target, Cause::Other).await });
}

/// Asks several peers at once and adopts the highest of their revisions.
pub(super) async fn bootstrap(shared: &Shared) {
    let targets = targets(shared, BOOTSTRAP_PEERS);
    let requests = targets
        .iter()
        .map(|target| request_summary(shared, target, Cause::Other));
    let answers = join_all(requests).await.into_iter().flatten();
    let highest = answers.max_by_key(|answer| answer.summary.stamp.revision);
    if let Some(answer) = highest.filter(|a| a.summary.stamp.revision > 0) {
        fetch(shared, &answer).await;
    }
}

/// Fetches the members of the fleet from a peer when the process starts. Returns
/// the size of the reply in bytes; `None` if no members were fetched.
pub(super) async fn fetch_first_members(shared: &Shared) -> Option<u32> {
    let targets = targets(shared, 1);
    let answer = request_summary(shared, targets.first()?, Cause::Other).await?;
    sync_members(shared, &answer).await
}

/// Exchanges summaries with a peer, and fetches its revision if it is newer and
/// the members that it knows differently.
async fn exchange(shared: &Shared, target: &Target, cause: Cause) {
    let Some(answer) = request_summary(shared, target, cause).await else {
        return;
    };
    let (bootstrapped, verdict) =
        shared.read(|s| (s.bootstrapped, s.adoption.compare(answer.summary.stamp)));
    match verdict {
        RevisionOrder::Newer if bootstrapped => fetch(shared, &answer).await,
        RevisionOrder::Conflicting => {
            shared.refuse(answer.summary.stamp, answer.summary.name.as_str());
        }
        _ => {}
    }
    sync_members(shared, &answer).await;
}

/// Fetches the members that a peer knows differently, and returns the size of the
/// reply in bytes. Asks one peer at a time, because the others mostly know the
/// same.
async fn sync_members(shared: &Shared, answer: &Answer) -> Option<u32> {
    let (listed, requested_at) = shared.read(|s| (s.roster.merged_list(), s.clock.now()));
    let same = listed.digest() == answer.summary.members;
    if same || shared.update(|s| std::mem::replace(&mut s.fetching_members, true)) {
        return None;
    }
    let records = with_timeout(fetch_members(&answer.peer, listed.digests())).await;
    shared.update(|s| s.fetching_members = false);
    let source = answer.summary.name.as_str();
    let received = records.and_then(|records| {
        let parsed = serde_json::from_slice(&records).map_err(|e| Error::failed(e.to_string()))?;
        Ok((records.len(), parsed))
    });
    match received {
        Ok((bytes, received)) => {
            shared.merge_members(received, requested_at);
            u32::try_from(bytes).ok()
        }
        Err(e) => {
            tracing::warn!("cannot fetch the members from {source}: {e}; another peer is asked");
            None
        }
    }
}

async fn fetch_members(peer: &peer::Client, digests: &[u32]) -> Result<Vec<u8>, Error> {
    let mut request = peer.members_request();
    let mut list = request.get().init_digests(list_len(digests.len()));
    for (i, digest) in (0..).zip(digests) {
        list.set(i, *digest);
    }
    let response = request.send().promise.await?;
    Ok(response.get()?.get_records()?.to_vec())
}

/// Exchanges summaries with a peer and records the peer's. Returns `None`, and marks
/// the peer as unreachable, if it does not answer.
async fn request_summary(shared: &Shared, target: &Target, cause: Cause) -> Option<Answer> {
    match with_timeout(send_summary(shared, target.address, cause)).await {
        Ok(answer) => {
            record(shared, &answer.summary);
            Some(answer)
        }
        Err(e) => {
            tracing::debug!("the exchange with {} failed: {e}", target.address);
            if let Some(name) = &target.name {
                shared.update(|s| s.roster.record_unreachable(name));
            }
            None
        }
    }
}

async fn send_summary(shared: &Shared, address: SocketAddr, cause: Cause) -> Result<Answer, Error> {
    let link = fleet::connect(&shared.executor, address).await?;
    let peer = link.node.peer_request().send().pipeline.get_peer();
    let mut request = peer.exchange_request();
    let status = shared.read(super::state::State::status).load();
    let now = shared.read(|s| s.clock.now());
    let mut summary = request.get().init_summary();
    summary.set_news(cause == Cause::Members);
    status.write(summary, now);
    let response = request.send().promise.await?;
    let summary = Summary::read(response.get()?.get_summary()?)?;
    Ok(Answer {
        _link: link,
        peer,
        summary,
    })
}

/// Fetches and adopts the revision of a peer that is ahead: as a delta, or in full
/// if the delta gives no valid body, because the peer's body of our revision in
/// force differs from ours.
async fn fetch(shared: &Shared, answer: &Answer) {
    let source = answer.summary.name.as_str();
    let held = shared.read(|s| s.adoption.current().revision);
    let mut body = with_timeout(fetch_body(shared, &answer.peer, held)).await;
    if matches!(body, Ok(None)) {
        body = with_timeout(fetch_body(shared, &answer.peer, 0)).await;
    }
    match body {
        Ok(Some((stamp, text))) => shared.adopt(stamp, text, source),
        Ok(None) => tracing::warn!("damaged configuration from {source}; another peer is asked"),
        Err(e) => tracing::warn!(
            "cannot fetch the configuration from {source}: {e}; another peer is asked"
        ),
    }
}

/// Fetches a body from a peer, as a delta to revision `have` if the peer can.
/// Returns `None` if its digest is not the announced one.
async fn fetch_body(
    shared: &Shared,
    peer: &peer::Client,
    have: u64,
) -> Result<Option<(Stamp, String)>, Error> {
    let mut request = peer.fetch_request();
    request.get().set_have(have);
    let response = request.send().promise.await?;
    let reader = response.get()?;
    let stamp = Stamp {
        revision: reader.get_revision(),
        digest: reader.get_digest(),
    };
    let text = if reader.get_delta() {
        let base = shared.read(|s| s.body(have));
        base.and_then(|base| apply_delta(&base.text, reader.get_body().ok()?))
    } else {
        String::from_utf8(reader.get_body()?.to_vec()).ok()
    };
    let intact = text.filter(|text| Stamp::of(stamp.revision, text.as_bytes()) == stamp);
    Ok(intact.map(|text| (stamp, text)))
}

/// Applies a delta in its wire form.
fn apply_delta(base: &str, delta: &[u8]) -> Option<String> {
    let delta: Delta = serde_json::from_slice(delta).ok()?;
    delta.apply(base).ok()
}

/// Records what a peer reports of itself, and pushes the members if it has just
/// started to leave.
fn record(shared: &Shared, summary: &Summary) {
    let newly_leaving = shared.update(|s| {
        let now = s.clock.now();
        let newly_leaving =
            s.roster
                .record_contact(&summary.name, summary.incarnation, summary.leaving, now);
        s.publish();
        newly_leaving
    });
    if newly_leaving {
        push(shared, Cause::Members);
    }
    shared.block(&summary.blocked);
}

/// Returns up to `max` random peers. The seeds are among them until other peers
/// are known and a first configuration has arrived.
fn targets(shared: &Shared, max: usize) -> Vec<Target> {
    let mut found = shared.read(|s| {
        let now = s.clock.now();
        let own = s.name();
        let members = [Role::Entry, Role::Relay]
            .into_iter()
            .flat_map(|role| s.roster.members(role, now));
        let named = members.map(|m| Target {
            name: Some(ProcessName::new(&m.name, m.role)),
            address: m.address.0,
        });
        let mut found: Vec<Target> = named.filter(|t| t.name.as_ref() != Some(&own)).collect();
        if found.is_empty() || !s.bootstrapped {
            found.extend(seeds(&s.node.seeds, s.address, &found));
        }
        found
    });
    fastrand::shuffle(&mut found);
    found.truncate(max);
    found
}

/// Returns the seeds that are neither this process nor among `known`.
fn seeds(seeds: &[SocketAddr], own: SocketAddr, known: &[Target]) -> Vec<Target> {
    let unknown =
        |address: &&SocketAddr| **address != own && !known.iter().any(|t| t.address == **address);
    seeds
        .iter()
        .filter(unknown)
        .map(|address| Target {
            name: None,
            address: *address,
        })
        .collect()
}

async fn with_timeout<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let timeout = async {
        Timer::after(EXCHANGE_TIMEOUT).await;
        Err(Error::overloaded(
            "no answer within the time limit".to_owned(),
        ))
    };
    work.or(timeout).await
}

/// Varies a period randomly by up to a quarter each way, so that processes do not
/// act in step.
pub(super) fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.75 + fastrand::f64() / 2.0)
}
