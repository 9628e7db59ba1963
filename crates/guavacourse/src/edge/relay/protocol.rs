//! The interface between the relay and the protocol of its leaves.

use std::{fmt, net::SocketAddr, time::Duration};

use super::super::http::{Connection, ExchangeError, ResponseHead};
use crate::modules::{
    admission::{Ending, Job},
    call::{Outcome, Unknown},
    leaf_notice::LeafNotice,
};

/// One call to a leaf.
#[derive(Clone, Copy, Debug)]
pub struct LeafCall<'a> {
    /// The call.
    pub job: &'a Job,
    /// Name of the leaf.
    pub leaf: &'a str,
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Identifies the call; unique in this process.
    pub call_id: u64,
    /// Time left for the reply.
    pub time_left: Duration,
}

/// Encodes calls to leaves and decodes their responses.
pub trait LeafProtocol: fmt::Debug + Send + Sync {
    /// Returns the bytes of a call's request; none if this protocol cannot express
    /// the call.
    fn encode(&self, call: &LeafCall<'_>) -> Option<Vec<u8>>;

    /// Decodes a whole response into the ending of its call. A response that does not
    /// echo the id of the call's request belongs to another call, whatever it says.
    fn decode(&self, call: &LeafCall<'_>, head: &ResponseHead, body: Vec<u8>) -> Ending;

    /// Returns what a leaf says about itself in a response, besides the answer.
    fn notice(&self, _head: &ResponseHead) -> LeafNotice {
        LeafNotice::default()
    }

    /// Returns whether a response may have no length and end when the connection
    /// closes.
    fn allows_close_delimited(&self) -> bool {
        false
    }
}

/// The end of an exchange with a leaf.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Ended {
    /// How it ended.
    pub(super) ending: Ending,
    /// What the leaf said besides the answer; nothing without an answer.
    pub(super) notice: LeafNotice,
}

impl Ended {
    /// Returns whether the leaf answered that it did not run the call.
    pub(super) fn refused(&self) -> bool {
        match &self.ending {
            Ending::Answered(answer) => matches!(answer.outcome, Outcome::NotRun(_)),
            _ => false,
        }
    }
}

impl From<Ending> for Ended {
    fn from(ending: Ending) -> Self {
        Self {
            ending,
            notice: LeafNotice::default(),
        }
    }
}

/// Sends a call over an open connection and reads the leaf's reply and notice.
pub(super) async fn exchange(
    protocol: &dyn LeafProtocol,
    connection: &mut Connection,
    call: &LeafCall<'_>,
) -> Ended {
    let Some(request) = protocol.encode(call) else {
        return Ending::Unreachable.into();
    };
    let ending = match connection.exchange_bytes(&request).await {
        Ok((head, body)) => {
            return Ended {
                notice: protocol.notice(&head),
                ending: protocol.decode(call, &head, body),
            };
        }
        Err(ExchangeError::Unreachable(_)) => Ending::Unreachable,
        Err(ExchangeError::Closed(_)) => Ending::Lost(Unknown::Closed),
        Err(ExchangeError::Malformed(_) | ExchangeError::TooLarge(_)) => {
            Ending::Lost(Unknown::Malformed)
        }
        Err(ExchangeError::Timeout) => Ending::Lost(Unknown::Timeout),
    };
    ending.into()
}
