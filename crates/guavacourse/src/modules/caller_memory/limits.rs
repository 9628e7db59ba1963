//! Limits that follow from the memory and the descriptors of an instance.

/// Descriptors that are not sockets, such as files.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the remaining descriptors that is kept for leaves, peers, the store and the
/// readiness check: one in four.
const INTERNAL_DIVISOR: usize = 4;

/// Share of the memory for what callers send and receive: one in four. The rest is for
/// the process itself, the connections, the responses of leaves, and what the allocator
/// cannot return.
const CALLER_DIVISOR: usize = 4;

/// Share of the memory for the connections themselves: one in eight.
const CONNECTION_DIVISOR: usize = 8;

/// Memory that a connection takes without a request, in bytes: its task and a read
/// buffer.
const CONNECTION_BYTES: usize = 16 * 1_024;

/// Share of the memory for what the system has received and the process has not read:
/// three in eight.
const UNREAD_SHARE: (usize, usize) = (3, 8);

/// Wanted size of the receive buffer of a connection, in bytes.
pub const RECEIVE_BUFFER: usize = 16 * 1_024;

/// Connections that may wait to be accepted. Their receive buffers fill all the same.
pub const WAITING_CONNECTIONS: usize = 128;

/// Share of the memory for responses of leaves that are being read: one in ten.
const RESPONSE_DIVISOR: usize = 10;

/// Largest memory for responses that are being read, in bytes: four of the largest.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Share of the account that only small requests may use: one in four.
const RESERVE_DIVISOR: usize = 4;

/// Connections that may still be closing while others take their places.
const CLOSING_CONNECTIONS: usize = 32;

/// Share of the descriptors for leaves, peers, the store and the readiness check that peers
/// may use: one in two.
const PEER_SOCKET_DIVISOR: usize = 2;

/// Share of the memory for messages that peers send: one in ten.
const PEER_DIVISOR: usize = 10;

/// Share of the memory for what the system has received from peers and the process has not
/// read: one in eight.
const PEER_UNREAD_DIVISOR: usize = 8;

/// Most connections of peers: three from each process of the largest fleet.
const MAX_PEER_CONNECTIONS: usize = 1_024;

/// Connections of peers that may still be closing while others take their places.
const CLOSING_PEERS: usize = 8;

/// Fewest connections: an instance with fewer could not be used.
const MIN_CONNECTIONS: usize = 16;

/// Memory and descriptors without settings: more than any deployment needs.
const DEFAULT_MEMORY: usize = 2 * 1_024 * 1_024 * 1_024;
const DEFAULT_DESCRIPTORS: usize = 65_536;

/// What an instance has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceLimits {
    /// Memory in bytes.
    pub memory: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl InstanceLimits {
    /// Returns the limits of all callers together, if the system holds up to
    /// `receive_buffer` bytes of each connection that the process has not read.
    #[must_use]
    pub fn callers(&self, receive_buffer: usize) -> CallerLimits {
        let bytes = self.memory / CALLER_DIVISOR;
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = sockets - sockets / INTERNAL_DIVISOR;
        let by_memory = self.memory / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let (part, whole) = UNREAD_SHARE;
        let buffers = self.memory / whole * part / receive_buffer.max(1);
        let by_unread = buffers.saturating_sub(WAITING_CONNECTIONS);
        let connections = by_descriptors.min(by_memory).min(by_unread);
        CallerLimits {
            bytes,
            reserve: bytes / RESERVE_DIVISOR,
            connections: connections
                .saturating_sub(CLOSING_CONNECTIONS)
                .max(MIN_CONNECTIONS),
            closing: CLOSING_CONNECTIONS,
        }
    }

    /// Returns the limits of all peers that connect to the process, if the system holds up
    /// to `receive_buffer` bytes of each connection that the process has not read.
    #[must_use]
    pub fn peers(&self, receive_buffer: usize) -> CallerLimits {
        let bytes = self.memory / PEER_DIVISOR;
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = sockets / INTERNAL_DIVISOR / PEER_SOCKET_DIVISOR;
        let buffers = self.memory / PEER_UNREAD_DIVISOR / receive_buffer.max(1);
        let by_unread = buffers.saturating_sub(WAITING_CONNECTIONS);
        let connections = by_descriptors.min(by_unread).min(MAX_PEER_CONNECTIONS);
        CallerLimits {
            bytes,
            reserve: bytes / RESERVE_DIVISOR,
            connections: connections
                .saturating_sub(CLOSING_PEERS)
                .max(MIN_CONNECTIONS),
            closing: CLOSING_PEERS,
        }
    }

    /// Returns the memory for responses of leaves that are being read, in bytes.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        (self.memory / RESPONSE_DIVISOR).min(MAX_RESPONSE_BYTES)
    }
}

/// Limits of all callers together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes that their connections may hold.
    pub bytes: usize,
    /// Part of `bytes` that only small requests may use.
    pub reserve: usize,
    /// Number of connections.
    pub connections: usize,
    /// Number of further connections that may still be closing.
    pub closing: usize,
}

impl CallerLimits {
    /// Limits nothing.
    pub const UNLIMITED: Self = Self {
        bytes: usize::MAX,
        reserve: 0,
        connections: usize::MAX,
        closing: 0,
    };
}
