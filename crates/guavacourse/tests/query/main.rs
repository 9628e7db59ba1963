//! Tests the decisions of one query against scripted replies.

mod canary;
mod coverage;
mod deferred;
mod fixture;
mod hedging;
mod plan;
mod random;
mod replicas;
mod replies;
mod snapshot;
mod suspicion;
