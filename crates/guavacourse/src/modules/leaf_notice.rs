//! What leaves say about themselves in their answers, besides the answer.

/// The notice in one answer of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeafNotice {
    /// Whether the leaf is leaving and takes no new calls.
    pub leaving: bool,
    /// Calls a second that the leaf takes from the whole fleet, if it limits them.
    pub limit: Option<f64>,
}

/// A change in what a leaf asks for, for the log of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafEvent {
    /// It says that it is leaving.
    Leaving {
        /// Its name.
        leaf: String,
    },
    /// It limits its calls.
    Limited {
        /// Its name.
        leaf: String,
        /// Calls a second that it takes from the whole fleet.
        total: f64,
        /// Calls a second that this process may make.
        own: f64,
    },
    /// It no longer limits its calls.
    Unlimited {
        /// Its name.
        leaf: String,
    },
}
