//! Line differences between two bodies of the configuration.
//!
//! Processes send each other the changed lines of a body, and operators read
//! the same difference.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of lines, old and new together, that are searched past a
/// change for the next line in common.
const MAX_SEARCH_LINES: usize = 400;

/// A run of lines that is replaced.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Hunk {
    /// Index of the first replaced line in the old body, from 0.
    pub start: usize,
    /// Lines that are replaced.
    pub removed: usize,
    /// Lines that replace them.
    pub added: Vec<String>,
}

/// The changed lines between two bodies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Delta {
    /// Replaced runs, in the order of the old body.
    pub hunks: Vec<Hunk>,
}

/// The delta was made for another body.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the delta does not fit the body; fetch the whole body")]
pub struct DeltaMismatch;

impl Delta {
    /// Computes the changed lines from `old` to `new`.
    ///
    /// After each change it resumes at the nearest line in common, so that the
    /// cost grows with the size of the changes and not with that of the bodies.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let old: Vec<&str> = old.split('\n').collect();
        let new: Vec<&str> = new.split('\n').collect();
        let suffix = common_prefix(old.iter().rev(), new.iter().rev());
        let mut hunks = Vec::new();
        let (mut left, mut right) = (old.as_slice(), new.as_slice());
        while !left.is_empty() || !right.is_empty() {
            let same = common_prefix(left.iter(), right.iter());
            (left, right) = (&left[same..], &right[same..]);
            if left.is_empty() && right.is_empty() {
                break;
            }
            let (removed, added) = nearest_common(left, right, suffix);
            hunks.push(Hunk {
                start: old.len() - left.len(),
                removed,
                added: right[..added].iter().map(|l| (*l).to_owned()).collect(),
            });
            (left, right) = (&left[removed..], &right[added..]);
        }
        Self { hunks }
    }

    /// Applies the delta to `old`.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaMismatch`] if the delta was made for another body.
    pub fn apply(&self, old: &str) -> Result<String, DeltaMismatch> {
        let old: Vec<&str> = old.split('\n').collect();
        let mut new: Vec<&str> = Vec::with_capacity(old.len());
        let mut next = 0;
        for hunk in &self.hunks {
            let kept = old.get(next..hunk.start).ok_or(DeltaMismatch)?;
            new.extend(kept);
            new.extend(hunk.added.iter().map(String::as_str));
            next = hunk.start.checked_add(hunk.removed).ok_or(DeltaMismatch)?;
        }
        new.extend(old.get(next..).ok_or(DeltaMismatch)?);
        Ok(new.join("\n"))
    }

    /// Returns the delta as text: removed lines of `old`, then added lines.
    #[must_use]
    pub fn render(&self, old: &str) -> String {
        let old: Vec<&str> = old.split('\n').collect();
        let mut lines = Vec::new();
        for hunk in &self.hunks {
            lines.push(format!("@@ line {} @@", hunk.start + 1));
            let removed = old.iter().skip(hunk.start).take(hunk.removed);
            lines.extend(removed.map(|l| format!("-{l}")));
            lines.extend(hunk.added.iter().map(|l| format!("+{l}")));
        }
        lines.join("\n")
    }
}

impl fmt::Display for Delta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let removed: usize = self.hunks.iter().map(|h| h.removed).sum();
        let added: usize = self.hunks.iter().map(|h| h.added.len()).sum();
        write!(f, "lines removed: {removed}, added: {added}")
    }
}

/// Returns the number of leading lines that both sides share.
fn common_prefix<'a>(
    left: impl Iterator<Item = &'a &'a str>,
    right: impl Iterator<Item = &'a &'a str>,
) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}

/// Returns how many lines of each side come before the nearest line in common,
/// or before the last `suffix` lines if none is near.
fn nearest_common(left: &[&str], right: &[&str], suffix: usize) -> (usize, usize) {
    for distance in 1..=MAX_SEARCH_LINES {
        for removed in 0..=distance {
            let added = distance - removed;
            let pair = (left.get(removed), right.get(added));
            if let (Some(a), Some(b)) = pair
                && a == b
            {
                return (removed, added);
            }
        }
    }
    let suffix = suffix.min(left.len()).min(right.len());
    (left.len() - suffix, right.len() - suffix)
}
