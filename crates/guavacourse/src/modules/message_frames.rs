//! Where messages begin and end in a stream of Cap'n Proto messages.
//!
//! A message begins with a table: the number of its segments less one, and the size of
//! each in words, in 4 bytes each, padded to a whole word. The segments follow.

use thiserror::Error;

/// Size of a word in bytes, and of an entry of the table.
const WORD: usize = 8;
const ENTRY: usize = 4;

/// Most segments of a message, as in Cap'n Proto.
const MAX_SEGMENTS: usize = 512;

/// The table of a message has too many segments.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a message of {0} segments is not accepted; send at most {MAX_SEGMENTS}")]
pub struct TooManySegments(usize);

/// What a piece of the stream holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of messages that end in it.
    pub ended: usize,
    /// Size of the message that it leaves incomplete, in bytes; 0 if there is none, or if
    /// its table is not whole yet.
    pub pending: usize,
}

/// Follows the messages of a stream.
#[derive(Clone, Debug, Default)]
pub struct MessageFrames {
    /// Bytes of the table that have arrived.
    table: usize,
    /// The entry that is arriving.
    entry: [u8; ENTRY],
    segments: usize,
    /// Size of the segments in the table so far, in bytes.
    size: usize,
    /// Bytes of the segments that have not arrived; none while the table arrives.
    left: Option<usize>,
}

impl MessageFrames {
    /// Follows the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if a message has too many segments: the stream cannot be followed.
    pub fn follow(&mut self, mut bytes: &[u8]) -> Result<Progress, TooManySegments> {
        let mut ended = 0;
        while !bytes.is_empty() {
            let Some(left) = self.left else {
                self.follow_table(bytes[0])?;
                bytes = &bytes[1..];
                ended += self.end();
                continue;
            };
            let passed = left.min(bytes.len());
            bytes = &bytes[passed..];
            self.left = Some(left - passed);
            ended += self.end();
        }
        let pending = self.left.map_or(0, |_| self.size);
        Ok(Progress { ended, pending })
    }

    /// Adds a byte to the table.
    fn follow_table(&mut self, byte: u8) -> Result<(), TooManySegments> {
        self.entry[self.table % ENTRY] = byte;
        self.table += 1;
        if !self.table.is_multiple_of(ENTRY) {
            return Ok(());
        }
        let value = u32::from_le_bytes(self.entry) as usize;
        let number = self.table / ENTRY;
        if number == 1 {
            self.segments = value.saturating_add(1);
            if self.segments > MAX_SEGMENTS {
                return Err(TooManySegments(self.segments));
            }
        } else if number <= self.segments + 1 {
            self.size = self.size.saturating_add(value.saturating_mul(WORD));
        }
        if number > self.segments && self.table.is_multiple_of(WORD) {
            self.left = Some(self.size);
        }
        Ok(())
    }

    /// Begins the next message if this one is whole. Returns how many are.
    fn end(&mut self) -> usize {
        if self.left != Some(0) {
            return 0;
        }
        *self = Self::default();
        1
    }
}
