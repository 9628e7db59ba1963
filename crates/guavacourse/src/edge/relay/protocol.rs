//! What leaves speak.

use std::{fmt, net::SocketAddr, time::Duration};

use super::super::http::{Connection, ExchangeError, ResponseHead};
use crate::modules::{
    admission::{Ending, Job},
    call::Unknown,
};

/// One call as it is put to a leaf.
#[derive(Clone, Copy, Debug)]
pub struct LeafCall<'a> {
    /// The call.
    pub job: &'a Job,
    /// Name of the leaf.
    pub leaf: &'a str,
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Number of the call, unique in this process.
    pub echo: u64,
    /// Time left for the reply.
    pub left: Duration,
}

/// Translates calls to what leaves speak, and their replies back.
pub trait LeafProtocol: fmt::Debug + Send + Sync {
    /// Returns the bytes of a call's request; none if it cannot be put.
    fn encode(&self, call: &LeafCall<'_>) -> Option<Vec<u8>>;

    /// Tells what a whole response says of its call.
    fn decode(&self, call: &LeafCall<'_>, head: &ResponseHead, body: Vec<u8>) -> Ending;

    /// Tells whether a response may end with its connection.
    fn unframed(&self) -> bool {
        false
    }
}

/// Sends a call over an open connection and reads the leaf's reply.
pub(super) async fn exchange(
    protocol: &dyn LeafProtocol,
    connection: &mut Connection,
    call: &LeafCall<'_>,
) -> Ending {
    let Some(request) = protocol.encode(call) else {
        return Ending::Unreachable;
    };
    match connection.exchange_bytes(&request).await {
        Ok((head, body)) => protocol.decode(call, &head, body),
        Err(ExchangeError::Unreachable(_)) => Ending::Unreachable,
        Err(ExchangeError::Closed(_)) => Ending::Lost(Unknown::Closed),
        Err(ExchangeError::Malformed(_)) => Ending::Lost(Unknown::Malformed),
        Err(ExchangeError::Timeout) => Ending::Lost(Unknown::Timeout),
    }
}
