//! Bounds the lines that requests write to the log.

use std::time::Duration;

use super::time::Time;

/// Length of the span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines on requests that one process writes in a second: some 25 KB.
const LINES_MAX: u32 = 40;

/// Lines written and left out in the present span.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    begin: Time,
    written: u32,
    left_out: u32,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Line {
    /// It is; so many were left out in the span before.
    Write {
        /// Lines left out, told once.
        left_out: u32,
    },
    /// It is left out.
    LeaveOut,
}

impl LineBudget {
    /// Counts a line.
    pub fn count(&mut self, now: Time) -> Line {
        let mut told = 0;
        if now.since(self.begin) >= SPAN {
            told = self.left_out;
            *self = Self {
                begin: now,
                ..Self::default()
            };
        }
        if self.written >= LINES_MAX {
            self.left_out += 1;
            return Line::LeaveOut;
        }
        self.written += 1;
        Line::Write { left_out: told }
    }
}
