//! Tracks whether a query's content may have crashed a backend server.

use crate::modules::call::AttemptId;

/// What one query knows about its content after a leaf closed a connection.
///
/// A suspected query is not hedged and makes one call at a time, so that
/// content that crashes backend servers crashes at most one more.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Suspicion {
    /// No leaf has closed a connection on it.
    #[default]
    None,
    /// A leaf has, or a relay suspects the content; one call may test it.
    Suspected,
    /// The call that tests it is in flight.
    Testing(AttemptId),
    /// The call that tested it returned rows.
    Cleared,
    /// A second leaf closed the connection, the test may have run but gave no
    /// rows, or the content is quarantined.
    Confirmed,
}

impl Suspicion {
    /// Records that a leaf closed the connection of attempt `id`.
    pub(crate) fn on_connection_closed(&mut self, id: AttemptId) {
        *self = match *self {
            Self::None | Self::Suspected => Self::Suspected,
            Self::Testing(test) if test != id => Self::Testing(test),
            Self::Testing(_) | Self::Cleared | Self::Confirmed => Self::Confirmed,
        };
    }

    /// Records that a relay suspects the content and did not run it.
    pub(crate) fn on_suspected(&mut self) {
        if *self == Self::None {
            *self = Self::Suspected;
        }
    }

    /// Records that a call is sent, which is the test if one is due.
    pub(crate) fn on_call_sent(&mut self, id: AttemptId) {
        if *self == Self::Suspected {
            *self = Self::Testing(id);
        }
    }

    /// Records that attempt `id` ended with rows. Returns whether that cleared
    /// the content.
    pub(crate) fn on_rows(&mut self, id: AttemptId) -> bool {
        let clears = *self == Self::Testing(id);
        if clears {
            *self = Self::Cleared;
        }
        clears
    }

    /// Records that attempt `id` ended without running: another may test the
    /// content.
    pub(crate) fn on_not_run(&mut self, id: AttemptId) {
        if *self == Self::Testing(id) {
            *self = Self::Suspected;
        }
    }

    /// Records that attempt `id` may have run but gave no rows: no further test
    /// is made.
    pub(crate) fn on_no_rows(&mut self, id: AttemptId) {
        if *self == Self::Testing(id) {
            *self = Self::Confirmed;
        }
    }

    /// Records that no further call may be sent.
    pub(crate) fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// Returns whether another call may be sent now.
    pub(crate) fn may_call(self) -> bool {
        !matches!(self, Self::Testing(_) | Self::Confirmed)
    }

    /// Returns whether the call that tests the content is in flight.
    pub(crate) fn testing(self) -> bool {
        matches!(self, Self::Testing(_))
    }

    /// Returns whether calls may run concurrently.
    pub(crate) fn may_hedge(self) -> bool {
        matches!(self, Self::None | Self::Cleared)
    }

    /// Returns whether no further call may ever be sent.
    pub(crate) fn confirmed(self) -> bool {
        self == Self::Confirmed
    }
}
