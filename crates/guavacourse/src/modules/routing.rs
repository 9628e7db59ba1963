//! Chooses the relay for a call to a leaf, from what one traffic thread knows.

use std::{cell::RefCell, sync::Arc, time::Duration};

use super::{
    catalog::LeafEntry, collections::Map, inventory::Address, ownership::ranked_relays, time::Time,
    view::View,
};

/// Time after which a relay whose link failed is tried again, even if the link was
/// not reported open.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Routes to leaves and the state of relays that cannot be used.
#[derive(Debug, Default)]
pub(crate) struct Routing {
    view: Option<Arc<View>>,
    relays: Map<Address, RelayState>,
    routes: RefCell<Routes>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayState {
    /// The link to the relay failed at this time.
    Down(Time),
    /// The relay announced that it is leaving.
    Leaving,
}

/// Cached relays by group of leaves. `None` stands for a group that has no relay.
#[derive(Debug, Default)]
struct Routes {
    relays: Map<u64, Option<Address>>,
    expires: Time,
}

impl Routing {
    /// Records that the link to a relay failed or could not be opened.
    pub(crate) fn down(&mut self, relay: Address, now: Time) {
        self.set(relay, RelayState::Down(now));
    }

    /// Records that a relay announced that it is leaving. It is not used until a
    /// view shows its next incarnation.
    pub(crate) fn leaving(&mut self, relay: Address) {
        self.set(relay, RelayState::Leaving);
    }

    /// Records that a link to a relay is open.
    pub(crate) fn up(&mut self, relay: Address) {
        self.relays.remove(&relay);
        self.clear_routes();
    }

    /// Returns the view of the latest [`Routing::sync`].
    pub(crate) fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Switches to a view and drops the state of relays that it lacks or that have
    /// restarted. Returns whether the view is another one than before.
    pub(crate) fn sync(&mut self, view: &Arc<View>) -> bool {
        let old = self.view.replace(Arc::clone(view));
        if old.as_ref().is_some_and(|old| Arc::ptr_eq(old, view)) {
            return false;
        }
        let old = old.unwrap_or_default();
        let same_incarnation = |address: &Address| {
            let now = incarnation(view, *address);
            now.is_some() && now == incarnation(&old, *address)
        };
        self.relays.retain(|address, _| same_incarnation(address));
        self.clear_routes();
        true
    }

    /// Returns whether the link to a relay has failed and was not opened since.
    pub(crate) fn is_down(&self, relay: Address) -> bool {
        matches!(self.relays.get(&relay), Some(RelayState::Down(_)))
    }

    /// Returns whether the link to a relay failed at `since` or later.
    pub(crate) fn failed_since(&self, relay: Address, since: Time) -> bool {
        matches!(self.relays.get(&relay), Some(RelayState::Down(at)) if *at >= since)
    }

    /// Returns the relay to call a leaf through, or `None` if all are leaving or
    /// gone.
    pub(crate) fn route(&self, view: &View, leaf: &LeafEntry, now: Time) -> Option<Address> {
        let own = self.view.as_ref();
        let cached = own.is_some_and(|own| std::ptr::eq(&raw const **own, view));
        if !cached {
            return self.first_relay(view, leaf, now);
        }
        let mut routes = self.routes.borrow_mut();
        if now >= routes.expires {
            routes.relays.clear();
            routes.expires = self.next_retry(now);
        }
        *routes
            .relays
            .entry(leaf.group)
            .or_insert_with(|| self.first_relay(view, leaf, now))
    }

    /// Returns the first usable relay in the leaf's order. If there is none, returns
    /// the one that has been down longest, because its recorded state may be wrong.
    fn first_relay(&self, view: &View, leaf: &LeafEntry, now: Time) -> Option<Address> {
        let ranked = ranked_relays(leaf, &view.relays);
        let addresses = ranked.into_iter().map(|i| view.relays[i].address);
        let mut usable = addresses.clone().filter(|relay| self.usable(*relay, now));
        usable.next().or_else(|| self.longest_down(addresses))
    }

    fn longest_down(&self, relays: impl Iterator<Item = Address>) -> Option<Address> {
        let down = relays.filter_map(|relay| match self.relays.get(&relay) {
            Some(RelayState::Down(at)) => Some((*at, relay)),
            Some(RelayState::Leaving) | None => None,
        });
        let (_, relay) = down.min_by_key(|(at, _)| *at)?;
        Some(relay)
    }

    fn usable(&self, relay: Address, now: Time) -> bool {
        match self.relays.get(&relay) {
            Some(RelayState::Down(at)) => now >= at.after(RELAY_RETRY_DELAY),
            Some(RelayState::Leaving) => false,
            None => true,
        }
    }

    fn next_retry(&self, now: Time) -> Time {
        let retries = self.relays.values().filter_map(|state| match state {
            RelayState::Down(at) => Some(at.after(RELAY_RETRY_DELAY)),
            RelayState::Leaving => None,
        });
        retries.filter(|at| *at > now).min().unwrap_or(Time::MAX)
    }

    fn set(&mut self, relay: Address, state: RelayState) {
        self.relays.insert(relay, state);
        self.clear_routes();
    }

    fn clear_routes(&mut self) {
        *self.routes.get_mut() = Routes::default();
    }
}

/// Returns the incarnation of the relay at an address, or `None` if the view lacks
/// it.
fn incarnation(view: &View, relay: Address) -> Option<u64> {
    let mut relays = view.relays.iter();
    let found = relays.find(|member| member.address == relay)?;
    Some(found.incarnation)
}
