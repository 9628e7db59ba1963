//! The state that the control thread publishes to the traffic threads.

use std::sync::Arc;

use super::{
    catalog::{Catalog, LeafId},
    collections::{Map, Set},
    crash_evidence::Trial,
    members::Member,
    placement::{draining::DrainPeriod, warm_up::ColdLeaf},
    shares::Shares,
    time::Time,
};

/// One consistent snapshot of the control state. Traffic threads read it and
/// never change it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force; revision 0 stands for none.
    pub catalog: Arc<Catalog>,
    /// When the configuration came into force in this process.
    pub adopted: Time,
    /// Entries that are live or leaving.
    pub entries: Vec<Member>,
    /// Relays that are live or leaving, by name.
    pub relays: Vec<Member>,
    /// Leaves that the instance list reports as leaving.
    pub leaving: Set<LeafId>,
    /// Until when leaves that are leaving may still be called, where that is known.
    pub draining: Map<LeafId, Time>,
    /// How long leaves that leave may still be called.
    pub drain_period: DrainPeriod,
    /// Leaves that are cold and take few calls.
    pub cold: Map<LeafId, ColdLeaf>,
    /// Incarnations of leaves, where the instance list gives them.
    pub incarnations: Map<LeafId, u64>,
    /// Fingerprints of request contents that have crashed backend servers.
    pub quarantined: Set<u64>,
    /// Next trials of request contents that are quarantined.
    pub trials: Map<u64, Trial>,
    /// Fingerprints of request contents under which leaves have crashed, without proof.
    pub suspected: Set<u64>,
    /// Shares of the fleet's extra calls that this process may use.
    pub shares: Shares,
    /// Whether leaves may be missing, because the list of them could not be read whole.
    pub incomplete: bool,
    /// Number of lower or conflicting revisions that were offered and refused.
    pub refused: u64,
}

impl View {
    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.catalog.revision > 0
    }
}
