//! State of the control thread, and its publication to other threads.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc};

use smol::{LocalExecutor, Task};

use super::{
    peers::{self, Cause},
    summary::LocalStatus,
};
use crate::{
    configs::node::NodeConfig,
    edge::{
        clock::Clock,
        platform::{EraStore, HttpInstanceList},
        published::Published,
    },
    modules::{
        adoption::{Adoption, Stamp},
        archive::{Archive, Body},
        blocklist::{BlockedContent, Blocklist},
        catalog::Catalog,
        inventory::Address,
        members::{Member, MemberState, Role},
        merged_list::PeerRecord,
        roster::{ProcessName, Roster},
        time::Time,
        view::View,
    },
};

/// State of the control thread.
pub(super) struct State {
    pub(super) node: NodeConfig,
    pub(super) role: Role,
    pub(super) incarnation: u64,
    pub(super) address: SocketAddr,
    pub(super) clock: Clock,
    pub(super) adoption: Adoption,
    pub(super) roster: Roster,
    /// Whether a first configuration has arrived. Only then may a newer revision be
    /// fetched from any peer.
    pub(super) bootstrapped: bool,
    /// Whether members are being fetched from a peer.
    pub(super) fetching_members: bool,
    archive: Archive,
    blocklist: Blocklist,
    leaving: bool,
    catalog: Arc<Catalog>,
    adopted_at: Time,
    view: Published<View>,
    status: Published<LocalStatus>,
}

impl State {
    /// Creates the state of a process without a configuration.
    pub(super) fn new(
        node: NodeConfig,
        role: Role,
        incarnation: u64,
        address: SocketAddr,
        clock: Clock,
        view: Published<View>,
    ) -> Self {
        let state = Self {
            node,
            role,
            incarnation,
            address,
            clock,
            adoption: Adoption::default(),
            roster: Roster::default(),
            bootstrapped: false,
            fetching_members: false,
            archive: Archive::default(),
            blocklist: Blocklist::default(),
            leaving: false,
            catalog: Arc::default(),
            adopted_at: Time::default(),
            view,
            status: Published::default(),
        };
        state.publish();
        state
    }

    /// Returns the snapshots for the threads that answer peers.
    pub(super) fn status(&self) -> Published<LocalStatus> {
        self.status.clone()
    }

    /// Returns the name under which peers know this process.
    pub(super) fn name(&self) -> ProcessName {
        ProcessName::new(&self.node.instance, self.role)
    }

    /// Returns the body of a revision if the archive still holds it.
    pub(super) fn body(&self, revision: u64) -> Option<Arc<Body>> {
        self.archive.find(revision)
    }

    /// Returns the record that the process registers in the instance list.
    pub(super) fn member(&self) -> Member {
        Member {
            name: self.node.instance.clone(),
            role: self.role,
            data_centre: self.node.data_centre.clone(),
            address: Address(self.address),
            callers: match self.role {
                Role::Entry => Address(self.node.callers),
                _ => Address::default(),
            },
            state: if self.leaving {
                MemberState::Leaving
            } else {
                MemberState::Live
            },
            incarnation: self.incarnation,
            ..Member::default()
        }
    }

    /// Publishes the state to the other threads.
    pub(super) fn publish(&self) {
        let now = self.clock.now();
        let view = View {
            catalog: Arc::clone(&self.catalog),
            adopted: self.adopted_at,
            entries: self.roster.members(Role::Entry, now),
            relays: self.roster.members(Role::Relay, now),
            leaving: self.roster.leaving_leaves().clone(),
            incarnations: self.roster.leaf_incarnations().clone(),
            quarantined: self.blocklist.fingerprints(),
            refused: self.adoption.refused(),
            ..View::default()
        };
        if !same_view(&view, &self.view.load()) {
            self.view.store(view);
        }
        self.status.store(LocalStatus {
            name: self.name().as_str().to_owned(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            stamp: self.adoption.current(),
            adopted_at: self.adopted_at,
            refused: self.adoption.refused(),
            blocklist: self.blocklist.clone(),
            archive: self.archive.clone(),
            listed: self.roster.merged_list(),
        });
    }

    /// Puts a body in force if it is newer, intact and readable; returns whether it
    /// did.
    fn adopt(&mut self, stamp: Stamp, text: String, source: &str) -> bool {
        let config = match toml::from_str(&text) {
            Ok(config) => config,
            Err(e) => {
                let revision = stamp.revision;
                tracing::error!(
                    "revision {revision} from {source} cannot be read: {e}; upgrade this instance or apply a corrected file"
                );
                return false;
            }
        };
        let digest = Stamp::of(stamp.revision, text.as_bytes()).digest;
        match self.adoption.adopt(stamp, digest) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(refusal) => {
                tracing::error!("refused a configuration from {source}: {refusal}");
                return false;
            }
        }
        tracing::info!("revision {} from {source} is in force", stamp.revision);
        self.catalog = Arc::new(Catalog::new(stamp.revision, &config));
        self.adopted_at = self.clock.now();
        self.roster.set_inventory(&self.catalog);
        self.archive.push(Body { stamp, text });
        self.publish();
        true
    }
}

/// Returns whether two snapshots are equal.
fn same_view(a: &View, b: &View) -> bool {
    Arc::ptr_eq(&a.catalog, &b.catalog)
        && a.entries == b.entries
        && a.relays == b.relays
        && a.leaving == b.leaving
        && a.incarnations == b.incarnations
        && a.quarantined == b.quarantined
        && a.refused == b.refused
}

/// The state, shared by the tasks of the control thread.
#[derive(Clone)]
pub(super) struct Shared {
    state: Rc<RefCell<State>>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) store: EraStore,
    pub(super) list: HttpInstanceList,
    tasks: Rc<RefCell<Vec<Task<()>>>>,
}

impl Shared {
    /// Wraps the state for the tasks of `executor`.
    pub(super) fn new(state: State, executor: Rc<LocalExecutor<'static>>) -> Self {
        let platform = state.node.platform;
        Self {
            state: Rc::new(RefCell::new(state)),
            executor,
            store: EraStore::background(platform),
            list: HttpInstanceList::new(platform),
            tasks: Rc::default(),
        }
    }

    /// Starts a task, which is cancelled when the thread stops.
    pub(super) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(self.executor.spawn(work));
    }

    /// Cancels all tasks and waits until they have ended.
    pub(super) async fn cancel_tasks(&self) {
        let tasks = self.tasks.take();
        for task in tasks {
            task.cancel().await;
        }
    }

    /// Reads the state.
    pub(super) fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.state.borrow())
    }

    /// Changes the state. `f` must not call back into `Shared`.
    pub(super) fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }

    /// Puts a body in force if it is newer, intact and readable, and pushes it to
    /// peers.
    pub(super) fn adopt(&self, stamp: Stamp, text: String, source: &str) {
        let changed = self.update(|state| {
            state.bootstrapped = true;
            state.adopt(stamp, text, source)
        });
        if changed {
            peers::push(self, Cause::Other);
        }
    }

    /// Counts and logs a lower or conflicting revision from a source that should
    /// hold the latest one.
    pub(super) fn refuse(&self, offered: Stamp, source: &str) {
        if let Some(refusal) = self.update(|state| state.adoption.refuse(offered)) {
            self.update(|state| state.publish());
            tracing::error!("{source} offers a wrong configuration: {refusal}");
        }
    }

    /// Blocks fingerprints, and pushes new ones to peers.
    pub(super) fn block(&self, blocked: &[BlockedContent]) {
        let fresh = self.update(|state| {
            let now = state.clock.now();
            let added = blocked.iter().filter(|b| state.blocklist.add(**b, now));
            let fresh = added.count() > 0;
            if fresh {
                state.publish();
            }
            fresh
        });
        if fresh {
            peers::push(self, Cause::Other);
        }
    }

    /// Merges a reading of the instance list that was requested at `requested_at`,
    /// and pushes changes to peers. Returns whether no difference was deferred to a
    /// later reading.
    pub(super) fn merge_list(&self, members: Vec<Member>, requested_at: Time) -> bool {
        let result = self.update(|state| {
            let result = state.roster.merge_list(members, requested_at);
            state.publish();
            result
        });
        if result.changed {
            peers::push(self, Cause::Members);
        }
        result.settled
    }

    /// Merges the members that a peer knows, which were requested at `requested_at`,
    /// and pushes changes to other peers.
    pub(super) fn merge_members(&self, received: Vec<PeerRecord>, requested_at: Time) {
        let changed = self.update(|state| {
            let changed = state.roster.merge_records(received, requested_at);
            if changed {
                state.publish();
            }
            changed
        });
        if changed {
            peers::push(self, Cause::Members);
        }
    }

    /// Removes expired fingerprints.
    pub(super) fn expire(&self) {
        self.update(|state| {
            if state.blocklist.expire(state.clock.now()) {
                state.publish();
            }
        });
    }

    /// Marks the process as leaving, in the instance list and at peers.
    pub(super) fn leave(&self) {
        let member = self.update(|state| {
            state.leaving = true;
            state.publish();
            state.member()
        });
        super::list::register(self, member);
        peers::push(self, Cause::Other);
    }
}
