//! Limits the memory for the responses that a process reads at the same time.
//!
//! A server in trouble may send bytes without end. Each response has a limit of its
//! own, but many such responses together would exceed the memory of the process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::head::{MessageError, Meter};

/// Size up to which a response does not count, in bytes: small responses are read even
/// if large ones have used up the memory.
const FREE_BYTES: usize = 64 * 1024;

/// Memory for the responses of several connections. Clones share it.
#[derive(Clone, Debug)]
pub struct ReceiveMemory {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl ReceiveMemory {
    /// Creates a memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Returns the share of one response.
    pub(super) fn share(&self) -> Share {
        Share {
            memory: self.clone(),
            reserved: 0,
        }
    }
}

/// Memory that one response has reserved. Dropping it frees the memory.
#[derive(Debug)]
pub(super) struct Share {
    memory: ReceiveMemory,
    reserved: usize,
}

impl Share {
    /// Reserves memory for a response that takes `size` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is used up.
    fn grow(&mut self, size: usize) -> Result<(), MessageError> {
        let needed = size.saturating_sub(FREE_BYTES);
        let Some(more) = needed.checked_sub(self.reserved) else {
            return Ok(());
        };
        let used = self.memory.used.fetch_add(more, Ordering::Relaxed) + more;
        self.reserved = needed;
        if used > self.memory.limit {
            return Err(MessageError::NoMemory(self.memory.limit));
        }
        Ok(())
    }
}

impl Meter for Option<Share> {
    fn hold(&mut self, size: usize) -> Result<(), MessageError> {
        self.as_mut().map_or(Ok(()), |share| share.grow(size))
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}
